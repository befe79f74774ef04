#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/caller_codec.hpp"
#include "connection/peer_message.hpp"
#include "process/ordered_mutex.hpp"
#include "request/admission.hpp"
#include "request/process_hooks.hpp"
#include "request/retry_policy.hpp"
#include "request/shard_service.hpp"

namespace jacinthvane {

struct request_options {
    admission_settings admission{};
    retry_settings retry{};
    routing_rules routing{};
    std::uint64_t seed = 1;
    // How long the owner of a shard waits for the settlement of a key before it responds to a repeated
    // request.
    std::chrono::milliseconds settlement_wait{1000};

    bool operator==(const request_options&) const = default;
};

struct request_counters {
    std::atomic<std::uint64_t> accepted = 0;
    std::atomic<std::uint64_t> answered = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> forwarded = 0;
    std::atomic<std::uint64_t> forwarded_across_regions = 0;
    std::atomic<std::uint64_t> queued = 0;
    std::atomic<std::uint64_t> retried = 0;
    std::atomic<std::uint64_t> claims = 0;
    std::atomic<std::uint64_t> claims_abandoned = 0;
    std::atomic<std::uint64_t> repeats_answered = 0;
    std::atomic<std::uint64_t> unknown_outcomes = 0;
};

// Serves urgent requests: claims the key of a non-idempotent request, finds an upstream of this process or of
// a peer, waits in the admission queue when none has room, and retries failures that may be retried.
// Thread-safe.
class request_service {
public:
    request_service(asio::io_context& context, shard_service& shards, process_hooks hooks,
                    request_options options);

    request_service(const request_service&) = delete;
    request_service& operator=(const request_service&) = delete;

    // Starts the loop that assigns freed capacity to waiting requests.
    void start();
    void stop();

    // Serves a client's request. An error status carries whether the request may have run.
    awaitable<absl::StatusOr<task_response>> handle(caller_request request);

    // Serves a request that another entry process forwarded, only on the upstreams of this process.
    awaitable<absl::StatusOr<task_response>> run_for_peer(dispatch_request request);

    // Claims and settles keys on behalf of another entry process; this process owns the shard.
    awaitable<absl::StatusOr<claim_key_reply>> claim_for_peer(claim_key_request request);
    awaitable<absl::Status> settle_for_peer(settle_key_request request);

    // Notifies the service that an upstream has room again, so that a waiting request can be tried.
    void notify_capacity();

    // Waits until every claim of this process is settled. Returns false if the deadline passes first.
    awaitable<bool> drain(time_point deadline);

    const request_counters& get_counters() const { return counters_; }
    std::size_t get_queue_length(task_class work_class) const;
    std::size_t get_open_claims() const;

private:
    using key_name = std::pair<team_id, idempotency_key>;

    struct held_claim {
        std::uint64_t claim_number = 0;
        std::uint64_t generation = 1;
    };
    struct waiting_ticket {
        async_signal signal;
        std::optional<absl::Status> refusal;
        bool is_admitted = false;
    };

    awaitable<absl::StatusOr<task_response>> run_once(caller_request request);
    awaitable<absl::StatusOr<task_response>> run_claimed(caller_request request, held_claim claim);
    awaitable<absl::StatusOr<claim_key_reply>> claim(const caller_request& request);
    // Returns false if a request of this process holds the key.
    bool try_hold_claim(const key_name& name);
    void release_claim(const key_name& name);
    // Settles a claim of unknown outcome as not-run, so that a repeated request may claim the key again. Only
    // for claims for which nothing was dispatched.
    awaitable<void> abandon_claim(key_name name, time_point deadline);
    // Repeats the settlement until it is durable or the journal refuses it, then releases the claim.
    awaitable<void> settle_until_durable(key_settled settlement);

    awaitable<absl::StatusOr<task_response>> run_with_retries(task_start start,
                                                              std::optional<idempotency_key> key);
    awaitable<absl::StatusOr<task_response>> run_anywhere(task_start start,
                                                          std::optional<idempotency_key> key);
    awaitable<absl::StatusOr<task_response>> run_on_peer(const route_target& target,
                                                         const dispatch_request& request);
    awaitable<absl::Status> wait_in_queue(const task_start& start);
    // Admits one waiting request for each upstream slot that was freed, and one per retry interval, since
    // room on other processes becomes known only by sending them a request.
    awaitable<void> call_waiting_requests();
    void refuse_waiting(const std::vector<waiting_request>& requests, error_kind kind);

    asio::io_context& context_;
    shard_service& shards_;
    const process_hooks hooks_;
    const request_options options_;
    request_counters counters_;
    mutable ordered_mutex mutex_{lock_rank::admission};
    admission_queue queue_;
    retry_policy retry_;
    std::mt19937_64 random_;
    admission_ticket last_ticket_ = 0;
    std::map<admission_ticket, std::shared_ptr<waiting_ticket>> tickets_;
    std::map<key_name, held_claim> claims_;
    std::uint64_t freed_slots_ = 0;
    async_signal capacity_changed_;
    async_signal claim_settled_;
    std::atomic<bool> is_stopped_ = false;
};

}  // namespace jacinthvane
