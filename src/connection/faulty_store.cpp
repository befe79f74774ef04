#include "connection/faulty_store.hpp"

#include <mutex>
#include <utility>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_value_bytes = 1U << 20U;

bool is_read_call(store_call call) {
    return call == store_call::get || call == store_call::watch;
}

absl::Status make_lost_response_error(const std::string& path) {
    return make_error(error_kind::store_outcome_unknown,
                      "the response to the write of " + path + " was lost");
}

}  // namespace

absl::Status faulty_store::check_admission(bool is_read) {
    std::lock_guard lock(mutex_);
    if (faults_.is_down) {
        return make_error(error_kind::store_unavailable, "the store is down");
    }
    const auto now = get_now(clock_);
    if (now - window_start_ >= std::chrono::seconds(1)) {
        window_start_ = now;
        reads_in_window_ = 0;
        writes_in_window_ = 0;
    }
    auto& used = is_read ? reads_in_window_ : writes_in_window_;
    const auto limit = is_read ? faults_.max_reads_per_second : faults_.max_writes_per_second;
    if (limit != 0 && used >= limit) {
        return make_error(error_kind::overloaded, "the store's limit of " + std::to_string(limit) +
                                                      (is_read ? " reads/s" : " writes/s") + " is exceeded");
    }
    ++used;
    return absl::OkStatus();
}

awaitable<absl::Status> faulty_store::admit(store_call call, time_point deadline) {
    std::chrono::milliseconds delay{0};
    {
        std::lock_guard lock(mutex_);
        ++ledger_.calls.sent.at(static_cast<std::size_t>(call));
        delay = faults_.delay;
    }
    if (delay.count() > 0) {
        const auto resume_at = std::chrono::steady_clock::now() + delay;
        const auto wait_end = std::min(resume_at, deadline);
        co_await wait_until(wait_end);
        if (resume_at > deadline) {
            // The request is dropped here. The caller cannot distinguish this from a write that took effect.
            co_return make_error(
                is_read_call(call) ? error_kind::store_unavailable : error_kind::store_outcome_unknown,
                "the store did not respond before the deadline");
        }
    }
    co_return check_admission(is_read_call(call));
}

faulty_store::write_fault faulty_store::take_write_fault() {
    std::lock_guard lock(mutex_);
    if (faults_.lose_responses > 0) {
        --faults_.lose_responses;
        return write_fault::lose_response;
    }
    if (faults_.lose_requests > 0) {
        --faults_.lose_requests;
        return write_fault::lose_request;
    }
    if (faults_.defer_writes > 0) {
        --faults_.defer_writes;
        return write_fault::defer;
    }
    return write_fault::normal;
}

void faulty_store::record_effective_write(std::size_t bytes) {
    std::lock_guard lock(mutex_);
    ++ledger_.effective_writes;
    ledger_.bytes_written += bytes;
}

awaitable<absl::StatusOr<stored_value>> faulty_store::get(std::string path, time_point deadline) {
    const auto admitted = co_await admit(store_call::get, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto value = store_.get(path);
    if (value.ok()) {
        std::lock_guard lock(mutex_);
        ledger_.bytes_read += value->bytes.size();
    }
    co_return value;
}

awaitable<absl::StatusOr<std::uint64_t>> faulty_store::compare_and_swap(std::string path,
                                                                        std::uint64_t expected_revision,
                                                                        std::string bytes, store_lease lease,
                                                                        time_point deadline) {
    const auto admitted = co_await admit(store_call::compare_and_swap, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    if (bytes.size() > max_value_bytes) {
        co_return make_error(error_kind::store_unavailable,
                             path + " would hold " + std::to_string(bytes.size()) + " bytes; at most " +
                                 std::to_string(max_value_bytes) + " are allowed");
    }
    const auto fault = take_write_fault();
    if (fault == write_fault::lose_request) {
        co_return make_lost_response_error(path);
    }
    if (fault == write_fault::defer) {
        std::lock_guard lock(mutex_);
        deferred_.push_back({path, expected_revision, bytes, lease});
        co_return make_lost_response_error(path);
    }
    auto written = store_.compare_and_swap(path, expected_revision, bytes, lease);
    if (written.ok()) {
        record_effective_write(bytes.size());
    }
    if (fault == write_fault::lose_response) {
        co_return make_lost_response_error(path);
    }
    co_return written;
}

awaitable<absl::Status> faulty_store::remove(std::string path, std::uint64_t expected_revision,
                                             time_point deadline) {
    const auto admitted = co_await admit(store_call::remove, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    const auto fault = take_write_fault();
    // A removal is never deferred, since no caller depends on a removal that takes effect late.
    if (fault == write_fault::lose_request || fault == write_fault::defer) {
        co_return make_lost_response_error(path);
    }
    auto removed = store_.remove(path, expected_revision);
    if (removed.ok()) {
        record_effective_write(0);
    }
    if (fault == write_fault::lose_response) {
        co_return make_lost_response_error(path);
    }
    co_return removed;
}

awaitable<absl::StatusOr<store_lease>> faulty_store::grant_lease(std::chrono::milliseconds time_to_live,
                                                                 time_point deadline) {
    const auto admitted = co_await admit(store_call::grant_lease, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    co_return store_.grant_lease(time_to_live);
}

awaitable<absl::Status> faulty_store::renew_lease(store_lease lease, time_point deadline) {
    const auto admitted = co_await admit(store_call::renew_lease, deadline);
    co_return admitted.ok() ? store_.renew_lease(lease) : admitted;
}

awaitable<absl::Status> faulty_store::release_lease(store_lease lease, time_point deadline) {
    const auto admitted = co_await admit(store_call::release_lease, deadline);
    co_return admitted.ok() ? store_.release_lease(lease) : admitted;
}

awaitable<absl::StatusOr<stored_value>> faulty_store::watch(std::string path, std::uint64_t seen_revision,
                                                            time_point deadline) {
    const auto admitted = co_await admit(store_call::watch, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    co_return co_await store_.watch(path, seen_revision, deadline);
}

void faulty_store::set_faults(const store_faults& faults) {
    std::lock_guard lock(mutex_);
    faults_ = faults;
}

store_faults faulty_store::get_faults() const {
    std::lock_guard lock(mutex_);
    return faults_;
}

store_ledger faulty_store::get_ledger() const {
    std::lock_guard lock(mutex_);
    return ledger_;
}

std::size_t faulty_store::apply_deferred() {
    std::vector<deferred_write> writes;
    {
        std::lock_guard lock(mutex_);
        writes.swap(deferred_);
    }
    std::size_t effective = 0;
    for (const auto& write : writes) {
        if (store_.compare_and_swap(write.path, write.expected_revision, write.bytes, write.lease).ok()) {
            record_effective_write(write.bytes.size());
            ++effective;
        }
    }
    return effective;
}

}  // namespace jacinthvane
