#include "version/config_delta.hpp"

#include <algorithm>
#include <random>
#include <string>

#include <boost/test/unit_test.hpp>

#include "connection/config_records.hpp"
#include "process/error_kind.hpp"
#include "version/queue_index.hpp"

using namespace jacinthvane;

namespace {

constexpr std::uint64_t seed = 20261205;

queue_settings make_queue(std::uint64_t number, std::int32_t priority) {
    queue_settings queue;
    queue.rules.queue = "queue-" + std::to_string(number);
    queue.rules.service = "matcher";
    queue.rules.priority = priority;
    queue.host = "host-" + std::to_string(number % 3) + ".example";
    queue.prefix = number % 2 == 0 ? "/a/" + std::to_string(number) + "/" : "/" + std::to_string(number);
    return queue;
}

dispatch_config make_config(std::mt19937_64& random, std::uint64_t version) {
    dispatch_config config;
    config.version = version;
    for (std::uint64_t number = 0; number < 40; ++number) {
        if (random() % 2 == 0) {
            config.queues.push_back(make_queue(number, static_cast<std::int32_t>(random() % 2)));
        }
    }
    config.services = {{"matcher", random() % 2 == 0, false}};
    config.limits.max_body_bytes = static_cast<std::int64_t>(random() % 100);
    sort_queues(config);
    return config;
}

// The search that an index replaces.
const queue_settings* search(const dispatch_config& config, const std::string& host,
                             const std::string& path) {
    const queue_settings* best = nullptr;
    for (const auto& queue : config.queues) {
        const bool is_match = queue.host == host && path.starts_with(queue.prefix);
        if (is_match && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(config_delta)

// Guards against a process that has another configuration than the operators wrote, because a change was lost
// or applied twice on its way through the relays.
BOOST_AUTO_TEST_CASE(a_delta_leads_to_the_same_configuration) {
    std::mt19937_64 random(seed);
    for (std::uint64_t round = 0; round < 300; ++round) {
        const auto base = make_config(random, 1);
        const auto next = make_config(random, 2);
        config_report report;
        report.update = make_delta(base, next);
        report.revision = round;
        const auto decoded = decode_config_report(encode_record(report));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == report));
        const auto applied = apply_delta(base, std::get<jacinthvane::config_delta>(decoded->update));
        BOOST_REQUIRE(applied.ok());
        BOOST_TEST((*applied == next));
    }
}

// Guards against a delta that carries the whole configuration, as large as the value in the store.
BOOST_AUTO_TEST_CASE(a_delta_contains_only_what_has_changed) {
    std::mt19937_64 random(seed);
    const auto base = make_config(random, 1);
    auto next = base;
    next.version = 2;
    next.queues.front().rules.priority += 1;
    const auto removed = next.queues.back();
    next.queues.pop_back();
    const auto delta = make_delta(base, next);
    BOOST_TEST(delta.changed_queues.size() == 1U);
    BOOST_REQUIRE(delta.removed_queues.size() == 1U);
    BOOST_TEST(delta.removed_queues.front().name == removed.rules.queue);
}

// Guards against a configuration made from the wrong base, and against a damaged report.
BOOST_AUTO_TEST_CASE(refuses_another_base_and_damaged_reports) {
    std::mt19937_64 random(seed);
    const auto base = make_config(random, 1);
    const auto next = make_config(random, 2);
    const auto delta = make_delta(base, next);
    const auto applied = apply_delta(next, delta);
    BOOST_REQUIRE(!applied.ok());
    BOOST_TEST((get_error_kind(applied.status()) == error_kind::version_conflict));
    config_report report;
    auto unsorted = next;
    std::reverse(unsorted.queues.begin(), unsorted.queues.end());
    report.update = unsorted;
    BOOST_TEST(!decode_config_report(encode_record(report)).ok());
    report.update = next;
    const auto bytes = encode_record(report);
    BOOST_TEST(decode_config_report(bytes).ok());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        BOOST_TEST(!decode_config_report(bytes.substr(0, size)).ok());
    }
}

// Guards against requests that reach another queue than the one with the longest matching prefix.
BOOST_AUTO_TEST_CASE(an_index_finds_the_queue_with_the_longest_prefix) {
    std::mt19937_64 random(seed);
    const auto config = std::make_shared<const dispatch_config>(make_config(random, 1));
    const queue_index index(config);
    for (std::uint64_t number = 0; number < 60; ++number) {
        const auto wanted = make_queue(number, 0);
        for (const auto& path : {wanted.prefix + "0123456789abcdef", wanted.prefix, std::string("/"),
                                 std::string(), "/a/1" + wanted.prefix}) {
            BOOST_TEST((index.find_route(wanted.host, path) == search(*config, wanted.host, path)));
        }
        const auto found = std::find_if(config->queues.begin(), config->queues.end(), [&](const auto& queue) {
            return queue.rules.queue == wanted.rules.queue;
        });
        BOOST_TEST(
            (index.find_queue(wanted.rules.queue) == (found == config->queues.end() ? nullptr : &*found)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
