#include "connection/cell_records.hpp"

#include <algorithm>
#include <utility>

#include "connection/record_archive.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::string_view cancel_suffix = "/cancel";
// A job id cannot have this form, so the key never collides with that of a job.
constexpr std::string_view takeover_name = "!takeover";
// The same for the key of the locations.
constexpr std::string_view notes_name = "!notes";
// There is only one cell.
constexpr std::string_view cell_name = "0";
constexpr std::size_t max_upstreams = 20000;
constexpr std::size_t max_lease_bounds = 1024;
constexpr std::size_t max_images = 256;
constexpr std::size_t max_crashed_runs = 64;

}  // namespace

// cereal finds these functions by argument-dependent lookup.

template <class Archive>
void serialize(Archive& archive, step_spec& step) {
    archive(step.task_count, step.size, step.estimated_ms);
    serialize_list(archive, step.after, max_steps);
    archive(step.saves_checkpoints, step.is_gang, step.prefers_one_rack, step.is_speculative,
            step.is_long_running, step.is_best_effort);
    archive(step.required_label, step.data_rack, step.image, step.max_per_upstream, step.target_tail_ms,
            step.disruption_budget);
}

template <class Archive>
void serialize(Archive& archive, job_spec& spec) {
    archive(spec.payload);
    serialize_list(archive, spec.steps, max_steps);
    archive(spec.occurrences, spec.first_due_unix_ms, spec.period_ms);
}

template <class Archive>
void serialize(Archive& archive, accepted_job& job) {
    archive(job.rules, job.spec, job.accepted_unix_ms);
}

template <class Archive>
void serialize(Archive& archive, task_history& history) {
    archive(history.index);
    serialize_list(archive, history.failed_runs, max_tasks_per_job);
    archive(history.checkpoint);
}

template <class Archive>
void serialize(Archive& archive, step_progress& step) {
    archive(step.occurrence, step.step);
    serialize_list(archive, step.done_tasks, max_tasks_per_job);
    serialize_list(archive, step.histories, max_tasks_per_job);
    archive(step.is_done);
}

template <class Archive>
void serialize(Archive& archive, task_crashes& crashes) {
    archive(crashes.occurrence, crashes.step, crashes.index);
    serialize_list(archive, crashes.runs, max_crashed_runs);
}

// The list of crashes is at the end of the record and left out if it is empty, as in records that were
// written before there was one.
template <class Archive>
void serialize_crashes(Archive& archive, job_progress& progress) {
    if constexpr (Archive::is_loading::value) {
        if (archive.get_remaining() == 0) {
            return;
        }
    } else if (progress.crashes.empty()) {
        return;
    }
    serialize_list(archive, progress.crashes, max_tasks_per_job);
}

template <class Archive>
void serialize(Archive& archive, job_progress& progress) {
    archive(progress.queue);
    serialize_enum(archive, progress.state, job_phase::cancelled);
    archive(progress.first_open_occurrence);
    serialize_list(archive, progress.done_occurrences, max_occurrences);
    serialize_list(archive, progress.steps, max_tasks_per_job);
    archive(progress.ended_unix_ms);
    serialize_crashes(archive, progress);
}

template <class Archive>
void serialize(Archive& archive, cell_row& row) {
    archive(row.token, row.owner, row.address);
}

template <class Archive>
void serialize(Archive& archive, overload_notice& notice) {
    archive(notice.token, notice.accepts_at_unix_ms);
}

template <class Archive>
void serialize(Archive& archive, upstream_entry& entry) {
    archive(entry.id, entry.service, entry.address, entry.failure_domain);
    serialize_list(archive, entry.labels, max_steps);
    archive(entry.capacity, entry.is_leaving, entry.remaining_ms, entry.boot_unix_ms);
}

template <class Archive>
void serialize(Archive& archive, known_upstreams& known) {
    serialize_list(archive, known.entries, max_upstreams);
}

template <class Archive>
void serialize(Archive& archive, task_location& location) {
    archive(location.occurrence, location.step, location.index, location.upstream, location.run);
}

template <class Archive>
void serialize(Archive& archive, run_locations& locations) {
    serialize_list(archive, locations.tasks, max_tasks_per_job);
}

template <class Archive>
void serialize(Archive& archive, silent_upstream& silent) {
    archive(silent.upstream, silent.granting_token);
}

template <class Archive>
void serialize(Archive& archive, lease_bound& bound) {
    archive(bound.token, bound.ends_by);
}

template <class Archive>
void serialize(Archive& archive, foreign_lease& lease) {
    archive(lease.upstream, lease.ends_by);
}

// The list is at the end of the record and left out by earlier versions.
template <class Archive>
void serialize_foreign_leases(Archive& archive, takeover_notes& notes) {
    if constexpr (Archive::is_loading::value) {
        if (archive.get_remaining() == 0) {
            return;
        }
        notes.foreign_leases.emplace();
    } else if (!notes.foreign_leases) {
        return;
    }
    serialize_list(archive, *notes.foreign_leases, max_upstreams);
}

template <class Archive>
void serialize(Archive& archive, takeover_notes& notes) {
    archive(notes.has_complete_locations);
    serialize_list(archive, notes.silent, max_upstreams);
    archive(notes.ended_before);
    serialize_list(archive, notes.lease_bounds, max_lease_bounds);
    serialize_foreign_leases(archive, notes);
}

