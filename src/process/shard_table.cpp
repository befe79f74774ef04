#include "process/shard_table.hpp"

#include <algorithm>
#include <tuple>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

template <typename Entry>
bool is_equal_by_value(const std::vector<std::shared_ptr<const Entry>>& left,
                       const std::vector<std::shared_ptr<const Entry>>& right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& a, const auto& b) { return *a == *b; });
}

absl::Status make_job_conflict(const job_entry& entry, const std::string& what) {
    return make_error(error_kind::version_conflict,
                      "job " + entry.accepted->job.get() + " is " + std::string(get_name(entry.state)) +
                          " at generation " + std::to_string(entry.generation) + ": " + what,
                      entry.is_startable ? run_knowledge::not_run : run_knowledge::may_have_run);
}

absl::Status make_job_missing(const job_id& job) {
    return make_error(error_kind::not_found, "there is no job " + job.get());
}

absl::Status check_response_size(const stored_response& response) {
    if (response.body.size() <= max_stored_response_bytes) {
        return absl::OkStatus();
    }
    return make_error(error_kind::body_too_large, "a response of " + std::to_string(response.body.size()) +
                                                      " bytes exceeds the limit of " +
                                                      std::to_string(max_stored_response_bytes) +
                                                      " bytes for stored responses");
}

bool is_active(job_state state) {
    return state == job_state::running || state == job_state::cancelling;
}

// A generation that was declared lost can still report that it finished.
bool may_finish(const job_entry& entry, std::uint64_t generation) {
    if (generation != entry.generation || generation == 0) {
        return false;
    }
    const bool was_lost = entry.last_stop == stop_reason::lost;
    return is_active(entry.state) ||
           (was_lost && (entry.state == job_state::queued || entry.state == job_state::parked));
}

// A non-idempotent job runs again only if the stopped generation did nothing or left a checkpoint to resume
// from.
bool is_startable_after(const job_entry& entry, const generation_stopped& stop) {
    switch (stop.reason) {
        case stop_reason::not_started:
            return entry.is_startable;
        case stop_reason::evicted:
            return entry.accepted->is_idempotent || stop.checkpoint.has_value();
        case stop_reason::failed:
        case stop_reason::overran:
        case stop_reason::lost:
            return entry.accepted->is_idempotent;
    }
    return false;
}

run_knowledge get_run_after(const job_entry& entry, stop_reason reason) {
    switch (reason) {
        case stop_reason::not_started:
            return entry.run;
        case stop_reason::lost:
            return entry.run == run_knowledge::ran ? run_knowledge::ran : run_knowledge::may_have_run;
        case stop_reason::evicted:
        case stop_reason::failed:
        case stop_reason::overran:
            return run_knowledge::ran;
    }
    return run_knowledge::may_have_run;
}

}  // namespace

std::string_view get_name(job_state state) {
    switch (state) {
        case job_state::queued:
            return "queued";
        case job_state::running:
            return "running";
        case job_state::cancelling:
            return "cancelling";
        case job_state::parked:
            return "parked";
        case job_state::finished:
            return "finished";
        case job_state::cancelled:
            return "cancelled";
    }
    return "unknown";
}

bool job_entry::operator==(const job_entry& other) const {
    return *accepted == *other.accepted &&
           std::tie(state, generation, upstream, last_stop, evictions, failures, checkpoint, is_startable,
                    run, reason, answer, changed_at_ms) ==
               std::tie(other.state, other.generation, other.upstream, other.last_stop, other.evictions,
                        other.failures, other.checkpoint, other.is_startable, other.run, other.reason,
                        other.answer, other.changed_at_ms);
}

bool shard_snapshot::operator==(const shard_snapshot& other) const {
    return sequence == other.sequence && time_ms == other.time_ms && recent_marks == other.recent_marks &&
           documents == other.documents && is_equal_by_value(keys, other.keys) &&
           is_equal_by_value(jobs, other.jobs);
}

