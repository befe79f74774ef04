#include "process/link_budget.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>

namespace jacinthvane {

namespace {

// The part of the bucket that is reserved for urgent frames.
constexpr std::int64_t urgent_reserve_percent = 50;

}  // namespace

link_budget::link_budget(std::int64_t bytes_per_second, std::int64_t burst_bytes, time_point now)
    : bytes_per_second_(std::max<std::int64_t>(1, bytes_per_second)),
      burst_bytes_(std::max<std::int64_t>(1, burst_bytes)),
      tokens_(static_cast<double>(burst_bytes_)),
      refilled_at_(now) {}

std::int64_t link_budget::get_share(std::int64_t processes) {
    return link_bytes_per_second / std::max<std::int64_t>(1, processes);
}

void link_budget::set_rate(std::int64_t bytes_per_second, time_point now) {
    std::lock_guard lock(mutex_);
    refill(now);
    bytes_per_second_ = std::max<std::int64_t>(1, bytes_per_second);
}

std::optional<time_point> link_budget::spend_urgent(std::size_t bytes, time_point now) {
    std::lock_guard lock(mutex_);
    const auto retry_at = spend(static_cast<std::int64_t>(bytes), 0, now);
    spending_.urgent_bytes += retry_at ? 0 : bytes;
    return retry_at;
}

std::optional<time_point> link_budget::spend_bulk(std::size_t bytes, time_point now) {
    std::lock_guard lock(mutex_);
    const auto retry_at =
        spend(static_cast<std::int64_t>(bytes), burst_bytes_ * urgent_reserve_percent / 100, now);
    spending_.bulk_bytes += retry_at ? 0 : bytes;
    return retry_at;
}

link_spending link_budget::get_spending() const {
    std::lock_guard lock(mutex_);
    return spending_;
}

std::optional<time_point> link_budget::spend(std::int64_t bytes, std::int64_t reserved_bytes,
                                             time_point now) {
    refill(now);
    // A frame larger than the bucket would wait forever, so it passes when the bucket is full and makes the
    // token count negative.
    const auto needed = static_cast<double>(std::min(bytes + reserved_bytes, burst_bytes_));
    if (tokens_ >= needed) {
        tokens_ -= static_cast<double>(bytes);
        return std::nullopt;
    }
    ++spending_.waits;
    const auto seconds =
        std::chrono::duration<double>((needed - tokens_) / static_cast<double>(bytes_per_second_));
    // Adds one microsecond, so that rounding down never makes the next attempt fail.
    return now + std::chrono::duration_cast<time_point::duration>(seconds) + std::chrono::microseconds(1);
}

void link_budget::refill(time_point now) {
    if (now <= refilled_at_) {
        return;
    }
    const auto passed = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(static_cast<double>(burst_bytes_),
                       tokens_ + passed * static_cast<double>(bytes_per_second_));
    refilled_at_ = now;
}

}  // namespace jacinthvane
