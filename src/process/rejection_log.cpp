#include "process/rejection_log.hpp"

#include <mutex>

#include <glog/logging.h>

#include "process/metrics.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::seconds line_interval{5};
constexpr std::array<std::string_view, rejection_kinds> names = {
    "evicted_idle",    "evicted_slow",      "connection_refused", "request_memory",
    "response_memory", "request_too_large", "response_too_large", "request_timeout"};

}  // namespace

std::string_view get_name(rejection kind) {
    return names.at(static_cast<std::size_t>(kind));
}

void rejection_log::record(rejection kind, time_point now) {
    if (counters_ != nullptr) {
        counters_->count_rejected(kind);
    }
    std::uint64_t unlogged = 0;
    {
        std::lock_guard lock(mutex_);
        auto& state = kinds_.at(static_cast<std::size_t>(kind));
        ++state.count;
        if (now < state.next_line_at) {
            return;
        }
        unlogged = state.count - state.logged;
        state.logged = state.count;
        state.next_line_at = now + line_interval;
    }
    LOG(WARNING) << "event=remote_side_rejected kind=" << get_name(kind) << " count=" << unlogged;
}

std::uint64_t rejection_log::get_count(rejection kind) const {
    std::lock_guard lock(mutex_);
    return kinds_.at(static_cast<std::size_t>(kind)).count;
}

}  // namespace jacinthvane