bool shard_table::key_order::operator()(const std::shared_ptr<const key_entry>& left,
                                        const std::shared_ptr<const key_entry>& right) const {
    return std::tie(left->claim.team, left->claim.key) < std::tie(right->claim.team, right->claim.key);
}

bool shard_table::key_order::operator()(const std::shared_ptr<const key_entry>& left,
                                        const key_name& right) const {
    return std::tie(left->claim.team, left->claim.key) < std::tie(right.first, right.second);
}

bool shard_table::key_order::operator()(const key_name& left,
                                        const std::shared_ptr<const key_entry>& right) const {
    return std::tie(left.first, left.second) < std::tie(right->claim.team, right->claim.key);
}

bool shard_table::key_age_order::operator()(const key_entry* left, const key_entry* right) const {
    return std::tie(left->changed_at_ms, left->claim.team, left->claim.key) <
           std::tie(right->changed_at_ms, right->claim.team, right->claim.key);
}

bool shard_table::job_age_order::operator()(const job_entry* left, const job_entry* right) const {
    return std::tie(left->changed_at_ms, left->accepted->job) <
           std::tie(right->changed_at_ms, right->accepted->job);
}

shard_table::shard_table(shard_limits limits, const shard_snapshot& snapshot)
    : limits_(limits), sequence_(snapshot.sequence), time_ms_(snapshot.time_ms) {
    for (const auto& entry : snapshot.keys) {
        put_key(entry);
    }
    for (const auto& entry : snapshot.jobs) {
        put_job(entry);
    }
    for (const auto& entry : snapshot.documents) {
        put_document(entry);
    }
}

std::shared_ptr<const key_entry> shard_table::find_key(const team_id& team,
                                                       const idempotency_key& key) const {
    const auto found = keys_.find(key_name(team, key));
    return found == keys_.end() ? nullptr : *found;
}

std::shared_ptr<const key_entry> shard_table::find_current_key(const team_id& team,
                                                               const idempotency_key& key,
                                                               std::int64_t elapsed_ms) const {
    auto entry = find_key(team, key);
    const bool is_expired = entry && entry->changed_at_ms + limits_.retention_ms <= time_ms_ + elapsed_ms;
    return is_expired ? nullptr : entry;
}

bool shard_table::has_room_for_key(std::int64_t elapsed_ms, std::size_t new_keys) const {
    if (keys_.size() + new_keys < limits_.max_keys) {
        return true;
    }
    std::size_t expired = 0;
    for (const auto* entry : keys_by_age_) {
        if (entry->changed_at_ms + limits_.retention_ms > time_ms_ + elapsed_ms || expired > new_keys) {
            break;
        }
        ++expired;
    }
    return keys_.size() + new_keys < limits_.max_keys + expired;
}

absl::StatusOr<claim_decision> shard_table::decide_claim(const team_id& team, const idempotency_key& key,
                                                         const std::string& digest,
                                                         std::int64_t elapsed_ms) const {
    auto entry = find_current_key(team, key, elapsed_ms);
    if (!entry) {
        if (!has_room_for_key(elapsed_ms, 0)) {
            return make_error(error_kind::overloaded, "the shard holds " + std::to_string(keys_.size()) +
                                                          " idempotency keys, which is its limit");
        }
        return claim_allowed{1};
    }
    if (entry->claim.digest != digest) {
        return make_error(error_kind::key_reused,
                          "idempotency key " + key.get() + " was used before for another request");
    }
    if (entry->state == key_state::settled && entry->run == run_knowledge::not_run) {
        return claim_allowed{entry->claim.generation + 1};
    }
    return entry;
}

absl::Status shard_table::check_start(const job_id& job) const {
    const auto entry = find_job(job);
    if (!entry) {
        return make_job_missing(job);
    }
    if (entry->state != job_state::queued) {
        return make_job_conflict(*entry, "it cannot start");
    }
    if (entry->failures >= limits_.max_failures) {
        return make_job_conflict(*entry, "it has failed " + std::to_string(entry->failures) +
                                             " times; the limit is " + std::to_string(limits_.max_failures));
    }
    if (!entry->is_startable) {
        return make_job_conflict(*entry, "it is not idempotent and may have run");
    }
    return absl::OkStatus();
}

