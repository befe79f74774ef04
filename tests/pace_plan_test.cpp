#include "process/pace_plan.hpp"

#include <numeric>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

// A model that is sure of one disturbing and one harmless filler image beside one serving image.
struct known_images {
    known_images() {
        const double known = 0.01;
        model.apply_snapshot({{"serving", "bad", "harmless"},
                              {{0, known},
                               {5, known},
                               {0, known},
                               {0, known},
                               {0, known},
                               {0, known},
                               {0, known},
                               {0, known},
                               {0, known}}});
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

BOOST_AUTO_TEST_SUITE(pace_plan)

// Only the filler that disturbs is slowed down, and just as far as the budget asks for.
BOOST_AUTO_TEST_CASE(slows_only_what_disturbs) {
    known_images images;
    const std::vector<filler_use> fillers = {{images.harmless, 0.1}, {images.bad, 0.1}};
    const auto paces = plan_paces(images.model, {{images.serving, 0.3}}, fillers, 1.0);
    BOOST_TEST(paces[0] == 1.0);
    BOOST_TEST(paces[1] == 0.6, boost::test_tools::tolerance(1e-9));
}

// Fillers of one image that cannot all run: some run and the rest stand still, so that these can be moved.
// When all were slowed down alike, all of them finished late.
BOOST_AUTO_TEST_CASE(lets_some_run_instead_of_all_crawl) {
    known_images images;
    const std::vector<filler_use> fillers(4, {images.bad, 0.1});
    const auto paces = plan_paces(images.model, {{images.serving, 1.0}}, fillers, 1.0);
    BOOST_TEST(std::accumulate(paces.begin(), paces.end(), 0.0) == 2.0, boost::test_tools::tolerance(1e-9));
    for (const auto pace : paces) {
        BOOST_TEST((pace < 1e-9 || pace > 1 - 1e-9));
    }
}

// A serving task without headroom lets no disturbing filler run, and a budget below zero is no more than
// that.
BOOST_AUTO_TEST_CASE(stops_what_disturbs_a_task_without_headroom) {
    known_images images;
    const std::vector<filler_use> fillers = {{images.harmless, 0.1}, {images.bad, 0.1}};
    const auto paces = plan_paces(images.model, {{images.serving, -1.0}}, fillers, 1.0);
    BOOST_TEST(paces[0] == 1.0);
    BOOST_TEST(paces[1] == 0.0);
}

// Fillers that ask for more than is free do not get it, and so do not disturb as if they had.
BOOST_AUTO_TEST_CASE(counts_what_crowded_fillers_really_use) {
    known_images images;
    const std::vector<filler_use> fillers(4, {images.bad, 0.1});
    const auto paces = plan_paces(images.model, {{images.serving, 1.0}}, fillers, 0.2);
    BOOST_TEST(std::accumulate(paces.begin(), paces.end(), 0.0) == 4.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(get_planned_use(fillers, paces, 0.2) == 0.2, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
