#include "request/capacity_service.hpp"

#include <algorithm>
#include <mutex>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// Several threads can choose the same upstream at once. A task is refused after losing the race for the
// remaining capacity this many times.
constexpr int max_choices = 4;

// Returns the declared size with at least one slot, because every task occupies a slot.
resource_vector get_task_size(const task_spec& spec) {
    const auto& size = spec.size;
    return {size.get_processors_milli(), size.get_memory_mb(), size.get_accelerators(),
            std::max<std::int64_t>(1, size.get_slots())};
}

}  // namespace

capacity_service::capacity_service(asio::io_context& context, const capacity_settings& settings,
                                   store_client store, vm_list_client vm_list, upstream_client upstreams,
                                   capacity_callbacks callbacks, upstream_chooser chooser)
    : context_(context),
      settings_(settings),
      store_(std::move(store)),
      vm_list_(std::move(vm_list)),
      upstreams_(std::move(upstreams)),
      callbacks_(std::move(callbacks)),
      chooser_(std::move(chooser)),
      ledger_(settings.random_seed),
      list_limiter_(settings.max_concurrent_lists),
      renewal_limiter_(settings.max_concurrent_renewals),
      stop_limiter_(settings.max_concurrent_stops),
      tenure_(settings.term),
      random_(settings.random_seed) {}

void capacity_service::start() {
    spawn_task(context_, "keep_vm_list", keep_vm_list());
    spawn_task(context_, "keep_term", keep_term());
    spawn_task(context_, "keep_ownership", keep_ownership());
    spawn_task(context_, "watch_ownership", watch_ownership());
    spawn_task(context_, "watch_upstreams", watch_upstreams());
}

void capacity_service::stop_loops() {
    is_stopping_ = true;
    stopping_.notify_all();
}

awaitable<absl::StatusOr<task_response>> capacity_service::run_urgent(task_start start) {
    const auto self = shared_from_this();
    absl::Status last =
        make_error(error_kind::no_capacity, "no owned upstream has room for task " + start.spec.task.get());
    for (int attempt = 0; attempt < max_choices; ++attempt) {
        const auto upstream = reserve(start, std::chrono::steady_clock::now());
        if (!upstream.ok()) {
            co_return attempt == 0 ? upstream.status() : last;
        }
        auto result = co_await send(start, *upstream, true);
        if (result.ok()) {
            co_return std::get<task_response>(*std::move(result));
        }
        last = result.status();
        // Only a leaving upstream is retried here. All other retries count against the caller's retry budget.
        if (get_error_kind(last) != error_kind::upstream_leaving) {
            break;
        }
    }
    co_return last;
}

awaitable<absl::StatusOr<upstream_id>> capacity_service::start_batch(task_start start) {
    const auto self = shared_from_this();
    const auto upstream = reserve_batch(start);
    if (!upstream.ok()) {
        co_return upstream.status();
    }
    auto status = co_await start_reserved(std::move(start), *upstream);
    if (!status.ok()) {
        co_return status;
    }
    co_return *upstream;
}

absl::StatusOr<upstream_id> capacity_service::reserve_batch(const task_start& start) {
    return reserve(start, std::chrono::steady_clock::now());
}

awaitable<absl::Status> capacity_service::start_reserved(task_start start, upstream_id upstream) {
    const auto self = shared_from_this();
    const auto result = co_await send(std::move(start), std::move(upstream), false);
    co_return result.status();
}

void capacity_service::cancel_reservation(const task_id& task, std::uint64_t generation,
                                          const upstream_id& upstream) {
    const auto held = ledger_.get_commitment(upstream, task);
    if (held && held->generation == generation && held->state == commitment_state::reserved) {
        ledger_.release(upstream, task, generation).IgnoreError();
    }
}

