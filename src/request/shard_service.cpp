#include "request/shard_service.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

#include "process/error_kind.hpp"
#include "process/stable_hash.hpp"
#include "request/shard_worker.hpp"

namespace jacinthvane {

namespace {

// How often a wait for a settlement reads the batches of other processes.
constexpr std::chrono::milliseconds settlement_refresh_interval{1000};

absl::Status make_not_claimed(const absl::Status& cause) {
    return make_error(error_kind::store_unavailable,
                      "the key could not be claimed: " + std::string(cause.message()),
                      run_knowledge::not_run);
}

absl::Status check_shard(std::size_t shard, std::size_t shards) {
    if (shard < shards) {
        return absl::OkStatus();
    }
    return make_error(error_kind::bad_request, "there is no shard " + std::to_string(shard) +
                                                   "; the number of shards is " + std::to_string(shards));
}

key_claim_result describe_entry(const key_entry& entry) {
    if (entry.state == key_state::settled) {
        return key_settled_response{entry.run, entry.answer};
    }
    return key_in_progress{entry.claim.claimant, entry.claim.claim_number, entry.claim.generation};
}

bool is_settled_by(const std::shared_ptr<const key_entry>& entry, const key_settled& settlement) {
    return entry && entry->state == key_state::settled && entry->claim.claimant == settlement.claimant &&
           entry->claim.claim_number == settlement.claim_number &&
           entry->claim.generation == settlement.generation && entry->run == settlement.run;
}

}  // namespace

struct shard_service::shared_state {
    std::vector<std::shared_ptr<shard_worker>> workers;
    std::atomic<std::uint64_t> next_claim_number = 0;

    std::shared_ptr<shard_worker> get_worker(std::size_t shard) const {
        const auto& worker = workers.at(shard);
        worker->start();
        return worker;
    }
};

shard_service::shard_service(asio::io_context& context, store_client store, shard_service_options options)
    : state_(std::make_shared<shared_state>()) {
    const auto shards = std::max<std::size_t>(1, options.shards);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        state_->workers.push_back(std::make_shared<shard_worker>(context, store, shard, options));
    }
    // Claims that different processes make on behalf of one claimant have different numbers.
    const auto base = get_stable_hash(options.self.to_string()) & 0xffffffffU;
    state_->next_claim_number = base << 32U;
}

shard_service::~shard_service() {
    stop();
}

std::size_t shard_service::get_shard(const team_id& team, const idempotency_key& key) const {
    const auto team_hash = get_stable_hash(std::string_view("\0", 1), get_stable_hash(team.get()));
    return get_stable_hash(key.get(), team_hash) % state_->workers.size();
}

std::size_t shard_service::get_shard(const job_id& job) const {
    return get_stable_hash(job.get()) % state_->workers.size();
}

std::size_t shard_service::get_shard(const std::string& document_name) const {
    return get_stable_hash(document_name) % state_->workers.size();
}

awaitable<absl::Status> shard_service::append(std::size_t shard, journal_record record, time_point deadline) {
    auto checked = check_shard(shard, state_->workers.size());
    if (!checked.ok()) {
        co_return checked;
    }
    const auto worker = state_->get_worker(shard);
    auto result = co_await worker->append(std::move(record), shard_worker::on_give_up::withdraw, deadline);
    co_return std::move(result.status);
}

