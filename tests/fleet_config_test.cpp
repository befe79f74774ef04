#include "version/fleet_config.hpp"

#include <random>

#include <boost/test/unit_test.hpp>

#include "connection/fleet_config_codec.hpp"
#include "connection/runbook_codec.hpp"

using namespace jacinthvane;

namespace {

config_change make_change(std::vector<config_operation> operations) {
    return {
        .author = "amel", .reason = "test", .at = {100}, .mark = "m", .operations = std::move(operations)};
}

fleet_config apply_or_fail(const fleet_config& config, std::vector<config_operation> operations) {
    const auto applied = apply_change(config, make_change(std::move(operations)));
    if (const auto* errors = std::get_if<config_errors>(&applied)) {
        BOOST_FAIL(format_errors(*errors));
    }
    return *std::get<fleet_config_ptr>(applied);
}

config_errors apply_and_fail(const fleet_config& config, std::vector<config_operation> operations) {
    const auto applied = apply_change(config, make_change(std::move(operations)));
    BOOST_REQUIRE(std::holds_alternative<config_errors>(applied));
    return std::get<config_errors>(applied);
}

config_exception make_exception(config_scope scope, std::int64_t value, std::string reason = "measured") {
    return {.scope = std::move(scope),
            .key = std::string(setting_key::max_evictions),
            .value = value,
            .reason = std::move(reason),
            .author = "amel",
            .until = std::nullopt};
}

runbook make_runbook(const std::string& name) {
    runbook_step step;
    step.name = "copy";
    step.command = "/opt/old/copy \"archive\"";
    step.arguments = {"--from", "a\nb\\c"};
    step.kind = task_kind("import");
    step.runs_on = rack_id("r1");
    step.timeout_ms = 1000;
    return {.name = name, .description = "d", .team = team_id("imports"), .steps = {step}};
}

config_operation make_random_operation(std::mt19937& random, const fleet_config& config) {
    const auto name = "n" + std::to_string(random() % 4);
    switch (random() % 9) {
        case 0:
            return set_default{std::string(setting_key::shards),
                               static_cast<std::int64_t>(1 + random() % 256)};
        case 1:
            return set_default{std::string(setting_key::placement_policy), "random"};
        case 2:
            return put_exception{make_exception(team_id(name), static_cast<std::int64_t>(random() % 100))};
        case 3:
            return put_team{{team_id(name), static_cast<std::int64_t>(random() % 100), 0, 5}};
        case 4:
            return put_drain{{rack_id(name), "switch \"x\"", "amel", {5}}};
        case 5:
            return put_runbook{make_runbook(name)};
        case 6:
            return config.exceptions.empty()
                       ? config_operation(put_team{{team_id("t"), 1, 0, 1}})
                       : remove_exception{config.exceptions[0].scope, config.exceptions[0].key};
        case 7:
            return config.drained.empty() ? config_operation(put_drain{{upstream_id(name), "r", "a", {1}}})
                                          : remove_drain{config.drained[0].target};
        default:
            return config.defaults.empty() ? config_operation(put_team{{team_id("u"), 1, 0, 1}})
                                           : clear_default{config.defaults.begin()->first};
    }
}

fleet_config make_random_config(std::mt19937& random, int changes) {
    fleet_config config;
    for (int i = 0; i < changes; ++i) {
        config = apply_or_fail(config, {make_random_operation(random, config)});
    }
    return config;
}

fleet_config drop_history(fleet_config config) {
    config.version = 0;
    config.changes.clear();
    // Undoing a removal appends the entry at the end. The order of entries has no meaning, so it is
    // normalized.
    const auto by_name = [](const auto& left, const auto& right) {
        return std::pair(left.index(), get_scope_name(left)) <
               std::pair(right.index(), get_scope_name(right));
    };
    std::sort(config.exceptions.begin(), config.exceptions.end(),
              [&](const auto& left, const auto& right) { return by_name(left.scope, right.scope); });
    std::sort(config.drained.begin(), config.drained.end(),
              [&](const auto& left, const auto& right) { return by_name(left.target, right.target); });
    return config;
}

bool has_error(const config_errors& errors, const std::string& key, int line) {
    return std::any_of(errors.begin(), errors.end(),
                       [&](const auto& error) { return error.key == key && error.line == line; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_config)

// Guards against exceptions whose purpose is not documented.
BOOST_AUTO_TEST_CASE(an_exception_without_a_reason_is_refused) {
    const auto errors = apply_and_fail({}, {put_exception{make_exception(team_id("t"), 1, "  ")}});
    BOOST_REQUIRE(errors.size() == 1U);
    BOOST_TEST(errors[0].key == "operations[0].reason");
}

// Guards against validation that stops at the first error of a change.
BOOST_AUTO_TEST_CASE(all_errors_of_a_change_are_reported_at_once) {
    auto wrong_scope = make_exception(rack_id("r"), 500);
    auto change =
        make_change({set_default{"shards", 1000}, set_default{"no_such", 1}, put_exception{wrong_scope},
                     remove_team{team_id("none")}, put_team{{team_id(""), -1, 0, 0}}});
    change.reason.clear();
    const auto applied = apply_change({}, change);
    BOOST_REQUIRE(std::holds_alternative<config_errors>(applied));
    BOOST_TEST(std::get<config_errors>(applied).size() == 9U);
}

// Guards against a change that modifies the previous version, which other readers still use.
BOOST_AUTO_TEST_CASE(a_change_makes_the_next_version_and_leaves_the_old_one) {
    const auto first = apply_or_fail({}, {set_default{"shards", 16}});
    const auto written = encode_fleet_config(first);
    const auto second = apply_or_fail(first, {set_default{"shards", 32}});
    BOOST_TEST(encode_fleet_config(first) == written);
    BOOST_TEST(second.version == 2U);
    BOOST_TEST(get_number(second, setting_key::shards) == 32);
    BOOST_TEST(get_number(first, setting_key::shards) == 16);
}

// Guards against an effective value that differs from the one that resolve explains, and against expired
// exceptions that still apply.
BOOST_AUTO_TEST_CASE(the_most_specific_unexpired_exception_applies) {
    auto ended = make_exception(task_kind("rebuild"), 9);
    ended.until = utc_time{1000};
    const auto config =
        apply_or_fail({}, {set_default{"max_evictions", 7},
                           put_exception{make_exception(team_id("archives"), 8)}, put_exception{ended}});
    const config_subject subject{.team = team_id("archives"),
                                 .kind = task_kind("rebuild"),
                                 .upstream = {},
                                 .rack = {},
                                 .failure_domain = {}};
    BOOST_TEST(get_number(config, setting_key::max_evictions, subject, {999}) == 9);
    BOOST_TEST(get_number(config, setting_key::max_evictions, subject, {1000}) == 8);
    BOOST_TEST(get_number(config, setting_key::max_evictions, {}, {0}) == 7);
    const auto resolved = resolve(config, setting_key::max_evictions, subject, {1000});
    BOOST_TEST(resolved->why.find("team archives by amel: measured") != std::string::npos);
    BOOST_TEST(!resolve(config, "no_such", subject, {0}).has_value());
}

// Guards against a rollback that keeps parts of the newer version.
BOOST_AUTO_TEST_CASE(a_rollback_restores_every_older_version) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        std::vector<jacinthvane::fleet_config> versions = {{}};
        for (int i = 0; i < 20; ++i) {
            versions.push_back(
                apply_or_fail(versions.back(), {make_random_operation(random, versions.back())}));
        }
        const auto target = random() % 20;
        const auto operations = make_rollback(versions.back(), target);
        BOOST_REQUIRE(std::holds_alternative<std::vector<config_operation>>(operations));
        const auto restored =
            apply_or_fail(versions.back(), std::get<std::vector<config_operation>>(operations));
        BOOST_TEST(restored.version == 21U);
        BOOST_TEST((drop_history(restored) == drop_history(versions[target])), "seed " << seed);
    }
}

// Guards against a history that grows until the value exceeds the store's size limit.
BOOST_AUTO_TEST_CASE(the_history_keeps_fifty_changes) {
    std::mt19937 random(7);
    const auto config = make_random_config(random, 60);
    BOOST_TEST(config.changes.size() == 50U);
    BOOST_TEST(config.changes.front().version == 11U);
    BOOST_TEST(std::holds_alternative<config_errors>(make_rollback(config, 9)));
    BOOST_TEST(std::holds_alternative<std::vector<config_operation>>(make_rollback(config, 10)));
}

// Guards against fields that are lost in encoding or decoding.
BOOST_AUTO_TEST_CASE(both_encodings_round_trip) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        const auto config = make_random_config(random, 30);
        const auto decoded = decode_fleet_config(encode_fleet_config(config));
        BOOST_REQUIRE(std::holds_alternative<fleet_config_ptr>(decoded));
        BOOST_TEST((*std::get<fleet_config_ptr>(decoded) == config), "seed " << seed);
        const auto parsed = parse_config_toml(write_config_toml(config));
        BOOST_REQUIRE(std::holds_alternative<config_document>(parsed));
        BOOST_TEST(diff_config(config, std::get<config_document>(parsed)).empty(), "seed " << seed);
    }
}