awaitable<attempt_state> capacity_service::query_attempt(upstream_id upstream, task_id task,
                                                         std::uint64_t generation) {
    const auto self = shared_from_this();
    const auto held = ledger_.get_commitment(upstream, task);
    const bool is_start_open =
        held && held->generation == generation && held->state != commitment_state::confirmed;
    if (is_start_open) {
        co_await wait_until(held->start_until);
    }
    const auto owned = find_owned(upstream);
    if (!owned) {
        co_return attempt_state(attempt_not_owned{});
    }
    const auto called_at = std::chrono::steady_clock::now();
    const auto list = co_await refresh(owned);
    if (!list.ok()) {
        // Without a commitment here, the previous owner may have renewed the lease until it lost the
        // upstream.
        const auto lease_until = held ? held->lease_until
                                      : std::max(owned->owned_since, owned->list_sent_at) +
                                            settings_.task_lease + settings_.clock_error;
        bool is_reserved = false;
        {
            std::lock_guard lock(mutex_);
            const auto slice = held_.find(owned->slice);
            is_reserved = slice != held_.end() && slice->second.reserved_permille > 0;
        }
        // The holder of a reservation may continue to renew the lease.
        const auto renewed_until = called_at + settings_.task_lease + settings_.clock_error;
        co_return attempt_state(
            attempt_unreachable{is_reserved ? std::max(lease_until, renewed_until) : lease_until});
    }
    for (const auto& listed : list->tasks) {
        if (listed.task != task || listed.generation != generation) {
            continue;
        }
        switch (listed.state) {
            case task_state::running:
            case task_state::checkpointed:
                co_return attempt_state(attempt_running{listed.checkpoint});
            case task_state::finished:
                co_return attempt_state(attempt_finished{});
            case task_state::failed:
                co_return attempt_state(attempt_failed{});
            case task_state::stopped:
                co_return attempt_state(attempt_stopped{listed.checkpoint});
        }
    }
    co_return attempt_state(attempt_absent{});
}

awaitable<absl::StatusOr<std::string>> capacity_service::checkpoint(task_id task) {
    const auto self = shared_from_this();
    const auto upstream = ledger_.find_task(task);
    const auto owned = upstream ? find_owned(*upstream) : nullptr;
    const auto held = upstream ? ledger_.get_commitment(*upstream, task) : std::nullopt;
    if (!owned || !held) {
        co_return make_error(error_kind::not_found,
                             "task " + task.get() + " does not run on an owned upstream");
    }
    const task_attempt attempt{task, held->generation};
    const auto deadline = std::chrono::steady_clock::now() + settings_.call_timeout;
    co_return co_await upstreams_.checkpoint(owned->record, attempt, deadline);
}

awaitable<absl::StatusOr<stop_result>> capacity_service::stop(task_id task) {
    const auto self = shared_from_this();
    const auto permit = co_await stop_limiter_.acquire(time_point::max());
    const auto upstream = ledger_.find_task(task);
    const auto owned = upstream ? find_owned(*upstream) : nullptr;
    const auto held = upstream ? ledger_.get_commitment(*upstream, task) : std::nullopt;
    if (!owned || !held) {
        co_return make_error(error_kind::not_found,
                             "task " + task.get() + " does not run on an owned upstream");
    }
    const task_attempt attempt{task, held->generation};
    auto result = co_await upstreams_.stop(owned->record, attempt,
                                           std::chrono::steady_clock::now() + settings_.call_timeout);
    const bool is_start_open =
        held->state != commitment_state::confirmed && std::chrono::steady_clock::now() < held->start_until;
    if (result.ok() && !result->final_state && is_start_open) {
        // The start order may still be in flight and could take effect after the stop, so stop again once it
        // can no longer be accepted.
        co_await wait_until(held->start_until);
        result = co_await upstreams_.stop(owned->record, attempt,
                                          std::chrono::steady_clock::now() + settings_.call_timeout);
    }
    if (result.ok()) {
        ledger_.release(*upstream, task, held->generation).IgnoreError();
        if (callbacks_.on_room) {
            callbacks_.on_room();
        }
        changed_.notify_all();
    }
    co_return result;
}

