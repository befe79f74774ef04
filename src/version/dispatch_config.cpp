#include "version/dispatch_config.hpp"

#include <algorithm>

namespace jacinthvane {

const queue_settings* dispatch_config::find_queue(std::string_view host, std::string_view path) const {
    const queue_settings* best = nullptr;
    for (const auto& queue : queues) {
        const bool is_match = queue.host == host && path.starts_with(queue.prefix);
        if (is_match && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const queue_settings* dispatch_config::find_queue(std::string_view name) const {
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&](const queue_settings& queue) { return queue.rules.queue == name; });
    return found == queues.end() ? nullptr : &*found;
}

const service_settings* dispatch_config::find_service(std::string_view name) const {
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const service_settings& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

}  // namespace jacinthvane