struct shard_table::record_validator {
    const shard_table& table;
    std::int64_t elapsed_ms;
    std::size_t new_keys;

    absl::Status operator()(const key_claimed& record) const {
        const auto decision = table.decide_claim(record.team, record.key, record.digest, elapsed_ms);
        if (!decision.ok()) {
            return decision.status();
        }
        if (const auto* entry = std::get_if<std::shared_ptr<const key_entry>>(&*decision)) {
            const bool is_claimed = (*entry)->state == key_state::claimed;
            return make_error(is_claimed ? error_kind::duplicate_in_progress : error_kind::version_conflict,
                              "idempotency key " + record.key.get() +
                                  (is_claimed ? " is already claimed" : " is already resolved"));
        }
        if (std::get<claim_allowed>(*decision).generation != record.generation) {
            return make_error(error_kind::version_conflict, "idempotency key " + record.key.get() +
                                                                " was claimed by another process first");
        }
        if (record.generation == 1 && !table.has_room_for_key(elapsed_ms, new_keys)) {
            return make_error(error_kind::overloaded,
                              "the shard holds " + std::to_string(table.keys_.size()) +
                                  " idempotency keys and " + std::to_string(new_keys) +
                                  " more are pending, which is its limit");
        }
        return absl::OkStatus();
    }

    absl::Status operator()(const key_settled& record) const {
        const auto entry = table.find_current_key(record.team, record.key, elapsed_ms);
        if (!entry) {
            return make_error(error_kind::not_found, "idempotency key " + record.key.get() + " is unknown");
        }
        const bool is_same_claim = entry->claim.claimant == record.claimant &&
                                   entry->claim.claim_number == record.claim_number &&
                                   entry->claim.generation == record.generation;
        if (!is_same_claim || entry->state != key_state::claimed) {
            return make_error(
                error_kind::version_conflict,
                "idempotency key " + record.key.get() +
                    " has no open claim with the claimant, number and generation of the record");
        }
        return check_response_size(record.answer);
    }

    absl::Status operator()(const job_accepted& record) const {
        if (const auto entry = table.find_job(record.job)) {
            return make_job_conflict(*entry, "it was accepted before");
        }
        if (table.open_jobs_ >= limits().max_open_jobs ||
            table.open_job_bytes_ + record.body.size() > limits().max_open_job_bytes) {
            return make_error(error_kind::overloaded,
                              "the shard holds " + std::to_string(table.open_jobs_) + " open jobs with " +
                                  std::to_string(table.open_job_bytes_) +
                                  " bytes, which leaves no room for a job of " +
                                  std::to_string(record.body.size()) + " bytes; the limits are " +
                                  std::to_string(limits().max_open_jobs) + " jobs and " +
                                  std::to_string(limits().max_open_job_bytes) + " bytes");
        }
        return absl::OkStatus();
    }

    absl::Status operator()(const generation_started& record) const {
        auto status = table.check_start(record.job);
        if (!status.ok()) {
            return status;
        }
        const auto entry = table.find_job(record.job);
        return record.generation == entry->generation + 1
                   ? absl::OkStatus()
                   : make_job_conflict(
                         *entry, "generation " + std::to_string(record.generation) + " is not the next one");
    }

    absl::Status operator()(const generation_stopped& record) const {
        return check_job(record.job, "generation " + std::to_string(record.generation) + " is not running",
                         [&](const job_entry& entry) {
                             return is_active(entry.state) && entry.generation == record.generation;
                         });
    }

    absl::Status operator()(const job_finished& record) const {
        auto status =
            check_job(record.job, "generation " + std::to_string(record.generation) + " cannot finish",
                      [&](const job_entry& entry) { return may_finish(entry, record.generation); });
        return status.ok() ? check_response_size(record.answer) : status;
    }

    absl::Status operator()(const job_cancelled& record) const {
        return check_job(record.job, "it cannot be cancelled", [](const job_entry& entry) {
            return entry.is_open() && entry.state != job_state::cancelling;
        });
    }

