#include "version/relay_choice.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <tuple>
#include <utility>

namespace jacinthvane {

namespace {

// Processes that get a value from the same relay. The depth of the tree grows with its logarithm, and the
// time for one level with its value, since the copies share the link of the relay.
constexpr std::size_t max_attached = 4;

bool is_stronger(const live_peer& left, const live_peer& right) {
    return std::tie(left.link_mbps, left.processors_milli, left.process) >
           std::tie(right.link_mbps, right.processors_milli, right.process);
}

// Returns the relay of a process within a group of which these members are stronger, or nothing if there are
// none.
std::optional<live_peer> choose_among(std::vector<live_peer> stronger) {
    if (stronger.empty()) {
        return std::nullopt;
    }
    std::sort(stronger.begin(), stronger.end(), is_stronger);
    return stronger[(stronger.size() - 1) / max_attached];
}

}  // namespace

std::optional<live_peer> choose_relay(const live_peer& self, const std::vector<live_peer>& peers) {
    std::vector<live_peer> stronger_in_domain;
    std::map<failure_domain_id, live_peer> strongest_of_others;
    for (const auto& peer : peers) {
        if (peer.place.region != self.place.region) {
            continue;
        }
        if (peer.place.failure_domain == self.place.failure_domain) {
            if (is_stronger(peer, self)) {
                stronger_in_domain.push_back(peer);
            }
            continue;
        }
        const auto [known, is_new] = strongest_of_others.emplace(peer.place.failure_domain, peer);
        if (!is_new && is_stronger(peer, known->second)) {
            known->second = peer;
        }
    }
    if (!stronger_in_domain.empty()) {
        return choose_among(std::move(stronger_in_domain));
    }
    std::vector<live_peer> stronger_domains;
    for (const auto& [domain, strongest] : strongest_of_others) {
        if (is_stronger(strongest, self)) {
            stronger_domains.push_back(strongest);
        }
    }
    return choose_among(std::move(stronger_domains));
}

}  // namespace jacinthvane
