#include "process/member_table.hpp"

#include <algorithm>
#include <cmath>
#include <mutex>
#include <utility>

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds base_timeout{5000};
// A longer gap between two rounds means that this process was paused.
constexpr std::chrono::milliseconds max_round_gap{2500};
// How long the entries of gone members are kept, so that a delayed datagram does not add them again.
constexpr std::chrono::minutes gone_retention{10};
// In a fleet of more than max_receivers members, one datagram in this many rounds goes to an unresponsive
// address, so that the two sides of a network partition find each other again.
constexpr std::uint64_t unresponsive_interval = 4;
// A new or changed entry is sent with priority in this many rounds more than log2(members). Each round
// reaches max_receivers members, so all members receive the update even if some datagrams are lost.
constexpr std::uint32_t extra_update_rounds = 3;
// A hash that was not received for this many rounds is no longer requested.
constexpr std::uint64_t wanted_rounds = 8;
constexpr std::size_t max_wanted = 1024;
// The number of reports that are kept. The oldest reports are dropped first, since the VM list shows their
// upstreams as leaving, too.
constexpr std::size_t max_reports = 16384;

constexpr std::uint64_t fnv_offset = 14695981039346656037U;
constexpr std::uint64_t fnv_prime = 1099511628211U;

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) {
    std::uint64_t hash = fnv_offset ^ seed;
    for (const char c : text) {
        hash = (hash ^ static_cast<std::uint8_t>(c)) * fnv_prime;
    }
    // FNV mixes the last bytes poorly into the high bits, which dominate comparisons of hashes.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdU;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53U;
    return hash ^ (hash >> 33U);
}

bool is_present(member_state state) {
    return state != member_state::gone;
}

}  // namespace

std::uint32_t hash_team(const team_id& team) {
    return static_cast<std::uint32_t>(hash_text(team.get(), 0));
}

std::uint32_t hash_process(const process_id& process) {
    return static_cast<std::uint32_t>(hash_text(process.vm.get(), process.incarnation * fnv_prime));
}

member_table::member_table(member own, std::vector<std::string> seeds, std::uint64_t random_seed,
                           time_point now)
    : seeds_(std::move(seeds)), random_(random_seed), last_round_at_(now) {
    if (!own.details) {
        own.details.emplace();
    }
    self_ = std::make_shared<const member>(std::move(own));
}

std::chrono::milliseconds member_table::get_timeout(std::size_t members) {
    const auto rounds = std::log2(static_cast<double>(std::max<std::size_t>(1, members)));
    return base_timeout + std::chrono::milliseconds(static_cast<std::int64_t>(rounds * 1000));
}

template <class Change>
void member_table::update_self(Change change) {
    auto changed = *self_;
    change(changed);
    self_ = std::make_shared<const member>(std::move(changed));
}

void member_table::set_state(member_state state) {
    std::lock_guard lock(mutex_);
    update_self([&](member& own) { own.state = state; });
}

void member_table::set_config_version(std::uint64_t version) {
    std::lock_guard lock(mutex_);
    update_self([&](member& own) { own.config_version = std::max(own.config_version, version); });
}

void member_table::set_load(const member_capacity& capacity, std::vector<team_running> teams) {
    std::sort(teams.begin(), teams.end(), [](const auto& left, const auto& right) {
        return std::pair(right.running, left.team_hash) < std::pair(left.running, right.team_hash);
    });
    if (teams.size() > max_gossiped_teams) {
        teams.resize(max_gossiped_teams);
    }
    std::lock_guard lock(mutex_);
    update_self([&](member& own) {
        own.capacity = capacity;
        own.details->teams = std::move(teams);
    });
}

bool member_table::report_leaving(const leaving_report& report) {
    std::lock_guard lock(mutex_);
    return add_report(report);
}

bool member_table::add_report(const leaving_report& report) {
    const auto found = reports_.find(report.upstream);
    if (found != reports_.end() && found->second.first.version >= report.version) {
        return false;
    }
    reports_.insert_or_assign(report.upstream, std::pair(report, ++last_report_));
    if (reports_.size() > max_reports) {
        reports_.erase(std::min_element(
            reports_.begin(), reports_.end(),
            [](const auto& left, const auto& right) { return left.second.second < right.second.second; }));
    }
    return true;
}