// Guards against a difference that, once applied, does not produce the configuration in the file.
BOOST_AUTO_TEST_CASE(the_difference_leads_to_the_document) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        const auto from = make_random_config(random, 15);
        const auto to = make_random_config(random, 15);
        auto document = std::get<config_document>(parse_config_toml(write_config_toml(to)));
        // The writer omits empty lists of drains and runbooks, and an omitted section would remain unchanged.
        document.drained = to.drained;
        document.runbooks.emplace();
        for (const auto& [name, book] : to.runbooks) {
            document.runbooks->push_back(book);
        }
        const auto operations = diff_config(from, document);
        const auto reached = operations.empty() ? from : apply_or_fail(from, operations);
        BOOST_TEST((drop_history(reached) == drop_history(to)), "seed " << seed);
    }
}

// Guards against errors that are reported without the line and key in the file.
BOOST_AUTO_TEST_CASE(errors_of_a_file_have_line_and_key) {
    const auto parsed = parse_config_toml(
        "[defaults]\nshards = 4000\nshrads = 4\n\n[[exceptions]]\nscope = \"planet\"\nname = \"x\"\n"
        "key = \"max_evictions\"\nvalue = 1.5\n\n[[drained]]\nscope = \"rack\"\nname = 7\n");
    BOOST_REQUIRE(std::holds_alternative<config_errors>(parsed));
    const auto& errors = std::get<config_errors>(parsed);
    BOOST_TEST(has_error(errors, "defaults.shards", 2));
    BOOST_TEST(has_error(errors, "defaults.shrads", 3));
    BOOST_TEST(has_error(errors, "exceptions[0].scope", 6));
    BOOST_TEST(has_error(errors, "exceptions[0].value", 9));
    BOOST_TEST(has_error(errors, "exceptions[0].reason", 5));
    BOOST_TEST(has_error(errors, "drained[0].name", 13));
    const auto broken = std::get<config_errors>(parse_config_toml("[defaults]\nshards = = 3\n"));
    BOOST_TEST(has_error(broken, "", 2));
}

