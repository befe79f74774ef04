// A small deployment: the stand-ins, processes of the project, clients, and what the rules say of the result.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform.hpp"

namespace review {

struct queue_options {
    std::string name;
    std::string prefix;
    int priority = 0;
    int max_attempts = 3;
    double stretch = 2.0;
    int target_latency_ms = 1000;
    json advice;
};

struct deployment_options {
    std::string program;
    std::string folder;
    std::string record;
    int entries = 3;
    int memory_mb = 260;
    int stop_timeout_ms = 400;
    int max_hold_ms = 10000;
    int heartbeat_ms = 1500;
    std::vector<queue_options> queues;
};

class deployment {
public:
    explicit deployment(const deployment_options& options);
    ~deployment();

    worker& add_worker(const std::string& id, const std::vector<std::string>& labels, int cpu, int stop_ms);
    void start_entries();
    // Adds a process that has a name and ports of its own, and doesn't start it.
    entry_process& add_entry();
    // Waits until a process reports itself ready. Returns false if none does.
    bool wait_until_ready(int limit_ms);

    // Submits at one process after the other until one answers with success, as a client does with its
    // retries. Returns the last status, and adds the submission to the book.
    int submit(submission added);
    // Asks one process after the other until one answers. Returns the state, "gone" for 410, or an empty
    // string.
    std::string ask(const std::string& id);
    int cancel(const std::string& id);
    // Whether this process wrote to the store last as the one that gives orders, by its name in the record.
    bool is_owner(const entry_process& entry);
    // Asks for all submissions until each has ended or the time is over.
    void wait_for_ends(int limit_ms);
    // The same, and returns the longest time for which a submission that hadn't ended had nothing running.
    std::int64_t measure_idle_time(int limit_ms);
    static std::string make_id();

    record_file record;
    store platform;
    book submissions;
    run_log runs;
    gang_board gangs;
    std::vector<std::unique_ptr<worker>> workers;
    std::unique_ptr<advice_service> advice;
    std::vector<std::unique_ptr<entry_process>> entries;

private:
    json make_settings() const;
    json make_config() const;

    deployment_options options_;
    std::string host_ = "review.example";
    std::size_t next_entry_ = 0;
    int added_entries_ = 0;
    std::mutex mutex_;
};

// What breaks a rule, as found from what clients and workers saw.
struct finding {
    std::string rule;
    std::string text;
};

std::vector<finding> judge(deployment& judged);

}  // namespace review
