#include "request/placement.hpp"

#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

constexpr kind_index quiet = 0;
constexpr kind_index noisy = 1;

const resource_vector vm_size(16000, 62000, 0, 8);

upstream_id make_id(int number) {
    return upstream_id("up-" + std::to_string(number));
}

candidate make_candidate(int number, resource_vector committed, std::vector<neighbor_group> neighbors = {}) {
    return {.upstream = make_id(number),
            .rack = rack_id("r"),
            .limit = vm_size,
            .committed = committed,
            .neighbors = std::move(neighbors)};
}

// Each co-located task of the noisy kind slows a task of the quiet kind by a factor of e; there is no other
// interference.
interference_snapshot make_interference() {
    return {2, {{0, 0, 9}, {1, 0, 9}, {0, 1, 9}, {0, 0, 9}}};
}

const placement_policy all_policies[] = {random_placement{}, least_committed_placement{},
                                         two_choices_placement{}, interference_aware_placement{}};

}  // namespace

BOOST_AUTO_TEST_SUITE(placement)

// Guards against overcommitted upstreams (I1): with each policy, the chosen upstream has room for all
// resources of the task, and an upstream is chosen as long as any has room.
BOOST_AUTO_TEST_CASE(chosen_upstream_always_has_room) {
    const resource_vector sizes[] = {
        {1000, 2000, 0, 1}, {3000, 500, 0, 1}, {250, 9000, 0, 1}, {8000, 30000, 0, 1}};
    for (const auto& policy : all_policies) {
        random_source random(7);
        candidate_index index;
        std::vector<candidate> values;
        for (int number = 0; number < 60; ++number) {
            values.push_back(make_candidate(number, {}));
            index.update(values.back());
        }
        int refused = 0;
        for (int step = 0; step < 2000; ++step) {
            const auto& size = sizes[pick_below(random, 4)];
            const auto choice =
                choose(policy, index, make_interference(), {.kind = quiet, .size = size}, random);
            const bool is_any_fitting = std::any_of(values.begin(), values.end(), [&](const candidate& one) {
                return size.is_within(one.get_free());
            });
            BOOST_REQUIRE(choice.has_value() == is_any_fitting);
            if (!choice) {
                ++refused;
                auto& emptied = values[pick_below(random, 60)];
                emptied.committed = {};
                index.update(emptied);
                continue;
            }
            auto& chosen = values[std::stoul(choice->upstream.get().substr(3))];
            chosen.committed = chosen.committed + size;
            BOOST_REQUIRE(chosen.committed.is_within(chosen.limit));
            index.update(chosen);
        }
        BOOST_TEST(refused > 0);
    }
}

// Guards against work that is sent to an upstream that was removed from the index (I7), and against a stale
// group entry after an upstream is added again at the same position.
BOOST_AUTO_TEST_CASE(removed_upstream_is_never_chosen) {
    random_source random(11);
    candidate_index index;
    std::set<upstream_id> present;
    for (int step = 0; step < 5000; ++step) {
        const int number = static_cast<int>(pick_below(random, 40));
        if (pick_below(random, 3) == 0) {
            index.remove(make_id(number));
            present.erase(make_id(number));
        } else {
            index.update(
                make_candidate(number, {1000 * pick_below(random, 17), 0, 0, pick_below(random, 9)}));
            present.insert(make_id(number));
        }
        BOOST_REQUIRE(index.get_count() == present.size());
        std::vector<const candidate*> samples;
        index.sample({1000, 1000, 0, 1}, 50, random, samples);
        std::set<upstream_id> seen;
        for (const auto* sample : samples) {
            BOOST_REQUIRE(present.contains(sample->upstream));
            BOOST_REQUIRE(seen.insert(sample->upstream).second);
        }
    }
}

// Guards against placing an urgent task next to a task that is known to slow it down, and a noisy task next
// to an urgent one, while an upstream without such interference has room.
BOOST_AUTO_TEST_CASE(known_bad_pairs_are_avoided_in_both_directions) {
    random_source random(3);
    candidate_index index;
    const resource_vector one_task(2000, 4000, 0, 1);
    index.update(make_candidate(0, one_task, {{noisy, task_class::batch, 1}}));
    index.update(make_candidate(1, one_task + one_task, {{quiet, task_class::urgent, 2}}));
    const placement_policy policy = interference_aware_placement{.exploration = 0};
    const auto interference = make_interference();
    const auto urgent = choose(policy, index, interference,
                               {.kind = quiet, .work_class = task_class::urgent, .size = one_task}, random);
    const auto batch = choose(policy, index, interference,
                              {.kind = noisy, .work_class = task_class::batch, .size = one_task}, random);
    BOOST_TEST((urgent.value().upstream == make_id(1)));
    BOOST_TEST((batch.value().upstream == make_id(0)));
}

// Guards against exploration with urgent requests: even if every batch placement explores, an urgent request
// is placed by score.
BOOST_AUTO_TEST_CASE(only_batch_explores) {
    random_source random(5);
    candidate_index index;
    index.update(make_candidate(0, {}, {{noisy, task_class::batch, 1}}));
    index.update(make_candidate(1, {}));
    const placement_policy policy = interference_aware_placement{.exploration = 1};
    int noisy_batch = 0;
    for (int step = 0; step < 200; ++step) {
        const resource_vector size(1000, 1000, 0, 1);
        const auto urgent = choose(policy, index, make_interference(), {.kind = quiet, .size = size}, random);
        BOOST_REQUIRE((urgent.value().upstream == make_id(1)));
        const auto batch = choose(policy, index, make_interference(),
                                  {.kind = quiet, .work_class = task_class::batch, .size = size}, random);
        noisy_batch += batch.value().upstream == make_id(0) ? 1 : 0;
    }
    BOOST_TEST(noisy_batch > 0);
}

BOOST_AUTO_TEST_SUITE_END()
