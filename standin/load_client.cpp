#include "standin/load_client.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/spawn_task.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_connections = 512;
constexpr std::chrono::milliseconds job_poll_interval{200};
// A client waits this much longer than the request's deadline, so that a response sent at the deadline
// arrives.
constexpr std::chrono::milliseconds response_grace{3000};

run_knowledge parse_run(std::string_view text) {
    if (text == "not-run") {
        return run_knowledge::not_run;
    }
    return text == "ran" ? run_knowledge::ran : run_knowledge::may_have_run;
}

double get_quantile_ms(std::vector<std::chrono::microseconds> values, double quantile) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto position = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    return static_cast<double>(values[position].count()) / 1000.0;
}

}  // namespace

load_client::load_client(asio::io_context& context, load_plan plan)
    : context_(context), plan_(std::move(plan)), client_(context, max_connections), random_(plan_.seed) {}

awaitable<void> load_client::run() {
    const auto started = std::chrono::steady_clock::now();
    const auto total = plan_.requests_per_second * plan_.duration.count() / 1000;
    for (std::int64_t i = 0; i < total; ++i) {
        co_await wait_until(started + std::chrono::microseconds(i * 1'000'000 / plan_.requests_per_second));
        start_request(plan_next());
    }
    while (true) {
        const auto seen = request_completed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (in_flight_ == 0) {
                co_return;
            }
        }
        co_await request_completed_.wait(seen, time_point::max());
    }
}

load_client::planned_request load_client::plan_next() {
    const auto draw = static_cast<std::int64_t>(random_() % 1000);
    planned_request planned;
    planned.key = "load-" + std::to_string(plan_.seed) + "-" + std::to_string(next_number_++);
    planned.response_bytes = static_cast<std::int64_t>(random_() % 8192);
    if (draw < plan_.merge_permille) {
        planned.kind = "merge";
        planned.is_non_idempotent = true;
        planned.run_ms = plan_.merge_run_ms;
    } else if (draw < plan_.merge_permille + plan_.job_permille) {
        planned.kind = "rebuild";
        planned.is_job = true;
        planned.is_non_idempotent = draw % 2 == 0;
        planned.run_ms = plan_.job_run_ms;
    } else {
        planned.kind = "import";
        planned.run_ms = plan_.import_run_ms;
    }
    return planned;
}

std::string load_client::pick_address() {
    return plan_.addresses[random_() % plan_.addresses.size()];
}

void load_client::start_request(const planned_request& planned) {
    const auto address = pick_address();
    const bool is_repeated =
        planned.kind == "merge" && static_cast<std::int64_t>(random_() % 1000) < plan_.repeat_permille;
    {
        std::lock_guard lock(mutex_);
        in_flight_ += is_repeated ? 2 : 1;
    }
    spawn_task(context_, "send_request", send_request(planned, address));
    if (is_repeated) {
        spawn_task(context_, "send_request", send_request(planned, pick_address()));
    }
}

