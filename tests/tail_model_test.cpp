#include "process/tail_model.hpp"

#include <chrono>
#include <cmath>
#include <random>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

constexpr std::chrono::milliseconds measurement_interval{550};
constexpr double bad_weight = 5.0;

// Headroom of a latency-critical step whose load varies between a fifth and two thirds of its processors.
double get_base_headroom(int sample) {
    return 5.0 * (1.0 - 0.45 * (1.0 + 0.5 * std::sin(sample * 0.25)));
}

// Measurements of the platform deviate by a few percent.
double measure(double headroom, std::mt19937_64& generator) {
    std::normal_distribution<double> noise(0.0, 0.05);
    return std::max(headroom, 0.05) * std::exp(noise(generator));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(tail_model)

// Short best-effort tasks of several images run next to a latency-critical task whose own load fluctuates.
// One image interferes strongly, the others do not. A model with one rate for all pairs of images would
// attribute the interference to harmless images.
BOOST_AUTO_TEST_CASE(distinguishes_interfering_images_from_harmless_ones) {
    jacinthvane::tail_model model;
    const auto serving = model.get_index("serving");
    const auto bad = model.get_index("bad");
    std::vector<image_index> harmless;
    for (const auto* name : {"a", "b", "c", "d"}) {
        harmless.push_back(model.get_index(name));
    }
    std::mt19937_64 generator(7);
    std::uniform_real_distribution<double> share(0.0, 0.15);
    tail_base base;
    time_point now;
    for (int i = 0; i < 400; ++i) {
        std::vector<best_effort_use> best_effort_tasks;
        double cost = 0;
        if (generator() % 3 == 0) {
            best_effort_tasks.push_back({bad, share(generator)});
            cost = bad_weight * best_effort_tasks.back().share;
        }
        for (const auto image : harmless) {
            if (generator() % 2 == 0) {
                best_effort_tasks.push_back({image, share(generator)});
            }
        }
        now += measurement_interval;
        base = model.learn(serving, base, measure(get_base_headroom(i) - cost, generator), best_effort_tasks,
                           now);
    }
    BOOST_TEST(std::abs(model.get_weight(serving, bad) - bad_weight) < bad_weight / 2);
    for (const auto image : harmless) {
        BOOST_TEST(model.get_weight(serving, image) < 2.0);
    }
}

// All tasks of one step carry the same load, so comparing a task without interference with the others reveals
// the effect of a best-effort task within a few measurements. With a base per task, load and interference
// could not be distinguished for many seconds.
BOOST_AUTO_TEST_CASE(learns_from_tasks_of_one_step_within_seconds) {
    jacinthvane::tail_model model;
    const auto serving = model.get_index("serving");
    const auto bad = model.get_index("bad");
    const auto harmless = model.get_index("harmless");
    std::mt19937_64 generator(11);
    tail_base base;
    time_point now;
    for (int i = 0; i < 8; ++i) {
        now += measurement_interval;
        const double base_headroom = get_base_headroom(i);
        base = model.learn(serving, base, measure(base_headroom, generator), {}, now);
        base = model.learn(serving, base, measure(base_headroom, generator), {{harmless, 0.12}}, now);
        base = model.learn(serving, base, measure(base_headroom - bad_weight * 0.12, generator),
                           {{bad, 0.12}}, now);
    }
    BOOST_TEST(std::abs(model.get_weight(serving, bad) - bad_weight) < bad_weight / 3);
    BOOST_TEST(model.get_weight(serving, harmless) < 1.5);
}

// The budget for best-effort tasks shrinks as the step's own load grows, even if no best-effort task runs.
BOOST_AUTO_TEST_CASE(follows_the_load_of_the_serving_step) {
    jacinthvane::tail_model model;
    const auto serving = model.get_index("serving");
    tail_base base;
    time_point now;
    for (int i = 0; i < 10; ++i) {
        base = model.learn(serving, base, 3.8, {}, now += measurement_interval);
    }
    const auto low_load_budget = jacinthvane::tail_model::get_budget(base, now);
    for (int i = 0; i < 10; ++i) {
        base = model.learn(serving, base, 1.5, {}, now += measurement_interval);
    }
    BOOST_TEST(jacinthvane::tail_model::get_budget(base, now) < low_load_budget / 4);
    BOOST_TEST(jacinthvane::tail_model::get_budget(base, now) > 0.0);
}

// The next owner restores the learned weights of the previous owner, even if it assigns the image indexes in
// a different order.
BOOST_AUTO_TEST_CASE(restores_learned_weights_from_a_snapshot) {
    jacinthvane::tail_model model;
    const auto serving = model.get_index("serving");
    const auto bad = model.get_index("bad");
    std::mt19937_64 generator(3);
    tail_base base;
    time_point now;
    for (int i = 0; i < 40; ++i) {
        const double share = i % 2 == 0 ? 0.1 : 0.0;
        now += measurement_interval;
        base = model.learn(serving, base, measure(3.0 - bad_weight * share, generator), {{bad, share}}, now);
    }
    jacinthvane::tail_model next_owner;
    next_owner.get_index("another");
    next_owner.apply_snapshot(model.make_snapshot());
    const double inherited =
        next_owner.get_weight(next_owner.get_index("serving"), next_owner.get_index("bad"));
    BOOST_TEST(std::abs(inherited - model.get_weight(serving, bad)) < 0.001);
    BOOST_TEST((next_owner.make_snapshot().images.size() == 3U));
}

BOOST_AUTO_TEST_SUITE_END()