member_round member_table::begin_round(time_point now) {
    std::lock_guard lock(mutex_);
    member_round round;
    ++rounds_;
    exclude_own_pause(now);
    update_observed_states(now, round.changes);

    std::vector<std::pair<std::uint64_t, leaving_report>> newest;
    for (const auto& [upstream, item] : reports_) {
        newest.emplace_back(item.second, item.first);
    }
    const auto count = std::min(max_gossiped_leaving, newest.size());
    std::partial_sort(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(count), newest.end(),
                      [](const auto& left, const auto& right) { return left.first > right.first; });
    update_self([&](member& own) {
        ++own.heartbeat;
        own.details->leaving.clear();
        for (std::size_t i = 0; i < count; ++i) {
            own.details->leaving.push_back(newest[i].second);
        }
        own.details->heard_domains = get_heard_domains(now);
        own.details->wanted = choose_wanted();
    });
    round.own = self_;
    round.receivers = choose_receivers();
    order_entries(now, round);
    requested_.clear();
    requesters_.clear();
    return round;
}

void member_table::exclude_own_pause(time_point now) {
    const auto gap = now - last_round_at_;
    last_round_at_ = now;
    if (gap <= max_round_gap) {
        return;
    }
    // This process received nothing while it was paused, so the pause must not count against other members.
    for (auto& [vm, item] : others_) {
        item.advanced_at = std::min(now, item.advanced_at + gap - round_interval);
        if (item.direct_at) {
            item.direct_at = std::min(now, *item.direct_at + gap - round_interval);
        }
    }
}

void member_table::update_observed_states(time_point now, std::vector<member_change>& changes) {
    const auto timeout = get_timeout(count_present());
    for (auto item = others_.begin(); item != others_.end();) {
        auto& [vm, observed] = *item;
        const auto unresponsive_for = now - observed.advanced_at;
        auto state = observed.entry->state;
        if (state != member_state::gone) {
            state = unresponsive_for > 2 * timeout ? member_state::gone
                    : unresponsive_for > timeout   ? member_state::suspect
                                                   : state;
        }
        set_observed_state(observed, state, changes);
        if (unresponsive_for > gone_retention) {
            erase_hash(observed.entry->process);
            item = others_.erase(item);
        } else {
            ++item;
        }
    }
}

std::size_t member_table::count_present() const {
    return 1 + static_cast<std::size_t>(std::count_if(others_.begin(), others_.end(), [](const auto& item) {
               return is_present(item.second.observed_state);
           }));
}

std::vector<std::string> member_table::get_unresponsive_addresses() const {
    std::set<std::string> addresses(seeds_.begin(), seeds_.end());
    for (const auto& [vm, item] : others_) {
        if (is_present(item.observed_state)) {
            addresses.erase(item.entry->membership_address);
        } else if (item.entry->state != member_state::gone) {
            addresses.insert(item.entry->membership_address);
        }
    }
    addresses.erase(self_->membership_address);
    return {addresses.begin(), addresses.end()};
}

std::vector<std::string> member_table::choose_receivers() {
    const auto unresponsive = get_unresponsive_addresses();
    std::vector<std::string> receivers;
    const auto add_unresponsive = [&] {
        receivers.push_back(unresponsive[next_unresponsive_++ % unresponsive.size()]);
    };
    if (!unresponsive.empty() && rounds_ % unresponsive_interval == 0) {
        add_unresponsive();
    }
    // Members whose requests can be served come first. Apart from them, a pass reaches each member once
    // before any member twice.
    std::set<vm_id> chosen;
    for (const auto& vm : requesters_) {
        const auto found = others_.find(vm);
        if (receivers.size() < max_receivers && found != others_.end() && chosen.insert(vm).second) {
            receivers.push_back(found->second.entry->membership_address);
            std::erase(pass_, vm);
        }
    }
    // Uses at most two passes: the rest of the current one and the beginning of the next one.
    for (int attempt = 0; attempt < 2 && receivers.size() < max_receivers; ++attempt) {
        while (!pass_.empty() && receivers.size() < max_receivers) {
            const auto vm = pass_.back();
            pass_.pop_back();
            const auto found = others_.find(vm);
            if (found != others_.end() && is_present(found->second.observed_state) &&
                chosen.insert(vm).second) {
                receivers.push_back(found->second.entry->membership_address);
            }
        }
        if (receivers.size() < max_receivers) {
            for (const auto& [vm, item] : others_) {
                if (is_present(item.observed_state)) {
                    pass_.push_back(vm);
                }
            }
            std::shuffle(pass_.begin(), pass_.end(), random_);
        }
    }
    for (std::size_t i = 0; i < unresponsive.size() && receivers.size() < max_receivers; ++i) {
        if (std::find(receivers.begin(), receivers.end(),
                      unresponsive[next_unresponsive_ % unresponsive.size()]) == receivers.end()) {
            add_unresponsive();
        }
    }
    return receivers;
}

