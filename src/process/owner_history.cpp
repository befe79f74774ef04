#include "process/owner_history.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// The oldest ones are forgotten, and then count as owners that this process did not see.
constexpr std::size_t max_owners = 16;

}  // namespace

void owner_history::record_owner(std::uint64_t token, const std::string& process, const std::string& address,
                                 time_point now) {
    if (token == 0 || (!owners_.empty() && token <= owners_.back().token)) {
        return;
    }
    owners_.push_back({token, process, address, now});
    if (owners_.size() > max_owners) {
        owners_.erase(owners_.begin());
    }
}

void owner_history::record_end(std::uint64_t token, time_point ended_by) {
    for (auto& owner : owners_) {
        if (owner.token == token) {
            owner.ended_by = std::min(owner.ended_by, ended_by);
        }
    }
}

void owner_history::record_ended_before(std::uint64_t token) {
    ended_before_ = std::max(ended_before_, token);
}

void owner_history::record_last_action(std::uint64_t token, time_point last_action) {
    const auto position = std::lower_bound(
        bounds_.begin(), bounds_.end(), token,
        [](const action_bound& bound, std::uint64_t searched) { return bound.token < searched; });
    if (position != bounds_.end() && position->token == token) {
        position->last_action = std::min(position->last_action, last_action);
        return;
    }
    bounds_.insert(position, {token, last_action});
    if (bounds_.size() > max_owners) {
        bounds_.erase(bounds_.begin());
    }
}

time_point owner_history::get_last_action_at(std::size_t position) const {
    return std::min(owners_[position].ended_by, owners_[position + 1].seen_at + proof_window_);
}

time_point owner_history::get_last_action(std::uint64_t token) const {
    auto last = get_seen_last_action(ended_before_, token);
    for (const auto& bound : bounds_) {
        const auto after_bound = get_seen_last_action(std::max(bound.token + 1, ended_before_), token);
        last = std::min(last, std::max(bound.last_action, after_bound));
    }
    return last;
}

time_point owner_history::get_seen_last_action(std::uint64_t first, std::uint64_t end) const {
    time_point last;
    if (end <= first) {
        return last;
    }
    const auto known = std::find_if(owners_.begin(), owners_.end(),
                                    [&](const seen_owner& owner) { return owner.token >= end; });
    const auto count = static_cast<std::size_t>(known - owners_.begin()) + 1;
    for (std::size_t i = 0; i < count; ++i) {
        // Owners that this process did not see had lost the cell when it saw this one.
        const auto first_unseen = std::max(i == 0 ? 1 : owners_[i - 1].token + 1, first);
        if (first_unseen < owners_[i].token) {
            last = std::max(last, owners_[i].seen_at + proof_window_);
        }
        if (i + 1 < count && owners_[i].token >= first) {
            last = std::max(last, get_last_action_at(i));
        }
    }
    return last;
}

std::vector<seen_owner> owner_history::get_possible_owners(std::uint64_t token, time_point now) const {
    std::vector<seen_owner> possible;
    for (std::size_t i = 0; i + 1 < owners_.size() && owners_[i].token < token; ++i) {
        if (owners_[i].ended_by == time_point::max() && now < get_last_action_at(i)) {
            possible.push_back(owners_[i]);
        }
    }
    return possible;
}

}  // namespace jacinthvane
