#include <chrono>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "connection/async_signal.hpp"
#include "connection/http_server.hpp"
#include "connection/spawn_task.hpp"
#include "platform/upstream_connection.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

time_point after(milliseconds span) {
    return std::chrono::steady_clock::now() + span;
}

// An upstream that holds polls of its present incarnation, and refuses those of an earlier one.
awaitable<http_response> respond(http_request request) {
    constexpr int other_incarnation_status = 421;
    http_response response;
    if (request.get_header("Target-Instance") == "gone") {
        response.status = other_incarnation_status;
        co_return response;
    }
    co_await wait_until(after(milliseconds(800)));
    response.body = R"({"ClockMs":1,"Running":[],"Ended":[]})";
    co_return response;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream_connection)

// Guards against runs that stay committed for good: their upstream has been replaced at the same address, and
// the polls of its successor hold the only connection there.
BOOST_AUTO_TEST_CASE(polls_an_upstream_beside_another_one_at_its_address) {
    asio::io_context server_context;
    http_server server(server_context, http_limits{}, respond);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    std::thread runner([&] { server_context.run(); });
    asio::io_context context;
    platform::upstream_connection connection(context, std::string());
    poll_response gone;
    const auto poll = [&](std::string id, milliseconds timeout) -> awaitable<poll_response> {
        poll_order order;
        order.upstream = upstream_id(std::move(id));
        constexpr std::uint64_t token = 1;
        co_return co_await connection.poll(server.get_address(), order, token, after(timeout));
    };
    const auto poll_present = [&]() -> awaitable<void> { co_await poll("present", milliseconds(5000)); };
    const auto poll_gone = [&]() -> awaitable<void> {
        co_await wait_until(after(milliseconds(100)));
        gone = co_await poll("gone", milliseconds(500));
    };
    spawn_task(context, "present", poll_present());
    spawn_task(context, "gone", poll_gone());
    context.run();
    BOOST_TEST((gone.result == order_result::refused_other_incarnation));
    server_context.stop();
    runner.join();
}

// Guards against a poll that reaches a later incarnation, although it was made for the one that responded on
// the connection.
BOOST_AUTO_TEST_CASE(sends_a_poll_for_the_same_connection_on_no_other) {
    asio::io_context server_context;
    http_server server(server_context, http_limits{}, respond);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    std::thread runner([&] { server_context.run(); });
    asio::io_context context;
    platform::upstream_connection connection(context, std::string());
    poll_response response;
    const auto poll = [&]() -> awaitable<void> {
        poll_order order;
        order.upstream = upstream_id("present");
        order.needs_same_connection = true;
        response = co_await connection.poll(server.get_address(), order, 1, after(milliseconds(5000)));
    };
    spawn_task(context, "poll", poll());
    context.run();
    BOOST_TEST((response.result == order_result::delayed));
    BOOST_TEST(!connection.has_poll_connection(server.get_address()));
    server_context.stop();
    runner.join();
}

BOOST_AUTO_TEST_SUITE_END()
