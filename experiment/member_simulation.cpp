#include "experiment/member_simulation.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <numeric>
#include <utility>
#include <variant>

#include "connection/member_codec.hpp"

namespace jacinthvane {

namespace {

constexpr std::array<std::string_view, 4> domains = {"tunis-a", "bizerte-a", "sfax-a", "sfax-b"};
constexpr std::size_t seed_count = 3;

std::string make_address(std::size_t index, int port) {
    return "10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "." +
           std::to_string(index % 256) + ":" + std::to_string(port);
}

}  // namespace

member_simulation::member_simulation(std::size_t members, std::uint64_t seed)
    : random_(seed),
      keys_({"0123456789abcdef0123456789abcdef"}),
      nodes_(members),
      now_(std::chrono::hours(1)) {
    for (std::size_t i = 0; i < members; ++i) {
        by_address_.emplace(make_address(i, 7403), i);
        start(i);
    }
}

member member_simulation::make_member(std::size_t index) const {
    const auto domain = domains[index % domains.size()];
    member entry;
    entry.process = process_id{vm_id("racines-entry-" + std::to_string(index)), nodes_[index].incarnation};
    entry.place = location{region_id(index % domains.size() < 2 ? "tn-nord" : "tn-sud"),
                           failure_domain_id(std::string(domain))};
    entry.caller_address = make_address(index, 7400);
    entry.peer_address = make_address(index, 7402);
    entry.membership_address = make_address(index, 7403);
    entry.state = member_state::live;
    return entry;
}

void member_simulation::start(std::size_t index) {
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(seed_count, nodes_.size()); ++i) {
        seeds.push_back(make_address(i, 7403));
    }
    nodes_[index].table = std::make_unique<member_table>(make_member(index), seeds, random_(), now_);
    nodes_[index].is_paused = false;
}

void member_simulation::restart(std::size_t index) {
    ++nodes_[index].incarnation;
    start(index);
}

void member_simulation::run_round() {
    ++rounds_;
    std::vector<std::size_t> order(nodes_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), random_);
    for (const auto index : order) {
        if (!nodes_[index].is_paused) {
            send_round(index);
        }
    }
    now_ += member_table::round_interval;
}

void member_simulation::run_rounds(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        run_round();
    }
}

std::size_t member_simulation::run_until(const std::function<bool()>& condition, std::size_t limit) {
    for (std::size_t round = 0; round <= limit; ++round) {
        if (condition()) {
            return round;
        }
        run_round();
    }
    return limit + 1;
}

void member_simulation::send_round(std::size_t index) {
    auto& table = *nodes_[index].table;
    const auto round = table.begin_round(now_);
    for (const auto& change : round.changes) {
        ++changes_[change.to];
    }
    const auto datagram = encode_members(round, keys_);
    table.note_sent(round, datagram.other_count);
    largest_datagram_ = std::max(largest_datagram_, datagram.bytes.size());
    for (const auto& receiver : round.receivers) {
        ++sent_datagrams_;
        sent_bytes_ += datagram.bytes.size();
        const auto found = by_address_.find(receiver);
        const bool is_lost = std::uniform_real_distribution<>(0, 1)(random_) < loss_;
        if (found == by_address_.end() || is_lost || nodes_[found->second].is_paused ||
            (filter_ && !filter_(index, found->second))) {
            continue;
        }
        const auto decoded = decode_members(datagram.bytes, keys_);
        auto& target = *nodes_[found->second].table;
        target.merge(std::get<member_message>(decoded), now_);
        // A member that is notified of a newer configuration fetches it and then announces that version as
        // its own.
        if (const auto newest = target.get_newest_config()) {
            target.set_config_version(newest->version);
        }
    }
}

bool member_simulation::is_state_agreed(std::size_t index, member_state state) {
    const auto process = make_member(index).process;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (i != index && !nodes_[i].is_paused && nodes_[i].table->get_state(process) != state) {
            return false;
        }
    }
    return true;
}

bool member_simulation::all_live_known() {
    const auto running = static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const auto& item) { return !item.is_paused; }));
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& item) {
        return item.is_paused || item.table->get_live().size() == running;
    });
}

std::uint64_t member_simulation::get_changes_to(member_state state) const {
    const auto found = changes_.find(state);
    return found == changes_.end() ? 0 : found->second;
}

}  // namespace jacinthvane
