#include "connection/upstream_client.hpp"

#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include "connection/async_signal.hpp"
#include "connection/spawn_task.hpp"
#include "connection/upstream_codec.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

std::string make_task_target(const task_id& task, std::string_view action) {
    constexpr std::string_view hex = "0123456789ABCDEF";
    std::string target = "/v1/tasks/";
    for (const char byte : task.get()) {
        const auto value = static_cast<unsigned char>(byte);
        const bool is_plain =
            std::isalnum(value) != 0 || byte == '-' || byte == '_' || byte == '.' || byte == '~';
        if (is_plain) {
            target += byte;
        } else {
            target += '%';
            target += hex[value >> 4U];
            target += hex[value & 15U];
        }
    }
    return target + "/" + std::string(action);
}

// Returns a check that the response is for the task. Errors of the HTTP layer itself (400, 413) name no task.
response_check make_task_check(const task_id& task) {
    return [task](const http_response& response) {
        const auto named = response.get_header("X-Task");
        const bool may_lack_name = response.status == 400 || response.status == 413;
        return named == task.get() || (named.empty() && may_lack_name);
    };
}

absl::Status make_status_error(const http_response& response, const std::string& what) {
    const auto message =
        what + " failed with status " + std::to_string(response.status) + ": " + response.body.substr(0, 200);
    switch (response.status) {
        case 400:
        case 413:
            return make_error(error_kind::bad_request, message);
        case 404:
            return make_error(error_kind::not_found, message);
        case 409:
            return make_error(error_kind::upstream_too_late, message);
        case 503:
            return make_error(error_kind::upstream_leaving, message);
        case 500:
            return make_error(error_kind::upstream_failed, message);
        default:
            return make_error(error_kind::upstream_lost, message);
    }
}

// A response that cannot be decoded does not show whether the call had an effect.
absl::Status make_unreadable_error(const upstream_record& upstream, const absl::Status& reason) {
    return make_error(error_kind::upstream_lost, "cannot decode the response of " + upstream.upstream.get() +
                                                     ": " + std::string(reason.message()));
}

http_request make_request(std::string method, std::string target, std::string body) {
    http_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    return request;
}

awaitable<absl::StatusOr<task_call_response>> call_task(http_client& client, upstream_record upstream,
                                                        task_attempt attempt, const char* action,
                                                        task_call call, time_point deadline) {
    auto request = make_request("POST", make_task_target(attempt.task, action), encode_task_call(call));
    call_options options;
    options.is_expected = make_task_check(attempt.task);
    auto fetched = co_await client.fetch(upstream.address, std::move(request), deadline, std::move(options));
    if (!fetched.ok()) {
        co_return fetched.status();
    }
    if (fetched->status != 200) {
        co_return make_status_error(*fetched, std::string(action) + " of task " + attempt.task.get());
    }
    auto result = decode_task_call_response(fetched->body);
    if (!result.ok()) {
        co_return make_unreadable_error(upstream, result.status());
    }
    co_return result;
}

absl::StatusOr<task_state> require_state(const absl::StatusOr<task_call_response>& result) {
    if (!result.ok()) {
        return result.status();
    }
    if (!result->state) {
        return make_error(error_kind::upstream_lost,
                          "the response for task " + result->task.get() + " has no state");
    }
    return *result->state;
}

// Executes a call of an in-memory upstream as if over a connection: the caller stops waiting at its deadline,
// but the upstream completes the call.
template <typename T>
awaitable<absl::StatusOr<T>> run_with_deadline(asio::io_context& context,
                                               awaitable<memory_upstream::reply<T>> work,
                                               upstream_id upstream, time_point deadline) {
    struct exchange {
        ordered_mutex mutex{lock_rank::pending_responses};
        async_signal arrived;
        std::optional<absl::StatusOr<T>> result;
    };
    const auto state = std::make_shared<exchange>();
    auto complete_call = [](std::shared_ptr<exchange> shared,
                            awaitable<memory_upstream::reply<T>> call) -> awaitable<void> {
        auto reply = co_await std::move(call);
        if (!reply) {
            co_return;
        }
        {
            std::lock_guard lock(shared->mutex);
            shared->result = std::move(*reply);
        }
        shared->arrived.notify_all();
    };
    spawn_task(context, "memory_upstream", complete_call(state, std::move(work)));
    while (true) {
        const auto seen = state->arrived.get_count();
        {
            std::lock_guard lock(state->mutex);
            if (state->result) {
                co_return std::move(*state->result);
            }
        }
        if (!co_await state->arrived.wait(seen, deadline)) {
            co_return make_error(error_kind::upstream_lost,
                                 "no response from " + upstream.get() + " before the deadline");
        }
    }
}

absl::Status make_unknown_upstream_error(const upstream_record& upstream) {
    return make_error(error_kind::upstream_unreachable, "there is no upstream " + upstream.upstream.get());
}

}  // namespace

