#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/work_pacer.hpp"
#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t upstream_count = 300;
constexpr std::uint32_t tasks_per_step = 30;
constexpr std::size_t image_count = 30;
constexpr milliseconds task_time{1000};

// What the work of the owner costs on its share of a processor.
struct work_costs {
    microseconds evaluation{5};
    microseconds order{120};
    microseconds poll{120};
    microseconds submission{300};
};

// The parts of an owner that share one processor: decisions, orders, polls and timers, in the order in which
// they become ready, on a virtual clock that each of them advances by its cost.
class simulated_owner {
public:
    simulated_owner(work_costs costs, std::uint64_t seed)
        : costs_(costs), random_(seed), cell_(upstream_count) {
        cell_.run_for(milliseconds(100));
        add(now(), [this] { decide(); });
        add(now(), [this] { measure_timer(now()); });
        for (const auto& entry : cell_.entries) {
            add(now(), [this, id = entry.id] { send_poll(id); });
        }
    }

    void run_for(milliseconds span) {
        const auto end = now() + span;
        while (!events_.empty() && events_.top().ready < end) {
            const auto next = events_.top();
            events_.pop();
            if (next.ready > now()) {
                cell_.clock->advance(std::chrono::duration_cast<milliseconds>(next.ready - now()));
            }
            next.run();
        }
    }

    void submit(std::size_t jobs_per_second, milliseconds span) {
        const auto count = static_cast<std::int64_t>(jobs_per_second) * span.count() / 1000;
        for (std::int64_t i = 0; i < count; ++i) {
            add(now() + span * i / count, [this] { submit_job(); });
        }
    }

    milliseconds get_pause() const { return pacer_.get_pause(); }
    std::size_t count_waiting() const { return cell_.scheduler->count_waiting_tasks(); }

private:
    struct event {
        time_point ready;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const event& other) const {
            return std::tie(other.ready, other.number) < std::tie(ready, number);
        }
    };

    time_point now() const { return cell_.clock->get_now(); }
    void add(time_point ready, std::function<void()> run) {
        events_.push({ready, ++number_, std::move(run)});
    }
    // The clock advances by whole milliseconds.
    void work(microseconds cost) {
        unspent_ += cost;
        const auto whole = std::chrono::duration_cast<milliseconds>(unspent_);
        cell_.clock->advance(whole);
        unspent_ -= whole;
    }

    void submit_job() {
        work(costs_.submission);
        const auto number = std::to_string(++jobs_);
        auto step =
            cell_fixture::make_step(tasks_per_step, 1500 + static_cast<std::int64_t>(random_() % 600));
        step.image = "image" + std::to_string(random_() % image_count);
        step.is_best_effort = true;
        auto second = step;
        second.after = {0};
        cell_.add_job("job" + number, cell_fixture::make_job({step, second}), task_time.count());
    }

    void measure_timer(time_point due) {
        constexpr milliseconds interval{50};
        pacer_.add_timer(due, now());
        const auto next = now() + interval;
        add(next, [this, next] { measure_timer(next); });
    }

    void decide() {
        const auto started_at = now();
        const auto before = cell_.scheduler->get_evaluated_placements();
        const auto decisions = cell_.scheduler->decide(cell_.read_clock(), true);
        const auto evaluated = cell_.scheduler->get_evaluated_placements() - before;
        work(costs_.evaluation * static_cast<std::int64_t>(evaluated));
        pacer_.add_decision(started_at, now());
        for (const auto& order : decisions.orders) {
            add(now(), [this, order] { send(order); });
        }
        add(now() + get_decision_pause(now() - started_at), [this] { decide(); });
    }

    void send(const upstream_order& order) {
        work(costs_.order);
        const auto response = cell_.upstreams.send_now(order, cell_.token);
        cell_.scheduler->apply_order_response(order, response, cell_.read_clock());
        if (const auto* start = std::get_if<start_order>(&order)) {
            ends_[start->upstream].insert(now() + task_time);
        }
    }

    void send_poll(const upstream_id& id) {
        const auto sent_at = now();
        const auto poll = cell_.scheduler->make_poll(id, sent_at, true, true);
        auto& ends = ends_[id];
        ends.erase(ends.begin(), ends.upper_bound(last_report_[id]));
        auto responds_at = sent_at + milliseconds(poll.wait_ms);
        responds_at = ends.empty() ? responds_at : std::min(responds_at, std::max(*ends.begin(), sent_at));
        add(responds_at, [this, id, poll, sent_at] { apply_poll(id, poll, sent_at); });
    }

    void apply_poll(const upstream_id& id, const poll_order& poll, time_point sent_at) {
        work(costs_.poll);
        last_report_[id] = now();
        const auto response = cell_.upstreams.poll_now(id.get(), poll, cell_.token);
        cell_.scheduler->apply_report(id, response.report, cell_.read_clock());
        while (cell_.scheduler->has_commit_work()) {
            const auto commit = cell_.scheduler->collect_commit(100, cell_.read_clock().unix_ms);
            cell_.scheduler->confirm_commit(commit);
        }
        const auto expected_end = cell_.scheduler->find_upstream(id)->get_expected_end();
        add(std::max(now(), pacer_.get_next_poll(sent_at, expected_end)), [this, id] { send_poll(id); });
    }

    const work_costs costs_;
    std::mt19937_64 random_;
    cell_fixture cell_;
    work_pacer pacer_;
    std::priority_queue<event> events_;
    std::uint64_t number_ = 0;
    std::size_t jobs_ = 0;
    microseconds unspent_{0};
    std::map<upstream_id, std::multiset<time_point>> ends_;
    std::map<upstream_id, time_point> last_report_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(owner_loop)

// Guards against a burst that leaves the owner slow for good: long decisions made timers late, late timers
// made it read ends late, more tasks waited for their room, and decisions took longer still.
BOOST_AUTO_TEST_CASE(a_burst_leaves_no_lasting_backlog) {
    constexpr std::size_t jobs_per_second = 25;
    simulated_owner owner(work_costs(), 20261206);
    owner.submit(jobs_per_second, seconds(5));
    owner.run_for(seconds(5));
    BOOST_TEST((owner.get_pause() < milliseconds(50)));
    owner.submit(jobs_per_second * 3, seconds(4));
    owner.run_for(seconds(4));
    owner.submit(jobs_per_second, seconds(20));
    owner.run_for(seconds(20));
    BOOST_TEST(owner.get_pause().count() < 50);
    BOOST_TEST(owner.count_waiting() < 4 * tasks_per_step);
}

BOOST_AUTO_TEST_SUITE_END()
