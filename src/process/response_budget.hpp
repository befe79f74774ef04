#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "process/ordered_mutex.hpp"
#include "process/rejection_log.hpp"

namespace jacinthvane {

// The memory of all responses that a process is reading. Addresses servers that send without end: when the
// memory is exhausted, the largest response ends, since one that is being read for the store or for an
// upstream within its limits is smaller than those that exhaust the memory. Safe to call from any thread.
class response_budget {
public:
    // What one response holds; it is released by the destructor.
    class share {
    public:
        // `evict` is called without a lock when the response has to end, and must not wait.
        share(std::shared_ptr<response_budget> budget, std::function<void()> evict);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        // Returns false if the response has to end.
        bool resize(std::size_t bytes) { return budget_->resize(*this, bytes); }

    private:
        friend class response_budget;

        const std::shared_ptr<response_budget> budget_;
        // Guarded by the mutex of the budget.
        std::function<void()> evict_;
        std::size_t bytes_ = 0;
        bool is_evicted_ = false;
        std::list<share*>::iterator position_;
    };

    response_budget(std::size_t max_bytes, std::shared_ptr<rejection_log> log);

    std::size_t get_used_bytes() const;
    const std::shared_ptr<rejection_log>& get_log() const { return log_; }

private:
    bool resize(share& changed, std::size_t bytes);

    const std::size_t max_bytes_;
    const std::shared_ptr<rejection_log> log_;
    mutable ordered_mutex mutex_{lock_rank::connection_budget};
    // All responses that hold something; there are few, since small responses take no share.
    std::list<share*> shares_;
    std::size_t used_bytes_ = 0;
};

// What a client accepts as a response.
struct response_limits {
    std::size_t max_body_bytes = std::size_t{64} << 20U;
    // Null if only the limit of each response applies.
    std::shared_ptr<response_budget> budget;

    bool operator==(const response_limits&) const = default;
};

}  // namespace jacinthvane