void member_table::order_entries(time_point now, member_round& round) const {
    std::vector<const record*> records;
    const auto present = count_present();
    const auto timeout = get_timeout(present);
    for (const auto& [vm, item] : others_) {
        // Entries of members that are considered gone are not forwarded. The entry of a member that reported
        // that it has left is forwarded for a while.
        const bool has_just_left =
            item.entry->state == member_state::gone && now - item.advanced_at <= 2 * timeout;
        if (is_present(item.observed_state) || has_just_left) {
            records.push_back(&item);
        }
    }
    const auto update_rounds =
        extra_update_rounds + static_cast<std::uint32_t>(std::log2(static_cast<double>(present)));
    // Requested entries come first, then updates, the least often sent ones before the others. The remaining
    // entries take turns.
    const auto get_rank = [&](const record* item) {
        if (requested_.contains(item->entry->process.vm)) {
            return std::pair<std::uint64_t, std::uint64_t>(0, 0);
        }
        return item->sent_count < update_rounds
                   ? std::pair<std::uint64_t, std::uint64_t>(1, item->sent_count)
                   : std::pair<std::uint64_t, std::uint64_t>(2, item->last_sent_round);
    };
    std::sort(records.begin(), records.end(), [&](const record* left, const record* right) {
        return std::pair(get_rank(left), right->advanced_at) < std::pair(get_rank(right), left->advanced_at);
    });
    round.others.reserve(records.size());
    for (const auto* item : records) {
        round.others.push_back(item->entry);
        round.update_count += get_rank(item).first < 2 ? 1 : 0;
    }
    std::sort(records.begin(), records.end(),
              [](const record* left, const record* right) { return left->advanced_at > right->advanced_at; });
    round.pulses.reserve(records.size());
    for (const auto* item : records) {
        round.pulses.push_back(member_pulse{hash_process(item->entry->process), item->entry->heartbeat});
    }
}

void member_table::note_sent(const member_round& round, std::size_t sent_others) {
    std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < std::min(sent_others, round.others.size()); ++i) {
        const auto found = others_.find(round.others[i]->process.vm);
        if (found != others_.end()) {
            ++found->second.sent_count;
            found->second.last_sent_round = rounds_;
        }
    }
}

std::vector<failure_domain_id> member_table::get_heard_domains(time_point now) const {
    // Each member sends directly to this one once in members / max_receivers rounds. Twice that allows for
    // one lost datagram.
    const auto present = count_present();
    const auto window =
        get_timeout(present) + 2 * round_interval * static_cast<std::int64_t>(present / max_receivers);
    std::set<failure_domain_id> domains;
    for (const auto& [vm, item] : others_) {
        if (item.direct_at && now - *item.direct_at <= window) {
            domains.insert(item.entry->place.failure_domain);
        }
    }
    domains.insert(self_->place.failure_domain);
    std::vector<failure_domain_id> list(domains.begin(), domains.end());
    list.resize(std::min(list.size(), max_gossiped_domains));
    return list;
}

member_merge member_table::merge(const member_message& message, time_point now) {
    std::lock_guard lock(mutex_);
    member_merge result;
    for (std::size_t i = 0; i < message.entries.size(); ++i) {
        const auto& entry = message.entries[i];
        if (entry.process.vm == self_->process.vm) {
            merge_self(entry);
        } else {
            merge_entry(entry, i == 0, now, result);
        }
    }
    for (const auto& pulse : message.pulses) {
        merge_pulse(pulse, now, result);
    }
    return result;
}

void member_table::accept_entry_requests(const member& requester) {
    bool has_requested_entry = false;
    for (const auto hash : requester.details->wanted) {
        const auto [first, last] = by_hash_.equal_range(hash);
        for (auto item = first; item != last; ++item) {
            requested_.insert(item->second);
            has_requested_entry = true;
        }
    }
    if (has_requested_entry) {
        requesters_.push_back(requester.process.vm);
    }
}