awaitable<absl::Status> capacity_service::throttle(task_id task, std::int64_t percent) {
    const auto self = shared_from_this();
    if (percent < 1 || percent > 100) {
        co_return make_error(error_kind::bad_request,
                             "throttle percent " + std::to_string(percent) + " is not from 1 to 100");
    }
    const auto upstream = ledger_.find_task(task);
    const auto owned = upstream ? find_owned(*upstream) : nullptr;
    const auto held = upstream ? ledger_.get_commitment(*upstream, task) : std::nullopt;
    if (!owned || !held) {
        co_return make_error(error_kind::not_found,
                             "task " + task.get() + " does not run on an owned upstream");
    }
    const task_attempt attempt{task, held->generation};
    const auto deadline = std::chrono::steady_clock::now() + settings_.call_timeout;
    const auto state = co_await upstreams_.throttle(owned->record, attempt, percent, deadline);
    co_return state.status();
}

void capacity_service::mark_leaving(const upstream_id& upstream) {
    mark_leaving_from(upstream, false);
}

std::vector<upstream_id> capacity_service::get_leaving() const {
    std::lock_guard lock(mutex_);
    std::vector<upstream_id> leaving;
    leaving.reserve(leaving_.size());
    for (const auto& [upstream, mark] : leaving_) {
        leaving.push_back(upstream);
    }
    return leaving;
}

bool capacity_service::would_ever_fit(const resource_vector& size) const {
    const auto needed = resource_vector(size.get_processors_milli(), size.get_memory_mb(),
                                        size.get_accelerators(), std::max<std::int64_t>(1, size.get_slots()));
    std::lock_guard lock(mutex_);
    return !has_vms_ || std::any_of(vms_.begin(), vms_.end(), [&](const auto& vm) {
        return vm.role == vm_role::upstream && needed.is_within(vm.size);
    });
}

std::vector<vm_record> capacity_service::get_vms() const {
    std::lock_guard lock(mutex_);
    return vms_;
}

std::optional<process_id> capacity_service::find_owner(const upstream_id& upstream) const {
    std::lock_guard lock(mutex_);
    if (!value_) {
        return std::nullopt;
    }
    return value_->slices.at(get_slice(upstream)).owner;
}

std::vector<process_id> capacity_service::get_members() const {
    std::lock_guard lock(mutex_);
    std::vector<process_id> members;
    if (value_) {
        for (const auto& member : value_->members) {
            members.push_back(member.process);
        }
    }
    return members;
}

void capacity_service::record_process_ended(const vm_id& vm, const std::string& author,
                                            const std::string& reason) {
    LOG(INFO) << "event=process_ended_stated vm=" << vm.get() << " author=" << author << " reason=\""
              << reason << "\"";
    std::lock_guard lock(mutex_);
    statements_.push_back({vm, author, reason});
}

bool capacity_service::is_open() const {
    std::lock_guard lock(mutex_);
    return std::any_of(owned_.begin(), owned_.end(), [](const auto& entry) { return entry.second->is_open; });
}

capacity_state capacity_service::get_state() const {
    const auto now = std::chrono::steady_clock::now();
    capacity_state state;
    state.counters = get_counters();
    std::lock_guard lock(mutex_);
    state.process = settings_.process;
    state.has_lease = lease_.lease.id != 0;
    state.is_term_valid = tenure_.is_valid(now);
    state.share_permille = is_handing_over_ ? 0 : tenure_.get_allowance(now).share_permille;
    state.is_replaced = is_replaced_;
    state.ownership_revision = revision_;
    for (const auto& [slice, held] : held_) {
        state.slices.push_back({slice, held.epoch, held.is_handing_over, held.reserved_permille});
    }
    for (const auto& [id, upstream] : owned_) {
        state.upstreams.push_back({.upstream = id,
                                   .slice = upstream->slice,
                                   .is_open = upstream->is_open,
                                   .is_leaving = leaving_.contains(id),
                                   .is_responsive = upstream->is_responsive,
                                   .size = upstream->record.size,
                                   .committed = ledger_.get_committed(id),
                                   .tasks = ledger_.get_commitments(id).size()});
    }
    return state;
}

