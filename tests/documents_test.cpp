#include "command/documents.hpp"

#include <fstream>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "command/command_line.hpp"
#include "connection/fleet_config_codec.hpp"
#include "connection/key_file.hpp"
#include "connection/runbook_codec.hpp"

using namespace jacinthvane;

namespace {

std::string read_text(const std::string& path) {
    std::ifstream file(std::string(JACINTHVANE_SOURCE_DIR) + "/" + path);
    BOOST_REQUIRE_MESSAGE(file.good(), path << " does not exist");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

jacinthvane::fleet_config apply_file(const std::string& path) {
    const auto parsed = parse_config_toml(read_text(path));
    if (const auto* errors = std::get_if<config_errors>(&parsed)) {
        BOOST_FAIL(path << ":\n" << format_errors(*errors));
    }
    const config_change change{.author = "amel",
                               .reason = "first",
                               .at = {},
                               .mark = "m",
                               .operations = diff_config({}, std::get<config_document>(parsed))};
    const auto applied = apply_change({}, change);
    if (const auto* errors = std::get_if<config_errors>(&applied)) {
        BOOST_FAIL(path << ":\n" << format_errors(*errors));
    }
    return *std::get<fleet_config_ptr>(applied);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(documents)

// Guards against generated pages that differ from the tables in the code.
BOOST_AUTO_TEST_CASE(generated_pages_agree_with_the_code) {
    BOOST_TEST((read_text("docs/errors.md") == write_errors_page()),
               "run: jacinthvane errors --markdown > docs/errors.md");
    BOOST_TEST((read_text("docs/configuration.md") == write_configuration_page()),
               "run: jacinthvane config schema --markdown > docs/configuration.md");
}

// Guards against examples that the program rejects, and against weights that do not follow section 1.1 of the
// design: Lakeshore puts tail latency first, Racines evictions and throughput, then imports before visits.
BOOST_AUTO_TEST_CASE(example_configurations_are_valid_and_weighted_as_required) {
    const auto racines = apply_file("examples/racines/fleet.toml");
    const auto lakeshore = apply_file("examples/lakeshore/fleet.toml");
    const auto weight = [](const auto& config, std::string_view key) { return get_number(config, key); };
    BOOST_TEST(weight(lakeshore, setting_key::weight_tail_latency) >
               weight(lakeshore, setting_key::weight_evictions));
    BOOST_TEST(weight(lakeshore, setting_key::weight_tail_latency) >
               weight(lakeshore, setting_key::weight_throughput));
    BOOST_TEST(weight(racines, setting_key::weight_evictions) >
               weight(racines, setting_key::weight_tail_latency));
    BOOST_TEST(weight(racines, setting_key::weight_throughput) >
               weight(racines, setting_key::weight_tail_latency));
    const config_subject import{
        .team = {}, .kind = task_kind("import"), .upstream = {}, .rack = {}, .failure_domain = {}};
    BOOST_TEST(get_number(racines, setting_key::weight_tail_latency, import, {0}) >
               weight(racines, setting_key::weight_tail_latency));
}

// Guards against examples of runbooks and keys that the program rejects, and against secrets in the
// repository.
BOOST_AUTO_TEST_CASE(example_runbook_and_keys_are_valid) {
    const auto book = parse_runbook_toml(read_text("examples/racines/runbooks/import_before_visit.toml"));
    BOOST_REQUIRE(std::holds_alternative<runbook>(book));
    for (const auto& step : std::get<runbook>(book).steps) {
        BOOST_TEST((step.kind != task_kind("merge") || !step.is_idempotent));
    }
    const auto text = read_text("examples/racines/keys.toml");
    BOOST_TEST(std::holds_alternative<key_set_ptr>(parse_key_file(text)));
    for (std::size_t at = text.find("\ntoken = \""); at != std::string::npos;
         at = text.find("\ntoken = \"", at + 1)) {
        BOOST_TEST(text.compare(at + 10, 13, "EXAMPLE-ONLY-") == 0);
    }
}

// Guards against nonexistent commands in the operators' page.
BOOST_AUTO_TEST_CASE(commands_in_the_operators_page_exist) {
    std::set<std::string> known = {"serve"};
    for (const auto& command : get_all_commands()) {
        known.insert(command.get_full_name());
    }
    std::istringstream lines(read_text("docs/operators.md"));
    std::string line;
    int checked = 0;
    bool is_in_block = false;
    while (std::getline(lines, line)) {
        if (line.find("```") != std::string::npos) {
            is_in_block = !is_in_block;
        }
        std::istringstream words(line);
        std::string program;
        std::string command;
        std::string subcommand;
        words >> program >> command >> subcommand;
        if (!is_in_block || program != "jacinthvane") {
            continue;
        }
        ++checked;
        const bool is_word = known.contains(command);
        command.append(" ").append(subcommand);
        BOOST_TEST((is_word || known.contains(command)), line);
    }
    BOOST_TEST(checked > 10);
}

BOOST_AUTO_TEST_SUITE_END()
