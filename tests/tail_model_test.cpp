#include "process/tail_model.hpp"

#include <cmath>
#include <random>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

BOOST_AUTO_TEST_SUITE(tail_model)

// The pattern of heavy days: short fillers of several images beside a serving task whose own load swings. One
// image disturbs it strongly, the others do not. A model with one rate for all pairs kept taking harmless
// images for disturbing ones.
BOOST_AUTO_TEST_CASE(tells_disturbing_images_from_harmless_ones) {
    jacinthvane::tail_model model;
    const auto serving = model.get_index("serving");
    const auto bad = model.get_index("bad");
    std::vector<image_index> harmless;
    for (const auto* name : {"a", "b", "c", "d"}) {
        harmless.push_back(model.get_index(name));
    }
    constexpr double bad_weight = 14.0;
    std::mt19937_64 generator(7);
    std::uniform_real_distribution<double> share(0.0, 0.15);
    std::normal_distribution<double> noise(0.0, 0.1);
    tail_base base;
    for (int i = 0; i < 400; ++i) {
        const double own = std::log(20.0) + 0.4 * std::sin(i * 0.25);
        std::vector<filler_use> fillers;
        double rise = 0;
        if (generator() % 3 == 0) {
            fillers.push_back({bad, share(generator)});
            rise = bad_weight * fillers.back().share;
        }
        for (const auto image : harmless) {
            if (generator() % 2 == 0) {
                fillers.push_back({image, share(generator)});
            }
        }
        const auto tail = static_cast<std::int64_t>(std::lround(std::exp(own + rise + noise(generator))));
        base = model.learn(serving, base, tail, fillers);
    }
    BOOST_TEST(std::abs(model.get_weight(serving, bad) - bad_weight) < bad_weight / 2);
    for (const auto image : harmless) {
        BOOST_TEST(model.get_weight(serving, image) < 2.5);
    }
}

// The headroom shrinks as the task's own load grows, without any filler.
BOOST_AUTO_TEST_CASE(follows_the_load_of_the_serving_task) {
    jacinthvane::tail_model model;
    const auto serving = model.get_index("serving");
    tail_base base;
    for (int i = 0; i < 10; ++i) {
        base = model.learn(serving, base, 13, {});
    }
    const auto relaxed = jacinthvane::tail_model::get_allowed_rise(base, 50);
    for (int i = 0; i < 10; ++i) {
        base = model.learn(serving, base, 35, {});
    }
    BOOST_TEST(jacinthvane::tail_model::get_allowed_rise(base, 50) < relaxed / 2);
}

BOOST_AUTO_TEST_SUITE_END()
