#include "tests/cell_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds time_step{20};
constexpr std::chrono::milliseconds poll_interval{40};
const std::string service = "tree";
const std::string queue = "merges";

}  // namespace

cell_fixture::cell_fixture(std::size_t upstream_count, resource_vector capacity)
    : clock(std::make_shared<manual_clock>()),
      upstreams(clock, [this](const task_ref& task) { return behaviors[task.job.get()]; }) {
    for (std::size_t i = 0; i < upstream_count; ++i) {
        upstream_entry entry;
        entry.id = upstream_id("u" + std::to_string(i));
        entry.service = service;
        entry.address = entry.id.get();
        entry.labels = {"a", "rack" + std::to_string(i / 2)};
        entry.capacity = capacity;
        entry.boot_unix_ms = 1;
        upstreams.add(entry);
        entries.push_back(entry);
    }
    scheduler = std::make_unique<cell_scheduler>(cell_limits(), token, clock->get_now());
    history.record_owner(token, std::to_string(token), std::string(), clock->get_now());
    for (const auto& entry : entries) {
        scheduler->list_upstream(entry, clock->get_now());
    }
    scheduler->record_upstreams(entries);
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
    for (const auto& entry : entries) {
        if (!is_polling || now < next_poll_[entry.id] || scheduler->find_upstream(entry.id) == nullptr) {
            continue;
        }
        next_poll_[entry.id] = now + poll_interval;
        const auto* known = scheduler->find_upstream(entry.id);
        const auto poll = scheduler->make_poll(entry.id, now, !known->is_unresponsive, may_start);
        const auto response = upstreams.poll_now(entry.address, poll, token);
        if (response.result == order_result::accepted) {
            scheduler->apply_report(entry.id, response.report, read_clock());
        } else {
            scheduler->mark_unresponsive(entry.id, now);
        }
    }
    scheduler->record_upstreams(entries);
    scheduler->declare_silent_upstreams(now);
    const auto declared = scheduler->get_silent_upstreams();
    scheduler->record_silent_upstreams(declared);
    silent.clear();
    for (const auto& entry : declared) {
        silent.emplace(entry.upstream, entry.granting_token);
    }
    lease_bounds = scheduler->get_lease_bounds(now);
    const auto decisions = scheduler->decide(read_clock(), may_start);
    for (const auto& order : decisions.orders) {
        const bool is_lost = loses_order && loses_order(order);
        const auto response =
            is_lost ? order_response{order_result::unknown, 0} : upstreams.send_now(order, token);
        scheduler->apply_order_response(order, response, read_clock());
    }
    commit();
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

void cell_fixture::restart_next_owner() {
    history = owner_history(cell_limits().proof_window);
    history.record_owner(token, std::to_string(token), std::string(), clock->get_now());
}

void cell_fixture::take_over(bool has_upstream_list) {
    ++token;
    scheduler = std::make_unique<cell_scheduler>(cell_limits(), token, clock->get_now());
    history.record_owner(token, std::to_string(token), std::string(), clock->get_now());
    scheduler->set_owner_history(history);
    scheduler->record_lease_bounds(lease_bounds);
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
    for (const auto& entry : entries) {
        if (has_upstream_list) {
            const auto known = silent.find(entry.id);
            scheduler->expect_upstream(entry, known == silent.end() ? token - 1 : known->second);
        }
        scheduler->list_upstream(entry, clock->get_now());
    }
}

}  // namespace jacinthvane