    absl::Status operator()(const job_parked& record) const {
        return check_job(record.job, "it cannot be parked", [&](const job_entry& entry) {
            return (entry.state == job_state::queued || entry.state == job_state::running) &&
                   entry.generation == record.generation;
        });
    }

    absl::Status operator()(const job_reopened& record) const {
        return check_job(record.job, "only a parked job can be reopened",
                         [](const job_entry& entry) { return entry.state == job_state::parked; });
    }

    absl::Status operator()(const document_written& record) const {
        const auto found = table.documents_.find(record.name);
        const auto current = found == table.documents_.end() ? 0 : found->second.revision;
        if (record.revision != current + 1) {
            return make_error(error_kind::version_conflict,
                              "document " + record.name + " is at revision " + std::to_string(current) +
                                  ", so revision " + std::to_string(record.revision) + " cannot be written");
        }
        if (!record.bytes.empty() &&
            table.document_bytes_ + record.bytes.size() > limits().max_document_bytes) {
            return make_error(error_kind::overloaded,
                              "the documents of the shard hold " + std::to_string(table.document_bytes_) +
                                  " bytes, which leaves no room for " + std::to_string(record.bytes.size()) +
                                  " more; the limit is " + std::to_string(limits().max_document_bytes));
        }
        return absl::OkStatus();
    }

    const shard_limits& limits() const { return table.limits_; }

    template <typename Predicate>
    absl::Status check_job(const job_id& job, const std::string& what, Predicate is_allowed) const {
        const auto entry = table.find_job(job);
        if (!entry) {
            return make_job_missing(job);
        }
        return is_allowed(*entry) ? absl::OkStatus() : make_job_conflict(*entry, what);
    }
};

absl::Status shard_table::validate(const journal_record& record, std::int64_t elapsed_ms,
                                   std::size_t new_keys) const {
    return std::visit(record_validator{*this, elapsed_ms, new_keys}, record);
}

// Records were validated before they were written. A record of a process with different rules may still be
// invalid; it is skipped if it refers to an unknown job or claim.
struct shard_table::record_applier {
    shard_table& table;

    void operator()(const key_claimed& record) const {
        table.put_key(
            std::make_shared<const key_entry>(key_entry{.claim = record, .changed_at_ms = table.time_ms_}));
    }

    void operator()(const key_settled& record) const {
        const auto entry = table.find_key(record.team, record.key);
        if (!entry || entry->claim.generation != record.generation) {
            return;
        }
        auto settled = *entry;
        settled.state = key_state::settled;
        settled.run = record.run;
        settled.answer = record.answer;
        settled.changed_at_ms = table.time_ms_;
        table.put_key(std::make_shared<const key_entry>(std::move(settled)));
        table.drop_old_key_responses();
    }

    void operator()(const job_accepted& record) const {
        table.put_job(std::make_shared<const job_entry>(job_entry{
            .accepted = std::make_shared<const job_accepted>(record), .changed_at_ms = table.time_ms_}));
    }

    void operator()(const generation_started& record) const {
        change_job(record.job, [&](job_entry& entry) {
            entry.state = job_state::running;
            entry.generation = record.generation;
            entry.upstream = record.upstream;
        });
    }

    void operator()(const generation_stopped& record) const {
        change_job(record.job, [&](job_entry& entry) {
            const bool is_failure =
                record.reason == stop_reason::failed || record.reason == stop_reason::overran;
            entry.is_startable = is_startable_after(entry, record);
            entry.run = get_run_after(entry, record.reason);
            entry.evictions += record.reason == stop_reason::evicted ? 1 : 0;
            entry.failures += is_failure ? 1 : 0;
            entry.last_stop = record.reason;
            if (record.checkpoint) {
                entry.checkpoint = record.checkpoint;
            }
            if (entry.state == job_state::cancelling) {
                close_job(entry, job_state::cancelled);
                return;
            }
            entry.state = job_state::queued;
        });
    }

