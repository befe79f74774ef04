#include "process/link_pacer.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t bytes_per_megabit = 1'000'000 / 8;
// Share of the link for polls. The rest is for orders, the store, callers and other processes.
constexpr double poll_share = 0.45;
// Start orders in flight may take the link for this long.
constexpr milliseconds max_start_queue{120};
// Before any was sent.
constexpr double assumed_start_bytes = 1000;
// Start orders that may be in flight on any link, so that a slow one still starts tasks.
constexpr std::size_t min_starts = 4;
constexpr double average_rate = 0.02;
// Longer pauses would let leases end between two polls if one of them is lost.
constexpr milliseconds max_poll_pause{1800};

// Slower responses show a queue that more calls would only lengthen.
constexpr milliseconds long_response_time{500};
constexpr double max_slowdown = 4;

}  // namespace

link_pacer::link_pacer(std::int64_t link_mbps)
    : bytes_per_second_(std::max<std::int64_t>(link_mbps, 0) * bytes_per_megabit) {}

void link_pacer::add_poll(time_point now, std::size_t sent_bytes, std::size_t received_bytes) {
    if (bytes_per_second_ == 0) {
        return;
    }
    const auto bytes = static_cast<double>(std::max(sent_bytes, received_bytes)) * get_slowdown();
    const std::chrono::duration<double> time(bytes / (static_cast<double>(bytes_per_second_) * poll_share));
    polls_carried_at_ =
        std::max(polls_carried_at_, now) + std::chrono::duration_cast<time_point::duration>(time);
}

void link_pacer::begin_start(std::size_t bytes) {
    ++starts_in_flight_;
    bytes_in_flight_ += bytes;
    const auto size = static_cast<double>(bytes);
    start_bytes_ = start_bytes_ > 0 ? start_bytes_ + (size - start_bytes_) * average_rate : size;
}

void link_pacer::end_start(std::size_t bytes) {
    --starts_in_flight_;
    bytes_in_flight_ -= bytes;
}

double link_pacer::get_slowdown() const {
    const auto ratio =
        static_cast<double>(response_time_.count()) / static_cast<double>(long_response_time.count());
    return std::clamp(ratio, 1.0, max_slowdown);
}

double link_pacer::count_fitting_starts() const {
    const auto window = static_cast<double>(bytes_per_second_ * max_start_queue.count()) / 1000.0;
    return window / (start_bytes_ > 0 ? start_bytes_ : assumed_start_bytes);
}

bool link_pacer::is_link_narrow() const {
    return bytes_per_second_ > 0 && count_fitting_starts() < static_cast<double>(max_starts_in_flight);
}

std::size_t link_pacer::get_free_starts() const {
    const auto fitting =
        is_link_narrow() ? count_fitting_starts() : static_cast<double>(max_starts_in_flight);
    const auto slowed = static_cast<std::size_t>(fitting / get_slowdown());
    const auto limit = std::clamp(slowed, min_starts, max_starts_in_flight);
    return limit - std::min(limit, starts_in_flight_);
}

milliseconds link_pacer::get_poll_pause(time_point now) const {
    const auto excess = std::chrono::duration_cast<milliseconds>(polls_carried_at_ - now);
    return std::clamp(excess, milliseconds(0), max_poll_pause);
}

}  // namespace jacinthvane
