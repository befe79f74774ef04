#include "version/queue_index.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace jacinthvane {

queue_index::queue_index(std::shared_ptr<const dispatch_config> config) : config_(std::move(config)) {
    queues_by_name_.reserve(config_->queues.size());
    for (const auto& queue : config_->queues) {
        queues_by_name_.emplace(queue.rules.queue, &queue);
        auto& routes = routes_by_host_[queue.host];
        routes.queues_by_prefix.emplace(queue.prefix, &queue);
        auto& lengths = routes.prefix_lengths;
        const auto length = queue.prefix.size();
        const auto position = std::lower_bound(lengths.begin(), lengths.end(), length, std::greater<>());
        if (position == lengths.end() || *position != length) {
            lengths.insert(position, length);
        }
    }
}

const queue_settings* queue_index::find_route(std::string_view host, std::string_view path) const {
    const auto routes = routes_by_host_.find(host);
    if (routes == routes_by_host_.end()) {
        return nullptr;
    }
    for (const auto length : routes->second.prefix_lengths) {
        if (length > path.size()) {
            continue;
        }
        const auto found = routes->second.queues_by_prefix.find(path.substr(0, length));
        if (found != routes->second.queues_by_prefix.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const queue_settings* queue_index::find_queue(std::string_view name) const {
    const auto found = queues_by_name_.find(name);
    return found == queues_by_name_.end() ? nullptr : found->second;
}

}  // namespace jacinthvane
