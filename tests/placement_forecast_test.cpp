#include "process/placement_forecast.hpp"

#include <chrono>
#include <string>

#include <boost/test/unit_test.hpp>

#include "process/upstream_ledger.hpp"
#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t long_objective_ms = 60000;

accepted_job make_ranked_job(step_spec step, std::int32_t priority) {
    auto job = cell_fixture::make_job({std::move(step)});
    job.rules.priority = priority;
    job.rules.objective_ms = long_objective_ms;
    return job;
}

step_spec make_timed_step(std::int64_t milli, std::int64_t estimated_ms) {
    auto step = cell_fixture::make_step(1, milli);
    step.estimated_ms = estimated_ms;
    return step;
}

// A cell that a stream of small tasks keeps full: one of a processor ends and another comes every 125 ms per
// eight processors.
class busy_cell {
public:
    explicit busy_cell(std::size_t upstreams, std::int64_t small_milli = 1000)
        : cell(upstreams, {8000, 64000, 0, 0}), small_milli_(small_milli) {
        cell.prove_upstreams();
        run_for(seconds(2));
    }

    // Runs the cell and its stream of small jobs of the lower priority.
    void run_for(milliseconds span) {
        const auto per_upstream = 8000 / small_milli_;
        const milliseconds interval(1000 / (per_upstream * static_cast<std::int64_t>(cell.entries.size())));
        for (const auto end = cell.clock->get_now() + span; cell.clock->get_now() < end;) {
            if (has_stream) {
                cell.add_job("small" + std::to_string(next_++),
                             make_ranked_job(cell_fixture::make_step(1, small_milli_), small_priority));
            }
            cell.run_for(interval);
        }
    }

    void add_large(const std::string& id, std::uint32_t tasks = 1, bool is_gang = false,
                   std::int64_t milli = 6000) {
        auto step = cell_fixture::make_step(tasks, milli);
        step.is_gang = is_gang;
        step.estimated_ms = 2000;
        cell.add_job(id, make_ranked_job(step, 0), 2000);
    }

    bool has_started(const std::string& id) const { return cell.get_state(id) != job_phase::queued; }
    const reservation_totals& get_totals() const { return cell.scheduler->get_reservations().get_totals(); }

    cell_fixture cell;
    std::int32_t small_priority = 1;
    bool has_stream = true;

private:
    std::int64_t small_milli_;
    int next_ = 0;
};

run_record make_run(std::int64_t milli, time_point ends_at) {
    run_record run;
    run.phase = run_phase::running;
    run.committed = {milli, 100, 0, 0};
    run.expected_end = ends_at;
    return run;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_forecast)

// Guards against a forecast that counts on runs that have passed their expected end or have none, and
// against a smaller task that is refused although it ends in time or leaves enough room.
BOOST_AUTO_TEST_CASE(forecasts_what_expected_ends_free) {
    const auto now = time_point(std::chrono::hours(1));
    upstream_ledger upstream;
    upstream.entry.capacity = {8000, 1000, 0, 0};
    upstream.add_run({job_id("a"), 0, 0, 0}, 1, make_run(3000, now + seconds(2)));
    upstream.add_run({job_id("b"), 0, 0, 0}, 1, make_run(2000, now + seconds(1)));
    upstream.add_run({job_id("c"), 0, 0, 0}, 1, make_run(2000, time_point::max()));
    const resource_vector held(5000, 100, 0, 0);
    BOOST_TEST((find_first_fit(forecast_room(upstream, now), held, now) == now + seconds(2)));
    BOOST_TEST(!find_first_fit(forecast_room(upstream, now), {7000, 100, 0, 0}, now));
    const auto later = now + seconds(2) + overrun_margin + milliseconds(1);
    BOOST_TEST(!find_first_fit(forecast_room(upstream, later), held, later));
    const auto needed_at = now + seconds(2);
    BOOST_TEST(!delays_hold(upstream, held, needed_at, {1000, 100, 0, 0}, needed_at, now));
    BOOST_TEST(!delays_hold(upstream, held, needed_at, {1000, 100, 0, 0}, time_point::max(), now));
    BOOST_TEST(delays_hold(upstream, held, needed_at, {1001, 100, 0, 0}, needed_at + seconds(1), now));
    // Of a best-effort task only the memory counts.
    BOOST_TEST(!delays_hold(upstream, held, now, {0, 100, 0, 0}, time_point::max(), now));
    BOOST_TEST(delays_hold(upstream, held, now, {0, 800, 0, 0}, time_point::max(), now));
}

