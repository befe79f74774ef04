#include "process/cpu_limit_plan.hpp"

#include <cmath>
#include <cstdint>
#include <numeric>
#include <random>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

// A model with low variances for a latency-critical image and two best-effort images: one interferes with it,
// the other does not.
struct known_images {
    known_images() {
        constexpr std::int64_t bad_milli = 5000;
        const tail_snapshot::pair_weight harmless_pair{0, 10};
        tail_snapshot snapshot;
        snapshot.images = {"serving", "bad", "harmless"};
        snapshot.weights.assign(9, harmless_pair);
        snapshot.weights[1] = {bad_milli, 10};
        model.apply_snapshot(snapshot);
        serving = model.get_index("serving");
        bad = model.get_index("bad");
        harmless = model.get_index("harmless");
    }

    tail_model model;
    image_index serving = 0;
    image_index bad = 0;
    image_index harmless = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cpu_limit_plan)

// Only the best-effort task that interferes is limited, and only as far as the budget requires.
BOOST_AUTO_TEST_CASE(limits_only_interfering_tasks) {
    known_images images;
    const std::vector<best_effort_use> best_effort_tasks = {{images.harmless, 0.1}, {images.bad, 0.1}};
    const auto cpu_limits = plan_cpu_limits(images.model, {{images.serving, 0.3}}, best_effort_tasks, 1.0);
    BOOST_TEST(cpu_limits[0] == 1.0);
    BOOST_TEST(cpu_limits[1] == 0.6, boost::test_tools::tolerance(1e-9));
}

// Best-effort tasks that cannot all run at full speed are limited by the same factor. Stopping the tasks with
// the highest cost instead starves single tasks of each job, which delays the entire job.
BOOST_AUTO_TEST_CASE(limits_interfering_tasks_by_the_same_factor) {
    known_images images;
    const std::vector<best_effort_use> best_effort_tasks = {
        {images.bad, 0.1}, {images.bad, 0.05}, {images.bad, 0.05}};
    const auto cpu_limits = plan_cpu_limits(images.model, {{images.serving, 0.5}}, best_effort_tasks, 1.0);
    for (const auto cpu_limit : cpu_limits) {
        BOOST_TEST(cpu_limit == 0.5, boost::test_tools::tolerance(1e-9));
    }
}

// If a latency-critical task has no headroom, tasks that interfere with it are stopped. A negative budget
// counts as zero.
BOOST_AUTO_TEST_CASE(stops_interfering_tasks_without_headroom) {
    known_images images;
    const std::vector<best_effort_use> best_effort_tasks = {{images.harmless, 0.1}, {images.bad, 0.1}};
    const auto cpu_limits = plan_cpu_limits(images.model, {{images.serving, -1.0}}, best_effort_tasks, 1.0);
    BOOST_TEST(cpu_limits[0] == 1.0);
    BOOST_TEST(cpu_limits[1] == 0.0);
}

// Best-effort tasks that request more processors than are free cannot use them, so their interference is
// computed from what they can use.
BOOST_AUTO_TEST_CASE(counts_only_processors_that_tasks_can_use) {
    known_images images;
    const std::vector<best_effort_use> best_effort_tasks(4, {images.bad, 0.1});
    const auto cpu_limits = plan_cpu_limits(images.model, {{images.serving, 1.0}}, best_effort_tasks, 0.2);
    BOOST_TEST(std::accumulate(cpu_limits.begin(), cpu_limits.end(), 0.0) == 4.0,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(get_planned_use(best_effort_tasks, cpu_limits, 0.2) == 0.2,
               boost::test_tools::tolerance(1e-9));
}

// Guards against a shortcut that places tasks differently from the plan: without contention, the limit of an
// added task is that of a new plan, and at a limit of 1 no other limit changes.
BOOST_AUTO_TEST_CASE(limit_of_an_added_task_is_that_of_a_new_plan) {
    constexpr std::size_t image_count = 6;
    std::mt19937 random(20261205);
    std::uniform_int_distribution<std::int64_t> weight_milli(-500, 4000);
    std::uniform_real_distribution<double> budget(-0.2, 1.5);
    std::uniform_real_distribution<double> share(0.02, 0.12);
    std::uniform_int_distribution<image_index> image(0, image_count - 1);
    int limited = 0;
    for (int round = 0; round < 2000; ++round) {
        tail_snapshot snapshot;
        for (std::size_t i = 0; i < image_count; ++i) {
            snapshot.images.push_back("image" + std::to_string(i));
        }
        for (std::size_t i = 0; i < image_count * image_count; ++i) {
            snapshot.weights.push_back({weight_milli(random), 10});
        }
        tail_model model;
        model.apply_snapshot(snapshot);
        const std::vector<serving_budget> servings = {{image(random), budget(random)},
                                                      {image(random), budget(random)}};
        std::vector<best_effort_use> tasks(4);
        for (auto& task : tasks) {
            task = {image(random), share(random)};
        }
        const auto before = plan_cpu_limits(model, servings, tasks, 1.0);
        const best_effort_use added{image(random), share(random)};
        const auto loads = measure_interference(model, servings, tasks);
        const double cpu_limit = get_added_cpu_limit(model, loads, added);
        tasks.push_back(added);
        const auto after = plan_cpu_limits(model, servings, tasks, 1.0);
        BOOST_TEST(after.back() == cpu_limit, boost::test_tools::tolerance(1e-9));
        for (std::size_t i = 0; i < before.size(); ++i) {
            BOOST_TEST(after[i] <= before[i] + 1e-9);
            BOOST_TEST((cpu_limit < 1.0 || std::abs(after[i] - before[i]) < 1e-9));
        }
        limited += cpu_limit < 1.0 ? 1 : 0;
    }
    BOOST_TEST((limited > 100 && limited < 1900));
}

BOOST_AUTO_TEST_SUITE_END()
