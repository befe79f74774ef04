#include "request/peer_handler.hpp"

#include <chrono>
#include <mutex>
#include <utility>
#include <variant>

#include "connection/async_signal.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds query_timeout{5000};
// The owner of a job's shard records a generation before it sends the start order. Reserved capacity that is
// not used within this time is released.
constexpr std::chrono::milliseconds reservation_timeout{6000};

time_point get_query_deadline() {
    return std::chrono::steady_clock::now() + query_timeout;
}

template <typename Reply>
peer_reply to_reply(const absl::StatusOr<Reply>& result) {
    if (!result.ok()) {
        return make_error_reply(result.status());
    }
    return *result;
}

peer_reply to_reply(const absl::Status& status) {
    if (!status.ok()) {
        return make_error_reply(status);
    }
    return accepted_reply{};
}

task_reply make_reply(const task_start& start, const upstream_id& upstream, work_state state) {
    task_reply reply;
    reply.upstream = upstream;
    reply.task = start.spec.task;
    reply.generation = start.generation;
    reply.state = state;
    return reply;
}

}  // namespace

// Requests are passed by value, because a coroutine outlives the message that started it.
struct peer_handler::visitor {
    peer_handler& self;

    awaitable<peer_reply> operator()(dispatch_request request) const {
        const auto result = co_await self.requests_.run_for_peer(request);
        if (!result.ok()) {
            co_return make_error_reply(result.status());
        }
        co_return dispatch_reply{.answer = *result, .upstream = {}};
    }

    awaitable<peer_reply> operator()(claim_key_request request) const {
        const auto result = co_await self.requests_.claim_for_peer(request);
        co_return to_reply(result);
    }

    awaitable<peer_reply> operator()(settle_key_request request) const {
        const auto status = co_await self.requests_.settle_for_peer(request);
        co_return to_reply(status);
    }

    awaitable<peer_reply> operator()(submit_job_request request) const {
        const auto result = co_await self.jobs_.submit_for_peer(request);
        co_return to_reply(result);
    }

    awaitable<peer_reply> operator()(query_job_request request) const {
        const auto result = co_await self.jobs_.query_for_peer(request, get_query_deadline());
        co_return to_reply(result);
    }

    awaitable<peer_reply> operator()(cancel_job_request request) const {
        const auto result = co_await self.jobs_.cancel_for_peer(request, get_query_deadline());
        co_return to_reply(result);
    }

    awaitable<peer_reply> operator()(reserve_task_request request) const {
        const auto upstream = self.capacity_->reserve_batch(request.start);
        if (!upstream.ok()) {
            co_return make_error_reply(upstream.status());
        }
        {
            std::lock_guard lock(self.mutex_);
            self.reservations_.insert({request.start.spec.task, request.start.generation});
        }
        spawn_task(self.context_, "expire_reservation", self.expire_reservation(request.start, *upstream));
        co_return make_reply(request.start, *upstream, work_state::queued);
    }

    awaitable<peer_reply> operator()(start_task_request request) const {
        if (!self.take_reservation(request.start)) {
            co_return make_error_reply(make_error(error_kind::no_capacity,
                                                  "the reservation for generation " +
                                                      std::to_string(request.start.generation) + " of task " +
                                                      request.start.spec.task.get() + " has expired"));
        }
        const auto status = co_await self.capacity_->start_reserved(request.start, request.upstream);
        if (!status.ok()) {
            co_return make_error_reply(status);
        }
        co_return make_reply(request.start, request.upstream, work_state::running);
    }

    awaitable<peer_reply> operator()(stop_task_request request) const {
        const auto result = co_await self.locator_.stop(request);
        co_return to_reply(result);
    }

    awaitable<peer_reply> operator()(checkpoint_task_request request) const {
        const auto checkpoint = co_await self.capacity_->checkpoint(request.task);
        if (!checkpoint.ok()) {
            co_return make_error_reply(checkpoint.status());
        }
        task_reply reply;
        reply.upstream = request.upstream;
        reply.task = request.task;
        reply.generation = request.generation;
        reply.state = work_state::checkpointed;
        reply.checkpoint = *checkpoint;
        co_return reply;
    }

    awaitable<peer_reply> operator()(query_task_request request) const {
        const auto result = co_await self.locator_.query(request);
        co_return to_reply(result);
    }

    awaitable<peer_reply> operator()(task_report_request request) const {
        const auto status = co_await self.jobs_.accept_report(request);
        co_return to_reply(status);
    }

    awaitable<peer_reply> operator()(fetch_config_request request) const {
        co_return self.hooks_.fetch_config(request);
    }

    awaitable<peer_reply> operator()(announce_leaving_request request) const {
        self.hooks_.record_leaving(request);
        co_return accepted_reply{};
    }
};

peer_handler::peer_handler(asio::io_context& context, request_service& requests, job_service& jobs,
                           task_locator& locator, std::shared_ptr<capacity_service> capacity, hooks given)
    : context_(context),
      requests_(requests),
      jobs_(jobs),
      locator_(locator),
      capacity_(std::move(capacity)),
      hooks_(std::move(given)) {}

awaitable<void> peer_handler::expire_reservation(task_start start, upstream_id upstream) {
    co_await wait_until(std::chrono::steady_clock::now() + reservation_timeout);
    if (take_reservation(start)) {
        capacity_->cancel_reservation(start.spec.task, start.generation, upstream);
    }
}

bool peer_handler::take_reservation(const task_start& start) {
    std::lock_guard lock(mutex_);
    return reservations_.erase({start.spec.task, start.generation}) > 0;
}

awaitable<peer_reply> peer_handler::handle(peer_request request) {
    co_return co_await std::visit(visitor{*this}, std::move(request));
}

}  // namespace jacinthvane