// Guards against holds for a task that fits now, for a part of a gang, and on a worse upstream.
BOOST_AUTO_TEST_CASE(plans_the_earliest_holds) {
    const auto now = time_point(std::chrono::hours(1));
    const resource_vector one(4000, 100, 0, 0);
    const auto make = [&](upstream_index::slot_number slot, std::int64_t milli, milliseconds in) {
        return room_forecast{slot, {milli, 1000, 0, 0}, {{now + in, one}}};
    };
    room_demand demand{one, 2, true, 0, now + seconds(3)};
    const std::vector<room_forecast> forecasts = {make(0, 4000, seconds(4)), make(1, 1000, seconds(2)),
                                                  make(2, 0, seconds(1))};
    const std::vector<room_hold> expected = {{0, 1, now}, {2, 1, now + seconds(1)}};
    BOOST_TEST((plan_holds(forecasts, demand, now) == expected));
    demand.tasks = 4;
    BOOST_TEST(plan_holds(forecasts, demand, now).empty());
    demand.is_gang = false;
    BOOST_TEST(plan_holds(forecasts, demand, now).empty());
    const std::vector<room_hold> later = {{2, 1, now + seconds(1)}, {1, 1, now + seconds(2)}};
    BOOST_TEST((plan_holds({forecasts[1], forecasts[2]}, demand, now) == later));
}

// Guards against a large task that waits for as long as small tasks of a lower rank take each processor as it
// becomes free.
BOOST_AUTO_TEST_CASE(starts_a_large_task_beside_a_stream_of_small_ones) {
    busy_cell busy(2);
    busy.add_large("large");
    busy.run_for(seconds(2));
    BOOST_TEST(busy.has_started("large"));
    BOOST_TEST(busy.get_totals().created == 1U);
    BOOST_TEST(busy.get_totals().used == 1U);
}

// The same for a serving task, whose own end is not known.
BOOST_AUTO_TEST_CASE(starts_a_serving_task_beside_a_stream_of_small_ones) {
    busy_cell busy(2);
    auto step = make_timed_step(6000, 2000);
    step.is_long_running = true;
    step.target_tail_ms = 50;
    busy.cell.add_job("serving", make_ranked_job(step, 1));
    busy.run_for(seconds(2));
    BOOST_TEST(busy.has_started("serving"));
    BOOST_TEST(busy.get_totals().used == 1U);
}

// Guards against small tasks that break up the only upstream with room for a large one.
BOOST_AUTO_TEST_CASE(small_tasks_take_the_smaller_of_equally_free_upstreams) {
    cell_fixture cell(1, {32000, 64000, 0, 0});
    cell.add_upstream("u1", {8000, 64000, 0, 0});
    cell.run_for(milliseconds(200));
    cell.add_job("small", make_ranked_job(cell_fixture::make_step(1), 0));
    cell.run_for(milliseconds(100));
    BOOST_TEST(cell.upstreams.count_running(upstream_id("u1")) == 1U);
}

// Without a reservation, as the sizes are similar, a large task waits until the stream ends.
BOOST_AUTO_TEST_CASE(holds_no_room_among_similar_sizes) {
    busy_cell busy(2, 4000);
    busy.add_large("large");
    busy.run_for(seconds(8));
    BOOST_TEST(!busy.has_started("large"));
    BOOST_TEST(busy.get_totals().created == 0U);
    busy.has_stream = false;
    busy.run_for(seconds(3));
    BOOST_TEST(busy.has_started("large"));
}

// Guards against reservations that hold up tasks although everything fits at once.
BOOST_AUTO_TEST_CASE(holds_no_room_where_everything_fits) {
    busy_cell busy(2);
    busy.cell.add_upstream("u2", {32000, 64000, 0, 0});
    busy.run_for(seconds(2));
    busy.add_large("large");
    busy.run_for(milliseconds(500));
    BOOST_TEST(busy.has_started("large"));
    BOOST_TEST(busy.get_totals().created == 0U);
}

