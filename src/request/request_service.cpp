#include "request/request_service.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// Room on other processes becomes known only by sending them a request, so a waiting request is retried at
// this interval.
constexpr std::chrono::milliseconds remote_retry_interval{50};
constexpr std::chrono::milliseconds settle_timeout{10'000};
constexpr std::chrono::milliseconds settle_retry_delay{200};
constexpr std::chrono::milliseconds repeat_retry_delay{20};

std::chrono::steady_clock::time_point now() {
    return std::chrono::steady_clock::now();
}

// Whether the task may be sent to another upstream or process after this refusal.
bool is_refused_for_room(const absl::Status& status) {
    if (get_run_knowledge(status) != run_knowledge::not_run) {
        return false;
    }
    switch (get_error_kind(status)) {
        case error_kind::no_capacity:
        case error_kind::upstream_leaving:
        case error_kind::upstream_too_late:
        case error_kind::upstream_unreachable:
        case error_kind::call_delayed:
        case error_kind::peer_unreachable:
        case error_kind::shutting_down:
        case error_kind::overloaded:
        case error_kind::not_ready:
            return true;
        default:
            return false;
    }
}

key_settled make_settlement(const caller_request& request, const process_id& claimant,
                            std::uint64_t claim_number, std::uint64_t generation,
                            const absl::StatusOr<task_response>& result) {
    key_settled settlement;
    settlement.team = request.spec.team;
    settlement.key = *request.key;
    settlement.claimant = claimant;
    settlement.claim_number = claim_number;
    settlement.generation = generation;
    settlement.run = result.ok() ? run_knowledge::ran : get_run_knowledge(result.status());
    if (result.ok()) {
        settlement.answer = {.status = result->status,
                             .content_type = result->content_type,
                             .body = result->body,
                             .is_kept = true};
    } else {
        settlement.answer = {.status = get_error_mapping(get_error_kind(result.status())).http_status,
                             .content_type = "text/plain",
                             .body = std::string(result.status().message()),
                             .is_kept = true};
    }
    return settlement;
}

claim_key_reply make_settled_reply(const key_settled_response& settled) {
    claim_key_reply reply;
    reply.outcome = claim_outcome::settled;
    reply.run = settled.run;
    if (settled.answer.is_kept) {
        reply.answer = task_response{.task = {},
                                     .status = settled.answer.status,
                                     .content_type = settled.answer.content_type,
                                     .body = settled.answer.body};
    }
    return reply;
}

absl::StatusOr<task_response> respond_to_repeat(const claim_key_reply& settled) {
    if (settled.run != run_knowledge::ran) {
        return make_error(error_kind::duplicate_in_progress,
                          "the request with this key was started before and its outcome is unknown");
    }
    if (!settled.answer) {
        return make_error(error_kind::answer_not_kept,
                          "the request with this key ran; its response was too large to keep");
    }
    return *settled.answer;
}

}  // namespace

request_service::request_service(asio::io_context& context, shard_service& shards, process_hooks hooks,
                                 request_options options)
    : context_(context),
      shards_(shards),
      hooks_(std::move(hooks)),
      options_(options),
      queue_(options.admission),
      retry_(options.retry),
      random_(options.seed) {}

void request_service::start() {
    spawn_task(context_, "call_waiting_requests", call_waiting_requests());
}

void request_service::stop() {
    is_stopped_ = true;
    capacity_changed_.notify_all();
}

awaitable<absl::StatusOr<task_response>> request_service::handle(caller_request request) {
    ++counters_.accepted;
    reach(hooks_.observer, work_step::accept);
    if (!hooks_.would_ever_fit(request.spec.size)) {
        ++counters_.refused;
        co_return make_error(error_kind::never_fits,
                             "no upstream is large enough for " + request.spec.size.to_string());
    }
    absl::StatusOr<task_response> result;
    if (request.key && !request.spec.is_idempotent) {
        result = co_await run_once(request);
    } else {
        task_start start;
        start.spec = request.spec;
        start.deadline = request.deadline;
        result = co_await run_with_retries(start, std::nullopt);
    }
    reach(hooks_.observer, work_step::answer);
    if (result.ok()) {
        ++counters_.answered;
    } else {
        ++counters_.refused;
        counters_.unknown_outcomes +=
            get_run_knowledge(result.status()) == run_knowledge::may_have_run ? 1 : 0;
    }
    co_return result;
}

