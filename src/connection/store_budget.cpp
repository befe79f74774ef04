#include "connection/store_budget.hpp"

#include <algorithm>
#include <mutex>

namespace jacinthvane {

namespace {

bool is_lease_call(store_call call) {
    return call == store_call::grant_lease || call == store_call::renew_lease ||
           call == store_call::release_lease;
}

std::chrono::nanoseconds get_interval(std::uint64_t calls_per_second) {
    return std::chrono::nanoseconds(std::chrono::seconds(1)) /
           static_cast<std::int64_t>(std::max<std::uint64_t>(1, calls_per_second));
}

}  // namespace

std::string_view get_name(store_call call) {
    switch (call) {
        case store_call::get:
            return "get";
        case store_call::compare_and_swap:
            return "compare_and_swap";
        case store_call::remove:
            return "remove";
        case store_call::grant_lease:
            return "grant_lease";
        case store_call::renew_lease:
            return "renew_lease";
        case store_call::release_lease:
            return "release_lease";
        case store_call::watch:
            return "watch";
    }
    return "unknown";
}

store_budget::store_budget(std::uint64_t calls_per_second, std::uint64_t burst)
    : interval_(get_interval(calls_per_second)),
      burst_span_(interval_ * static_cast<std::int64_t>(std::max<std::uint64_t>(1, burst) - 1)) {}

std::optional<time_point> store_budget::reserve(store_call call, time_point now, time_point deadline) {
    std::lock_guard lock(mutex_);
    const auto slot = std::max(next_slot_, now - burst_span_);
    const auto send_at = is_lease_call(call) ? now : std::max(now, slot);
    if (send_at > deadline) {
        ++counts_.refused;
        return std::nullopt;
    }
    next_slot_ = slot + interval_;
    ++counts_.sent.at(static_cast<std::size_t>(call));
    counts_.delayed += send_at > now ? 1 : 0;
    return send_at;
}

store_call_counts store_budget::get_counts() const {
    std::lock_guard lock(mutex_);
    return counts_;
}

}  // namespace jacinthvane
