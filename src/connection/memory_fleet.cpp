#include "connection/memory_fleet.hpp"

#include <mutex>

namespace jacinthvane {

void memory_fleet::add(const memory_upstream::settings& given) {
    auto created = std::make_shared<memory_upstream>(given, log_);
    std::lock_guard lock(mutex_);
    upstreams_.insert_or_assign(given.upstream, std::move(created));
}

std::shared_ptr<memory_upstream> memory_fleet::find(const upstream_id& upstream) const {
    std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<memory_upstream>> memory_fleet::get_all() const {
    std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<memory_upstream>> all;
    all.reserve(upstreams_.size());
    for (const auto& [id, upstream] : upstreams_) {
        all.push_back(upstream);
    }
    return all;
}

void memory_fleet::advance_to_now(const task_id& task) const {
    for (const auto& id : log_->get_running(task)) {
        if (const auto upstream = find(id)) {
            upstream->advance_to_now();
        }
    }
}

start_log::snapshot memory_fleet::read_log() const {
    for (const auto& upstream : get_all()) {
        upstream->advance_to_now();
    }
    return log_->get_snapshot();
}

}  // namespace jacinthvane