awaitable<absl::StatusOr<task_response>> request_service::run_for_peer(dispatch_request request) {
    co_return co_await hooks_.run_urgent(request.start);
}

awaitable<absl::StatusOr<task_response>> request_service::run_once(caller_request request) {
    const key_name name{request.spec.team, *request.key};
    while (now() < request.deadline) {
        const auto seen = claim_settled_.get_count();
        // Holds the key in this process until the claim is settled, so that a repeated request that arrives
        // meanwhile waits.
        if (!try_hold_claim(name)) {
            co_await claim_settled_.wait(seen, request.deadline);
            continue;
        }
        ++counters_.claims;
        const auto claimed = co_await claim(request);
        if (!claimed.ok() && get_run_knowledge(claimed.status()) != run_knowledge::not_run) {
            // Nothing was dispatched, but the claim may have become durable and would block repeats.
            ++counters_.claims_abandoned;
            spawn_task(context_, "abandon_claim", abandon_claim(name, now() + settle_timeout));
            co_return make_error(error_kind::store_unavailable,
                                 "the key could not be claimed: " + std::string(claimed.status().message()));
        }
        if (claimed.ok() && claimed->outcome == claim_outcome::granted) {
            co_return co_await run_claimed(request, held_claim{claimed->claim_number, claimed->generation});
        }
        release_claim(name);
        if (!claimed.ok()) {
            co_return claimed.status();
        }
        if (claimed->outcome == claim_outcome::claimant_not_live) {
            co_return make_error(error_kind::duplicate_in_progress,
                                 "the process that started the request with this key is no longer live");
        }
        if (claimed->outcome == claim_outcome::settled && claimed->run != run_knowledge::not_run) {
            ++counters_.repeats_answered;
            co_return respond_to_repeat(*claimed);
        }
        co_await wait_until(std::min(request.deadline, now() + repeat_retry_delay));
    }
    co_return make_error(error_kind::duplicate_in_progress,
                         "the request with this key is still running for another caller");
}

bool request_service::try_hold_claim(const key_name& name) {
    std::lock_guard lock(mutex_);
    return claims_.try_emplace(name).second;
}

void request_service::release_claim(const key_name& name) {
    {
        std::lock_guard lock(mutex_);
        claims_.erase(name);
    }
    claim_settled_.notify_all();
}

awaitable<absl::StatusOr<task_response>> request_service::run_claimed(caller_request request,
                                                                      held_claim claim) {
    const key_name name{request.spec.team, *request.key};
    {
        std::lock_guard lock(mutex_);
        claims_[name] = claim;
    }
    reach(hooks_.observer, work_step::record);
    task_start start;
    start.spec = request.spec;
    start.generation = claim.generation;
    start.deadline = request.deadline;
    auto result = co_await run_with_retries(start, request.key);
    const auto settlement =
        make_settlement(request, hooks_.self, claim.claim_number, claim.generation, result);
    spawn_task(context_, "settle_until_durable", settle_until_durable(settlement));
    co_return result;
}

awaitable<absl::StatusOr<claim_key_reply>> request_service::claim(const caller_request& request) {
    claim_key_request call;
    call.shard = static_cast<std::uint32_t>(shards_.get_shard(request.spec.team, *request.key));
    call.team = request.spec.team;
    call.key = *request.key;
    call.digest = request.digest;
    call.claimant = hooks_.self;
    call.deadline = request.deadline;
    const auto owner = hooks_.find_remote_shard_owner(call.shard);
    if (!owner) {
        co_return co_await claim_for_peer(call);
    }
    const peer_request message = call;
    const auto reply = co_await hooks_.call_peer(owner->peer_address, message, request.deadline);
    if (!reply.ok()) {
        if (get_run_knowledge(reply.status()) == run_knowledge::not_run) {
            // The owner of the shard is unreachable. The journal decides between claims, so this process may
            // write the claim itself.
            co_return co_await claim_for_peer(call);
        }
        co_return reply.status();
    }
    if (const auto* claimed = std::get_if<claim_key_reply>(&*reply)) {
        co_return *claimed;
    }
    if (const auto* error = std::get_if<error_reply>(&*reply)) {
        co_return to_status(*error);
    }
    co_return make_error(error_kind::internal,
                         "the owner of the shard responded with a message of another type");
}

