#include "connection/admin_limits.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>

namespace jacinthvane {

namespace {

// Entries of tokens that were rotated out remain in the table; above this number, idle entries are removed.
constexpr std::size_t max_buckets = 2048;

}  // namespace

bool admin_limits::start(const std::string& token_name, time_point now) {
    std::lock_guard lock(mutex_);
    if (buckets_.size() >= max_buckets) {
        drop_idle(now);
    }
    const auto [entry, is_new] = buckets_.try_emplace(token_name);
    auto& state = entry->second;
    if (is_new) {
        state.calls_left = rate_.burst;
        state.refilled_at = now;
    }
    const std::chrono::duration<double> elapsed = now - state.refilled_at;
    state.calls_left = std::min(rate_.burst, state.calls_left + elapsed.count() * rate_.calls_per_second);
    state.refilled_at = now;
    if (state.calls_left < 1 || state.in_progress >= rate_.calls_in_progress) {
        return false;
    }
    state.calls_left -= 1;
    ++state.in_progress;
    return true;
}

void admin_limits::finish(const std::string& token_name) {
    std::lock_guard lock(mutex_);
    if (const auto found = buckets_.find(token_name); found != buckets_.end()) {
        --found->second.in_progress;
    }
}

void admin_limits::drop_idle(time_point now) {
    const auto refill_time = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(rate_.burst / std::max(rate_.calls_per_second, 0.001)));
    std::erase_if(buckets_, [&](const auto& entry) {
        return entry.second.in_progress == 0 && now - entry.second.refilled_at >= refill_time;
    });
}

}  // namespace jacinthvane