http_upstream::http_upstream(asio::io_context& context, const upstream_connections& connections)
    : start_client_(context, connections.for_starts), control_client_(context, connections.for_control) {}

awaitable<absl::StatusOr<upstream_list>> http_upstream::list(upstream_record upstream, time_point deadline) {
    auto request = make_request("GET", "/v1/tasks", "");
    auto fetched = co_await control_client_.fetch(upstream.address, std::move(request), deadline);
    if (!fetched.ok()) {
        co_return fetched.status();
    }
    if (fetched->status != 200) {
        co_return make_status_error(*fetched, "the list of tasks of " + upstream.upstream.get());
    }
    auto list = decode_list(fetched->body);
    if (!list.ok()) {
        co_return make_unreadable_error(upstream, list.status());
    }
    co_return list;
}

awaitable<absl::StatusOr<start_result>> http_upstream::start(upstream_record upstream, start_call call,
                                                             time_point deadline, time_point write_before) {
    auto request = make_request("POST", "/v1/tasks", encode_start(call));
    call_options options;
    options.write_before = write_before;
    options.is_expected = make_task_check(call.task);
    auto fetched =
        co_await start_client_.fetch(upstream.address, std::move(request), deadline, std::move(options));
    if (!fetched.ok()) {
        co_return fetched.status();
    }
    if (fetched->status == 202 && !call.is_waiting) {
        co_return start_result(start_accepted{});
    }
    if (fetched->status == 200 && call.is_waiting) {
        co_return start_result(task_response{call.task, 200, std::string(fetched->get_header("Content-Type")),
                                             std::move(fetched->body)});
    }
    co_return make_status_error(*fetched, "the start order for task " + call.task.get());
}

awaitable<absl::StatusOr<task_state>> http_upstream::renew(upstream_record upstream, task_attempt attempt,
                                                           std::int64_t lease_deadline_ms,
                                                           time_point deadline) {
    const task_call call{attempt.generation, lease_deadline_ms, 100};
    const auto result = co_await call_task(control_client_, upstream, attempt, "renew", call, deadline);
    co_return require_state(result);
}

awaitable<absl::StatusOr<std::string>> http_upstream::checkpoint(upstream_record upstream,
                                                                 task_attempt attempt, time_point deadline) {
    const task_call call{attempt.generation, 0, 100};
    const auto result = co_await call_task(control_client_, upstream, attempt, "checkpoint", call, deadline);
    if (!result.ok()) {
        co_return result.status();
    }
    if (!result->checkpoint) {
        co_return make_error(error_kind::upstream_lost,
                             "the checkpoint of task " + attempt.task.get() + " is missing in the response");
    }
    co_return *result->checkpoint;
}

awaitable<absl::StatusOr<task_state>> http_upstream::throttle(upstream_record upstream, task_attempt attempt,
                                                              std::int64_t percent, time_point deadline) {
    const task_call call{attempt.generation, 0, percent};
    const auto result = co_await call_task(control_client_, upstream, attempt, "throttle", call, deadline);
    co_return require_state(result);
}

awaitable<absl::StatusOr<stop_result>> http_upstream::stop(upstream_record upstream, task_attempt attempt,
                                                           time_point deadline) {
    const task_call call{attempt.generation, 0, 100};
    const auto result = co_await call_task(control_client_, upstream, attempt, "stop", call, deadline);
    if (!result.ok()) {
        co_return result.status();
    }
    co_return stop_result{result->state, result->checkpoint};
}

awaitable<absl::StatusOr<usage_response>> http_upstream::get_usage(upstream_record upstream,
                                                                   time_point deadline) {
    auto request = make_request("GET", "/v1/usage", "");
    auto fetched = co_await control_client_.fetch(upstream.address, std::move(request), deadline);
    if (!fetched.ok()) {
        co_return fetched.status();
    }
    if (fetched->status != 200) {
        co_return make_status_error(*fetched, "the usage report of " + upstream.upstream.get());
    }
    auto usage = decode_usage(fetched->body);
    if (!usage.ok()) {
        co_return make_unreadable_error(upstream, usage.status());
    }
    co_return usage;
}

awaitable<absl::StatusOr<upstream_list>> memory_transport::list(upstream_record upstream,
                                                                time_point deadline) {
    const auto target = fleet_->find(upstream.upstream);
    if (!target) {
        co_return make_unknown_upstream_error(upstream);
    }
    auto work = target->list();
    co_return co_await run_with_deadline(context_, std::move(work), upstream.upstream, deadline);
}

awaitable<absl::StatusOr<start_result>> memory_transport::start(upstream_record upstream, start_call call,
                                                                time_point deadline,
                                                                time_point write_before) {
    const auto target = fleet_->find(upstream.upstream);
    if (!target) {
        co_return make_unknown_upstream_error(upstream);
    }
    if (std::chrono::steady_clock::now() >= std::min(write_before, deadline)) {
        co_return make_error(
            error_kind::call_delayed,
            "the time limit passed before the start order could be sent to " + upstream.upstream.get(),
            run_knowledge::not_run);
    }
    std::function<void(const task_id&)> advance_to_now = [fleet = fleet_](const task_id& task) {
        fleet->advance_to_now(task);
    };
    auto work = target->start(std::move(call), std::move(advance_to_now));
    co_return co_await run_with_deadline(context_, std::move(work), upstream.upstream, deadline);
}