awaitable<absl::StatusOr<claim_key_reply>> request_service::claim_for_peer(claim_key_request request) {
    const auto result = co_await shards_.claim_key(request.team, request.key, request.digest,
                                                   request.claimant, request.deadline);
    if (!result.ok()) {
        co_return result.status();
    }
    claim_key_reply reply;
    if (const auto* granted = std::get_if<key_granted>(&*result)) {
        reply.outcome = claim_outcome::granted;
        reply.claim_number = granted->claim_number;
        reply.generation = granted->generation;
        co_return reply;
    }
    if (const auto* settled = std::get_if<key_settled_response>(&*result)) {
        co_return make_settled_reply(*settled);
    }
    const auto& in_progress = std::get<key_in_progress>(*result);
    reply.claim_number = in_progress.claim_number;
    reply.generation = in_progress.generation;
    if (in_progress.claimant != hooks_.self && !hooks_.is_live(in_progress.claimant)) {
        reply.outcome = claim_outcome::claimant_not_live;
        co_return reply;
    }
    const auto wait_deadline = std::min(request.deadline, now() + options_.settlement_wait);
    const auto entry = co_await shards_.wait_for_settlement(request.team, request.key, wait_deadline);
    if (entry.ok() && (*entry)->state == key_state::settled) {
        co_return make_settled_reply(key_settled_response{(*entry)->run, (*entry)->answer});
    }
    reply.outcome = claim_outcome::in_progress;
    co_return reply;
}

awaitable<absl::Status> request_service::settle_for_peer(settle_key_request request) {
    key_settled settlement;
    settlement.team = request.team;
    settlement.key = request.key;
    settlement.claimant = request.claimant;
    settlement.claim_number = request.claim_number;
    settlement.generation = request.generation;
    settlement.run = request.run;
    if (request.answer) {
        settlement.answer = {.status = request.answer->status,
                             .content_type = request.answer->content_type,
                             .body = request.answer->body,
                             .is_kept = true};
    } else {
        settlement.answer.is_kept = false;
    }
    co_return co_await shards_.settle_key(settlement, now() + settle_timeout);
}

awaitable<void> request_service::abandon_claim(key_name name, time_point deadline) {
    const auto shard = shards_.get_shard(name.first, name.second);
    while (now() < deadline && !is_stopped_) {
        const auto refreshed = co_await shards_.refresh(shard, deadline);
        if (refreshed.ok()) {
            // With a deadline of now, the call returns an unsettled entry without a wait.
            const auto entry = co_await shards_.wait_for_settlement(name.first, name.second, now());
            const bool is_claimed_here = entry.ok() && (*entry)->state == key_state::claimed &&
                                         (*entry)->claim.claimant == hooks_.self;
            if (is_claimed_here) {
                key_settled settlement;
                settlement.team = name.first;
                settlement.key = name.second;
                settlement.claimant = hooks_.self;
                settlement.claim_number = (*entry)->claim.claim_number;
                settlement.generation = (*entry)->claim.generation;
                settlement.run = run_knowledge::not_run;
                co_await settle_until_durable(settlement);
                co_return;
            }
            break;
        }
        co_await wait_until(now() + settle_retry_delay);
    }
    release_claim(name);
}

