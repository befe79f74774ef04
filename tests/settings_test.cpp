#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/key_ring.hpp"
#include "connection/settings_file.hpp"
#include "version/settings.hpp"

using namespace jacinthvane;

namespace {

const std::string source_dir = JACINTHVANE_SOURCE_DIR;

std::vector<settings_problem> get_problems(const settings_result& result) {
    const auto* problems = std::get_if<std::vector<settings_problem>>(&result);
    return problems == nullptr ? std::vector<settings_problem>() : *problems;
}

std::vector<raw_setting> parse(const std::string& text) {
    const auto parsed = parse_settings_text(text, "test.toml");
    const auto* values = std::get_if<std::vector<raw_setting>>(&parsed);
    BOOST_REQUIRE(values != nullptr);
    return *values;
}

const std::string minimal =
    "vm = \"e1\"\nregion = \"r\"\nfailure_domain = \"f\"\nstore_region = \"r\"\nkey_file = \"k\"\n"
    "listen.callers = \"127.0.0.1:1\"\nlisten.admin = \"127.0.0.1:2\"\nlisten.metrics = \"127.0.0.1:3\"\n"
    "listen.peers = \"127.0.0.1:4\"\nlisten.membership = \"127.0.0.1:4\"\n"
    "store.address = \"127.0.0.1:5\"\nvm_list.address = \"127.0.0.1:6\"\n";

const settings_problem* find_problem(const std::vector<settings_problem>& problems, const std::string& key) {
    const auto found = std::find_if(problems.begin(), problems.end(),
                                    [&](const auto& problem) { return problem.key == key; });
    return found == problems.end() ? nullptr : &*found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

// Guards against example files that no longer match the schema.
BOOST_AUTO_TEST_CASE(examples_are_accepted) {
    for (const std::string name :
         {"racines/entry-1", "racines/entry-2", "racines/entry-3", "lakeshore/entry-1"}) {
        std::string path = source_dir;
        path.append("/examples/").append(name).append(".toml");
        const auto result = read_settings(path, {}, {});
        for (const auto& problem : get_problems(result)) {
            BOOST_ERROR(problem.to_string());
        }
        const auto* values = std::get_if<jacinthvane::settings>(&result);
        BOOST_REQUIRE(values != nullptr);
        std::string key_path = source_dir;
        key_path.append("/").append(values->key_file);
        BOOST_TEST(key_ring::read_file(key_path).ok());
    }
}

// Guards against validation that stops at the first problem, so that an operator has to find them one by one.
BOOST_AUTO_TEST_CASE(all_problems_are_reported_at_once) {
    const auto values = parse(
        "vm = 7\n"                               // 1: wrong type
        "region = \"r\"\n"                       // 2
        "failure_domain = \"f/g\"\n"             // 3: not a valid name
        "treads = 4\n"                           // 4: unknown
        "threads = 400\n"                        // 5: out of range
        "listen.callers = \"localhost:80\"\n"    // 6: not an address
        "listen.admin = \"127.0.0.1:2\"\n"       // 7
        "listen.metrics = \"127.0.0.1:2\"\n"     // 8: used twice
        "listen.peers = \"0.0.0.0:4\"\n"         // 9: not reachable from other VMs
        "listen.membership = \"127.0.0.1:4\"\n"  // 10
        "timeouts.drain = 60\n"                  // 11: no unit
        "timeouts.term_renewal = \"9s\"\n"       // 12: contradicts the lease of 10 s
        "limits.body = \"1GB\"\n"                // 13: unknown unit
        "membership.seeds = [1, 2]\n"            // 14: wrong element type
        "body = \"1MB\"\n");                     // 15: unknown, similar to limits.body
    const auto problems = get_problems(make_settings(values));
    const std::vector<std::pair<std::string, std::int64_t>> expected = {
        {"vm", 1},
        {"failure_domain", 3},
        {"treads", 4},
        {"threads", 5},
        {"listen.callers", 6},
        {"listen.metrics", 8},
        {"listen.peers", 9},
        {"timeouts.drain", 11},
        {"timeouts.term_renewal", 12},
        {"limits.body", 13},
        {"membership.seeds", 14},
        {"body", 15},
        {"store_region", 0},
        {"key_file", 0},
        {"store.address", 0},
        {"vm_list.address", 0},
    };
    BOOST_TEST(problems.size() == expected.size());
    for (const auto& [key, line] : expected) {
        const auto* problem = find_problem(problems, key);
        BOOST_TEST_CONTEXT(key) {
            BOOST_REQUIRE(problem != nullptr);
            BOOST_TEST(problem->origin.line == line);
            BOOST_TEST(problem->origin.source == "test.toml");
            BOOST_TEST(!problem->message.empty());
            BOOST_TEST((key == "treads" || !problem->accepted.empty()));
        }
    }
    BOOST_TEST(find_problem(problems, "body")->accepted == "limits.body");
    BOOST_TEST(find_problem(problems, "threads")->to_string() ==
               "test.toml:5: threads: 400 is out of range; accepted: a whole number from 1 to 64");
}

// Guards against a flag or an environment variable that is silently ignored or overridden by the file.
BOOST_AUTO_TEST_CASE(flags_override_environment_and_environment_overrides_file) {
    auto values = parse(minimal + "threads = 3\nlimits.body = \"1MB\"\n");
    const auto from_file = make_settings(values);
    BOOST_REQUIRE(std::holds_alternative<jacinthvane::settings>(from_file));
    BOOST_TEST(std::get<jacinthvane::settings>(from_file).threads == 3);

    const std::string path = source_dir + "/examples/racines/entry-1.toml";
    const std::vector<environment_variable> environment = {
        {"JACINTHVANE_THREADS", "5"},
        {"JACINTHVANE_LIMITS_BODY", "16KB"},
        {"JACINTHVANE_MEMBERSHIP_SEEDS", "10.0.0.1:1, 10.0.0.2:1"}};
    const std::vector<std::string> flags = {"threads=6"};
    const auto result = read_settings(path, environment, flags);
    BOOST_REQUIRE(std::holds_alternative<jacinthvane::settings>(result));
    const auto& read = std::get<jacinthvane::settings>(result);
    BOOST_TEST(read.threads == 6);
    BOOST_TEST(read.limits.body_bytes == 16 * 1024);
    BOOST_TEST(read.seeds.size() == 2U);
    BOOST_TEST(read.timeouts.drain.count() == 60000);

    const std::vector<environment_variable> wrong_variable = {{"JACINTHVANE_THREAD", "5"}};
    const std::vector<std::string> wrong_flags = {"threads", "thread=5"};
    const auto problems = get_problems(read_settings(path, wrong_variable, wrong_flags));
    BOOST_TEST(problems.size() == 3U);
    BOOST_TEST(find_problem(problems, "JACINTHVANE_THREAD") != nullptr);
    BOOST_TEST(find_problem(problems, "thread") != nullptr);
    BOOST_TEST(find_problem(problems, "threads") != nullptr);
}

// Guards against a syntax error that is reported without its line, and against a missing file that is treated
// as an empty one.
BOOST_AUTO_TEST_CASE(unreadable_files_are_reported_with_their_line) {
    const auto parsed = parse_settings_text("vm = \"a\"\nregion = = 3\n", "broken.toml");
    const auto* problem = std::get_if<settings_problem>(&parsed);
    BOOST_REQUIRE(problem != nullptr);
    BOOST_TEST(problem->origin.source == "broken.toml");
    BOOST_TEST(problem->origin.line == 2);
    const auto missing = get_problems(read_settings(source_dir + "/examples/none.toml", {}, {}));
    BOOST_TEST(missing.size() == 1U);
}

// Guards against schema defaults that the schema itself rejects, and against rows without a description.
BOOST_AUTO_TEST_CASE(schema_accepts_its_own_defaults) {
    std::set<std::string_view> keys;
    for (const auto& field : get_settings_schema()) {
        BOOST_TEST_CONTEXT(field.key) {
            BOOST_TEST(keys.insert(field.key).second);
            BOOST_TEST(!field.text.empty());
            BOOST_TEST(!describe_accepted(field).empty());
            if (!field.default_text.empty()) {
                auto values = parse(minimal);
                values.push_back(raw_setting{.key = std::string(field.key),
                                             .value = std::string(field.default_text),
                                             .origin = {"test", 0},
                                             .is_plain_text = true});
                BOOST_TEST(get_problems(make_settings(values)).empty());
            }
        }
    }
}

// Guards against units that are confused with each other, and against numbers that overflow.
BOOST_AUTO_TEST_CASE(units_are_read_exactly) {
    BOOST_TEST(parse_duration("250ms")->count() == 250);
    BOOST_TEST(parse_duration("2s")->count() == 2000);
    BOOST_TEST(parse_duration("5m")->count() == 300000);
    BOOST_TEST(parse_duration("1h")->count() == 3600000);
    for (const char* wrong :
         {"", "5", "ms", "-1s", "1.5s", "1 s", "99999999999999999999s", "9999999999999h"}) {
        BOOST_TEST(!parse_duration(wrong).has_value());
    }
    BOOST_TEST(*parse_bytes("100") == 100);
    BOOST_TEST(*parse_bytes("64B") == 64);
    BOOST_TEST(*parse_bytes("16KB") == 16384);
    BOOST_TEST(*parse_bytes("8MB") == 8388608);
    for (const char* wrong : {"", "1GB", "-1", "MB", "1.5MB"}) {
        BOOST_TEST(!parse_bytes(wrong).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
