// Leases that upstreams hold, and what owners tell each other of them; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// Covers the rounding to whole milliseconds on the owner's and the upstream's side.
constexpr std::chrono::milliseconds rounding_margin{100};
// The response to an order arrives at most this long after a report that was made later. A later one counts
// as that of another incarnation.
constexpr std::chrono::milliseconds max_response_age{2500};
// The notes for the next owner are in milliseconds, and round down.
constexpr std::chrono::milliseconds note_rounding_margin{1};
// Owners before this one whose leases are told apart for the next one.
constexpr std::uint64_t max_bounded_owners = 16;

}  // namespace

std::chrono::milliseconds cell_scheduler::get_longest_time(std::chrono::milliseconds on_upstream) const {
    const std::chrono::milliseconds on_this_clock =
        on_upstream * 1000 / (1000 - limits_.clock_drift_permille);
    return on_this_clock + rounding_margin;
}

std::chrono::milliseconds cell_scheduler::get_longest_lease() const {
    return get_longest_time(limits_.max_lease);
}

std::chrono::milliseconds cell_scheduler::get_longest_foreign_lease() const {
    return get_longest_time(std::max(limits_.max_lease, limits_.max_accepted_lease));
}

time_point cell_scheduler::get_leases_end(std::uint64_t granting_token) const {
    return history_.get_last_action(granting_token + 1) + get_longest_lease();
}

time_point cell_scheduler::get_inherited_leases_end(const upstream_ledger& upstream) const {
    const auto end = std::max(get_leases_end(upstream.granting_token), upstream.foreign_leases_expire_at);
    return upstream.may_have_inherited_foreign_leases
               ? std::max(end, get_foreign_leases_end(upstream.granting_token))
               : end;
}

time_point cell_scheduler::get_foreign_leases_end(std::uint64_t granting_token) const {
    return history_.get_last_action(granting_token + 1) + get_longest_foreign_lease();
}

void cell_scheduler::set_owner_history(const owner_history& history) {
    history_ = history;
    apply_takeover_notes();
    for (auto& [id, upstream] : upstreams_) {
        // Without a run, this owner has granted no lease there.
        if (upstream.may_have_inherited_runs && upstream.runs.empty()) {
            upstream.leases_expire_at =
                std::min(upstream.leases_expire_at, get_inherited_leases_end(upstream));
        }
    }
}

void cell_scheduler::record_ended_before(std::uint64_t token) {
    ended_before_ = std::max(ended_before_, token);
    apply_takeover_notes();
}

void cell_scheduler::record_lease_bounds(std::vector<lease_bound> bounds) {
    lease_bounds_ = std::move(bounds);
    apply_takeover_notes();
}

void cell_scheduler::apply_takeover_notes() {
    history_.record_ended_before(ended_before_);
    for (const auto& bound : lease_bounds_) {
        history_.record_last_action(bound.token, bound.ends_by - get_longest_lease());
    }
}

std::uint64_t cell_scheduler::get_ended_before(time_point now) const {
    for (auto token = token_; token > get_first_bounded_token(); --token) {
        if (now >= get_leases_end(token - 1)) {
            return token;
        }
    }
    return ended_before_;
}

std::uint64_t cell_scheduler::get_first_bounded_token() const {
    return std::max(ended_before_, token_ - std::min(token_, max_bounded_owners));
}

std::vector<lease_bound> cell_scheduler::get_lease_bounds(time_point now) const {
    std::vector<lease_bound> bounds;
    const auto first = std::max(get_ended_before(now), get_first_bounded_token());
    for (auto token = first; token < token_; ++token) {
        bounds.push_back({token, get_leases_end(token) + note_rounding_margin});
    }
    return bounds;
}

void cell_scheduler::record_foreign_leases(std::optional<std::vector<foreign_lease>> leases) {
    foreign_leases_ = std::move(leases);
}

std::vector<foreign_lease> cell_scheduler::get_foreign_leases(time_point now) const {
    std::vector<foreign_lease> leases;
    for (const auto& [id, upstream] : upstreams_) {
        const auto end = upstream.may_have_inherited_foreign_leases ? get_inherited_leases_end(upstream)
                                                                    : upstream.foreign_leases_expire_at;
        if (now < end) {
            leases.push_back({id, end + note_rounding_margin});
        }
    }
    return leases;
}