template <class Archive>
void serialize(Archive& archive, tail_snapshot::pair_weight& weight) {
    archive(weight.mean_milli, weight.variance_milli);
}

template <class Archive>
void serialize(Archive& archive, tail_snapshot& snapshot) {
    serialize_list(archive, snapshot.images, max_images);
    serialize_list(archive, snapshot.weights, max_images * max_images);
}

template <class Archive>
void serialize(Archive& archive, live_peer& peer) {
    archive(peer.process, peer.address, peer.place, peer.link_mbps, peer.processors_milli);
}

std::string encode_record(const accepted_job& job) {
    return encode_with_format(job);
}
std::string encode_record(const job_progress& progress) {
    return encode_with_format(progress);
}
std::string encode_record(const cell_row& row) {
    return encode_with_format(row);
}
std::string encode_record(const overload_notice& notice) {
    return encode_with_format(notice);
}
std::string encode_record(const known_upstreams& upstreams) {
    return encode_with_format(upstreams);
}

std::string encode_record(const run_locations& locations) {
    return encode_with_format(locations);
}
std::string encode_record(const takeover_notes& notes, time_point now) {
    return encode_with_format(notes, now);
}

std::string encode_record(const tail_snapshot& snapshot) {
    return encode_with_format(snapshot);
}

std::string encode_record(const live_peer& peer) {
    return encode_with_format(peer);
}

absl::StatusOr<accepted_job> decode_accepted_job(std::string_view bytes) {
    auto job = decode_with_format<accepted_job>(bytes, "job record");
    if (!job.ok()) {
        return job;
    }
    if (auto status = check_job_spec(job->spec); !status.ok()) {
        return status;
    }
    return job;
}

absl::StatusOr<job_progress> decode_job_progress(std::string_view bytes) {
    return decode_with_format<job_progress>(bytes, "progress record");
}

absl::StatusOr<cell_row> decode_cell_row(std::string_view bytes) {
    return decode_with_format<cell_row>(bytes, "cell row");
}

absl::StatusOr<overload_notice> decode_overload_notice(std::string_view bytes) {
    return decode_with_format<overload_notice>(bytes, "notice of overload");
}

absl::StatusOr<known_upstreams> decode_known_upstreams(std::string_view bytes) {
    return decode_with_format<known_upstreams>(bytes, "list of known upstreams");
}

absl::StatusOr<run_locations> decode_run_locations(std::string_view bytes) {
    return decode_with_format<run_locations>(bytes, "record of locations");
}

absl::StatusOr<takeover_notes> decode_takeover_notes(std::string_view bytes, time_point now) {
    return decode_with_format<takeover_notes>(bytes, "takeover notes", now);
}

absl::StatusOr<tail_snapshot> decode_tail_snapshot(std::string_view bytes) {
    auto snapshot = decode_with_format<tail_snapshot>(bytes, "record of learned tail latencies");
    if (!snapshot.ok()) {
        return snapshot;
    }
    if (snapshot->weights.size() != snapshot->images.size() * snapshot->images.size()) {
        return make_error(error_kind::bad_request, "the record of learned tail latencies has " +
                                                       std::to_string(snapshot->weights.size()) +
                                                       " weights for " +
                                                       std::to_string(snapshot->images.size()) + " images");
    }
    return snapshot;
}

absl::StatusOr<live_peer> decode_live_peer(std::string_view bytes) {
    return decode_with_format<live_peer>(bytes, "record of a process");
}

std::string make_job_key(const job_id& id) {
    return std::string(job_prefix) + id.get();
}
std::string make_cancel_key(const job_id& id) {
    return make_job_key(id) + std::string(cancel_suffix);
}
std::string make_progress_key(const job_id& id) {
    return std::string(progress_prefix) + id.get();
}
std::string make_location_key(const job_id& id) {
    return std::string(location_prefix) + id.get();
}

std::string make_notes_key() {
    return std::string(location_prefix) + std::string(notes_name);
}

std::string make_takeover_key() {
    return std::string(job_prefix) + std::string(takeover_name);
}
std::string make_cell_key() {
    return "jv/cell/" + std::string(cell_name);
}
std::string make_owner_key() {
    return std::string(owner_prefix) + std::string(cell_name);
}
std::string make_overload_key() {
    return make_owner_key() + "/overload";
}
std::string make_commit_key() {
    return "jv/commit/" + std::string(cell_name);
}
std::string make_upstreams_key() {
    return "jv/upstreams/" + std::string(cell_name);
}
std::string make_tails_key() {
    return "jv/tails/" + std::string(cell_name);
}

std::string make_peer_key(const vm_id& vm) {
    return std::string(peer_prefix) + vm.get();
}

job_key parse_job_key(std::string_view key) {
    key.remove_prefix(std::min(job_prefix.size(), key.size()));
    if (key == takeover_name) {
        return {job_id(), false, true};
    }
    const bool is_cancel = key.ends_with(cancel_suffix);
    if (is_cancel) {
        key.remove_suffix(cancel_suffix.size());
    }
    return {job_id(std::string(key)), is_cancel, false};
}

}  // namespace jacinthvane