awaitable<absl::StatusOr<task_state>> memory_transport::renew(upstream_record upstream, task_attempt attempt,
                                                              std::int64_t lease_deadline_ms,
                                                              time_point deadline) {
    const auto target = fleet_->find(upstream.upstream);
    if (!target) {
        co_return make_unknown_upstream_error(upstream);
    }
    auto work = target->renew(attempt.task, attempt.generation, lease_deadline_ms);
    co_return co_await run_with_deadline(context_, std::move(work), upstream.upstream, deadline);
}

awaitable<absl::StatusOr<std::string>> memory_transport::checkpoint(upstream_record upstream,
                                                                    task_attempt attempt,
                                                                    time_point deadline) {
    const auto target = fleet_->find(upstream.upstream);
    if (!target) {
        co_return make_unknown_upstream_error(upstream);
    }
    auto work = target->checkpoint(attempt.task, attempt.generation);
    co_return co_await run_with_deadline(context_, std::move(work), upstream.upstream, deadline);
}

awaitable<absl::StatusOr<task_state>> memory_transport::throttle(upstream_record upstream,
                                                                 task_attempt attempt, std::int64_t percent,
                                                                 time_point deadline) {
    const auto target = fleet_->find(upstream.upstream);
    if (!target) {
        co_return make_unknown_upstream_error(upstream);
    }
    auto work = target->throttle(attempt.task, attempt.generation, percent);
    co_return co_await run_with_deadline(context_, std::move(work), upstream.upstream, deadline);
}

awaitable<absl::StatusOr<stop_result>> memory_transport::stop(upstream_record upstream, task_attempt attempt,
                                                              time_point deadline) {
    const auto target = fleet_->find(upstream.upstream);
    if (!target) {
        co_return make_unknown_upstream_error(upstream);
    }
    auto work = target->stop(attempt.task, attempt.generation);
    co_return co_await run_with_deadline(context_, std::move(work), upstream.upstream, deadline);
}

awaitable<absl::StatusOr<usage_response>> memory_transport::get_usage(upstream_record upstream,
                                                                      time_point deadline) {
    const auto target = fleet_->find(upstream.upstream);
    if (!target) {
        co_return make_unknown_upstream_error(upstream);
    }
    auto work = target->get_usage();
    co_return co_await run_with_deadline(context_, std::move(work), upstream.upstream, deadline);
}

awaitable<absl::StatusOr<upstream_list>> upstream_client::list(upstream_record upstream,
                                                               time_point deadline) {
    return std::visit([&](const auto& transport) { return transport->list(std::move(upstream), deadline); },
                      backend_);
}

awaitable<absl::StatusOr<start_result>> upstream_client::start(upstream_record upstream, start_call call,
                                                               time_point deadline, time_point write_before) {
    return std::visit(
        [&](const auto& transport) {
            return transport->start(std::move(upstream), std::move(call), deadline, write_before);
        },
        backend_);
}

awaitable<absl::StatusOr<task_state>> upstream_client::renew(upstream_record upstream, task_attempt attempt,
                                                             std::int64_t lease_deadline_ms,
                                                             time_point deadline) {
    return std::visit(
        [&](const auto& transport) {
            return transport->renew(std::move(upstream), std::move(attempt), lease_deadline_ms, deadline);
        },
        backend_);
}

awaitable<absl::StatusOr<std::string>> upstream_client::checkpoint(upstream_record upstream,
                                                                   task_attempt attempt,
                                                                   time_point deadline) {
    return std::visit(
        [&](const auto& transport) {
            return transport->checkpoint(std::move(upstream), std::move(attempt), deadline);
        },
        backend_);
}

awaitable<absl::StatusOr<task_state>> upstream_client::throttle(upstream_record upstream,
                                                                task_attempt attempt, std::int64_t percent,
                                                                time_point deadline) {
    return std::visit(
        [&](const auto& transport) {
            return transport->throttle(std::move(upstream), std::move(attempt), percent, deadline);
        },
        backend_);
}

awaitable<absl::StatusOr<stop_result>> upstream_client::stop(upstream_record upstream, task_attempt attempt,
                                                             time_point deadline) {
    return std::visit(
        [&](const auto& transport) {
            return transport->stop(std::move(upstream), std::move(attempt), deadline);
        },
        backend_);
}

awaitable<absl::StatusOr<usage_response>> upstream_client::get_usage(upstream_record upstream,
                                                                     time_point deadline) {
    return std::visit(
        [&](const auto& transport) { return transport->get_usage(std::move(upstream), deadline); }, backend_);
}

}  // namespace jacinthvane