    void operator()(const job_finished& record) const {
        change_job(record.job, [&](job_entry& entry) {
            entry.run = run_knowledge::ran;
            entry.answer = record.answer;
            close_job(entry, job_state::finished);
        });
        table.drop_old_job_responses();
    }

    void operator()(const job_cancelled& record) const {
        change_job(record.job, [&](job_entry& entry) {
            entry.reason = "cancelled by " + record.author;
            if (entry.state == job_state::running) {
                entry.state = job_state::cancelling;
                return;
            }
            close_job(entry, job_state::cancelled);
        });
    }

    void operator()(const job_parked& record) const {
        change_job(record.job, [&](job_entry& entry) {
            if (entry.state == job_state::running) {
                // No stop was confirmed, so the generation may still report that it ended.
                entry.last_stop = stop_reason::lost;
                entry.is_startable = entry.accepted->is_idempotent;
            }
            entry.state = job_state::parked;
            entry.run = std::max(entry.run, record.run);
            entry.reason = record.reason;
        });
    }

    void operator()(const job_reopened& record) const {
        change_job(record.job, [&](job_entry& entry) {
            entry.state = job_state::queued;
            entry.failures = 0;
            entry.is_startable = true;
            entry.reason = "reopened by " + record.author + ": " + record.reason;
        });
    }

    void operator()(const document_written& record) const {
        table.put_document(document_entry{record.name, record.revision, record.bytes});
    }

    template <typename Change>
    void change_job(const job_id& job, Change change) const {
        const auto found = table.find_job(job);
        if (!found) {
            return;
        }
        auto entry = *found;
        change(entry);
        entry.changed_at_ms = table.time_ms_;
        table.put_job(std::make_shared<const job_entry>(std::move(entry)));
    }

    static void close_job(job_entry& entry, job_state state) {
        entry.state = state;
        entry.checkpoint.reset();
        auto accepted = *entry.accepted;
        accepted.body.clear();
        entry.accepted = std::make_shared<const job_accepted>(std::move(accepted));
    }
};

void shard_table::apply(const journal_batch& batch) {
    sequence_ = batch.sequence;
    time_ms_ += std::max<std::int64_t>(0, batch.elapsed_ms);
    drop_expired();
    for (const auto& record : batch.records) {
        std::visit(record_applier{*this}, record);
    }
}

void shard_table::put_key(std::shared_ptr<const key_entry> entry) {
    if (const auto old = find_key(entry->claim.team, entry->claim.key)) {
        erase_key(*old);
    }
    keys_by_age_.insert(entry.get());
    if (!entry->answer.body.empty()) {
        keys_with_response_by_age_.insert(entry.get());
        key_response_bytes_ += entry->answer.body.size();
    }
    keys_.insert(std::move(entry));
}

void shard_table::erase_key(const key_entry& entry) {
    keys_by_age_.erase(&entry);
    if (!entry.answer.body.empty()) {
        keys_with_response_by_age_.erase(&entry);
        key_response_bytes_ -= entry.answer.body.size();
    }
    // Frees the entry unless the caller holds a reference.
    keys_.erase(keys_.find(key_name(entry.claim.team, entry.claim.key)));
}

void shard_table::put_job(std::shared_ptr<const job_entry> entry) {
    if (const auto old = find_job(entry->accepted->job)) {
        erase_job(*old);
    }
    if (entry->is_open()) {
        ++open_jobs_;
        open_job_bytes_ += entry->accepted->body.size();
    } else {
        closed_jobs_by_age_.insert(entry.get());
    }
    if (!entry->answer.body.empty()) {
        jobs_with_response_by_age_.insert(entry.get());
        job_response_bytes_ += entry->answer.body.size();
    }
    jobs_by_team_.emplace(entry->accepted->team, entry->accepted->job);
    const auto job = entry->accepted->job;
    jobs_.insert_or_assign(job, std::move(entry));
}