awaitable<void> request_service::settle_until_durable(key_settled settlement) {
    const key_name name{settlement.team, settlement.key};
    while (true) {
        const auto shard = shards_.get_shard(settlement.team, settlement.key);
        const auto owner = hooks_.find_remote_shard_owner(shard);
        absl::Status status;
        if (owner) {
            settle_key_request call;
            call.shard = static_cast<std::uint32_t>(shard);
            call.team = settlement.team;
            call.key = settlement.key;
            call.claim_number = settlement.claim_number;
            call.generation = settlement.generation;
            call.claimant = settlement.claimant;
            call.run = settlement.run;
            if (settlement.answer.is_kept) {
                call.answer = task_response{.task = {},
                                            .status = settlement.answer.status,
                                            .content_type = settlement.answer.content_type,
                                            .body = settlement.answer.body};
            }
            const peer_request message = call;
            const auto reply =
                co_await hooks_.call_peer(owner->peer_address, message, now() + settle_timeout);
            const bool is_accepted = reply.ok() && std::holds_alternative<accepted_reply>(*reply);
            status = is_accepted ? absl::OkStatus()
                                 : co_await shards_.settle_key(settlement, now() + settle_timeout);
        } else {
            status = co_await shards_.settle_key(settlement, now() + settle_timeout);
        }
        const auto kind = get_error_kind(status);
        // The journal is authoritative: it refuses a settlement if the key was settled or claimed otherwise.
        if (status.ok() || kind == error_kind::version_conflict || kind == error_kind::not_found ||
            is_stopped_) {
            break;
        }
        co_await wait_until(now() + settle_retry_delay);
    }
    release_claim(name);
}

awaitable<absl::StatusOr<task_response>> request_service::run_with_retries(
    task_start start, std::optional<idempotency_key> key) {
    {
        std::lock_guard lock(mutex_);
        retry_.record_request();
    }
    int attempts = 0;
    while (true) {
        ++attempts;
        auto result = co_await run_anywhere(start, key);
        if (result.ok()) {
            co_return result;
        }
        failed_attempt failure;
        failure.error = get_error_kind(result.status());
        failure.run = get_run_knowledge(result.status());
        failure.is_idempotent = start.spec.is_idempotent;
        failure.attempts = attempts;
        failure.deadline = start.deadline;
        retry_decision decision;
        {
            std::lock_guard lock(mutex_);
            decision = retry_.decide(failure, now());
        }
        const auto* attempt = std::get_if<retry_attempt>(&decision);
        if (attempt == nullptr) {
            co_return result;
        }
        ++counters_.retried;
        co_await wait_until(attempt->not_before);
        // A retry of an idempotent task is a new generation, so that upstreams can distinguish it from an
        // earlier attempt that may still run.
        start.generation += start.spec.is_idempotent ? 1 : 0;
    }
}

awaitable<absl::StatusOr<task_response>> request_service::run_anywhere(task_start start,
                                                                       std::optional<idempotency_key> key) {
    while (true) {
        reach(hooks_.observer, work_step::choose);
        auto result = co_await hooks_.run_urgent(start);
        if (result.ok() || !is_refused_for_room(result.status())) {
            co_return result;
        }
        std::vector<route_target> routes;
        const auto peers = hooks_.get_peers();
        {
            std::lock_guard lock(mutex_);
            routes = order_routes(hooks_.place, peers, start.spec.size, options_.routing, random_);
        }
        dispatch_request forwarded_request;
        forwarded_request.start = start;
        forwarded_request.hops = 1;
        forwarded_request.key = key;
        for (const auto& target : routes) {
            if (now() >= start.deadline) {
                break;
            }
            const auto peer_result = co_await run_on_peer(target, forwarded_request);
            if (peer_result.ok() || !is_refused_for_room(peer_result.status())) {
                co_return peer_result;
            }
        }
        const auto waited = co_await wait_in_queue(start);
        if (!waited.ok()) {
            co_return waited;
        }
    }
}

awaitable<absl::StatusOr<task_response>> request_service::run_on_peer(const route_target& target,
                                                                      const dispatch_request& request) {
    ++counters_.forwarded;
    if (get_distance(hooks_.place, target.place) == distance::other_region) {
        ++counters_.forwarded_across_regions;
    }
    dispatch_request call = request;
    {
        std::lock_guard lock(mutex_);
        const auto delay = get_distance(hooks_.place, target.place) == distance::other_region
                               ? std::chrono::milliseconds(12)
                               : std::chrono::milliseconds(1);
        call.start.deadline = retry_.shrink_deadline(request.start.deadline, now(), delay);
    }
    const auto deadline = request.start.deadline;
    const peer_request message = call;
    const auto reply = co_await hooks_.call_peer(target.peer_address, message, deadline);
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (const auto* dispatched = std::get_if<dispatch_reply>(&*reply)) {
        co_return dispatched->answer;
    }
    if (const auto* error = std::get_if<error_reply>(&*reply)) {
        co_return to_status(*error);
    }
    co_return make_error(error_kind::internal, "the peer responded with a message of another type");
}

