#include "tests/cell_fixture.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/test/unit_test.hpp>

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds time_step{20};
constexpr std::chrono::milliseconds poll_interval{40};
constexpr std::chrono::milliseconds order_timeout{600};
// Connections for the orders to one upstream.
constexpr std::size_t order_connections = 3;
const std::string service = "tree";
const std::string queue = "merges";

}  // namespace

cell_fixture::cell_fixture(std::size_t upstream_count, resource_vector capacity,
                           const cell_limits& wanted_limits)
    : limits(wanted_limits),
      clock(std::make_shared<manual_clock>()),
      upstreams(clock, [this](const task_ref& task) { return behaviors[task.job.get()]; }) {
    scheduler = std::make_unique<cell_scheduler>(limits, token, clock->get_now());
    history.record_owner(token, std::to_string(token), std::string(), clock->get_now());
    for (std::size_t i = 0; i < upstream_count; ++i) {
        add_upstream("u" + std::to_string(i), capacity);
    }
    scheduler->record_upstreams(entries);
}

void cell_fixture::add_upstream(const std::string& id, resource_vector capacity) {
    upstream_entry entry;
    entry.id = upstream_id(id);
    entry.service = service;
    entry.address = id;
    entry.failure_domain = failure_domain_id("zone" + std::to_string(entries.size() % 2));
    entry.labels = {"a", "rack" + std::to_string(entries.size() / 2)};
    entry.capacity = capacity;
    entry.boot_unix_ms = 1;
    upstreams.add(entry);
    entries.push_back(entry);
    scheduler->list_upstream(entry, clock->get_now());
}

void cell_fixture::list_upstream(const upstream_id& id) {
    for (const auto& entry : entries) {
        if (entry.id == id) {
            scheduler->list_upstream(entry, clock->get_now());
        }
    }
}

accepted_job cell_fixture::make_job(std::vector<step_spec> steps, std::uint32_t max_attempts) {
    accepted_job job;
    job.rules.queue = queue;
    job.rules.service = service;
    job.rules.max_attempts = max_attempts;
    job.rules.objective_ms = 400;
    job.spec.payload = "payload";
    job.spec.steps = std::move(steps);
    return job;
}

step_spec cell_fixture::make_step(std::uint32_t tasks, std::int64_t processors_milli) {
    step_spec step;
    step.task_count = tasks;
    step.size = resource_vector(processors_milli, 1000, 0, 0);
    step.estimated_ms = 1000;
    return step;
}

void cell_fixture::add_job(const std::string& id, const accepted_job& job, std::int64_t work_ms) {
    const auto& step = job.spec.steps.front();
    auto& behavior = behaviors[id];
    behavior.size = step.size;
    behavior.work_ms = work_ms;
    behavior.is_long_running = step.is_long_running;
    behavior.saves_checkpoints = step.saves_checkpoints;
    accepted[job_id(id)] = job;
    scheduler->add_job(job_id(id), std::make_shared<const accepted_job>(job), nullptr, false, read_clock());
}