awaitable<void> load_client::send_request(planned_request planned, std::string address) {
    http_request request;
    request.method = "POST";
    request.target = planned.is_job ? "/v1/jobs" : "/v1/requests";
    request.headers = {{"X-Team", plan_.team},
                       {"X-Kind", planned.kind},
                       {"X-Non-Idempotent", planned.is_non_idempotent ? "true" : "false"},
                       {"Idempotency-Key", planned.key},
                       {"X-Deadline-Ms", std::to_string(plan_.request_deadline.count())}};
    if (planned.is_job) {
        request.headers.erase("X-Deadline-Ms");
    }
    const nlohmann::json body = {{"run_ms", planned.run_ms},
                                 {"key", planned.key},
                                 {"answer", "answer to " + planned.key},
                                 {"answer_bytes", planned.response_bytes}};
    request.body = body.dump();
    const auto started = std::chrono::steady_clock::now();
    const auto deadline = started + plan_.request_deadline + response_grace;
    const auto response = co_await client_.fetch(address, request, deadline);

    completed_request completed;
    completed.took =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - started);
    completed.outcome.kind = planned.kind;
    completed.outcome.key = planned.key;
    // All generations of a job share its key, so I6 does not apply; I2 and I3 check jobs by task.
    completed.outcome.is_non_idempotent = planned.is_non_idempotent && !planned.is_job;
    if (response.ok()) {
        completed.outcome.status = response->status;
        completed.outcome.run = parse_run(response->get_header("X-Run"));
        const auto json = nlohmann::json::parse(response->body, nullptr, false);
        if (response->status == 200 && !planned.is_job) {
            const auto expected = "answer to " + planned.key;
            const auto expected_size =
                std::max(expected.size(), static_cast<std::size_t>(planned.response_bytes));
            completed.outcome.is_response_correct =
                response->body.size() == expected_size &&
                response->body.compare(0, expected.size(), expected) == 0 &&
                (response->body.size() == expected.size() || response->body[expected.size()] == ' ');
        } else if (json.is_object()) {
            completed.error_kind = json.value("kind", "");
            if (response->status == 202) {
                std::lock_guard lock(mutex_);
                jobs_.push_back({.job = job_id(json.value("job", "")),
                                 .key = planned.key,
                                 .is_non_idempotent = planned.is_non_idempotent,
                                 .final_state = {}});
            }
        }
    } else {
        completed.error_kind = "no response";
        // If the connection could not be opened, the request did not run. If it was lost, the request may
        // have run.
        completed.outcome.run = get_run_knowledge(response.status());
    }
    record(std::move(completed));
}

void load_client::record(completed_request completed) {
    {
        std::lock_guard lock(mutex_);
        completed_.push_back(std::move(completed));
        --in_flight_;
    }
    request_completed_.notify_all();
}

awaitable<void> load_client::wait_for_jobs(time_point deadline) {
    const auto jobs = get_jobs();
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        std::string state;
        while (true) {
            state = co_await fetch_job_state(jobs[i].job);
            const bool is_ended = state == "finished" || state == "cancelled" || state == "parked";
            if (is_ended || std::chrono::steady_clock::now() >= deadline) {
                break;
            }
            co_await wait_until(std::chrono::steady_clock::now() + job_poll_interval);
        }
        std::lock_guard lock(mutex_);
        jobs_[i].final_state = state;
    }
}

awaitable<std::string> load_client::fetch_job_state(job_id job) {
    for (const auto& address : plan_.addresses) {
        http_request request;
        request.target = "/v1/jobs/" + job.get();
        request.headers = {{"X-Team", plan_.team}};
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        const auto response = co_await client_.fetch(address, request, deadline);
        if (!response.ok() || response->status != 200) {
            continue;
        }
        const auto json = nlohmann::json::parse(response->body, nullptr, false);
        if (json.is_object()) {
            co_return json.value("state", "");
        }
    }
    co_return std::string();
}

std::vector<completed_request> load_client::get_completed_requests() const {
    std::lock_guard lock(mutex_);
    return completed_;
}

std::vector<accepted_job> load_client::get_jobs() const {
    std::lock_guard lock(mutex_);
    return jobs_;
}

std::string load_client::format_outcomes() const {
    struct row {
        std::size_t count = 0;
        std::vector<std::chrono::microseconds> took;
    };
    std::map<std::string, row> rows;
    for (const auto& completed : get_completed_requests()) {
        const auto status =
            completed.outcome.status == 0 ? std::string("-") : std::to_string(completed.outcome.status);
        auto label = completed.outcome.kind;
        label.resize(9, ' ');
        label += status + "  " + std::string(get_name(completed.outcome.run));
        label.resize(28, ' ');
        label += completed.error_kind;
        label.resize(54, ' ');
        auto& entry = rows[label];
        ++entry.count;
        entry.took.push_back(completed.took);
    }
    std::ostringstream text;
    text << "kind     outcome            error                          count     p50 ms     p99 ms\n";
    text.setf(std::ios::fixed);
    text.precision(1);
    for (const auto& [label, entry] : rows) {
        text << label;
        text.width(13);
        text << entry.count;
        text.width(11);
        text << get_quantile_ms(entry.took, 0.5);
        text.width(11);
        text << get_quantile_ms(entry.took, 0.99) << "\n";
    }
    return text.str();
}

}  // namespace jacinthvane
