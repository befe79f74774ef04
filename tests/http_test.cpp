#include <string>
#include <thread>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

time_point after_seconds(int seconds) {
    return std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
}

awaitable<http_response> echo(http_request request) {
    http_response response;
    response.body = request.method + " " + request.target + " " + request.body;
    co_return response;
}

std::string exchange_raw(asio::io_context& context, const std::string& address, const std::string& bytes) {
    const auto colon = address.rfind(':');
    asio::ip::tcp::socket socket(context);
    const auto ip = asio::ip::make_address(address.substr(0, colon));
    socket.connect({ip, static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))});
    asio::write(socket, asio::buffer(bytes));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string received;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http)

// Guards against pipelined responses that are lost or arrive in another order.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
    asio::io_context context;
    http_server server(context, http_limits{}, echo);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    std::thread runner([&] { context.run(); });
    asio::io_context client_context;
    const auto received =
        exchange_raw(client_context, server.get_address(),
                     "GET /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(received.find("GET /one") < received.find("GET /two"));
    BOOST_TEST(received.find("GET /two") != std::string::npos);
    context.stop();
    runner.join();
}

// Guards against a malformed request that gets no response, or a 5xx, instead of a 4xx that states "not-run".
BOOST_AUTO_TEST_CASE(malformed_and_oversized_requests_get_a_client_error) {
    asio::io_context context;
    http_limits limits;
    limits.max_body_bytes = 10;
    http_server server(context, limits, echo);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    std::thread runner([&] { context.run(); });
    asio::io_context client_context;
    const auto garbage = exchange_raw(client_context, server.get_address(), "\x01\x02 nonsense\r\n\r\n");
    BOOST_TEST(garbage.find("HTTP/1.1 400") == 0U);
    BOOST_TEST(garbage.find("not-run") != std::string::npos);
    const auto large = exchange_raw(client_context, server.get_address(),
                                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890");
    BOOST_TEST(large.find("HTTP/1.1 413") == 0U);
    context.stop();
    runner.join();
}

// Guards against a lost response being reported as a request that was never sent.
BOOST_AUTO_TEST_CASE(client_distinguishes_unreachable_from_lost) {
    asio::io_context context;
    asio::ip::tcp::acceptor unresponsive(context, {asio::ip::make_address("127.0.0.1"), 0});
    const auto unresponsive_address = "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port());
    std::string closed_address;
    {
        asio::ip::tcp::acceptor closed(context, {asio::ip::make_address("127.0.0.1"), 0});
        closed_address = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    }
    http_client client(context, 4);
    std::vector<jacinthvane::error_kind> kinds;
    const auto call = [&]() -> awaitable<void> {
        const http_request request;
        auto refused = co_await client.fetch(closed_address, request, after_seconds(5));
        kinds.push_back(get_error_kind(refused.status()));
        auto lost = co_await client.fetch(unresponsive_address, request,
                                          std::chrono::steady_clock::now() + std::chrono::milliseconds(50));
        kinds.push_back(get_error_kind(lost.status()));
    };
    spawn_task(context, "test", call());
    context.run();
    BOOST_REQUIRE(kinds.size() == 2U);
    BOOST_TEST((kinds[0] == jacinthvane::error_kind::upstream_unreachable));
    BOOST_TEST((kinds[1] == jacinthvane::error_kind::upstream_lost));
}

BOOST_AUTO_TEST_SUITE_END()
