#include "request/eviction.hpp"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/random_source.hpp"

using namespace jacinthvane;
using std::chrono::seconds;

namespace {

const time_point now = time_point(std::chrono::hours(2));

evictable_task make_task(const std::string& name, std::int64_t processors, int age_s, int evictions = 0) {
    return {.task = task_id(name),
            .work_class = task_class::batch,
            .size = {processors, 1000, 0, 1},
            .started_at = now - seconds(age_s),
            .checkpointed_at = std::nullopt,
            .can_checkpoint = false,
            .evictions = evictions};
}

std::string get_only_task(const std::vector<evictable_task>& tasks) {
    const auto plan = choose_evictions(tasks, {}, {1000, 1000, 0, 1}, now);
    return plan && plan->tasks.size() == 1 ? plan->tasks.front().get() : "none or several";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(eviction)

// Guards against needless loss of work: tasks that can write a checkpoint, young tasks and rarely evicted
// tasks are evicted first.
BOOST_AUTO_TEST_CASE(cheapest_loss_is_evicted) {
    auto saved = make_task("saved", 1000, 3000);
    saved.can_checkpoint = true;
    BOOST_TEST(get_only_task({make_task("young", 1000, 60), saved, make_task("old", 1000, 3000)}) == "saved");
    BOOST_TEST(get_only_task({make_task("young", 1000, 60), make_task("old", 1000, 3000)}) == "young");
    BOOST_TEST(get_only_task({make_task("twice", 1000, 60, 2), make_task("never", 1000, 60)}) == "never");
    auto recent = make_task("recent", 1000, 3000);
    recent.checkpointed_at = now - seconds(10);
    BOOST_TEST(get_only_task({make_task("young", 1000, 60), recent}) == "recent");
}

// Guards against evicting urgent tasks, jobs that were evicted three times or more tasks than needed, and
// against evicting when the task fits already or would not fit afterwards.
BOOST_AUTO_TEST_CASE(eviction_is_never_more_than_needed) {
    random_source random(41);
    int planned = 0;
    for (int round = 0; round < 2000; ++round) {
        std::vector<evictable_task> tasks;
        resource_vector evictable;
        for (std::uint32_t number = 0; number < 1 + pick_below(random, 20); ++number) {
            auto task = make_task(std::to_string(number), 250 * (1 + pick_below(random, 8)),
                                  static_cast<int>(pick_below(random, 5000)),
                                  static_cast<int>(pick_below(random, 5)));
            task.work_class = pick_below(random, 4) == 0 ? task_class::urgent : task_class::batch;
            if (task.work_class == task_class::batch && task.evictions < eviction_limit) {
                evictable = evictable + task.size;
            }
            tasks.push_back(task);
        }
        const resource_vector free(250 * pick_below(random, 4), 1000, 0, pick_below(random, 2));
        const resource_vector needed(500 * (1 + pick_below(random, 16)), 1000, 0, 1);
        const auto plan = choose_evictions(tasks, free, needed, now);
        BOOST_REQUIRE(plan.has_value() == needed.is_within(free + evictable));
        if (!plan) {
            continue;
        }
        planned += plan->tasks.empty() ? 0 : 1;
        BOOST_REQUIRE(plan->tasks.empty() == needed.is_within(free));
        auto after = free;
        std::vector<resource_vector> sizes;
        for (const auto& id : plan->tasks) {
            const auto& task = tasks[std::stoul(id.get())];
            BOOST_REQUIRE((task.work_class == task_class::batch && task.evictions < eviction_limit));
            sizes.push_back(task.size);
            after = after + task.size;
        }
        BOOST_REQUIRE(needed.is_within(after));
        for (const auto& size : sizes) {
            BOOST_REQUIRE(!needed.is_within(after - size));
        }
    }
    BOOST_TEST(planned > 200);
}

// Guards against a task that is stopped for its memory use while throttling or a checkpoint is enough,
// against a stop that interrupts the checkpoint, and against stopped tasks although the upstream has memory
// to spare.
BOOST_AUTO_TEST_CASE(overuse_is_throttled_then_checkpointed_then_stopped) {
    memory_use use{.declared_mb = 1000,
                   .used_mb = 1050,
                   .upstream_used_mb = 60000,
                   .upstream_mb = 62000,
                   .can_checkpoint = true,
                   .last_step_at = now};
    BOOST_TEST((decide_overuse(use, now) == overuse_step::none));
    use.used_mb = 3000;
    std::vector<overuse_step> steps;
    for (int second = 0; second < 60; ++second) {
        const auto step = decide_overuse(use, now + seconds(second));
        if (step != overuse_step::none) {
            steps.push_back(step);
            use.last_step = step;
            use.last_step_at = now + seconds(second);
        }
    }
    BOOST_TEST((steps == std::vector{overuse_step::throttle, overuse_step::checkpoint, overuse_step::stop}));
    use.upstream_used_mb = 30000;
    for (const auto last : {overuse_step::throttle, overuse_step::checkpoint}) {
        use.last_step = last;
        use.can_checkpoint = false;
        BOOST_TEST((decide_overuse(use, now + seconds(600)) == overuse_step::none));
    }
}

BOOST_AUTO_TEST_SUITE_END()