awaitable<absl::StatusOr<key_claim_result>> shard_service::claim_key(team_id team, idempotency_key key,
                                                                     std::string digest, process_id claimant,
                                                                     time_point deadline) {
    const auto state = state_;
    const auto worker = state->get_worker(get_shard(team, key));
    const auto loaded = co_await worker->wait_until_loaded(deadline);
    if (!loaded.ok()) {
        co_return make_not_claimed(loaded);
    }
    key_claimed claim{.team = team,
                      .key = key,
                      .digest = digest,
                      .claimant = claimant,
                      .claim_number = ++state->next_claim_number,
                      .generation = 0};
    bool may_be_claimed = false;
    bool is_refreshed = false;
    while (true) {
        const auto decision = worker->read([&](const shard_table& table, std::int64_t elapsed_ms) {
            return table.decide_claim(team, key, digest, elapsed_ms);
        });
        if (!decision.ok()) {
            co_return decision.status();
        }
        const auto* entry = std::get_if<std::shared_ptr<const key_entry>>(&*decision);
        if (entry != nullptr && may_be_claimed && (*entry)->claim == claim) {
            co_return key_granted{claim.claim_number, claim.generation};
        }
        if (entry != nullptr && (*entry)->state == key_state::claimed && !is_refreshed) {
            // Another process may have settled the key since this one last read the journal. If the store is
            // unavailable, the older state is returned.
            is_refreshed = true;
            const auto refreshed = co_await worker->refresh(deadline);
            if (refreshed.ok()) {
                continue;
            }
        }
        if (entry != nullptr) {
            co_return describe_entry(**entry);
        }
        claim.generation = std::get<claim_allowed>(*decision).generation;
        journal_record record = claim;
        const auto result =
            co_await worker->append(std::move(record), shard_worker::on_give_up::settle_claim, deadline);
        if (result.status.ok()) {
            co_return key_granted{claim.claim_number, claim.generation};
        }
        if (result.is_given_up) {
            co_return make_not_claimed(result.status);
        }
        switch (get_error_kind(result.status)) {
            case error_kind::version_conflict:
            case error_kind::duplicate_in_progress:
                // The refusal is based on the newest state, which contains the entry.
                is_refreshed = true;
                break;
            case error_kind::store_outcome_unknown: {
                may_be_claimed = true;
                const auto refreshed = co_await worker->refresh(deadline);
                if (!refreshed.ok()) {
                    co_return make_not_claimed(refreshed);
                }
                break;
            }
            default:
                co_return result.status;
        }
    }
}

awaitable<absl::Status> shard_service::settle_key(key_settled settlement, time_point deadline) {
    const auto worker = state_->get_worker(get_shard(settlement.team, settlement.key));
    if (settlement.answer.body.size() > max_stored_response_bytes) {
        settlement.answer.body.clear();
        settlement.answer.is_kept = false;
    }
    journal_record record = settlement;
    auto result = co_await worker->append(std::move(record), shard_worker::on_give_up::keep, deadline);
    if (result.status.ok()) {
        co_return absl::OkStatus();
    }
    if (result.is_given_up) {
        co_return make_error(error_kind::store_unavailable,
                             "the outcome is queued until the store accepts it", settlement.run);
    }
    const bool is_settled = worker->read([&](const shard_table& table, std::int64_t /*elapsed_ms*/) {
        return is_settled_by(table.find_key(settlement.team, settlement.key), settlement);
    });
    co_return is_settled ? absl::OkStatus() : std::move(result.status);
}

awaitable<absl::StatusOr<std::shared_ptr<const key_entry>>> shard_service::wait_for_settlement(
    team_id team, idempotency_key key, time_point deadline) {
    const auto worker = state_->get_worker(get_shard(team, key));
    auto loaded = co_await worker->wait_until_loaded(deadline);
    if (!loaded.ok()) {
        co_return loaded;
    }
    while (true) {
        const auto seen = worker->get_changed().get_count();
        auto entry = worker->read(
            [&](const shard_table& table, std::int64_t /*elapsed_ms*/) { return table.find_key(team, key); });
        const auto now = std::chrono::steady_clock::now();
        if (entry && (entry->state == key_state::settled || now >= deadline)) {
            co_return entry;
        }
        if (!entry) {
            co_return make_error(error_kind::not_found, "idempotency key " + key.get() + " is unknown");
        }
        const auto next_poll = std::min(deadline, now + settlement_refresh_interval);
        const bool is_changed = co_await worker->get_changed().wait(seen, next_poll);
        if (!is_changed) {
            // Without the store, the wait continues for settlements made by this process itself.
            const auto refreshed = co_await worker->refresh(deadline);
            refreshed.IgnoreError();
        }
    }
}

awaitable<absl::StatusOr<std::shared_ptr<const job_entry>>> shard_service::find_job(job_id job,
                                                                                    time_point deadline) {
    const auto worker = state_->get_worker(get_shard(job));
    auto loaded = co_await worker->wait_until_loaded(deadline);
    if (!loaded.ok()) {
        co_return loaded;
    }
    const auto find = [&] {
        return worker->read(
            [&](const shard_table& table, std::int64_t /*elapsed_ms*/) { return table.find_job(job); });
    };
    if (auto entry = find()) {
        co_return entry;
    }
    auto refreshed = co_await worker->refresh(deadline);
    if (!refreshed.ok()) {
        co_return refreshed;
    }
    if (auto entry = find()) {
        co_return entry;
    }
    co_return make_error(error_kind::not_found, "there is no job " + job.get());
}

