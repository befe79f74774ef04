#include "connection/caller_codec.hpp"

#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

const time_point now = time_point(std::chrono::hours(1));

http_request make_valid_request() {
    http_request message;
    message.method = "POST";
    message.target = "/v1/requests";
    message.headers = {
        {"X-Team", "sfax"}, {"X-Kind", "import"}, {"X-Deadline-Ms", "500"}, {"Idempotency-Key", "k1"}};
    message.body = "family";
    return message;
}

absl::StatusOr<caller_request> parse(const http_request& message) {
    return parse_caller_request(message, task_class::urgent, request_id("r1"), now, caller_limits{});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_codec)

// Guards against a deadline that is stored as a duration, or that is not counted from the arrival.
BOOST_AUTO_TEST_CASE(deadline_is_counted_from_the_arrival) {
    const auto request = parse(make_valid_request());
    BOOST_REQUIRE(request.ok());
    BOOST_TEST((request->deadline == now + std::chrono::milliseconds(500)));
    BOOST_TEST(request->spec.is_idempotent);
}

// Guards against two requests with one key that get different task ids, and two keys that get the same one.
BOOST_AUTO_TEST_CASE(task_id_follows_team_and_key) {
    auto message = make_valid_request();
    message.headers["X-Non-Idempotent"] = "true";
    const auto first = parse(message);
    const auto repeat =
        parse_caller_request(message, task_class::urgent, request_id("r2"), now, caller_limits{});
    BOOST_TEST((first->spec.task == repeat->spec.task));
    message.headers["X-Team"] = "tunis";
    BOOST_TEST((first->spec.task != parse(message)->spec.task));
    message.body = "other";
    BOOST_TEST((first->digest != parse(message)->digest));
}

// Guards against two runs of an idempotent request that an upstream cannot distinguish.
BOOST_AUTO_TEST_CASE(idempotent_repeats_have_their_own_task_ids) {
    const auto message = make_valid_request();
    const auto repeat =
        parse_caller_request(message, task_class::urgent, request_id("r2"), now, caller_limits{});
    BOOST_TEST((parse(message)->spec.task != repeat->spec.task));
}

// Guards against an invalid field that is ignored, or that the error does not name.
BOOST_AUTO_TEST_CASE(each_wrong_field_is_named) {
    struct wrong_field {
        std::string header;
        std::string value;
    };
    const std::vector<wrong_field> cases = {
        {"X-Team", ""},
        {"X-Team", "a b"},
        {"X-Kind", std::string(65, 'x')},
        {"X-Deadline-Ms", "0"},
        {"X-Deadline-Ms", "1e3"},
        {"X-Deadline-Ms", "99999999999999999999"},
        {"X-Class", "batch"},
        {"X-Accelerators", "-1"},
        {"X-Processors-Milli", "many"},
        {"X-Memory-Mb", "0"},
        {"X-Non-Idempotent", "si"},
        {"Idempotency-Key", "a b"},
        {"Idempotency-Key", std::string(129, 'k')},
    };
    for (const auto& wrong : cases) {
        auto message = make_valid_request();
        message.headers[wrong.header] = wrong.value;
        const auto request = parse(message);
        BOOST_REQUIRE(!request.ok());
        BOOST_TEST((get_error_kind(request.status()) == jacinthvane::error_kind::bad_request));
        BOOST_TEST(std::string(request.status().message()).find(wrong.header) != std::string::npos);
    }
}

// Guards against a non-idempotent request that is accepted without a key, so that its retry cannot be
// detected.
BOOST_AUTO_TEST_CASE(non_idempotent_request_needs_a_key) {
    auto message = make_valid_request();
    message.headers.erase("Idempotency-Key");
    message.headers["X-Non-Idempotent"] = "true";
    BOOST_TEST(!parse(message).ok());
}

// Guards against a crash or a 5xx on arbitrary header bytes.
BOOST_AUTO_TEST_CASE(mutated_headers_never_fail_the_server) {
    std::mt19937 random(20261204);
    const std::vector<std::string> names = {"X-Team",          "X-Kind",        "X-Class",
                                            "X-Deadline-Ms",   "X-Memory-Mb",   "X-Non-Idempotent",
                                            "Idempotency-Key", "X-Accelerators"};
    for (int round = 0; round < 5000; ++round) {
        auto message = make_valid_request();
        std::string value(random() % 80, ' ');
        for (auto& c : value) {
            c = static_cast<char>(random() % 256);
        }
        message.headers[names[random() % names.size()]] = value;
        const auto request = parse(message);
        if (request.ok()) {
            continue;
        }
        const auto response = make_error_response(request.status(), request_id("r"));
        BOOST_TEST(response.status == 400);
        BOOST_TEST(response.get_header("X-Run") == "not-run");
    }
}

BOOST_AUTO_TEST_SUITE_END()
