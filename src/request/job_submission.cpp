#include "request/job_submission.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "process/error_kind.hpp"
#include "process/stable_hash.hpp"
#include "request/peer_queries.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t peer_connections = 4;
// The counts of 4,445 queues with names of up to 200 bytes are 1 MB.
constexpr std::size_t max_report_bytes = 4U << 20U;
// Timeout of one write attempt. A second attempt follows if the outcome of the first is unknown.
constexpr milliseconds write_timeout{700};
constexpr milliseconds owner_timeout{500};
constexpr milliseconds max_status_age{1000};

time_point get_deadline(milliseconds timeout, time_point latest) {
    return std::min(std::chrono::steady_clock::now() + timeout, latest);
}

}  // namespace

job_submission::job_submission(asio::io_context& context, cell_store store,
                               std::shared_ptr<cell_member> member, metrics& counters)
    : store_(std::move(store)),
      member_(std::move(member)),
      metrics_(counters),
      peers_(context, peer_connections, {max_report_bytes, member_->get_responses()}) {}

awaitable<absl::Status> job_submission::submit(queue_rules rules, job_id id, job_spec spec,
                                               time_point deadline) {
    if (const auto retry_after_ms = member_->get_retry_after_ms(); retry_after_ms > 0) {
        co_return co_await refuse_unless_known(std::move(id), retry_after_ms, deadline);
    }
    accepted_job job;
    job.rules = std::move(rules);
    job.spec = std::move(spec);
    job.accepted_unix_ms = get_unix_ms();
    store_transaction transaction;
    transaction.conditions = {{make_job_key(id), 0}, {make_progress_key(id), 0}};
    transaction.writes = {{make_job_key(id), encode_record(job), 0}};
    bool is_unknown = false;
    // Returned if there is no attempt: the job is not stored now, but an earlier submission may have stored
    // it.
    absl::Status last =
        make_error(error_kind::deadline_exceeded, "the deadline passed before the job was sent to the store");
    constexpr int attempts = 2;
    for (int attempt = 0; attempt < attempts && std::chrono::steady_clock::now() < deadline; ++attempt) {
        const auto result = co_await store_.transact(transaction, get_deadline(write_timeout, deadline));
        member_->record_store_call(result.ok());
        if (result.ok()) {
            // A job that already exists was accepted before, so a repeated submission gets the same response.
            LOG(INFO) << "event=job_accepted job=" << id.get() << " queue=" << job.rules.queue
                      << " repeat=" << !result->is_applied << " revision=" << result->revision;
            metrics_.count(decision::job_accepted);
            co_return absl::OkStatus();
        }
        last = result.status();
        is_unknown = is_unknown || get_error_kind(last) == error_kind::store_outcome_unknown;
        if (!is_unknown) {
            break;
        }
    }
    LOG(INFO) << "event=job_not_accepted job=" << id.get() << " queue=" << job.rules.queue
              << " unknown=" << is_unknown << " error=\"" << last.message() << "\"";
    // A write with an unknown outcome may still take effect, so the response must not say that the job never
    // runs.
    co_return is_unknown ? make_error(error_kind::store_outcome_unknown, std::string(last.message())) : last;
}

awaitable<absl::Status> job_submission::refuse_unless_known(job_id id, std::int64_t retry_after_ms,
                                                            time_point deadline) {
    // In this order: the transaction that writes the final progress also removes the job record.
    for (const auto& key : {make_job_key(id), make_progress_key(id)}) {
        const auto item = co_await store_.get(key, get_deadline(write_timeout, deadline));
        member_->record_store_call(item.ok());
        if (!item.ok()) {
            co_return make_error(error_kind::store_outcome_unknown,
                                 "job " + id.get() + " may have been accepted before, and the store does " +
                                     "not tell: " + std::string(item.status().message()));
        }
        if (item->revision > 0) {
            co_return absl::OkStatus();
        }
    }
    LOG(INFO) << "event=job_refused job=" << id.get() << " retry_after_ms=" << retry_after_ms;
    metrics_.count_refused(error_kind::overloaded);
    // Callers that were refused at the same time come back at different ones.
    constexpr std::int64_t spread_percent = 50;
    const auto spread = static_cast<std::int64_t>(get_stable_hash(id.get()) % spread_percent);
    co_return make_refusal(error_kind::overloaded, "the cell cannot start further jobs in time",
                           retry_after_ms * (100 + spread) / 100);
}

