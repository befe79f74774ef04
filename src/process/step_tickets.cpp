#include "process/step_tickets.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace jacinthvane {

namespace {

constexpr std::chrono::seconds review_interval{5};
constexpr std::chrono::milliseconds first_call_pause{250};
constexpr std::uint32_t max_pause_doublings = 3;

}  // namespace

const std::string* step_tickets::find(const upstream_id& upstream, time_point valid_after) const {
    const auto found = tickets_.find(upstream);
    const bool is_valid = found != tickets_.end() && valid_after < found->second.valid_until;
    return is_valid ? &found->second.text : nullptr;
}

step_tickets::need step_tickets::get_need(const upstream_id& upstream, time_point valid_after) const {
    if (const auto found = tickets_.find(upstream); found != tickets_.end()) {
        return valid_after < found->second.valid_until ? need::none : need::renewal;
    }
    if (const auto found = refused_.find(upstream); found != refused_.end()) {
        return valid_after < found->second ? need::none : need::review;
    }
    return need::first_answer;
}

void step_tickets::begin_call() {
    is_pending_ = true;
    ++calls_;
}

std::size_t step_tickets::limit_named(std::size_t most) const {
    return std::min(most, max_named_);
}

void step_tickets::apply_answer(const std::vector<upstream_id>& named,
                                const std::vector<std::pair<upstream_id, std::string>>& allowed,
                                time_point valid_until, time_point now) {
    is_pending_ = false;
    failures_ = 0;
    max_named_ = std::numeric_limits<std::size_t>::max();
    for (const auto& upstream : named) {
        tickets_.erase(upstream);
        refused_[upstream] = now + review_interval;
    }
    for (const auto& [upstream, text] : allowed) {
        refused_.erase(upstream);
        tickets_[upstream] = {text, valid_until};
    }
}

void step_tickets::record_failed_call(std::size_t named, bool is_late, time_point now) {
    is_pending_ = false;
    if (is_late) {
        max_named_ = std::max<std::size_t>(named / 2, 1);
    }
    next_call_ = now + first_call_pause * (1U << std::min(failures_, max_pause_doublings));
    ++failures_;
}

void step_tickets::remove(const upstream_id& upstream) {
    tickets_.erase(upstream);
}

void step_tickets::forget(const upstream_id& upstream) {
    refused_.erase(upstream);
    if (tickets_.erase(upstream) > 0 && tickets_.empty()) {
        refused_.clear();
    }
}

}  // namespace jacinthvane
