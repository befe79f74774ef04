#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "connection/memory_upstreams.hpp"
#include "process/owner_history.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

// A scheduler and simulated upstreams on one virtual clock. Commits are durable at once unless delays_commits
// is set.
class cell_fixture {
public:
    explicit cell_fixture(std::size_t upstream_count, resource_vector capacity = {16000, 64000, 0, 0},
                          const cell_limits& wanted_limits = {});

    // Makes a job with these steps. It fails once one of its tasks has failed max_attempts times.
    static accepted_job make_job(std::vector<step_spec> steps, std::uint32_t max_attempts = 3);
    static step_spec make_step(std::uint32_t tasks, std::int64_t processors_milli = 1000);

    void add_job(const std::string& id, const accepted_job& job, std::int64_t work_ms = 1000);
    // Advances the virtual time in small steps, each with polls, decisions, orders and commits.
    void run_for(std::chrono::milliseconds span);
    // Replaces the owner by one with a higher fencing token and the progress committed so far. It has the
    // stored list of upstreams unless has_upstream_list is false.
    void take_over(bool has_upstream_list = true);
    // The same, before the next owner has read the platform's list.
    void take_over_from_list();
    void add_upstream(const std::string& id, resource_vector capacity = {16000, 64000, 0, 0});
    // Lists an upstream again that is not listed.
    void list_upstream(const upstream_id& id);
    // Has each upstream accept a start, so that it may get several at a time.
    void prove_upstreams();
    // Has the next owner be a process that starts now: of all owners it sees only the present one.
    void restart_next_owner();

    clock_reading read_clock() const;
    job_phase get_state(const std::string& id) const;

    const cell_limits limits;
    std::shared_ptr<manual_clock> clock;
    std::map<std::string, simulated_task> behaviors;
    memory_upstreams upstreams;
    std::unique_ptr<cell_scheduler> scheduler;
    std::uint64_t token = 1;
    bool delays_commits = false;
    bool may_start = true;
    bool is_polling = true;
    // Whether the platform lists an upstream that has restarted, without a change, as soon as a report shows
    // the new incarnation.
    bool registers_restarts = true;
    // With limits.evacuation_bound: the failure domains that are evacuated in the store, and whether the
    // store can be read.
    std::set<failure_domain_id> evacuated;
    bool is_store_readable = true;
    // Returns true for an order that is lost: it gets no response and is not carried out.
    std::function<bool(const upstream_order&)> loses_order;
    // Returns true for an order that its upstream leaves unanswered: it holds one of the connections to the
    // upstream until its deadline, and further orders wait for one.
    std::function<bool(const upstream_order&)> holds_order;
    // Returns a response in place of that of the upstream, which then does not receive the order.
    std::function<std::optional<order_response>(const upstream_order&)> answers_order;
    std::vector<upstream_entry> entries;
    std::map<job_id, accepted_job> accepted;
    std::map<job_id, job_progress> committed;
    std::map<job_id, run_locations> locations;
    // The silent upstreams in the store, with the last owner that may have granted leases there.
    std::map<upstream_id, std::uint64_t> silent;
    // What the store has on the leases of earlier owners.
    std::vector<lease_bound> lease_bounds;
    std::vector<foreign_lease> foreign_leases;
    owner_history history{cell_limits().proof_window};
    // Whether the store has the locations of all long-running jobs, as with an owner before that records
    // them.
    bool has_complete_locations = true;

private:
    // An order without a response yet.
    struct held_order {
        upstream_order order;
        order_response response;
        time_point responds_at;
    };

    void begin_takeover();
    void step();
    void register_restart(upstream_entry& entry, const upstream_report& report);
    void read_evacuations();
    void send(const upstream_order& order);
    void apply_held_orders();
    std::size_t count_held_orders(const upstream_id& upstream) const;
    void commit();

    std::map<upstream_id, time_point> next_poll_;
    std::vector<held_order> held_orders_;
};

}  // namespace jacinthvane