void cell_scheduler::expect_leases_of_incarnation(upstream_ledger& upstream, incarnation_source source,
                                                  time_point now) {
    upstream.leases_expire_at = now;
    upstream.failed_polls_after_expiry = conclusive_failed_polls;
    upstream.may_have_inherited_runs = false;
    upstream.may_have_inherited_foreign_leases = false;
    if (source == incarnation_source::listing && now < get_foreign_leases_end(token_ - 1)) {
        // An upstream forgets the fencing token when it restarts, so until it has received that of this
        // owner, it carries out orders of the previous one.
        upstream.may_have_inherited_runs = true;
        upstream.may_have_inherited_foreign_leases = true;
        upstream.granting_token = token_ - 1;
        upstream.leases_expire_at = get_foreign_leases_end(token_ - 1);
    }
    if (source == incarnation_source::report && now < get_foreign_leases_end(token_ - 1)) {
        // Earlier owners may have granted leases to this incarnation before it received the new token.
        const auto inherited_end =
            std::min(get_foreign_leases_end(token_ - 1), now + get_longest_foreign_lease());
        upstream.foreign_leases_expire_at = inherited_end;
        upstream.leases_expire_at = std::max(upstream.leases_expire_at, inherited_end);
    }
    if (upstream.has_unknown_incarnations()) {
        count_foreign_lease(upstream, now);
    }
}

void cell_scheduler::count_foreign_lease(upstream_ledger& upstream, time_point received_by) {
    const auto ends_by = received_by + get_longest_foreign_lease();
    upstream.foreign_leases_expire_at = std::max(upstream.foreign_leases_expire_at, ends_by);
    if (upstream.leases_expire_at < ends_by) {
        upstream.leases_expire_at = ends_by;
        upstream.failed_polls_after_expiry = 0;
    }
}

void cell_scheduler::record_lease_call(upstream_ledger& upstream, std::int64_t boot_unix_ms, bool is_answered,
                                       time_point now) {
    if (boot_unix_ms != upstream.boot_unix_ms) {
        count_foreign_lease(upstream, now);
    }
    (is_answered ? upstream.lease_answered_at : upstream.lease_unanswered_at) = now;
}

time_point cell_scheduler::get_foreign_calls_end(const upstream_ledger& upstream) {
    // This incarnation received a call that was answered before the poll was made that it last reported to.
    const bool may_be_foreign = upstream.lease_answered_at > upstream.reported_poll_at;
    return may_be_foreign ? std::max(upstream.lease_answered_at, upstream.lease_unanswered_at)
                          : upstream.lease_unanswered_at;
}

void cell_scheduler::record_unanswered_poll(const upstream_id& id, time_point now) {
    if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
        record_exposed_poll(found->second, false, now);
    }
}

void cell_scheduler::record_exposed_poll(upstream_ledger& upstream, bool is_answered, time_point now) {
    if (const auto boot = std::exchange(upstream.exposed_poll_boot_unix_ms, std::nullopt)) {
        record_lease_call(upstream, *boot, is_answered, now);
    }
}

void cell_scheduler::record_lease_in_start(upstream_ledger& upstream, const start_order& order,
                                           const order_response& response, time_point now) {
    if (!may_have_renewed_lease(response.result)) {
        return;
    }
    const bool fits = fits_clock(upstream, response.clock_ms, now);
    // The clock of a later incarnation that has begun at 0 shows at most the time since the last report.
    const bool is_young = response.clock_ms <= get_time_since_report(upstream, now).count();
    if (order.boot_unix_ms == upstream.boot_unix_ms && fits && !is_young) {
        return;
    }
    const bool is_answered = is_answer(response.result);
    record_lease_call(upstream, order.boot_unix_ms, is_answered, now);
    if (is_answered && upstream.clock_ms > 0 && !fits) {
        // The reading shows a restart that no report may show before the upstream becomes silent.
        count_foreign_lease(upstream, now);
    }
}

std::chrono::milliseconds cell_scheduler::get_time_since_report(const upstream_ledger& upstream,
                                                                time_point now) const {
    return get_longest_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - upstream.reported_poll_at));
}

bool cell_scheduler::fits_clock(const upstream_ledger& upstream, std::int64_t clock_ms,
                                time_point now) const {
    return clock_ms >= upstream.clock_ms - max_response_age.count() &&
           clock_ms <= upstream.clock_ms + get_time_since_report(upstream, now).count();
}

std::int64_t cell_scheduler::grant_lease(upstream_ledger& upstream, std::chrono::milliseconds length,
                                         time_point now) {
    if (upstream.clock_ms == 0) {
        return 0;
    }
    const auto until = upstream.estimate_clock_ms(now) + length.count();
    const std::chrono::milliseconds left(until - upstream.clock_ms);
    const auto expires_at =
        upstream.clock_read_at + left * 1000 / (1000 - limits_.clock_drift_permille) + rounding_margin;
    upstream.leases_expire_at = std::max(upstream.leases_expire_at, expires_at);
    upstream.failed_polls_after_expiry = 0;
    return until;
}

}  // namespace jacinthvane