capacity_counters capacity_service::get_counters() const {
    std::lock_guard lock(counters_mutex_);
    return counters_;
}

absl::StatusOr<upstream_id> capacity_service::reserve(const task_start& start, time_point now) {
    const auto allowance = update_share(now);
    if (allowance.share_permille == 0) {
        return make_error(
            error_kind::no_capacity,
            "this process has no share of its upstreams: its term is invalid, it is handing over, or a newer "
            "incarnation has replaced it");
    }
    const auto size = get_task_size(start.spec);
    if (size.is_negative()) {
        return make_error(error_kind::bad_request,
                          "the size of task " + start.spec.task.get() + " is negative");
    }
    for (int attempt = 0; attempt < max_choices; ++attempt) {
        const auto candidates = ledger_.sample_candidates(size, get_candidate_count(chooser_));
        const auto chosen = choose_upstream(chooser_, start, candidates);
        if (!chosen) {
            break;
        }
        const auto committed = ledger_.commit(
            *chosen, {.task = start.spec.task,
                      .generation = start.generation,
                      .kind = start.spec.kind,
                      .size = size,
                      .work_class = start.spec.work_class,
                      .state = commitment_state::reserved,
                      .is_of_reserved_holder = false,
                      .changed_at = now,
                      .start_until =
                          std::min(allowance.deadline, now + settings_.start_window) + settings_.clock_error,
                      .lease_until = now + settings_.task_lease + settings_.clock_error});
        if (committed.ok()) {
            return *chosen;
        }
        if (get_error_kind(committed) == error_kind::version_conflict) {
            return committed;
        }
    }
    count(&capacity_counters::starts_refused);
    return make_error(error_kind::no_capacity, "no owned upstream has room for task " +
                                                   start.spec.task.get() + " of size " + size.to_string());
}

absl::StatusOr<capacity_service::prepared_start> capacity_service::prepare(const task_start& start,
                                                                           const upstream_id& upstream,
                                                                           bool is_waiting) {
    // The checks are repeated, because time may have passed since the capacity was reserved.
    const auto now = std::chrono::steady_clock::now();
    const auto allowance = update_share(now);
    const auto owned = find_owned(upstream);
    if (!owned || !owned->is_open || allowance.share_permille == 0) {
        return make_error(error_kind::no_capacity,
                          "upstream " + upstream.get() +
                              " is not owned or not open for starts, or this process has no share of it");
    }
    bool is_shared = allowance.share_permille < full_share_permille;
    {
        std::lock_guard lock(mutex_);
        const auto slice = held_.find(owned->slice);
        is_shared = is_shared || (slice != held_.end() && slice->second.reserved_permille > 0);
    }
    // While another process may also commit capacity on the upstream, only a recent list shows all tasks
    // there.
    if (is_shared && owned->list_sent_at + settings_.start_window < now) {
        return make_error(error_kind::no_capacity, "the task list of upstream " + upstream.get() +
                                                       " is older than the start window of " +
                                                       std::to_string(settings_.start_window.count()) +
                                                       " ms");
    }
    const auto write_before = std::min(allowance.deadline, now + settings_.start_window);
    const auto lease_until = now + settings_.task_lease;
    ledger_
        .extend_start(upstream, start.spec.task, start.generation, write_before + settings_.clock_error,
                      lease_until + settings_.clock_error)
        .IgnoreError();
    prepared_start prepared{.upstream = owned, .call = {}, .write_before = write_before};
    prepared.call = {.task = start.spec.task,
                     .generation = start.generation,
                     .kind = start.spec.kind,
                     .size = get_task_size(start.spec),
                     .owner = settings_.process.to_string(),
                     .start_by_ms = to_upstream_clock(*owned, write_before),
                     .lease_deadline_ms = to_upstream_clock(*owned, lease_until),
                     .resume_from = start.resume_from,
                     .is_waiting = is_waiting,
                     .body = start.spec.body};
    return prepared;
}