clock_reading cell_fixture::read_clock() const {
    const auto since = clock->get_now().time_since_epoch();
    return {clock->get_now(), std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

job_phase cell_fixture::get_state(const std::string& id) const {
    const auto state = scheduler->get_state(job_id(id), queue);
    BOOST_REQUIRE(state.has_value());
    return *state;
}

void cell_fixture::run_for(std::chrono::milliseconds span) {
    const auto end = clock->get_now() + span;
    while (clock->get_now() < end) {
        step();
    }
}

void cell_fixture::step() {
    clock->advance(time_step);
    upstreams.advance();
    const auto now = clock->get_now();
    for (auto& entry : entries) {
        if (!is_polling || now < next_poll_[entry.id] || scheduler->find_upstream(entry.id) == nullptr) {
            continue;
        }
        next_poll_[entry.id] = now + poll_interval;
        const auto* known = scheduler->find_upstream(entry.id);
        const auto poll = scheduler->make_poll(entry.id, now, !known->is_unresponsive, may_start);
        const auto response = upstreams.poll_now(entry.address, poll, token);
        if (response.result == order_result::accepted) {
            scheduler->apply_report(entry.id, response.report, read_clock());
            register_restart(entry, response.report);
        } else {
            scheduler->record_unanswered_poll(entry.id, now);
            scheduler->mark_unresponsive(entry.id, now);
        }
    }
    apply_held_orders();
    read_evacuations();
    scheduler->record_upstreams(entries);
    scheduler->declare_silent_upstreams(now);
    const auto declared = scheduler->get_silent_upstreams();
    scheduler->record_silent_upstreams(declared);
    silent.clear();
    for (const auto& entry : declared) {
        silent.emplace(entry.upstream, entry.granting_token);
    }
    lease_bounds = scheduler->get_lease_bounds(now);
    foreign_leases = scheduler->get_foreign_leases(now);
    const auto decisions = scheduler->decide(read_clock(), may_start);
    for (const auto& order : decisions.orders) {
        send(order);
    }
    commit();
}

void cell_fixture::register_restart(upstream_entry& entry, const upstream_report& report) {
    if (registers_restarts && report.boot_unix_ms > entry.boot_unix_ms) {
        entry.boot_unix_ms = report.boot_unix_ms;
        scheduler->list_upstream(entry, clock->get_now());
    }
}

void cell_fixture::read_evacuations() {
    if (limits.evacuation_bound == std::chrono::milliseconds(0) || !is_store_readable) {
        return;
    }
    evacuation_changes listing;
    for (const auto& domain : evacuated) {
        listing.changes.push_back({domain, false});
    }
    scheduler->apply_evacuations(listing, true, clock->get_now(), clock->get_now());
}

void cell_fixture::send(const upstream_order& order) {
    const auto& upstream = std::visit([](const auto& o) -> const upstream_id& { return o.upstream; }, order);
    const auto held = count_held_orders(upstream);
    const bool is_held = holds_order && holds_order(order);
    if (is_held || held >= order_connections) {
        const auto result = held >= order_connections ? order_result::delayed : order_result::unknown;
        held_orders_.push_back({order, {result, 0}, clock->get_now() + order_timeout});
        return;
    }
    order_response response;
    const auto answer = answers_order ? answers_order(order) : std::nullopt;
    if (answer) {
        response = *answer;
    } else if (!loses_order || !loses_order(order)) {
        response = upstreams.send_now(order, token);
    }
    scheduler->apply_order_response(order, response, read_clock());
}

void cell_fixture::apply_held_orders() {
    for (const auto& held : std::exchange(held_orders_, {})) {
        if (clock->get_now() < held.responds_at) {
            held_orders_.push_back(held);
        } else {
            scheduler->apply_order_response(held.order, held.response, read_clock());
        }
    }
}

std::size_t cell_fixture::count_held_orders(const upstream_id& upstream) const {
    return static_cast<std::size_t>(
        std::count_if(held_orders_.begin(), held_orders_.end(), [&](const auto& held) {
            return held.response.result == order_result::unknown &&
                   std::visit([](const auto& o) { return o.upstream; }, held.order) == upstream;
        }));
}

void cell_fixture::commit() {
    constexpr std::size_t max_jobs = 9;
    if (delays_commits || !scheduler->has_commit_work()) {
        return;
    }
    const auto batch = scheduler->collect_commit(max_jobs, read_clock().unix_ms);
    for (const auto& entry : batch.jobs) {
        committed[entry.job] = entry.progress;
        if (entry.locations) {
            locations[entry.job] = *entry.locations;
        }
    }
    scheduler->confirm_commit(batch);
}

void cell_fixture::prove_upstreams() {
    const auto tasks = static_cast<std::uint32_t>(entries.size() * 2);
    add_job("proof", make_job({make_step(tasks)}), 100);
    run_for(std::chrono::seconds(1));
    for (const auto& entry : entries) {
        BOOST_REQUIRE(!scheduler->find_upstream(entry.id)->starts.is_unproven());
    }
}

void cell_fixture::restart_next_owner() {
    history = owner_history(cell_limits().proof_window);
    history.record_owner(token, std::to_string(token), std::string(), clock->get_now());
}

void cell_fixture::begin_takeover() {
    ++token;
    held_orders_.clear();
    scheduler = std::make_unique<cell_scheduler>(limits, token, clock->get_now());
    history.record_owner(token, std::to_string(token), std::string(), clock->get_now());
    scheduler->set_owner_history(history);
    scheduler->record_lease_bounds(lease_bounds);
    scheduler->record_foreign_leases(foreign_leases);
    for (const auto& [id, progress] : committed) {
        if (is_final(progress.state)) {
            scheduler->add_ended_job(id, progress);
        }
    }
    for (const auto& [id, job] : accepted) {
        const auto found = committed.find(id);
        scheduler->add_job(id, std::make_shared<const accepted_job>(job),
                           found == committed.end() ? nullptr : &found->second, true, read_clock());
    }
    scheduler->set_inherited_locations(locations, has_complete_locations);
}

void cell_fixture::take_over_from_list() {
    begin_takeover();
    for (const auto& entry : entries) {
        const auto known = silent.find(entry.id);
        scheduler->expect_upstream(entry, known == silent.end() ? token - 1 : known->second);
    }
}

void cell_fixture::take_over(bool has_upstream_list) {
    if (has_upstream_list) {
        take_over_from_list();
    } else {
        begin_takeover();
    }
    for (const auto& entry : entries) {
        scheduler->list_upstream(entry, clock->get_now());
    }
}

}  // namespace jacinthvane