awaitable<absl::StatusOr<std::vector<std::shared_ptr<const job_entry>>>> shard_service::list_jobs(
    team_id team, time_point deadline) {
    const auto state = state_;
    std::vector<std::shared_ptr<const job_entry>> jobs;
    for (std::size_t shard = 0; shard < state->workers.size(); ++shard) {
        const auto worker = state->get_worker(shard);
        auto loaded = co_await worker->wait_until_loaded(deadline);
        if (!loaded.ok()) {
            co_return loaded;
        }
        const auto found = worker->read(
            [&](const shard_table& table, std::int64_t /*elapsed_ms*/) { return table.list_jobs(team); });
        jobs.insert(jobs.end(), found.begin(), found.end());
    }
    co_return jobs;
}

awaitable<absl::StatusOr<std::vector<std::shared_ptr<const job_entry>>>> shard_service::get_open_jobs(
    std::size_t shard, time_point deadline) {
    auto checked = check_shard(shard, state_->workers.size());
    if (!checked.ok()) {
        co_return checked;
    }
    const auto worker = state_->get_worker(shard);
    auto loaded = co_await worker->wait_until_loaded(deadline);
    if (!loaded.ok()) {
        co_return loaded;
    }
    co_return worker->read(
        [](const shard_table& table, std::int64_t /*elapsed_ms*/) { return table.get_open_jobs(); });
}

awaitable<absl::StatusOr<std::vector<document_entry>>> shard_service::list_documents(std::size_t shard,
                                                                                     std::string name_prefix,
                                                                                     time_point deadline) {
    auto checked = check_shard(shard, state_->workers.size());
    if (!checked.ok()) {
        co_return checked;
    }
    const auto worker = state_->get_worker(shard);
    auto loaded = co_await worker->wait_until_loaded(deadline);
    if (!loaded.ok()) {
        co_return loaded;
    }
    co_return worker->read([&](const shard_table& table, std::int64_t /*elapsed_ms*/) {
        return table.list_documents(name_prefix);
    });
}

awaitable<absl::Status> shard_service::refresh(std::size_t shard, time_point deadline) {
    auto checked = check_shard(shard, state_->workers.size());
    if (!checked.ok()) {
        co_return checked;
    }
    const auto worker = state_->get_worker(shard);
    co_return co_await worker->refresh(deadline);
}

awaitable<bool> shard_service::drain(time_point deadline) {
    const auto state = state_;
    for (const auto& worker : state->workers) {
        const bool is_drained = co_await worker->drain(deadline);
        if (!is_drained) {
            co_return false;
        }
    }
    co_return true;
}

void shard_service::stop() {
    for (const auto& worker : state_->workers) {
        worker->stop();
    }
}

void shard_service::set_flush_interval(std::chrono::milliseconds interval) {
    for (const auto& worker : state_->workers) {
        worker->set_flush_interval(interval);
    }
}

std::vector<shard_state> shard_service::get_state() const {
    std::vector<shard_state> states;
    for (const auto& worker : state_->workers) {
        states.push_back(worker->get_state());
    }
    return states;
}

shard_counters shard_service::get_counters() const {
    shard_counters sum;
    for (const auto& worker : state_->workers) {
        const auto counters = worker->get_state().counters;
        sum.batches_written += counters.batches_written;
        sum.records_written += counters.records_written;
        sum.bytes_written += counters.bytes_written;
        sum.records_refused += counters.records_refused;
        sum.records_withdrawn += counters.records_withdrawn;
        sum.writes_refused += counters.writes_refused;
        sum.conflicts += counters.conflicts;
        sum.unknown_outcomes += counters.unknown_outcomes;
        sum.batches_overtaken += counters.batches_overtaken;
        sum.foreign_batches += counters.foreign_batches;
        sum.refreshes += counters.refreshes;
        sum.loads += counters.loads;
        sum.claims_given_up += counters.claims_given_up;
        sum.claims_settled_for_caller += counters.claims_settled_for_caller;
        sum.snapshots_written += counters.snapshots_written;
        sum.snapshots_failed += counters.snapshots_failed;
        sum.batches_removed += counters.batches_removed;
    }
    return sum;
}

}  // namespace jacinthvane
