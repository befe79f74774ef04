#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/http_client.hpp"
#include "process/ordered_mutex.hpp"
#include "standin/invariant_check.hpp"

namespace jacinthvane {

// A mix of requests, sent at a fixed rate regardless of outstanding responses (open loop), as independent
// clients do.
struct load_plan {
    // Addresses of the entry processes; each request goes to one of them, as behind a load balancer.
    std::vector<std::string> addresses;
    std::int64_t requests_per_second = 100;
    std::chrono::milliseconds duration{5000};
    std::chrono::milliseconds request_deadline{8000};
    std::uint64_t seed = 1;
    // Shares of the requests in thousandths; the rest are idempotent urgent requests (imports).
    std::int64_t merge_permille = 200;
    std::int64_t job_permille = 50;
    // Share of the merges that are sent a second time with the same key, to another process.
    std::int64_t repeat_permille = 500;
    std::int64_t import_run_ms = 20;
    std::int64_t merge_run_ms = 30;
    std::int64_t job_run_ms = 1000;
    std::string team = "sfax";

    bool operator==(const load_plan&) const = default;
};

// A completed request: its outcome and how long it took.
struct completed_request {
    client_outcome outcome;
    std::string error_kind;
    std::chrono::microseconds took{0};

    bool operator==(const completed_request&) const = default;
};

// Sends the requests of a plan and records the outcome reported to each client.
class load_client {
public:
    load_client(asio::io_context& context, load_plan plan);

    // Sends all requests and returns when each has a response or has passed its deadline.
    awaitable<void> run();

    // Polls the state of each accepted job until it has ended or the deadline passes.
    awaitable<void> wait_for_jobs(time_point deadline);

    std::vector<completed_request> get_completed_requests() const;
    std::vector<accepted_job> get_jobs() const;

    // Formats a table of the outcomes by kind, status and run knowledge.
    std::string format_outcomes() const;

private:
    struct planned_request {
        std::string kind;
        std::string key;
        bool is_non_idempotent = false;
        bool is_job = false;
        std::int64_t run_ms = 0;
        std::int64_t response_bytes = 0;
    };

    planned_request plan_next();
    std::string pick_address();
    void start_request(const planned_request& planned);
    awaitable<void> send_request(planned_request planned, std::string address);
    void record(completed_request completed);
    awaitable<std::string> fetch_job_state(job_id job);

    asio::io_context& context_;
    load_plan plan_;
    http_client client_;
    std::mt19937_64 random_;
    std::uint64_t next_number_ = 0;
    mutable ordered_mutex mutex_{lock_rank::standin};
    std::vector<completed_request> completed_;
    std::vector<accepted_job> jobs_;
    std::size_t in_flight_ = 0;
    async_signal request_completed_;
};

}  // namespace jacinthvane
