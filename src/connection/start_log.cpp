#include "connection/start_log.hpp"

#include <algorithm>
#include <mutex>

namespace jacinthvane {

namespace {

resource_vector get_componentwise_max(const resource_vector& left, const resource_vector& right) {
    return {std::max(left.get_processors_milli(), right.get_processors_milli()),
            std::max(left.get_memory_mb(), right.get_memory_mb()),
            std::max(left.get_accelerators(), right.get_accelerators()),
            std::max(left.get_slots(), right.get_slots())};
}

}  // namespace

void start_log::add_upstream(const upstream_id& upstream, const resource_vector& size) {
    std::lock_guard lock(mutex_);
    upstreams_[upstream].size = size;
}

void start_log::record_start(const logged_start& start, const resource_vector& committed) {
    std::lock_guard lock(mutex_);
    starts_.push_back(start);
    auto& upstream = upstreams_[start.upstream];
    upstream.most_committed = get_componentwise_max(upstream.most_committed, committed);
    if (!committed.is_within(upstream.size)) {
        ++upstream.overcommitted_starts;
    }
    auto& running = running_[start.task];
    running.insert(start.upstream);
    if (running.size() > 1) {
        concurrent_tasks_.insert(start.task);
    }
}

void start_log::record_end(const upstream_id& upstream, const task_id& task) {
    std::lock_guard lock(mutex_);
    const auto found = running_.find(task);
    if (found == running_.end()) {
        return;
    }
    const auto entry = found->second.find(upstream);
    if (entry != found->second.end()) {
        found->second.erase(entry);
    }
    if (found->second.empty()) {
        running_.erase(found);
    }
}

std::vector<upstream_id> start_log::get_running(const task_id& task) const {
    std::lock_guard lock(mutex_);
    const auto found = running_.find(task);
    return found == running_.end() ? std::vector<upstream_id>{}
                                   : std::vector<upstream_id>(found->second.begin(), found->second.end());
}

start_log::snapshot start_log::get_snapshot() const {
    std::lock_guard lock(mutex_);
    snapshot copy;
    copy.starts = starts_;
    copy.upstreams = upstreams_;
    for (const auto& [id, upstream] : upstreams_) {
        copy.overcommitted_starts += upstream.overcommitted_starts;
    }
    copy.concurrent_tasks.assign(concurrent_tasks_.begin(), concurrent_tasks_.end());
    return copy;
}

}  // namespace jacinthvane
