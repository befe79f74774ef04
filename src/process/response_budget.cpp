#include "process/response_budget.hpp"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace jacinthvane {

response_budget::share::share(std::shared_ptr<response_budget> budget, std::function<void()> evict)
    : budget_(std::move(budget)), evict_(std::move(evict)) {
    std::lock_guard lock(budget_->mutex_);
    position_ = budget_->shares_.insert(budget_->shares_.end(), this);
}

response_budget::share::~share() {
    std::lock_guard lock(budget_->mutex_);
    budget_->shares_.erase(position_);
    budget_->used_bytes_ -= bytes_;
}

response_budget::response_budget(std::size_t max_bytes, std::shared_ptr<rejection_log> log)
    : max_bytes_(max_bytes), log_(std::move(log)) {}

std::size_t response_budget::get_used_bytes() const {
    std::lock_guard lock(mutex_);
    return used_bytes_;
}

bool response_budget::resize(share& changed, std::size_t bytes) {
    std::vector<std::function<void()>> evictions;
    bool has_room = false;
    {
        std::lock_guard lock(mutex_);
        if (changed.is_evicted_) {
            return false;
        }
        used_bytes_ = used_bytes_ - changed.bytes_ + bytes;
        changed.bytes_ = bytes;
        while (used_bytes_ > max_bytes_ && !changed.is_evicted_) {
            const auto largest = std::max_element(
                shares_.begin(), shares_.end(),
                [](const auto* left, const auto* right) { return left->bytes_ < right->bytes_; });
            // The share stays listed, without bytes, until its response has ended.
            used_bytes_ -= (*largest)->bytes_;
            (*largest)->bytes_ = 0;
            (*largest)->is_evicted_ = true;
            evictions.push_back((*largest)->evict_);
        }
        has_room = !changed.is_evicted_;
    }
    for (const auto& evict : evictions) {
        log_->record(rejection::response_memory, std::chrono::steady_clock::now());
        evict();
    }
    return has_room;
}

}  // namespace jacinthvane