std::vector<std::uint32_t> member_table::choose_wanted() {
    std::erase_if(wanted_, [&](const auto& item) { return item.second + wanted_rounds < rounds_; });
    std::vector<std::uint32_t> hashes;
    for (const auto& [hash, round] : wanted_) {
        hashes.push_back(hash);
    }
    // Chooses different hashes in each round, so that different members serve different requests.
    std::shuffle(hashes.begin(), hashes.end(), random_);
    hashes.resize(std::min(hashes.size(), max_gossiped_wanted));
    return hashes;
}

void member_table::merge_self(const member& entry) {
    if (entry.process.incarnation > self_->process.incarnation) {
        if (self_->state == member_state::joining && entry.membership_address == self_->membership_address) {
            // This process is bound to the same address, so the other process has ended, and the VM's clock
            // was set back since.
            update_self([&](member& own) { own.process.incarnation = entry.process.incarnation + 1; });
            return;
        }
        is_superseded_ = true;
        return;
    }
    if (entry.process.incarnation == self_->process.incarnation && entry.heartbeat > self_->heartbeat) {
        update_self([&](member& own) { own.heartbeat = entry.heartbeat; });
    }
}

void member_table::set_observed_state(record& item, member_state state, std::vector<member_change>& changes) {
    if (item.observed_state != state) {
        changes.push_back(member_change{item.entry->process, item.observed_state, state});
        item.observed_state = state;
    }
}

void member_table::merge_pulse(const member_pulse& pulse, time_point now, member_merge& result) {
    const auto [first, last] = by_hash_.equal_range(pulse.process_hash);
    if (first == last) {
        if (pulse.process_hash != hash_process(self_->process) && wanted_.size() < max_wanted) {
            wanted_[pulse.process_hash] = rounds_;
        }
        return;
    }
    if (std::next(first) != last) {
        return;
    }
    auto& item = others_.at(first->second);
    if (pulse.heartbeat <= item.entry->heartbeat || item.entry->state == member_state::gone) {
        return;
    }
    auto advanced = *item.entry;
    advanced.heartbeat = pulse.heartbeat;
    item.entry = std::make_shared<const member>(std::move(advanced));
    item.advanced_at = now;
    set_observed_state(item, item.entry->state, result.changes);
}

void member_table::merge_entry(const member& entry, bool is_direct, time_point now, member_merge& result) {
    if (is_direct && entry.details) {
        for (const auto& report : entry.details->leaving) {
            if (add_report(report)) {
                result.leaving.push_back(report);
            }
        }
        accept_entry_requests(entry);
    }
    const auto found = others_.find(entry.process.vm);
    if (found == others_.end()) {
        if (entry.state == member_state::gone) {
            return;
        }
        auto& item = others_[entry.process.vm];
        add_hash(entry.process);
        item.entry = std::make_shared<const member>(entry);
        item.observed_state = member_state::gone;
        item.content_heartbeat = entry.heartbeat;
        item.advanced_at = now;
        item.direct_at = is_direct ? std::optional(now) : std::nullopt;
        set_observed_state(item, entry.state, result.changes);
        return;
    }
    auto& item = found->second;
    const auto known = item.entry;
    if (entry.process.incarnation < known->process.incarnation) {
        return;
    }
    const bool is_replaced = entry.process.incarnation > known->process.incarnation;
    if (is_direct) {
        item.direct_at = now;
    }
    const bool is_newer_content = is_replaced || entry.heartbeat > item.content_heartbeat ||
                                  (is_direct && entry.heartbeat == item.content_heartbeat);
    if (!is_newer_content) {
        return;
    }
    if (is_replaced) {
        erase_hash(known->process);
        add_hash(entry.process);
    }
    auto merged = entry;
    const bool has_advanced = is_replaced || entry.heartbeat > known->heartbeat;
    if (!has_advanced) {
        merged.heartbeat = known->heartbeat;
    }
    if (!merged.details && !is_replaced) {
        merged.details = known->details;
    }
    const bool is_update =
        is_replaced || merged.state != known->state || merged.membership_address != known->membership_address;
    item.entry = std::make_shared<const member>(std::move(merged));
    item.content_heartbeat = entry.heartbeat;
    item.sent_count = is_update ? 0 : item.sent_count;
    if (has_advanced) {
        item.advanced_at = now;
    }
    if (has_advanced || entry.state == member_state::gone) {
        set_observed_state(item, entry.state, result.changes);
    }
}

void member_table::add_hash(const process_id& process) {
    const auto hash = hash_process(process);
    by_hash_.emplace(hash, process.vm);
    wanted_.erase(hash);
}

