#include "command/command_line.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "connection/http_server.hpp"
#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

struct run_result {
    int code = 0;
    std::string out;
    std::string err;
};

run_result run(const std::vector<std::string>& arguments) {
    std::ostringstream out;
    std::ostringstream err;
    run_result result;
    result.code = run_command_line(arguments, out, err);
    result.out = out.str();
    result.err = err.str();
    return result;
}

// A temporary file that is removed by the destructor.
struct temporary_file {
    explicit temporary_file(const std::string& text)
        : path((std::filesystem::temp_directory_path() /
                ("jacinthvane_test_" + std::to_string(getpid()) + "_" + std::to_string(++count)))
                   .string()) {
        std::ofstream(path) << text;
    }
    ~temporary_file() {
        std::error_code ignored;
        std::filesystem::remove(path, ignored);
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    static inline int count = 0;
    std::string path;
};

// An admin interface that returns the responses given by the test and records the requests.
struct admin_fixture {
    asio::io_context context;
    std::vector<http_request> requests;
    std::function<http_response(const http_request&)> respond;
    http_server server{context, http_limits{}, [this](http_request request) -> awaitable<http_response> {
                           requests.push_back(request);
                           co_return respond(request);
                       }};
    temporary_file token{"EXAMPLE-ONLY-not-a-secret-test\n"};
    std::thread server_thread;

    admin_fixture() {
        BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
        server_thread = std::thread([this] { context.run(); });
    }
    ~admin_fixture() {
        context.stop();
        server_thread.join();
    }

    run_result call(std::vector<std::string> arguments) {
        for (const auto& option :
             {std::string("--address"), server.get_address(), std::string("--token-file"), token.path}) {
            arguments.push_back(option);
        }
        return run(arguments);
    }

