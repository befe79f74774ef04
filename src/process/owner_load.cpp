#include "process/owner_load.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace jacinthvane {

namespace {

std::int64_t to_ms(time_point::duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

void write(std::ostringstream& text, const char* name, const owner_load::time_sum& sum) {
    text << " " << name << "=" << sum.count << " " << name << "_max_ms=" << to_ms(sum.longest);
}

}  // namespace

void owner_load::time_sum::add(time_point::duration time) {
    ++count;
    longest = std::max(longest, time);
    total += time;
}

void owner_load::add_timer(time_point due, time_point now) {
    timers_.add(std::max(now - due, time_point::duration::zero()));
}

void owner_load::add_watch(time_point::duration time, std::uint64_t changes) {
    watches_.add(time);
    watched_changes_ += changes;
}

void owner_load::add_commit(time_point::duration time, std::uint64_t jobs) {
    commits_.add(time);
    committed_jobs_ += jobs;
}

void owner_load::add_decision(time_point::duration time, std::uint64_t placements, std::uint64_t starts,
                              std::uint64_t cpu_limits) {
    decisions_.add(time);
    evaluated_placements_ += placements;
    decided_starts_ += starts;
    decided_cpu_limits_ += cpu_limits;
}

void owner_load::end_order(time_point::duration time, bool is_sent) {
    orders_.add(time);
    --orders_in_flight_;
    unsent_orders_ += is_sent ? 0 : 1;
}

void owner_load::add_query(std::uint64_t bytes) {
    ++queries_;
    query_bytes_ += bytes;
}

std::string owner_load::take_fields() {
    std::ostringstream text;
    text << "timer_late_max_ms=" << to_ms(timers_.longest);
    write(text, "decisions", decisions_);
    text << " decisions_ms=" << to_ms(decisions_.total) << " placements=" << evaluated_placements_
         << " starts=" << decided_starts_ << " cpu_limits=" << decided_cpu_limits_;
    write(text, "watches", watches_);
    text << " watched=" << watched_changes_ << " watches_failed=" << failed_watches_;
    write(text, "commits", commits_);
    text << " committed=" << committed_jobs_;
    write(text, "polls", polls_);
    text << " polls_silent=" << silent_polls_ << " polls_late=" << late_polls_;
    write(text, "orders", orders_);
    text << " orders_unsent=" << unsent_orders_ << " orders_in_flight=" << orders_in_flight_;
    text << " queries=" << queries_ << " query_bytes=" << query_bytes_;
    const auto in_flight = orders_in_flight_;
    *this = owner_load();
    orders_in_flight_ = in_flight;
    return text.str();
}

}  // namespace jacinthvane
