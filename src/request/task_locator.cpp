#include "request/task_locator.hpp"

#include <chrono>
#include <utility>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::uint32_t max_hops = 2;
constexpr std::chrono::milliseconds forward_timeout{6000};

struct attempt_visitor {
    task_reply reply;
    time_point now;

    task_reply operator()(const attempt_running& known_state) {
        return with(work_state::running, known_state.checkpoint);
    }
    task_reply operator()(const attempt_finished&) { return with(work_state::finished, std::nullopt); }
    task_reply operator()(const attempt_failed&) { return with(work_state::failed, std::nullopt); }
    task_reply operator()(const attempt_stopped& known_state) {
        return with(work_state::stopped, known_state.checkpoint);
    }
    task_reply operator()(const attempt_absent&) { return with(work_state::lost, std::nullopt); }
    task_reply operator()(const attempt_unreachable& known_state) {
        return with(now > known_state.lease_until ? work_state::lost : work_state::unknown, std::nullopt);
    }
    task_reply operator()(const attempt_not_owned&) { return with(work_state::unknown, std::nullopt); }

    task_reply with(work_state state, const std::optional<std::string>& checkpoint) {
        reply.state = state;
        reply.checkpoint = checkpoint;
        return reply;
    }
};

work_state to_work_state(const std::optional<task_state>& state) {
    if (!state) {
        return work_state::lost;
    }
    switch (*state) {
        case task_state::finished:
            return work_state::finished;
        case task_state::failed:
            return work_state::failed;
        default:
            return work_state::stopped;
    }
}

}  // namespace

task_reply make_task_reply(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                           const attempt_state& known_state, time_point now) {
    task_reply reply;
    reply.upstream = upstream;
    reply.task = task;
    reply.generation = generation;
    return std::visit(attempt_visitor{reply, now}, known_state);
}

task_locator::task_locator(std::shared_ptr<capacity_service> capacity, locator_hooks hooks)
    : capacity_(std::move(capacity)), hooks_(std::move(hooks)) {}

awaitable<absl::StatusOr<task_reply>> task_locator::query(query_task_request request) {
    if (is_owned_here(request.upstream)) {
        const auto known_state =
            co_await capacity_->query_attempt(request.upstream, request.task, request.generation);
        if (!std::holds_alternative<attempt_not_owned>(known_state)) {
            co_return make_task_reply(request.upstream, request.task, request.generation, known_state,
                                      std::chrono::steady_clock::now());
        }
    }
    const auto hops = request.hops++;
    const peer_request message = request;
    co_return co_await forward_to_peers(request.upstream, hops, message);
}

awaitable<absl::StatusOr<task_reply>> task_locator::stop(stop_task_request request) {
    if (is_owned_here(request.upstream)) {
        co_return co_await stop_here(request);
    }
    const auto hops = request.hops++;
    const peer_request message = request;
    co_return co_await forward_to_peers(request.upstream, hops, message);
}

awaitable<absl::StatusOr<task_reply>> task_locator::stop_here(stop_task_request request) {
    const auto stopped = co_await capacity_->stop(request.task);
    if (!stopped.ok() && get_error_kind(stopped.status()) == error_kind::not_found) {
        // This process has no capacity committed to the task; the upstream knows whether it has run.
        const auto known_state =
            co_await capacity_->query_attempt(request.upstream, request.task, request.generation);
        co_return make_task_reply(request.upstream, request.task, request.generation, known_state,
                                  std::chrono::steady_clock::now());
    }
    if (!stopped.ok()) {
        co_return stopped.status();
    }
    task_reply reply;
    reply.upstream = request.upstream;
    reply.task = request.task;
    reply.generation = request.generation;
    reply.state = to_work_state(stopped->final_state);
    reply.checkpoint = stopped->checkpoint;
    co_return reply;
}

awaitable<absl::StatusOr<task_reply>> task_locator::forward_to_peers(upstream_id upstream, std::uint32_t hops,
                                                                     peer_request request) {
    absl::Status last =
        make_error(error_kind::not_found, "no live process reports that it owns " + upstream.get());
    if (hops >= max_hops) {
        co_return last;
    }
    for (const auto& address : get_targets(upstream)) {
        const auto deadline = std::chrono::steady_clock::now() + forward_timeout;
        const auto reply = co_await hooks_.call_peer(address, request, deadline);
        if (!reply.ok()) {
            last = reply.status();
            continue;
        }
        if (const auto* response = std::get_if<task_reply>(&*reply)) {
            co_return *response;
        }
        if (const auto* error = std::get_if<error_reply>(&*reply)) {
            last = to_status(*error);
        }
    }
    co_return last;
}

std::vector<std::string> task_locator::get_targets(const upstream_id& upstream) const {
    if (const auto owner = capacity_->find_owner(upstream)) {
        const auto address = *owner == hooks_.self ? std::string() : hooks_.find_address(*owner);
        return address.empty() ? std::vector<std::string>{} : std::vector<std::string>{address};
    }
    for (const auto& vm : capacity_->get_vms()) {
        if (vm.vm.get() == upstream.get()) {
            return hooks_.get_addresses(vm.failure_domain);
        }
    }
    return {};
}

bool task_locator::is_owned_here(const upstream_id& upstream) const {
    const auto owner = capacity_->find_owner(upstream);
    return owner && *owner == hooks_.self;
}

}  // namespace jacinthvane
