#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/store_client.hpp"
#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/journal_record.hpp"
#include "process/shard_table.hpp"
#include "request/shard_types.hpp"

namespace jacinthvane {

// Appends to the journals of all shards and maintains their tables. Any process may use any shard; concurrent
// use of a shard by several processes only causes more conflicts. A shard is loaded on first use.
// Thread-safe.
//
// Common errors: store_unavailable (the deadline passed before the record was written, and it will not be
// written), store_outcome_unknown (the deadline passed and the record may have been written).
class shard_service {
public:
    shard_service(asio::io_context& context, store_client store, shard_service_options options);
    ~shard_service();

    shard_service(const shard_service&) = delete;
    shard_service& operator=(const shard_service&) = delete;

    std::size_t get_shard(const team_id& team, const idempotency_key& key) const;
    std::size_t get_shard(const job_id& job) const;
    std::size_t get_shard(const std::string& document_name) const;

    // Returns OK once the record is durable. If the newest state refuses the record, returns the error of
    // shard_table::validate. Further errors: body_too_large, overloaded.
    awaitable<absl::Status> append(std::size_t shard, journal_record record, time_point deadline);

    // Claims the key for a request that the claimant will dispatch. After an error the request must not be
    // dispatched; if the claim becomes durable later, it is settled as not-run. Errors: key_reused,
    // overloaded, store_unavailable.
    awaitable<absl::StatusOr<key_claim_result>> claim_key(team_id team, idempotency_key key,
                                                          std::string digest, process_id claimant,
                                                          time_point deadline);

    // Records the outcome of a claim. A response body over the size limit is omitted. After store_unavailable
    // the outcome stays queued and is written when the store is available again. Settling twice with the same
    // outcome is not an error. Errors: version_conflict, not_found.
    awaitable<absl::Status> settle_key(key_settled settlement, time_point deadline);

    // Waits until the key is settled and returns its entry, or the unsettled entry at the deadline. Errors:
    // not_found, store_unavailable.
    awaitable<absl::StatusOr<std::shared_ptr<const key_entry>>> wait_for_settlement(team_id team,
                                                                                    idempotency_key key,
                                                                                    time_point deadline);

    // These functions read the table of this process, which receives the batches of other processes at the
    // next refresh or append. find_job refreshes the table before it returns not_found.
    awaitable<absl::StatusOr<std::shared_ptr<const job_entry>>> find_job(job_id job, time_point deadline);
    awaitable<absl::StatusOr<std::vector<std::shared_ptr<const job_entry>>>> list_jobs(team_id team,
                                                                                       time_point deadline);
    awaitable<absl::StatusOr<std::vector<std::shared_ptr<const job_entry>>>> get_open_jobs(
        std::size_t shard, time_point deadline);
    awaitable<absl::StatusOr<std::vector<document_entry>>> list_documents(std::size_t shard,
                                                                          std::string name_prefix,
                                                                          time_point deadline);

    // Returns OK once the table contains everything that was durable at the time of the call.
    awaitable<absl::Status> refresh(std::size_t shard, time_point deadline);

    // Waits until nothing is left to write. Returns false if the deadline passes first.
    awaitable<bool> drain(time_point deadline);

    // Ends the work on all shards. Calls in progress return store_unavailable or store_outcome_unknown at
    // their deadlines.
    void stop();

    // The interval depends on the number of shards that this process owns; see design 2.2.
    void set_flush_interval(std::chrono::milliseconds interval);

    std::vector<shard_state> get_state() const;
    shard_counters get_counters() const;

private:
    struct shared_state;

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
