#include "command/state_dump.hpp"

#include <nlohmann/json.hpp>

namespace jacinthvane {

namespace {

nlohmann::json to_json(const resource_vector& size) {
    return {{"processors_milli", size.get_processors_milli()},
            {"memory_mb", size.get_memory_mb()},
            {"accelerators", size.get_accelerators()},
            {"slots", size.get_slots()}};
}

nlohmann::json to_json(const capacity_state& state) {
    auto slices = nlohmann::json::array();
    for (const auto& slice : state.slices) {
        slices.push_back({{"slice", slice.slice},
                          {"epoch", slice.epoch},
                          {"handing_over", slice.is_handing_over},
                          {"reserved_permille", slice.reserved_permille}});
    }
    auto upstreams = nlohmann::json::array();
    for (const auto& upstream : state.upstreams) {
        upstreams.push_back({{"upstream", upstream.upstream.get()},
                             {"slice", upstream.slice},
                             {"open", upstream.is_open},
                             {"leaving", upstream.is_leaving},
                             {"answering", upstream.is_responsive},
                             {"size", to_json(upstream.size)},
                             {"committed", to_json(upstream.committed)},
                             {"tasks", upstream.tasks}});
    }
    const auto& counters = state.counters;
    return {{"has_lease", state.has_lease},
            {"term_valid", state.is_term_valid},
            {"share_permille", state.share_permille},
            {"replaced", state.is_replaced},
            {"ownership_revision", state.ownership_revision},
            {"slices", slices},
            {"upstreams", upstreams},
            {"counters",
             {{"starts", counters.starts},
              {"starts_refused", counters.starts_refused},
              {"starts_unconfirmed", counters.starts_unconfirmed},
              {"lists", counters.lists},
              {"list_failures", counters.list_failures},
              {"renewals", counters.renewals},
              {"renewal_failures", counters.renewal_failures},
              {"adopted", counters.adopted},
              {"vanished", counters.vanished},
              {"store_calls", counters.store_calls},
              {"store_failures", counters.store_failures},
              {"slices_claimed", counters.slices_claimed},
              {"slices_handed_over", counters.slices_handed_over},
              {"slices_lost", counters.slices_lost},
              {"terms_lapsed", counters.terms_lapsed}}}};
}

nlohmann::json to_json(const shard_state& shard) {
    return {{"shard", shard.shard},
            {"loaded", shard.is_loaded},
            {"sequence", shard.sequence},
            {"snapshot_sequence", shard.snapshot_sequence},
            {"pending_records", shard.pending_records},
            {"records_in_flight", shard.records_in_flight},
            {"keys", shard.sizes.keys},
            {"jobs", shard.sizes.jobs},
            {"open_jobs", shard.sizes.open_jobs},
            {"batches_written", shard.counters.batches_written},
            {"records_written", shard.counters.records_written},
            {"conflicts", shard.counters.conflicts},
            {"unknown_outcomes", shard.counters.unknown_outcomes},
            {"snapshots_written", shard.counters.snapshots_written}};
}

nlohmann::json to_json(const request_counters& counters) {
    return {{"accepted", counters.accepted.load()},
            {"answered", counters.answered.load()},
            {"refused", counters.refused.load()},
            {"forwarded", counters.forwarded.load()},
            {"forwarded_across_regions", counters.forwarded_across_regions.load()},
            {"queued", counters.queued.load()},
            {"retried", counters.retried.load()},
            {"claims", counters.claims.load()},
            {"claims_abandoned", counters.claims_abandoned.load()},
            {"repeats_answered", counters.repeats_answered.load()},
            {"unknown_outcomes", counters.unknown_outcomes.load()}};
}

nlohmann::json to_json(const job_counters& counters) {
    return {{"accepted", counters.accepted.load()},   {"started", counters.started.load()},
            {"finished", counters.finished.load()},   {"refused_starts", counters.refused_starts.load()},
            {"stopped", counters.stopped.load()},     {"resumed", counters.resumed.load()},
            {"cancelled", counters.cancelled.load()}, {"parked", counters.parked.load()},
            {"checks", counters.checks.load()},       {"reports_sent", counters.reports_sent.load()}};
}

}  // namespace

std::string_view get_state_name(member_state state) {
    switch (state) {
        case member_state::joining:
            return "joining";
        case member_state::live:
            return "live";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::gone:
            return "gone";
    }
    return "gone";
}

std::string write_state_dump(const process_state& state) {
    auto members = nlohmann::json::array();
    for (const auto& view : state.members) {
        members.push_back({{"process", view.entry->process.to_string()},
                           {"failure_domain", view.entry->place.failure_domain.get()},
                           {"region", view.entry->place.region.get()},
                           {"state", std::string(get_state_name(view.state))},
                           {"heartbeat", view.entry->heartbeat},
                           {"config_version", view.entry->config_version},
                           {"peer_address", view.entry->peer_address}});
    }
    auto shards = nlohmann::json::array();
    for (const auto& shard : state.shards) {
        shards.push_back(to_json(shard));
    }
    const nlohmann::json result = {{"process", state.self.to_string()},
                                   {"region", state.place.region.get()},
                                   {"failure_domain", state.place.failure_domain.get()},
                                   {"ready", state.is_ready},
                                   {"config_version", state.config_version},
                                   {"capacity", to_json(state.capacity)},
                                   {"shards", shards},
                                   {"members", members},
                                   {"links",
                                    {{"opened", state.links.opened},
                                     {"replaced", state.links.replaced},
                                     {"calls", state.links.calls},
                                     {"calls_unreachable", state.links.calls_unreachable},
                                     {"calls_lost", state.links.calls_lost}}},
                                   {"requests", to_json(state.requests)},
                                   {"jobs", to_json(state.jobs)},
                                   {"open_claims", state.open_claims},
                                   {"queued_urgent", state.queued_urgent},
                                   {"driven_jobs", state.driven_jobs},
                                   {"unsent_reports", state.unsent_reports}};
    return result.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace jacinthvane
