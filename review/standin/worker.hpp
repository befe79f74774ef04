#pragma once

#include <cstdint>
#include <string>

namespace review {

struct worker_settings {
    std::string id;
    int port = 0;
    int store_port = 0;
    // Its labels.
    std::string kind;
    std::string rack;
    std::int64_t max_hold_ms = 6000;
    std::int64_t stop_timeout_ms = 200;
};

// Runs one worker until the process is killed. What a task does is in its Spec: "work=MS" ends as done after
// that time, "fail" ends as failed at once, and "last" works until it is stopped.
[[noreturn]] void run_worker(const worker_settings& settings);

}  // namespace review
