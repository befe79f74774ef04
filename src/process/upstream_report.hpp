#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/task_ref.hpp"

namespace jacinthvane {

// How a run ended.
// - lapsed: the lease expired.
// - broken: another member of its gang ended.
// - alone: the other members of its gang did not start.
enum class run_end { done, failed, stopped, lapsed, broken, alone };

std::string_view get_name(run_end how);

// A run that is in progress on an upstream.
struct running_row {
    task_ref task;
    std::uint64_t run = 0;
    std::string checkpoint;
    std::int32_t percent = 0;
    // For a latency-critical task, its tail latency in milliseconds; for any other task, the processors in
    // use in thousandths of a processor.
    std::int64_t load = 0;

    bool operator==(const running_row&) const = default;
};

// A run that has ended and whose end is not acknowledged yet. Numbers increase within one incarnation of the
// upstream.
struct ended_row {
    std::uint64_t number = 0;
    task_ref task;
    std::uint64_t run = 0;
    run_end how = run_end::failed;
    std::string checkpoint;

    bool operator==(const ended_row&) const = default;
};

// The runs of an upstream, at a reading of its own clock.
struct upstream_report {
    std::int64_t clock_ms = 0;
    // Boot time, which identifies the incarnation of the upstream; 0 if it is not reported.
    std::int64_t boot_unix_ms = 0;
    std::vector<running_row> running;
    std::vector<ended_row> ended;

    bool operator==(const upstream_report&) const = default;
};

// Estimates the bytes that a report takes on the link, with headers.
std::size_t estimate_bytes(const upstream_report& report);

}  // namespace jacinthvane