void shard_table::erase_job(const job_entry& entry) {
    if (entry.is_open()) {
        --open_jobs_;
        open_job_bytes_ -= entry.accepted->body.size();
    } else {
        closed_jobs_by_age_.erase(&entry);
    }
    if (!entry.answer.body.empty()) {
        jobs_with_response_by_age_.erase(&entry);
        job_response_bytes_ -= entry.answer.body.size();
    }
    jobs_by_team_.erase({entry.accepted->team, entry.accepted->job});
    const auto job = entry.accepted->job;
    jobs_.erase(job);
}

void shard_table::put_document(document_entry entry) {
    const auto found = documents_.find(entry.name);
    if (found != documents_.end()) {
        document_bytes_ -= found->second.bytes.size();
        documents_.erase(found);
    }
    if (entry.bytes.empty()) {
        return;
    }
    document_bytes_ += entry.bytes.size();
    const auto name = entry.name;
    documents_.insert_or_assign(name, std::move(entry));
}

void shard_table::drop_expired() {
    const auto limit = time_ms_ - limits_.retention_ms;
    while (!keys_by_age_.empty() && (*keys_by_age_.begin())->changed_at_ms <= limit) {
        erase_key(**keys_by_age_.begin());
    }
    while (!closed_jobs_by_age_.empty() && (*closed_jobs_by_age_.begin())->changed_at_ms <= limit) {
        erase_job(**closed_jobs_by_age_.begin());
    }
}

void shard_table::drop_old_key_responses() {
    while (key_response_bytes_ > limits_.max_key_response_bytes) {
        auto entry = **keys_with_response_by_age_.begin();
        entry.answer.body.clear();
        entry.answer.is_kept = false;
        put_key(std::make_shared<const key_entry>(std::move(entry)));
    }
}

void shard_table::drop_old_job_responses() {
    while (job_response_bytes_ > limits_.max_job_response_bytes) {
        auto entry = **jobs_with_response_by_age_.begin();
        entry.answer.body.clear();
        entry.answer.is_kept = false;
        put_job(std::make_shared<const job_entry>(std::move(entry)));
    }
}

std::shared_ptr<const job_entry> shard_table::find_job(const job_id& job) const {
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : found->second;
}

std::optional<document_entry> shard_table::find_document(const std::string& name) const {
    const auto found = documents_.find(name);
    return found == documents_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::shared_ptr<const job_entry>> shard_table::list_jobs(const team_id& team) const {
    std::vector<std::shared_ptr<const job_entry>> result;
    for (auto at = jobs_by_team_.lower_bound({team, job_id()});
         at != jobs_by_team_.end() && at->first == team; ++at) {
        result.push_back(find_job(at->second));
    }
    return result;
}

std::vector<std::shared_ptr<const job_entry>> shard_table::get_open_jobs() const {
    std::vector<std::shared_ptr<const job_entry>> result;
    for (const auto& [job, entry] : jobs_) {
        if (entry->is_open()) {
            result.push_back(entry);
        }
    }
    return result;
}

std::vector<document_entry> shard_table::list_documents(const std::string& name_prefix) const {
    std::vector<document_entry> result;
    for (auto at = documents_.lower_bound(name_prefix);
         at != documents_.end() && at->first.starts_with(name_prefix); ++at) {
        result.push_back(at->second);
    }
    return result;
}

shard_snapshot shard_table::get_snapshot() const {
    shard_snapshot snapshot{.sequence = sequence_, .time_ms = time_ms_};
    snapshot.keys.assign(keys_.begin(), keys_.end());
    for (const auto& [job, entry] : jobs_) {
        snapshot.jobs.push_back(entry);
    }
    for (const auto& [name, entry] : documents_) {
        snapshot.documents.push_back(entry);
    }
    return snapshot;
}

shard_sizes shard_table::get_sizes() const {
    return {.keys = keys_.size(),
            .open_jobs = open_jobs_,
            .jobs = jobs_.size(),
            .documents = documents_.size(),
            .key_response_bytes = key_response_bytes_,
            .job_response_bytes = job_response_bytes_,
            .open_job_bytes = open_job_bytes_,
            .document_bytes = document_bytes_};
}

}  // namespace jacinthvane
