#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "process/ids.hpp"
#include "process/journal_record.hpp"

namespace jacinthvane {

// The largest response body that is stored for repeats of a request.
constexpr std::size_t max_stored_response_bytes = 16U << 10U;

struct shard_limits {
    std::size_t max_keys = 200'000;
    // Applies to resolved keys, claims without an outcome, and finished or cancelled jobs.
    std::int64_t retention_ms = 24LL * 3600 * 1000;
    // Limits of the sums over the shard. Beyond them the bodies of the oldest responses are dropped; the
    // knowledge of whether the request ran stays.
    std::size_t max_key_response_bytes = 8U << 20U;
    std::size_t max_job_response_bytes = 8U << 20U;
    std::size_t max_open_jobs = 50'000;
    std::size_t max_open_job_bytes = 64U << 20U;
    std::size_t max_document_bytes = 4U << 20U;
    std::uint32_t max_failures = 5;

    bool operator==(const shard_limits&) const = default;
};

enum class key_state { claimed, settled };

struct key_entry {
    key_claimed claim{};
    key_state state = key_state::claimed;
    run_knowledge run = run_knowledge::may_have_run;
    stored_response answer{};
    std::int64_t changed_at_ms = 0;

    bool operator==(const key_entry&) const = default;
};

enum class job_state { queued, running, cancelling, parked, finished, cancelled };

std::string_view get_name(job_state state);

struct job_entry {
    // Shared between the versions of the entry, since it contains the body, which is dropped when the job
    // ends.
    std::shared_ptr<const job_accepted> accepted{};
    job_state state = job_state::queued;
    // The last generation that was started, or 0 before the first.
    std::uint64_t generation = 0;
    // The upstream on which the last generation was started.
    upstream_id upstream{};
    std::optional<stop_reason> last_stop{};
    std::uint32_t evictions = 0;
    std::uint32_t failures = 0;
    std::optional<std::string> checkpoint{};
    // False if another generation would possibly run a non-idempotent job a second time.
    bool is_startable = true;
    run_knowledge run = run_knowledge::not_run;
    std::string reason{};
    stored_response answer{};
    std::int64_t changed_at_ms = 0;

    // Compares the accepted job by value.
    bool operator==(const job_entry& other) const;

    bool is_open() const { return state != job_state::finished && state != job_state::cancelled; }
};

struct document_entry {
    std::string name;
    std::uint64_t revision = 0;
    std::string bytes;

    bool operator==(const document_entry&) const = default;
};

// The complete state of a shard after a batch, as plain values in a fixed order, so that tables with the same
// history give the same snapshot.
struct shard_snapshot {
    std::uint64_t sequence = 0;
    std::int64_t time_ms = 0;
    std::vector<std::pair<std::uint64_t, writer_mark>> recent_marks{};
    std::vector<std::shared_ptr<const key_entry>> keys{};
    std::vector<std::shared_ptr<const job_entry>> jobs{};
    std::vector<document_entry> documents{};

    // Compares the entries by value.
    bool operator==(const shard_snapshot& other) const;
};

// The key may be claimed with this generation.
struct claim_allowed {
    std::uint64_t generation = 1;

    bool operator==(const claim_allowed&) const = default;
};
using claim_decision = std::variant<claim_allowed, std::shared_ptr<const key_entry>>;

struct shard_sizes {
    std::size_t keys = 0;
    std::size_t open_jobs = 0;
    std::size_t jobs = 0;
    std::size_t documents = 0;
    std::size_t key_response_bytes = 0;
    std::size_t job_response_bytes = 0;
    std::size_t open_job_bytes = 0;
    std::size_t document_bytes = 0;

    bool operator==(const shard_sizes&) const = default;
};

// The keys, jobs and documents of one shard, built from its journal. Decides whether a record may be appended
// to the present state. The same batches give the same table in every process.
class shard_table {
public:
    explicit shard_table(shard_limits limits) : limits_(limits) {}
    shard_table(shard_limits limits, const shard_snapshot& snapshot);

