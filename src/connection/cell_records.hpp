#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "process/ids.hpp"
#include "process/job_progress.hpp"
#include "process/job_spec.hpp"
#include "process/run_locations.hpp"
#include "process/tail_model.hpp"
#include "process/takeover_notes.hpp"
#include "process/upstream_entry.hpp"
#include "version/relay_choice.hpp"

namespace jacinthvane {

// The durable record of a cell's owner and its fencing token.
struct cell_row {
    std::uint64_t token = 0;
    std::string owner;
    // The address at which the owner serves requests of other processes.
    std::string address;

    bool operator==(const cell_row&) const = default;
};

// What an owner that cannot start further jobs in time tells the other processes.
struct overload_notice {
    std::uint64_t token = 0;
    // When jobs will probably be accepted again; 0 if they are accepted.
    std::int64_t accepts_at_unix_ms = 0;

    bool operator==(const overload_notice&) const = default;
};

// Upstreams on which an owner may have started tasks.
struct known_upstreams {
    std::vector<upstream_entry> entries;

    bool operator==(const known_upstreams&) const = default;
};

// Each record of the cell in the store is a format number followed by a cereal archive. Decoders reject
// anything that the encoders could not have written (bad_request), so a value of another program is not read
// as a record.
std::string encode_record(const accepted_job& job);
std::string encode_record(const job_progress& progress);
std::string encode_record(const cell_row& row);
std::string encode_record(const overload_notice& notice);
std::string encode_record(const known_upstreams& upstreams);
std::string encode_record(const run_locations& locations);
// Deadlines are written as the time that remains at the given reading of the clock.
std::string encode_record(const takeover_notes& notes, time_point now);
std::string encode_record(const tail_snapshot& snapshot);
std::string encode_record(const live_peer& peer);

absl::StatusOr<accepted_job> decode_accepted_job(std::string_view bytes);
absl::StatusOr<job_progress> decode_job_progress(std::string_view bytes);
absl::StatusOr<cell_row> decode_cell_row(std::string_view bytes);
absl::StatusOr<overload_notice> decode_overload_notice(std::string_view bytes);
absl::StatusOr<known_upstreams> decode_known_upstreams(std::string_view bytes);
absl::StatusOr<run_locations> decode_run_locations(std::string_view bytes);
// Deadlines count from the given time. If the record was written before, they are never earlier than those
// that were written.
absl::StatusOr<takeover_notes> decode_takeover_notes(std::string_view bytes, time_point now);
absl::StatusOr<tail_snapshot> decode_tail_snapshot(std::string_view bytes);
absl::StatusOr<live_peer> decode_live_peer(std::string_view bytes);

// Keys of the records.
constexpr std::string_view job_prefix = "jv/job/";
constexpr std::string_view progress_prefix = "jv/progress/";
// The locations of the runs of a long-running job, and the takeover notes. Owners of earlier versions ignore
// them.
constexpr std::string_view location_prefix = "jv/locations/";
constexpr std::string_view owner_prefix = "jv/owner/";
std::string make_job_key(const job_id& id);
std::string make_cancel_key(const job_id& id);
std::string make_progress_key(const job_id& id);
std::string make_location_key(const job_id& id);
std::string make_notes_key();
// Written by each takeover. The key has the prefix of the jobs, so that a previous owner that watches this
// prefix receives the takeover before any job that was accepted later.
std::string make_takeover_key();
std::string make_cell_key();
std::string make_owner_key();
// Written by an overloaded owner under the lease of its owner record, and removed by it. The key has the
// prefix of the owner record, so that every process receives it with the watch that it has anyway.
std::string make_overload_key();
std::string make_commit_key();
std::string make_upstreams_key();
std::string make_tails_key();
// The record of an entry process, under its lease.
constexpr std::string_view peer_prefix = "jv/peer/";
std::string make_peer_key(const vm_id& vm);

// The parsed form of a key under job_prefix.
struct job_key {
    job_id id;
    bool is_cancel = false;
    bool is_takeover = false;

    bool operator==(const job_key&) const = default;
};

job_key parse_job_key(std::string_view key);

}  // namespace jacinthvane