    static http_response make_json(const nlohmann::json& body, int status = 200) {
        http_response response;
        response.status = status;
        response.body = body.dump();
        return response;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(command_line)

// Guards against a command without help, examples or JSON output.
BOOST_AUTO_TEST_CASE(every_command_has_help_with_examples) {
    std::set<std::string> names;
    for (const auto& command : get_all_commands()) {
        BOOST_TEST(names.insert(command.get_full_name()).second);
        BOOST_TEST(!command.examples.empty());
        std::vector<std::string> arguments = {command.command};
        if (!command.subcommand.empty()) {
            arguments.push_back(command.subcommand);
        }
        arguments.emplace_back("--help");
        const auto help = run(arguments);
        BOOST_TEST(help.code == 0);
        BOOST_TEST(help.out.find("Examples:") != std::string::npos);
        BOOST_TEST(help.out.find("--output") != std::string::npos);
    }
}

// Guards against library messages that reach the user and against unstable exit codes, which break scripts.
BOOST_AUTO_TEST_CASE(wrong_use_is_explained_with_the_exit_code_of_the_table) {
    const auto expected = get_error_mapping(error_kind::bad_request).exit_code;
    const std::vector<std::vector<std::string>> calls = {
        {},
        {"nothing"},
        {"config"},
        {"config", "nothing"},
        {"config", "show", "--no-such-option"},
        {"config", "explain", "shards", "--team"},
        {"config", "diff"},
        {"config", "show", "extra"},
        {"config", "apply", "/nonexistent", "--reason", "r"},
        {"config", "apply", "file"},
        {"errors", "--output", "xml"},
        {"errors", "-x"},
        {"drain", "planet", "p", "--reason", "r"},
        {"completion", "zsh"},
        {"config", "show", "--address", "127.0.0.1:1", "--token-file", "/nonexistent"},
        {"job", "list", "--limit", "0", "--address", "127.0.0.1:1", "--token-file", "/nonexistent"}};
    for (const auto& arguments : calls) {
        const auto result = run(arguments);
        const auto text = arguments.empty() ? std::string("(none)") : arguments.back();
        BOOST_TEST(result.code == expected, text << " gave " << result.code);
        BOOST_TEST(!result.err.empty());
        BOOST_TEST(result.out.empty());
        for (const auto* library_text : {"cxxopts", "what()", "exception", "terminate", "Option '"}) {
            BOOST_TEST(result.err.find(library_text) == std::string::npos, result.err);
        }
    }
    const auto json = run({"config", "nothing", "--output", "json"});
    BOOST_TEST(nlohmann::json::parse(json.err).at("kind") == "bad_request");
}

// Guards against differences between the table and the JSON output.
BOOST_AUTO_TEST_CASE(errors_are_listed_in_both_forms) {
    const auto table = run({"errors"});
    const auto json = nlohmann::json::parse(run({"errors", "--output", "json"}).out);
    BOOST_TEST(json.at("errors").size() == get_all_error_mappings().size());
    for (const auto& error : json.at("errors")) {
        BOOST_TEST(table.out.find(error.at("kind").get<std::string>()) != std::string::npos);
    }
}

// Guards against reporting an unreachable process as if the change might have been made.
BOOST_AUTO_TEST_CASE(an_unreachable_address_has_its_own_exit_code) {
    const temporary_file token("EXAMPLE-ONLY-not-a-secret-test");
    std::string closed_address;
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        closed_address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }
    const auto result = run({"members", "--address", closed_address, "--token-file", token.path});
    BOOST_TEST(result.code == get_error_mapping(error_kind::peer_unreachable).exit_code);
    BOOST_TEST(result.err.find("upstream") == std::string::npos);
}

// Guards against an invalid file that reaches the fleet, and against error messages without a line number.
BOOST_AUTO_TEST_CASE(an_invalid_file_is_refused_before_any_request_is_sent) {
    admin_fixture admin;
    const temporary_file file("# Version 3\n[defaults]\nshards = 0\n");
    const auto result = admin.call({"config", "apply", file.path, "--reason", "r"});
    BOOST_TEST(result.code == get_error_mapping(error_kind::bad_configuration).exit_code);
    BOOST_TEST(result.err.find("line 3: defaults.shards") != std::string::npos);
    BOOST_TEST(admin.requests.empty());
}

// Guards against a change based on another version than the one in the file, and against a retry with a new
// mark after an unknown outcome, which would apply the change twice.
BOOST_AUTO_TEST_CASE(a_change_with_an_unknown_outcome_is_retried_with_the_same_mark) {
    admin_fixture admin;
    const temporary_file file("# Version 3\n[defaults]\nshards = 4\n");
    admin.respond = [&](const http_request&) {
        if (admin.requests.size() == 1) {
            return admin_fixture::make_json(
                {{"kind", "store_outcome_unknown"}, {"message", "?"}, {"run", "may-have-run"}}, 503);
        }
        return admin_fixture::make_json({{"outcome", "applied"}, {"version", 4}, {"summary", "set shards"}});
    };
    const auto result = admin.call({"config", "apply", file.path, "--reason", "visit"});
    BOOST_TEST(result.code == 0);
    BOOST_TEST(result.out == "version 4: set shards\n");
    BOOST_REQUIRE(admin.requests.size() == 2U);
    const auto first = nlohmann::json::parse(admin.requests[0].body);
    BOOST_TEST((first == nlohmann::json::parse(admin.requests[1].body)));
    BOOST_TEST(first.at("expected_version") == 3);
    BOOST_TEST(first.at("reason") == "visit");
    BOOST_TEST(admin.requests[0].get_header("Authorization") == "Bearer EXAMPLE-ONLY-not-a-secret-test");
}

// Guards against --wait that returns before the change is in force on every live member.
BOOST_AUTO_TEST_CASE(wait_shows_progress_until_all_live_members_have_the_version) {
    admin_fixture admin;
    int polls = 0;
    admin.respond = [&](const http_request& request) {
        if (request.method == "POST") {
            return admin_fixture::make_json({{"outcome", "applied"}, {"version", 4}, {"summary", "s"}});
        }
        ++polls;
        return admin_fixture::make_json(
            {{"members",
              {{{"process", "a/1"}, {"state", "live"}, {"config_version", 4}},
               {{"process", "b/1"}, {"state", "live"}, {"config_version", polls < 3 ? 3 : 4}},
               {{"process", "c/1"}, {"state", "gone"}, {"config_version", 1}}}}});
    };
    const auto result = admin.call({"undrain", "rack", "r1", "--reason", "done", "--wait"});
    BOOST_TEST(result.code == 0);
    BOOST_TEST(polls == 3);
    BOOST_TEST(result.err.find("version 4 is in force on 1 of 2 live members") != std::string::npos);
    BOOST_TEST(result.err.find("version 4 is in force on 2 of 2 live members") != std::string::npos);
}

// Guards against error responses that lose their kind, and against malformed responses, such as those of
// another release, that end the program with a library's message.
BOOST_AUTO_TEST_CASE(errors_keep_their_kind_and_malformed_responses_are_reported) {
    admin_fixture admin;
    admin.respond = [](const http_request&) {
        return admin_fixture::make_json(
            {{"kind", "version_conflict"}, {"message", "version 7 by omar"}, {"run", "not-run"}}, 409);
    };
    const auto conflict = admin.call({"quota", "set", "imports", "--slots", "3", "--reason", "r"});
    BOOST_TEST(conflict.code == get_error_mapping(error_kind::version_conflict).exit_code);
    BOOST_TEST(conflict.err == "jacinthvane: version_conflict: version 7 by omar\n");
    for (const auto* body : {"", "no json", "[]", "{}", "{\"members\": 3}", "{\"jobs\": [3]}"}) {
        admin.respond = [&](const http_request&) {
            http_response response;
            response.body = body;
            return response;
        };
        for (const auto& arguments :
             {std::vector<std::string>{"members"}, {"job", "list"}, {"config", "history"}}) {
            const auto result = admin.call(arguments);
            const bool is_usable = std::string(body) == "{\"members\": 3}" && result.code == 0;
            BOOST_TEST((result.code == get_error_mapping(error_kind::internal).exit_code || is_usable));
            BOOST_TEST(result.err.find("json.exception") == std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