awaitable<absl::Status> request_service::wait_in_queue(const task_start& start) {
    const auto ticket = std::make_shared<waiting_ticket>();
    waiting_request waiting;
    waiting.team = start.spec.team;
    waiting.work_class = start.spec.work_class;
    waiting.size = start.spec.size;
    waiting.enqueued_at = now();
    waiting.deadline = start.deadline;
    std::vector<waiting_request> shed;
    {
        std::lock_guard lock(mutex_);
        waiting.ticket = ++last_ticket_;
        const auto decision = queue_.offer(waiting, now());
        if (const auto* refusal = std::get_if<admission_refusal>(&decision)) {
            co_return make_error(refusal->kind,
                                 "no upstream has room and the queue cannot take the request; retry in " +
                                     std::to_string(refusal->retry_after.count()) + " ms");
        }
        shed = std::get<admission_grant>(decision).shed;
        tickets_[waiting.ticket] = ticket;
    }
    ++counters_.queued;
    refuse_waiting(shed, error_kind::overloaded);
    while (true) {
        const auto seen = ticket->signal.get_count();
        {
            std::lock_guard lock(mutex_);
            if (ticket->refusal) {
                co_return *ticket->refusal;
            }
            if (ticket->is_admitted) {
                co_return absl::OkStatus();
            }
        }
        if (!co_await ticket->signal.wait(seen, start.deadline)) {
            std::lock_guard lock(mutex_);
            queue_.cancel(waiting.ticket);
            tickets_.erase(waiting.ticket);
            co_return make_error(error_kind::deadline_unreachable,
                                 "no upstream had room before the deadline");
        }
    }
}

awaitable<void> request_service::call_waiting_requests() {
    while (!is_stopped_) {
        const auto seen = capacity_changed_.get_count();
        std::vector<waiting_request> expired;
        std::vector<std::shared_ptr<waiting_ticket>> admitted;
        {
            std::lock_guard lock(mutex_);
            const auto count = std::max<std::uint64_t>(1, freed_slots_);
            freed_slots_ = 0;
            for (std::uint64_t i = 0; i < count; ++i) {
                const auto next = queue_.take_next(now(), [](const waiting_request&) { return true; });
                if (!next) {
                    break;
                }
                if (const auto found = tickets_.find(next->ticket); found != tickets_.end()) {
                    found->second->is_admitted = true;
                    admitted.push_back(found->second);
                    tickets_.erase(found);
                }
            }
            expired = queue_.remove_expired(now());
        }
        for (const auto& ticket : admitted) {
            ticket->signal.notify_all();
        }
        refuse_waiting(expired, error_kind::deadline_unreachable);
        co_await capacity_changed_.wait(seen, now() + remote_retry_interval);
    }
}

void request_service::refuse_waiting(const std::vector<waiting_request>& requests, error_kind kind) {
    for (const auto& request : requests) {
        std::shared_ptr<waiting_ticket> ticket;
        {
            std::lock_guard lock(mutex_);
            const auto found = tickets_.find(request.ticket);
            if (found == tickets_.end()) {
                continue;
            }
            ticket = found->second;
            ticket->refusal = make_error(kind, "the request left the queue before an upstream had room");
            tickets_.erase(found);
        }
        ticket->signal.notify_all();
    }
}

void request_service::notify_capacity() {
    {
        std::lock_guard lock(mutex_);
        ++freed_slots_;
    }
    capacity_changed_.notify_all();
}

awaitable<bool> request_service::drain(time_point deadline) {
    while (true) {
        const auto seen = claim_settled_.get_count();
        if (get_open_claims() == 0) {
            co_return true;
        }
        if (!co_await claim_settled_.wait(seen, deadline)) {
            co_return get_open_claims() == 0;
        }
    }
}

std::size_t request_service::get_queue_length(task_class work_class) const {
    std::lock_guard lock(mutex_);
    return queue_.get_count(work_class);
}

std::size_t request_service::get_open_claims() const {
    std::lock_guard lock(mutex_);
    return claims_.size();
}

}  // namespace jacinthvane
