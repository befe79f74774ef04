#include "process/cpu_limit_plan.hpp"

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

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

// Returns the CPU limits of the tasks, in the order of their ranks, beside a latency-critical task with this
// budget.
std::vector<double> take_cpu_limits(const known_images& images, double budget, double free_share,
                                    const std::vector<best_effort_use>& tasks) {
    best_effort_room room{{{images.serving, budget}}, free_share};
    std::vector<double> cpu_limits;
    cpu_limits.reserve(tasks.size());
    for (const auto& task : tasks) {
        cpu_limits.push_back(take_cpu_limit(images.model, room, task));
    }
    return cpu_limits;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cpu_limit_plan)

// Only the best-effort task that interferes is limited, and only as far as the budget requires.
BOOST_AUTO_TEST_CASE(limits_only_interfering_tasks) {
    known_images images;
    const auto cpu_limits = take_cpu_limits(images, 0.3, 1.0, {{images.harmless, 0.1}, {images.bad, 0.1}});
    BOOST_TEST(cpu_limits[0] == 1.0);
    BOOST_TEST(cpu_limits[1] == 0.6, boost::test_tools::tolerance(1e-9));
}

// Guards against jobs that are all late because all of them are slow: the tasks of the first ranks run at
// full speed, and what they leave goes to the others.
BOOST_AUTO_TEST_CASE(limits_interfering_tasks_in_the_order_of_their_ranks) {
    known_images images;
    const auto cpu_limits = take_cpu_limits(
        images, 0.6, 1.0, {{images.bad, 0.05}, {images.bad, 0.05}, {images.bad, 0.05}, {images.bad, 0.05}});
    BOOST_TEST(cpu_limits[0] == 1.0);
    BOOST_TEST(cpu_limits[1] == 1.0);
    BOOST_TEST(cpu_limits[2] == 0.4, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(cpu_limits[3] == 0.0, boost::test_tools::tolerance(1e-9));
}

// If a latency-critical task has no headroom, tasks that interfere with it are stopped. A negative budget
// counts as zero.
BOOST_AUTO_TEST_CASE(stops_interfering_tasks_without_headroom) {
    known_images images;
    const auto cpu_limits = take_cpu_limits(images, -1.0, 1.0, {{images.harmless, 0.1}, {images.bad, 0.1}});
    BOOST_TEST(cpu_limits[0] == 1.0);
    BOOST_TEST(cpu_limits[1] == 0.0);
}

// Guards against tasks of the first ranks that are slow because the others compete with them for processors:
// together they get no more than are free.
BOOST_AUTO_TEST_CASE(divides_free_processors_in_the_order_of_the_ranks) {
    known_images images;
    const std::vector<best_effort_use> tasks(4, {images.harmless, 0.1});
    const auto cpu_limits = take_cpu_limits(images, 1.0, 0.25, tasks);
    BOOST_TEST(cpu_limits[0] == 1.0);
    BOOST_TEST(cpu_limits[1] == 1.0);
    BOOST_TEST(cpu_limits[2] == 0.5, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(cpu_limits[3] == 0.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(take_cpu_limits(images, 1.0, -0.5, tasks)[0] == 0.0);
}

// Whatever the weights and budgets, the limits of all tasks together keep each budget and the free
// processors, and a task that comes later takes nothing from the earlier ones.
BOOST_AUTO_TEST_CASE(keeps_all_budgets) {
    std::mt19937 random(7);
    std::uniform_int_distribution<std::int64_t> weight_milli(0, 8000);
    std::uniform_int_distribution<image_index> image(0, 5);
    std::uniform_real_distribution<double> budget(-0.2, 1.5);
    std::uniform_real_distribution<double> share(0.01, 0.2);
    int limited = 0;
    for (int round = 0; round < 2000; ++round) {
        tail_snapshot snapshot;
        snapshot.images = {"a", "b", "c", "d", "e", "f"};
        for (int pair = 0; pair < 36; ++pair) {
            snapshot.weights.push_back({weight_milli(random), 10});
        }
        tail_model model;
        model.apply_snapshot(snapshot);
        const best_effort_room room{{{image(random), budget(random)}, {image(random), budget(random)}},
                                    budget(random)};
        auto left = room;
        double used = 0;
        std::vector<best_effort_use> running;
        for (int i = 0; i < 5; ++i) {
            best_effort_use task{image(random), share(random)};
            const double cpu_limit = take_cpu_limit(model, left, task);
            BOOST_TEST((cpu_limit >= 0.0 && cpu_limit <= 1.0));
            limited += cpu_limit < 1.0 ? 1 : 0;
            const bool is_negligible =
                std::all_of(room.servings.begin(), room.servings.end(), [&](const serving_budget& serving) {
                    return has_negligible_interference(model, serving.image, task);
                });
            used += cpu_limit * task.share;
            task.share *= cpu_limit;
            if (!is_negligible) {
                running.push_back(task);
            }
        }
        BOOST_TEST(used <= std::max(room.free_share, 0.0) + 1e-9);
        for (const auto& load : measure_interference(model, room.servings, running)) {
            BOOST_TEST(load.interference <= std::max(load.serving.budget, 0.0) + 1e-9);
        }
    }
    BOOST_TEST((limited > 1000 && limited < 9000));
}

BOOST_AUTO_TEST_SUITE_END()