// Guards against held room that stays idle although a short task would be done in time, and against a task
// that is too long for it.
BOOST_AUTO_TEST_CASE(short_tasks_use_the_held_room) {
    busy_cell busy(1);
    busy.has_stream = false;
    busy.run_for(seconds(2));
    busy.cell.add_job("first", make_ranked_job(make_timed_step(5000, 1500), 1), 1500);
    busy.run_for(milliseconds(200));
    busy.cell.add_job("small", make_ranked_job(cell_fixture::make_step(1), 1));
    busy.add_large("large");
    busy.run_for(milliseconds(200));
    BOOST_TEST(busy.get_totals().created == 1U);
    busy.cell.add_job("long", make_ranked_job(make_timed_step(1500, 3000), 1), 3000);
    busy.cell.add_job("short", make_ranked_job(make_timed_step(1500, 500), 1), 500);
    busy.run_for(milliseconds(200));
    BOOST_TEST(busy.has_started("short"));
    BOOST_TEST(!busy.has_started("long"));
    busy.run_for(milliseconds(1200));
    BOOST_TEST(busy.has_started("large"));
    busy.run_for(seconds(4));
    BOOST_TEST((busy.cell.get_state("long") == job_phase::done));
}

// Guards against room that is held for good for a run that does not end when expected.
BOOST_AUTO_TEST_CASE(gives_up_room_of_a_run_that_does_not_end) {
    busy_cell busy(1);
    busy.has_stream = false;
    busy.run_for(seconds(2));
    busy.cell.add_job("first", make_ranked_job(make_timed_step(5000, 1000), 1), 60000);
    busy.cell.add_job("small", make_ranked_job(cell_fixture::make_step(1), 1), 1000);
    busy.run_for(milliseconds(200));
    busy.add_large("large");
    busy.run_for(milliseconds(200));
    BOOST_TEST(busy.get_totals().created == 1U);
    // Without reports of its progress the end stays expected.
    busy.cell.is_polling = false;
    busy.run_for(seconds(2));
    busy.cell.is_polling = true;
    busy.run_for(milliseconds(200));
    BOOST_TEST(busy.get_totals().cancelled == 1U);
    busy.has_stream = true;
    busy.run_for(seconds(2));
    BOOST_TEST(busy.cell.upstreams.count_running() >= 3U);
    BOOST_TEST(busy.get_totals().created == 1U);
}

// Guards against a gang that starts in parts, or never, since small tasks take the room of its members.
BOOST_AUTO_TEST_CASE(holds_room_for_a_gang) {
    busy_cell busy(3);
    busy.add_large("gang", 3, true, 5000);
    busy.run_for(milliseconds(400));
    BOOST_TEST(busy.cell.scheduler->get_reservations().count_holds() == 3U);
    BOOST_TEST(!busy.has_started("gang"));
    busy.run_for(seconds(2));
    BOOST_TEST(busy.has_started("gang"));
    BOOST_TEST(busy.get_totals().used == 1U);
}

// Guards against room that stays held for a job that was cancelled, or on an upstream that is leaving.
BOOST_AUTO_TEST_CASE(ends_with_the_job_and_with_the_upstream) {
    busy_cell busy(2);
    busy.add_large("large");
    busy.run_for(milliseconds(200));
    BOOST_REQUIRE(busy.get_totals().created == 1U);
    busy.cell.scheduler->cancel_job(job_id("large"), busy.cell.read_clock());
    busy.run_for(milliseconds(200));
    BOOST_TEST(busy.get_totals().cancelled == 1U);
    BOOST_TEST(busy.cell.scheduler->get_reservations().is_empty());

    busy.add_large("next");
    busy.run_for(milliseconds(300));
    BOOST_REQUIRE(busy.get_totals().created == 2U);
    const auto slot = busy.cell.scheduler->get_reservations().get_all().front().holds.front().slot;
    for (auto entry : busy.cell.entries) {
        entry.is_leaving = busy.cell.scheduler->find_upstream(entry.id)->slot == slot;
        busy.cell.scheduler->list_upstream(entry, busy.cell.clock->get_now());
    }
    busy.run_for(milliseconds(200));
    BOOST_TEST(busy.get_totals().cancelled == 2U);
    busy.run_for(seconds(3));
    BOOST_TEST(busy.has_started("next"));
}

// Guards against urgent small tasks that wait for room held for a job of a lower rank.
BOOST_AUTO_TEST_CASE(yields_to_tasks_of_a_higher_priority) {
    busy_cell busy(1);
    busy.small_priority = -1;
    busy.add_large("large");
    busy.run_for(seconds(4));
    BOOST_TEST(!busy.has_started("large"));
    BOOST_TEST(busy.cell.upstreams.count_running() >= 7U);
}

BOOST_AUTO_TEST_SUITE_END()
