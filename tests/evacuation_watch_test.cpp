#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/owner_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds bound{3000};
constexpr milliseconds task_time{20};
const failure_domain_id first("zone0");
const failure_domain_id second("zone1");

// Upstreams of two failure domains, with more work than the tasks that they run at a time.
class evacuation_process {
public:
    explicit evacuation_process(const std::vector<failure_domain_id>& evacuated,
                                milliseconds evacuation_bound = bound)
        : upstreams_(4),
          owner_(assign_domains(upstreams_.get_entries()), make_options(evacuated, evacuation_bound)) {
        BOOST_REQUIRE(wait_for([this] { return owner_.is_loaded(); }));
    }

    memory_registry& get_registry() { return owner_.get_registry(); }

    // Submits work for a time and returns how many runs started in each domain after it had begun.
    std::vector<std::size_t> count_starts(milliseconds span) {
        const auto begin = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() < begin + span) {
            owner_.submit(task_time, 8);
            std::this_thread::sleep_for(milliseconds(50));
        }
        std::vector<std::size_t> starts(2);
        const auto& entries = upstreams_.get_entries();
        for (const auto& run : upstreams_.get_upstreams().get_runs()) {
            const auto entry = std::find_if(entries.begin(), entries.end(),
                                            [&](const auto& e) { return e.id.get() == run.upstream; });
            const auto position = static_cast<std::size_t>(entry - entries.begin());
            starts[position % 2] += run.started_at >= begin ? 1 : 0;
        }
        return starts;
    }
    // Waits until the owner starts runs in both domains, or in none.
    bool wait_for_starts(bool in_first, bool in_second) {
        return wait_for([&] {
            const auto starts = count_starts(milliseconds(200));
            return (starts[0] > 0) == in_first && (starts[1] > 0) == in_second;
        });
    }

private:
    static std::vector<upstream_entry> assign_domains(std::vector<upstream_entry> entries) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].failure_domain = i % 2 == 0 ? first : second;
        }
        return entries;
    }
    static owner_options make_options(const std::vector<failure_domain_id>& evacuated,
                                      milliseconds evacuation_bound) {
        owner_options options;
        options.evacuation_bound = evacuation_bound;
        options.evacuated = evacuated;
        return options;
    }

    upstream_process upstreams_;
    owner_process owner_;
};

}  // namespace

// An owner reads the evacuations before its first start and follows them.
BOOST_AUTO_TEST_SUITE(evacuation_watch)

// Guards against a new owner that starts tasks in a domain whose evacuation it has not read, and against one
// that forgets an evacuation when another one is read or withdrawn.
BOOST_AUTO_TEST_CASE(an_owner_keeps_to_the_set_of_evacuations) {
    evacuation_process process({first});
    BOOST_TEST(process.wait_for_starts(false, true));
    BOOST_TEST(process.count_starts(milliseconds(500))[0] == 0U);
    process.get_registry().set_evacuation(second, true);
    BOOST_TEST(process.wait_for_starts(false, false));
    // Begun again and withdrawn at once, before it is read.
    process.get_registry().set_evacuation(second, false);
    process.get_registry().set_evacuation(second, true);
    process.get_registry().set_evacuation(second, false);
    BOOST_TEST(process.wait_for_starts(false, true));
    process.get_registry().set_evacuation(first, false);
    BOOST_TEST(process.wait_for_starts(true, true));
}

// Guards against an evacuation that is missed, or does not end, since the history that shows it is gone.
BOOST_AUTO_TEST_CASE(a_gap_in_the_history_is_closed_by_a_listing) {
    evacuation_process process({first});
    BOOST_TEST(process.wait_for_starts(false, true));
    process.get_registry().lose_evacuation_responses(true);
    process.get_registry().set_evacuation(first, false);
    process.get_registry().set_evacuation(second, true);
    process.get_registry().discard_evacuation_history();
    process.get_registry().lose_evacuation_responses(false);
    BOOST_TEST(process.wait_for_starts(true, false));
}

// Guards against starts that go on while nothing is known of evacuations, and against an owner that does not
// recover.
BOOST_AUTO_TEST_CASE(nothing_starts_while_the_store_does_not_answer) {
    for (const bool is_down : {false, true}) {
        evacuation_process process({});
        const auto set_fault = [&](bool is_faulty) {
            is_down ? process.get_registry().set_down(is_faulty)
                    : process.get_registry().lose_evacuation_responses(is_faulty);
        };
        BOOST_TEST(process.wait_for_starts(true, true));
        set_fault(true);
        BOOST_TEST(process.wait_for_starts(false, false));
        BOOST_TEST((process.count_starts(milliseconds(500)) == std::vector<std::size_t>{0, 0}));
        process.get_registry().set_evacuation(first, true);
        set_fault(false);
        BOOST_TEST(process.wait_for_starts(false, true));
    }
}

// Guards against a store that is read more often than once a second, or without a bound.
BOOST_AUTO_TEST_CASE(the_store_is_read_once_a_second_and_only_with_a_bound) {
    constexpr std::uint64_t seconds = 3;
    evacuation_process process({});
    const auto before = process.get_registry().get_evacuation_calls();
    for (std::uint64_t i = 0; i < seconds * 4; ++i) {
        process.get_registry().set_evacuation(first, i % 2 == 0);
        std::this_thread::sleep_for(milliseconds(250));
    }
    const auto calls = process.get_registry().get_evacuation_calls() - before;
    BOOST_TEST(calls >= 1U);
    BOOST_TEST(calls <= seconds + 1);
    evacuation_process other({}, milliseconds(0));
    BOOST_TEST(other.wait_for_starts(true, true));
    BOOST_TEST(other.get_registry().get_evacuation_calls() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