void member_table::erase_hash(const process_id& process) {
    const auto [first, last] = by_hash_.equal_range(hash_process(process));
    const auto found = std::find_if(first, last, [&](const auto& item) { return item.second == process.vm; });
    if (found != last) {
        by_hash_.erase(found);
    }
}

std::shared_ptr<const member> member_table::get_own() const {
    std::lock_guard lock(mutex_);
    return self_;
}

std::vector<member_view> member_table::get_others() const {
    std::lock_guard lock(mutex_);
    std::vector<member_view> views;
    views.reserve(others_.size());
    for (const auto& [vm, item] : others_) {
        views.push_back(member_view{item.entry, item.observed_state});
    }
    return views;
}

std::vector<std::shared_ptr<const member>> member_table::get_live() const {
    std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<const member>> live;
    for (const auto& [vm, item] : others_) {
        if (item.observed_state == member_state::live) {
            live.push_back(item.entry);
        }
    }
    if (self_->state == member_state::live) {
        const auto position = std::find_if(live.begin(), live.end(), [&](const auto& entry) {
            return self_->process.vm < entry->process.vm;
        });
        live.insert(position, self_);
    }
    return live;
}

member_state member_table::get_state(const process_id& process) const {
    std::lock_guard lock(mutex_);
    if (process == self_->process) {
        return self_->state;
    }
    const auto found = others_.find(process.vm);
    // A process that was replaced by a later one on its VM is gone.
    return found != others_.end() && found->second.entry->process == process ? found->second.observed_state
                                                                             : member_state::gone;
}

std::optional<process_id> member_table::get_shard_owner(std::uint32_t shard,
                                                        const region_id& store_region) const {
    std::optional<process_id> owner;
    std::pair<bool, std::uint64_t> best{false, 0};
    for (const auto& entry : get_live()) {
        // The hash leaves the incarnation out, so that a restart of the owner does not move the shard twice.
        const std::pair rank(entry->place.region == store_region,
                             hash_text(entry->process.vm.get(), (shard + 1) * fnv_prime));
        if (!owner || rank > best) {
            owner = entry->process;
            best = rank;
        }
    }
    return owner;
}

bool member_table::is_config_watcher() const {
    const auto own = get_own();
    for (const auto& entry : get_live()) {
        if (entry->place.failure_domain == own->place.failure_domain) {
            return entry->process == own->process;
        }
    }
    // No member of the domain is live yet, and a joining process needs the configuration to become live.
    return true;
}

std::optional<config_holder> member_table::get_newest_config() const {
    std::lock_guard lock(mutex_);
    std::optional<config_holder> newest;
    for (const auto& [vm, item] : others_) {
        const auto version = item.entry->config_version;
        if (is_present(item.observed_state) && version > 0 && (!newest || version > newest->version)) {
            newest = config_holder{version, item.entry->peer_address};
        }
    }
    return newest;
}

std::uint64_t member_table::get_running(const team_id& team) const {
    const auto hash = hash_team(team);
    std::lock_guard lock(mutex_);
    std::uint64_t running = 0;
    const auto add = [&](const member& entry) {
        if (!entry.details) {
            return;
        }
        for (const auto& item : entry.details->teams) {
            running += item.team_hash == hash ? item.running : 0;
        }
    };
    add(*self_);
    for (const auto& [vm, item] : others_) {
        if (is_present(item.observed_state)) {
            add(*item.entry);
        }
    }
    return running;
}

std::vector<leaving_report> member_table::get_leaving_reports() const {
    std::lock_guard lock(mutex_);
    std::vector<leaving_report> list;
    list.reserve(reports_.size());
    for (const auto& [upstream, item] : reports_) {
        list.push_back(item.first);
    }
    return list;
}

std::map<failure_domain_id, std::set<failure_domain_id>> member_table::get_visibility() const {
    std::lock_guard lock(mutex_);
    std::map<failure_domain_id, std::set<failure_domain_id>> visibility;
    const auto add = [&](const member& entry) {
        auto& heard = visibility[entry.place.failure_domain];
        if (entry.details) {
            heard.insert(entry.details->heard_domains.begin(), entry.details->heard_domains.end());
        }
    };
    add(*self_);
    for (const auto& [vm, item] : others_) {
        if (is_present(item.observed_state)) {
            add(*item.entry);
        }
    }
    return visibility;
}

bool member_table::is_superseded() const {
    std::lock_guard lock(mutex_);
    return is_superseded_;
}

}  // namespace jacinthvane