awaitable<absl::Status> job_submission::cancel(job_id id, time_point deadline) {
    store_transaction transaction;
    // The marker is written even if the job does not exist, since its creation may still be in flight.
    transaction.writes = {{make_cancel_key(id), std::string("1"), 0}};
    absl::Status last = make_error(error_kind::store_unavailable,
                                   "the deadline passed before the cancellation was sent to the store");
    while (std::chrono::steady_clock::now() < deadline) {
        const auto result = co_await store_.transact(transaction, get_deadline(write_timeout, deadline));
        member_->record_store_call(result.ok());
        if (result.ok()) {
            LOG(INFO) << "event=cancel_accepted job=" << id.get() << " revision=" << result->revision;
            metrics_.count(decision::job_cancelled);
            co_return absl::OkStatus();
        }
        last = result.status();
        if (get_error_kind(last) != error_kind::store_outcome_unknown) {
            break;
        }
    }
    LOG(INFO) << "event=cancel_failed job=" << id.get() << " error=\"" << last.message() << "\"";
    co_return last;
}

awaitable<absl::StatusOr<job_phase>> job_submission::get_state(std::string queue, job_id id,
                                                               time_point deadline) {
    auto state = co_await query_owner(queue, id, get_deadline(owner_timeout, deadline));
    if (state.ok()) {
        co_return state;
    }
    // The owner may not have received a new job yet, or the cell may have no owner.
    co_return co_await read_state(queue, id, deadline);
}

awaitable<absl::StatusOr<job_phase>> job_submission::query_owner(std::string queue, job_id id,
                                                                 time_point deadline) {
    const auto owner = member_->get_owner();
    if (owner != nullptr && owner->is_loaded()) {
        const auto state = owner->get_state(id, queue);
        if (state) {
            co_return *state;
        }
        co_return make_error(error_kind::not_found, "the owner does not have the job");
    }
    const auto row = member_->get_owner_row();
    if (!row) {
        co_return make_error(error_kind::peer_unreachable, "the cell has no owner");
    }
    const auto query = make_state_query(queue, id);
    const auto response = co_await peers_.fetch(row->address, query, deadline);
    if (!response.ok()) {
        co_return make_error(error_kind::peer_unreachable, std::string(response.status().message()));
    }
    co_return read_state_response(*response);
}

awaitable<absl::StatusOr<job_phase>> job_submission::read_state(std::string queue, job_id id,
                                                                time_point deadline) {
    // The transaction that writes the final progress also removes the job record. The job record is read
    // first, so that if it is absent, the progress read after it contains the final state.
    const std::string job_key = make_job_key(id);
    const auto job = co_await store_.get(job_key, get_deadline(write_timeout, deadline));
    member_->record_store_call(job.ok());
    if (!job.ok()) {
        co_return job.status();
    }
    if (job->revision > 0) {
        const auto decoded = decode_accepted_job(job->value);
        if (!decoded.ok() || decoded->rules.queue != queue) {
            co_return make_error(error_kind::not_found, "queue " + queue + " has no job " + id.get());
        }
        co_return job_phase::queued;
    }
    const std::string progress_key = make_progress_key(id);
    const auto progress = co_await store_.get(progress_key, get_deadline(write_timeout, deadline));
    member_->record_store_call(progress.ok());
    if (!progress.ok()) {
        co_return progress.status();
    }
    const auto decoded = decode_job_progress(progress->value);
    if (progress->revision == 0 || !decoded.ok() || decoded->queue != queue) {
        co_return make_error(error_kind::not_found, "queue " + queue + " has no job " + id.get());
    }
    co_return decoded->state;
}

awaitable<absl::StatusOr<std::vector<queue_status>>> job_submission::get_statuses(time_point deadline) {
    const auto owner = member_->get_owner();
    if (owner != nullptr && owner->is_loaded()) {
        co_return owner->get_queue_statuses();
    }
    {
        std::lock_guard lock(mutex_);
        if (std::chrono::steady_clock::now() < statuses_read_at_ + max_status_age) {
            co_return statuses_;
        }
    }
    const auto row = member_->get_owner_row();
    if (!row) {
        co_return make_error(error_kind::peer_unreachable, "the cell has no owner");
    }
    const auto query = make_status_query();
    const auto requested_at = std::chrono::steady_clock::now();
    const auto response = co_await peers_.fetch(row->address, query, get_deadline(owner_timeout, deadline));
    if (!response.ok()) {
        co_return make_error(error_kind::peer_unreachable, std::string(response.status().message()));
    }
    auto statuses = read_status_response(*response);
    if (statuses.ok()) {
        std::lock_guard lock(mutex_);
        statuses_ = *statuses;
        statuses_read_at_ = requested_at;
    }
    co_return statuses;
}

awaitable<absl::StatusOr<std::uint64_t>> job_submission::count_pending(std::string queue,
                                                                       time_point deadline) {
    const auto statuses = co_await get_statuses(deadline);
    if (!statuses.ok()) {
        co_return statuses.status();
    }
    const auto found = std::find_if(statuses->begin(), statuses->end(),
                                    [&](const queue_status& status) { return status.queue == queue; });
    co_return found == statuses->end() ? 0 : found->pending;
}

}  // namespace jacinthvane
