#include "version/config_delta.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

auto get_identity(const queue_settings& queue) {
    return std::tie(queue.rules.queue, queue.host, queue.prefix);
}

auto get_identity(const queue_key& key) {
    return std::tie(key.name, key.host, key.prefix);
}

constexpr auto is_before = [](const auto& left, const auto& right) {
    return get_identity(left) < get_identity(right);
};

}  // namespace

void sort_queues(dispatch_config& config) {
    std::sort(config.queues.begin(), config.queues.end(), is_before);
}

bool is_sorted(const std::vector<queue_settings>& queues) {
    return std::is_sorted(queues.begin(), queues.end(), is_before);
}

bool is_sorted(const std::vector<queue_key>& keys) {
    return std::is_sorted(keys.begin(), keys.end());
}

config_delta make_delta(const dispatch_config& base, const dispatch_config& next) {
    config_delta delta{base.version, next.version, {}, {}, next.services, next.limits};
    auto old = base.queues.begin();
    for (const auto& queue : next.queues) {
        for (; old != base.queues.end() && is_before(*old, queue); ++old) {
            delta.removed_queues.push_back({old->rules.queue, old->host, old->prefix});
        }
        const bool is_known = old != base.queues.end() && !is_before(queue, *old);
        if (!is_known || *old != queue) {
            delta.changed_queues.push_back(queue);
        }
        old += is_known ? 1 : 0;
    }
    for (; old != base.queues.end(); ++old) {
        delta.removed_queues.push_back({old->rules.queue, old->host, old->prefix});
    }
    return delta;
}

absl::StatusOr<dispatch_config> apply_delta(const dispatch_config& base, const config_delta& delta) {
    if (base.version != delta.base_version) {
        return make_error(error_kind::version_conflict,
                          "the changes apply to version " + std::to_string(delta.base_version) +
                              ", not to version " + std::to_string(base.version));
    }
    std::vector<queue_settings> kept;
    kept.reserve(base.queues.size());
    for (const auto& queue : base.queues) {
        const bool is_replaced =
            std::binary_search(delta.changed_queues.begin(), delta.changed_queues.end(), queue, is_before) ||
            std::binary_search(delta.removed_queues.begin(), delta.removed_queues.end(), queue, is_before);
        if (!is_replaced) {
            kept.push_back(queue);
        }
    }
    dispatch_config next{delta.version, {}, delta.services, delta.limits};
    next.queues.reserve(kept.size() + delta.changed_queues.size());
    std::merge(kept.begin(), kept.end(), delta.changed_queues.begin(), delta.changed_queues.end(),
               std::back_inserter(next.queues), is_before);
    return next;
}

}  // namespace jacinthvane