// Guards against an older member that rejects or drops a setting that a newer member wrote during an upgrade.
BOOST_AUTO_TEST_CASE(settings_of_a_newer_release_are_kept) {
    const auto decoded = decode_fleet_config(
        R"({"version": 3, "new_field": [1], "defaults": {"new_setting": 5, "shards": 4}})");
    BOOST_REQUIRE(std::holds_alternative<fleet_config_ptr>(decoded));
    const auto next = apply_or_fail(*std::get<fleet_config_ptr>(decoded), {set_default{"shards", 5}});
    BOOST_TEST(encode_fleet_config(next).find("\"new_setting\":5") != std::string::npos);
}

// Guards against damaged input that crashes the process or is decoded inconsistently.
BOOST_AUTO_TEST_CASE(mutated_texts_are_refused_or_read_consistently) {
    std::mt19937 random(20260312);
    const auto config = make_random_config(random, 25);
    const auto mutate = [&](std::string text) {
        const std::string alphabet = "{}[]\",:=.-0919eE\n\\\x01\x80\xff truenull";
        for (auto left = 1 + random() % 6; left > 0 && !text.empty(); --left) {
            const auto at = random() % text.size();
            switch (random() % 4) {
                case 0:
                    text[at] = alphabet[random() % alphabet.size()];
                    break;
                case 1:
                    text.erase(at, 1 + random() % 20);
                    break;
                case 2:
                    text.insert(at, text.substr(random() % text.size(), random() % 40));
                    break;
                default:
                    text.insert(at, 1 + random() % 60, alphabet[random() % alphabet.size()]);
            }
        }
        return text;
    };
    const auto json = encode_fleet_config(config);
    const auto toml = write_config_toml(config);
    const auto book = write_runbook_toml(make_runbook("b"));
    int accepted = 0;
    for (int i = 0; i < 4000; ++i) {
        const auto decoded = decode_fleet_config(mutate(json));
        if (const auto* value = std::get_if<fleet_config_ptr>(&decoded)) {
            const auto again = decode_fleet_config(encode_fleet_config(**value));
            BOOST_REQUIRE(std::holds_alternative<fleet_config_ptr>(again));
            BOOST_TEST((*std::get<fleet_config_ptr>(again) == **value));
            ++accepted;
        } else {
            BOOST_TEST(!std::get<config_errors>(decoded).empty());
        }
        const auto parsed = parse_config_toml(mutate(toml));
        const auto* errors = std::get_if<config_errors>(&parsed);
        BOOST_TEST((errors == nullptr || !errors->empty()));
        const auto steps = parse_runbook_toml(mutate(book));
        if (const auto* read = std::get_if<runbook>(&steps)) {
            BOOST_TEST((std::get<runbook>(parse_runbook_toml(write_runbook_toml(*read))) == *read));
        }
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(std::holds_alternative<config_errors>(decode_fleet_config(std::string(100'000, '['))));
    BOOST_TEST(std::holds_alternative<config_errors>(decode_fleet_config(std::string(2U << 20U, ' '))));
    BOOST_TEST(std::holds_alternative<config_errors>(parse_config_toml("a = " + std::string(100'000, '['))));
}

BOOST_AUTO_TEST_SUITE_END()