    shard_table(const shard_table&) = delete;
    shard_table& operator=(const shard_table&) = delete;
    shard_table(shard_table&&) = default;
    shard_table& operator=(shard_table&&) = default;

    // Returns OK if the record may be appended elapsed_ms after the table's time, in a batch that already
    // contains new_keys claims of new keys.
    absl::Status validate(const journal_record& record, std::int64_t elapsed_ms = 0,
                          std::size_t new_keys = 0) const;

    // Advances the time, drops entries whose retention has ended, and applies the records.
    void apply(const journal_batch& batch);

    // Decides how to handle a request with the key: either the key may be claimed, or the returned entry
    // shows why not. Errors: key_reused, overloaded.
    absl::StatusOr<claim_decision> decide_claim(const team_id& team, const idempotency_key& key,
                                                const std::string& digest, std::int64_t elapsed_ms = 0) const;

    // Returns OK if the next generation of the job may start. Errors: not_found, version_conflict.
    absl::Status check_start(const job_id& job) const;

    // Return null, or nullopt for documents, if there is no such entry.
    std::shared_ptr<const key_entry> find_key(const team_id& team, const idempotency_key& key) const;
    std::shared_ptr<const job_entry> find_job(const job_id& job) const;
    std::optional<document_entry> find_document(const std::string& name) const;

    std::vector<std::shared_ptr<const job_entry>> list_jobs(const team_id& team) const;
    std::vector<std::shared_ptr<const job_entry>> get_open_jobs() const;
    // Returns the documents in the order of their names.
    std::vector<document_entry> list_documents(const std::string& name_prefix) const;

    // Leaves recent_marks empty, since the journal keeps the writer marks.
    shard_snapshot get_snapshot() const;
    shard_sizes get_sizes() const;
    std::uint64_t get_sequence() const { return sequence_; }
    std::int64_t get_time_ms() const { return time_ms_; }

private:
    struct record_validator;
    struct record_applier;

    using key_name = std::pair<const team_id&, const idempotency_key&>;

    struct key_order {
        using is_transparent = void;
        bool operator()(const std::shared_ptr<const key_entry>& left,
                        const std::shared_ptr<const key_entry>& right) const;
        bool operator()(const std::shared_ptr<const key_entry>& left, const key_name& right) const;
        bool operator()(const key_name& left, const std::shared_ptr<const key_entry>& right) const;
    };
    struct key_age_order {
        bool operator()(const key_entry* left, const key_entry* right) const;
    };
    struct job_age_order {
        bool operator()(const job_entry* left, const job_entry* right) const;
    };

    std::shared_ptr<const key_entry> find_current_key(const team_id& team, const idempotency_key& key,
                                                      std::int64_t elapsed_ms) const;
    bool has_room_for_key(std::int64_t elapsed_ms, std::size_t new_keys) const;
    void put_key(std::shared_ptr<const key_entry> entry);
    void erase_key(const key_entry& entry);
    void put_job(std::shared_ptr<const job_entry> entry);
    void erase_job(const job_entry& entry);
    void put_document(document_entry entry);
    void drop_expired();
    void drop_old_key_responses();
    void drop_old_job_responses();

    shard_limits limits_;
    std::uint64_t sequence_ = 0;
    std::int64_t time_ms_ = 0;
    std::set<std::shared_ptr<const key_entry>, key_order> keys_;
    std::set<const key_entry*, key_age_order> keys_by_age_;
    std::set<const key_entry*, key_age_order> keys_with_response_by_age_;
    std::map<job_id, std::shared_ptr<const job_entry>> jobs_;
    std::set<std::pair<team_id, job_id>> jobs_by_team_;
    std::set<const job_entry*, job_age_order> closed_jobs_by_age_;
    std::set<const job_entry*, job_age_order> jobs_with_response_by_age_;
    std::map<std::string, document_entry> documents_;
    std::size_t key_response_bytes_ = 0;
    std::size_t job_response_bytes_ = 0;
    std::size_t open_jobs_ = 0;
    std::size_t open_job_bytes_ = 0;
    std::size_t document_bytes_ = 0;
};

}  // namespace jacinthvane
