#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "process/backoff.hpp"
#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/journal.hpp"
#include "process/journal_record.hpp"
#include "process/shard_table.hpp"

namespace jacinthvane {

struct shard_service_options {
    process_id self;
    // Must not change while the fleet's data exists, because it determines the shard of each key.
    std::size_t shards = 8;
    shard_limits table{};
    journal_limits journal{};
    std::chrono::milliseconds flush_interval{20};
    // The timeout of one store call.
    std::chrono::milliseconds call_timeout{5000};
    std::size_t snapshot_part_bytes = 512U << 10U;
    backoff_limits backoff{};
    std::uint64_t seed = 1;
    // Measures the elapsed time recorded in batches. Waits always use the machine's clock.
    clock_source clock{};
};

// The claimant may dispatch the request once and must then settle the key with these numbers.
struct key_granted {
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 0;

    bool operator==(const key_granted&) const = default;
};

// The request has a known outcome. A repeated request receives the same response.
struct key_settled_response {
    run_knowledge run = run_knowledge::ran;
    stored_response answer{};

    bool operator==(const key_settled_response&) const = default;
};

// The key is claimed, and its request has no outcome yet.
struct key_in_progress {
    process_id claimant;
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 0;

    bool operator==(const key_in_progress&) const = default;
};

using key_claim_result = std::variant<key_granted, key_settled_response, key_in_progress>;

struct shard_counters {
    std::uint64_t batches_written = 0;
    std::uint64_t records_written = 0;
    std::uint64_t bytes_written = 0;
    std::uint64_t records_refused = 0;
    std::uint64_t records_withdrawn = 0;
    std::uint64_t writes_refused = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown_outcomes = 0;
    std::uint64_t batches_overtaken = 0;
    std::uint64_t foreign_batches = 0;
    std::uint64_t refreshes = 0;
    std::uint64_t loads = 0;
    std::uint64_t claims_given_up = 0;
    std::uint64_t claims_settled_for_caller = 0;
    std::uint64_t snapshots_written = 0;
    std::uint64_t snapshots_failed = 0;
    std::uint64_t batches_removed = 0;

    bool operator==(const shard_counters&) const = default;
};

// The state of one shard for the state dump.
struct shard_state {
    std::size_t shard = 0;
    bool is_loaded = false;
    std::uint64_t sequence = 0;
    std::uint64_t snapshot_sequence = 0;
    std::int64_t time_ms = 0;
    std::size_t pending_records = 0;
    std::size_t records_in_flight = 0;
    shard_sizes sizes{};
    shard_counters counters{};

    bool operator==(const shard_state&) const = default;
};

}  // namespace jacinthvane