awaitable<absl::StatusOr<start_result>> capacity_service::send(task_start start, upstream_id upstream,
                                                               bool is_waiting) {
    const auto& task = start.spec.task;
    auto prepared = prepare(start, upstream, is_waiting);
    if (!prepared.ok()) {
        count(&capacity_counters::starts_refused);
        ledger_.release(upstream, task, start.generation).IgnoreError();
        co_return prepared.status();
    }
    count(&capacity_counters::starts);
    // The upstream responds immediately to a start order that has no waiting caller.
    const auto deadline =
        is_waiting ? start.deadline
                   : std::min(start.deadline, std::chrono::steady_clock::now() + settings_.call_timeout);
    auto result = co_await upstreams_.start(prepared->upstream->record, std::move(prepared->call), deadline,
                                            prepared->write_before);
    const auto now = std::chrono::steady_clock::now();
    if (result.ok() && !is_waiting) {
        ledger_.confirm(upstream, task, start.generation, now).IgnoreError();
        co_return result;
    }
    if (!result.ok() && get_run_knowledge(result.status()) == run_knowledge::may_have_run) {
        count(&capacity_counters::starts_unconfirmed);
        ledger_.mark_unconfirmed(upstream, task, start.generation, now).IgnoreError();
        co_return result;
    }
    if (get_error_kind(result.status()) == error_kind::upstream_leaving) {
        mark_leaving_from(upstream, false);
    }
    ledger_.release(upstream, task, start.generation).IgnoreError();
    if (callbacks_.on_room) {
        callbacks_.on_room();
    }
    changed_.notify_all();
    co_return result;
}

std::int64_t capacity_service::to_upstream_clock(const owned_upstream& upstream, time_point at) const {
    return upstream.clock_ms +
           std::chrono::duration_cast<std::chrono::milliseconds>(at - upstream.clock_read_at).count();
}

tenure_allowance capacity_service::update_share(time_point now) {
    tenure_allowance allowance;
    {
        std::lock_guard lock(mutex_);
        allowance = tenure_.get_allowance(now);
        if (is_handing_over_ || is_replaced_) {
            allowance.share_permille = 0;
        }
        if (allowance.share_permille == last_share_) {
            return allowance;
        }
        const bool has_expired = allowance.share_permille < last_share_ && !is_handing_over_;
        last_share_ = allowance.share_permille;
        ledger_.set_share(allowance.share_permille);
        if (!has_expired) {
            return allowance;
        }
    }
    count(&capacity_counters::terms_lapsed);
    LOG(WARNING) << "event=term_lapsed process=" << settings_.process.to_string()
                 << " share_permille=" << allowance.share_permille;
    return allowance;
}

std::chrono::milliseconds capacity_service::draw_jitter(std::chrono::milliseconds longest) {
    std::lock_guard lock(mutex_);
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(0, longest.count()))(random_));
}

awaitable<bool> capacity_service::wait_unless_stopping(time_point deadline) {
    const auto seen = stopping_.get_count();
    if (is_stopping_) {
        co_return false;
    }
    co_await stopping_.wait(seen, deadline);
    co_return !is_stopping_;
}

void capacity_service::report_end(const task_end& end) {
    if (callbacks_.on_task_end) {
        callbacks_.on_task_end(end);
    }
}

void capacity_service::count(std::uint64_t capacity_counters::*counter, std::uint64_t amount) {
    std::lock_guard lock(counters_mutex_);
    counters_.*counter += amount;
}

}  // namespace jacinthvane
