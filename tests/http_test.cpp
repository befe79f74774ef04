#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/async_signal.hpp"
#include "connection/endpoint.hpp"
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

using asio::ip::tcp;
using std::chrono::milliseconds;

// Ends a wait for the other thread of a test that has gone wrong.
constexpr std::chrono::seconds max_wait{5};

time_point after(milliseconds delay) {
    return std::chrono::steady_clock::now() + delay;
}

// A server whose behaviour on a connection is a coroutine. It has a thread of its own, so that it continues
// while a test blocks the event loop of the client.
class raw_server {
public:
    // Receives the number of the connection, from 1. The connection is closed at the end of the coroutine.
    using session = std::function<awaitable<void>(tcp::socket&, int)>;

    explicit raw_server(session serve)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}), serve_(std::move(serve)) {
        // With a fixed size, the kernel does not take a request of several megabytes on its own.
        acceptor_.set_option(tcp::socket::receive_buffer_size(256 << 10));
        spawn_task(context_, "accept", accept_all());
        // A busy machine may start a new thread only after the deadline of a call.
        std::promise<void> started;
        runner_ = std::thread([&, this] {
            started.set_value();
            context_.run();
        });
        started.get_future().wait();
    }
    ~raw_server() {
        context_.stop();
        runner_.join();
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::string get_address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    int get_accepted() const { return accepted_; }

private:
    awaitable<void> accept_all() {
        boost::system::error_code error;
        while (!error) {
            tcp::socket socket(context_);
            co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
            const int number = ++accepted_;
            spawn_task(context_, "session", run_session(std::move(socket), number));
        }
    }
    awaitable<void> run_session(tcp::socket socket, int number) { co_await serve_(socket, number); }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    session serve_;
    std::atomic<int> accepted_ = 0;
    std::thread runner_;
};

// Returns the header of a request, or an empty string if the connection ends before.
awaitable<std::string> read_header(tcp::socket& socket) {
    std::string text;
    boost::system::error_code error;
    auto buffer = asio::dynamic_buffer(text);
    co_await asio::async_read_until(socket, buffer, "\r\n\r\n",
                                    asio::redirect_error(asio::use_awaitable, error));
    co_return error ? std::string() : text;
}

// Returns what arrives until the other side closes the connection.
awaitable<std::string> read_until_end(tcp::socket& socket) {
    std::string text;
    boost::system::error_code error;
    auto buffer = asio::dynamic_buffer(text);
    co_await asio::async_read(socket, buffer, asio::redirect_error(asio::use_awaitable, error));
    co_return text;
}

awaitable<void> send(tcp::socket& socket, const std::string& text) {
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
}

std::string make_response(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Its period is no divisor of a buffer size, so that lost, repeated and exchanged parts show.
std::string make_large_body(std::size_t size) {
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
        body[i] = static_cast<char>('a' + i % 23);
    }
    return body;
}

using call_result = absl::StatusOr<http_response>;

// Returns the name of the error, or the body of the response.
std::string describe(const call_result& result) {
    if (result.ok()) {
        return "response " + result->body;
    }
    return std::string(get_error_mapping(get_error_kind(result.status())).name);
}

std::string_view get_run_name(const call_result& result) {
    return get_name(get_run_knowledge(result.status()));
}

// Checks that a call which has just ended was lost, and that it ended at its deadline.
void check_lost(const call_result& result, time_point deadline) {
    const auto ended = std::chrono::steady_clock::now();
    BOOST_TEST(describe(result) == "upstream_lost");
    BOOST_TEST(get_run_name(result) == "may-have-run");
    BOOST_TEST((ended >= deadline && ended < deadline + std::chrono::seconds(1)));
}

// Makes the calls at the same time and returns their results.
std::vector<call_result> call_at_once(asio::io_context& context, http_client& client,
                                      const std::string& address, std::size_t count, time_point deadline) {
    std::vector<call_result> results(count);
    const auto call_one = [&](std::size_t i) -> awaitable<void> {
        const http_request request;
        results[i] = co_await client.fetch(address, request, deadline);
    };
    for (std::size_t i = 0; i < count; ++i) {
        spawn_task(context, "call", call_one(i));
    }
    context.restart();
    context.run();
    return results;
}

call_result call(asio::io_context& context, http_client& client, const std::string& address,
                 time_point deadline, const http_request& request = {}) {
    call_result result;
    const auto call_one = [&]() -> awaitable<void> {
        result = co_await client.fetch(address, request, deadline);
    };
    spawn_task(context, "call", call_one());
    context.restart();
    context.run();
    return result;
}

// Calls a server that sends the given bytes after the header of the request and closes the connection.
call_result call_and_close(const std::string& bytes) {
    asio::io_context context;
    raw_server server([&](tcp::socket& socket, int) -> awaitable<void> {
        co_await read_header(socket);
        co_await send(socket, bytes);
    });
    http_client client(context, 1);
    return call(context, client, server.get_address(), after_seconds(5));
}

// Blocks the event loop of the client from before the response with this body is sent until after the
// deadline.
void check_response_during_block(const std::string& body) {
    asio::io_context context;
    time_point deadline;
    std::promise<void> blocked;
    std::promise<void> passed;
    time_point sent;
    raw_server server([&](tcp::socket& socket, int) -> awaitable<void> {
        co_await read_header(socket);
        asio::post(context, [&] {
            blocked.set_value();
            passed.get_future().wait_for(max_wait);
        });
        blocked.get_future().wait_for(max_wait);
        const auto response = make_response(body);
        co_await send(socket, response);
        sent = std::chrono::steady_clock::now();
        co_await wait_until(deadline + milliseconds(20));
        passed.set_value();
        co_await read_until_end(socket);
    });
    http_client client(context, 1);
    deadline = after(milliseconds(300));
    const auto result = call(context, client, server.get_address(), deadline);
    BOOST_TEST((describe(result) == "response " + body), result.status());
    BOOST_TEST((std::chrono::steady_clock::now() > deadline));
    BOOST_TEST((sent < deadline));
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

// Guards against trailers that are kept without limit, and against a deadline that each further byte renews.
BOOST_AUTO_TEST_CASE(long_trailers_are_refused_and_slow_requests_end) {
    asio::io_context context;
    http_limits limits;
    limits.io_timeout = milliseconds(300);
    http_server server(context, limits, echo);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    std::thread runner([&] { context.run(); });
    asio::io_context client_context;
    const auto refused = exchange_raw(client_context, server.get_address(),
                                      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " +
                                          std::string(2 * limits.max_header_bytes, 'a'));
    BOOST_TEST(refused.find("HTTP/1.1 413") == 0U);
    BOOST_TEST(refused.find("not-run") != std::string::npos);
    tcp::socket slow(client_context);
    slow.connect(*parse_endpoint<tcp>(server.get_address()));
    boost::system::error_code error;
    const auto deadline = after(max_wait);
    while (!error && std::chrono::steady_clock::now() < deadline) {
        asio::write(slow, asio::buffer("G", 1), error);
        std::this_thread::sleep_for(milliseconds(50));
    }
    BOOST_TEST(error);
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

// Guards against a process that discards a response it received in time because it was too slow to read it.
BOOST_AUTO_TEST_CASE(response_that_arrived_while_the_event_loop_was_blocked_is_returned) {
    check_response_during_block("late");
}

// Guards against the same for a response that takes several reads, between which the deadline is noticed.
BOOST_AUTO_TEST_CASE(long_response_that_arrived_while_the_event_loop_was_blocked_is_returned) {
    check_response_during_block(make_large_body(20'000));
}

// Guards against an own delay before the request that is reported as a fault of the server, or as a request
// that may have run.
BOOST_AUTO_TEST_CASE(request_that_a_blocked_event_loop_did_not_write_is_delayed_and_not_run) {
    asio::io_context context;
    time_point deadline;
    std::promise<void> blocked;
    std::promise<void> passed;
    std::promise<std::string> received;
    raw_server server([&](tcp::socket& socket, int) -> awaitable<void> {
        blocked.get_future().wait_for(max_wait);
        co_await wait_until(deadline + milliseconds(20));
        passed.set_value();
        received.set_value(co_await read_until_end(socket));
    });
    http_client client(context, 1);
    call_result result;
    const auto call_blocked = [&]() -> awaitable<void> {
        const auto address = server.get_address();
        const http_request request;
        // Runs when the call has begun to connect, and before the event loop learns that it is connected.
        asio::post(context, [&] {
            blocked.set_value();
            passed.get_future().wait_for(max_wait);
        });
        result = co_await client.fetch(address, request, deadline);
    };
    deadline = after(milliseconds(200));
    spawn_task(context, "call", call_blocked());
    context.run();
    BOOST_TEST(describe(result) == "call_delayed");
    BOOST_TEST(get_run_name(result) == "not-run");
    auto seen = received.get_future();
    BOOST_REQUIRE((seen.wait_for(max_wait) == std::future_status::ready));
    BOOST_TEST(seen.get() == "");
    BOOST_TEST(server.get_accepted() == 1);
}

// Guards against a server that is blamed for a call for which this process had no connection left.
BOOST_AUTO_TEST_CASE(call_without_a_free_connection_is_delayed_and_not_run) {
    asio::io_context context;
    raw_server server([](tcp::socket& socket, int) -> awaitable<void> { co_await read_until_end(socket); });
    http_client client(context, 1);
    const auto address = server.get_address();
    const auto deadline = after(milliseconds(100));
    time_point ended;
    call_result waiting;
    call_result holding;
    const auto call_second = [&]() -> awaitable<void> {
        const http_request request;
        waiting = co_await client.fetch(address, request, deadline);
        ended = std::chrono::steady_clock::now();
    };
    const auto call_first = [&]() -> awaitable<void> {
        // Starts only when the first call, which has the only connection, waits.
        spawn_task(context, "call", call_second());
        const http_request request;
        holding = co_await client.fetch(address, request, deadline + milliseconds(50));
    };
    spawn_task(context, "call", call_first());
    context.run();
    BOOST_TEST(describe(waiting) == "call_delayed");
    BOOST_TEST(get_run_name(waiting) == "not-run");
    BOOST_TEST(describe(holding) == "upstream_lost");
    BOOST_TEST((ended >= deadline));
    BOOST_TEST(server.get_accepted() == 1);
}

// Guards against the silence of a server that is taken for a delay of this process.
BOOST_AUTO_TEST_CASE(server_that_reads_and_never_responds_is_lost) {
    asio::io_context context;
    raw_server server([](tcp::socket& socket, int) -> awaitable<void> { co_await read_until_end(socket); });
    http_client client(context, 1);
    const auto deadline = after(milliseconds(100));
    const auto result = call(context, client, server.get_address(), deadline);
    check_lost(result, deadline);
}

// Guards against bytes that only the kernel of a halted server accepted being taken for a sign of life.
BOOST_AUTO_TEST_CASE(server_that_accepts_and_never_reads_is_lost) {
    asio::io_context context;
    raw_server server([](tcp::socket&, int) -> awaitable<void> { co_await wait_until(after_seconds(60)); });
    http_client client(context, 1);
    const auto deadline = after(milliseconds(100));
    const auto result = call(context, client, server.get_address(), deadline);
    check_lost(result, deadline);
}

// Guards against a server that does not take a large request being excused as a delay of this process.
BOOST_AUTO_TEST_CASE(server_that_never_reads_a_large_request_is_lost) {
    asio::io_context context;
    raw_server server([](tcp::socket&, int) -> awaitable<void> { co_await wait_until(after_seconds(60)); });
    http_client client(context, 1);
    http_request request;
    request.method = "POST";
    request.body = make_large_body(8U << 20U);
    // Leaves time to copy the body under a sanitizer, before any of it is written.
    const auto deadline = after_seconds(3);
    const auto result = call(context, client, server.get_address(), deadline, request);
    check_lost(result, deadline);
}

// Guards against a call that waits without an end for the rest of a response, and against a connection whose
// next bytes belong to an earlier call.
BOOST_AUTO_TEST_CASE(partial_response_ends_with_an_error_and_its_connection_is_not_used_again) {
    asio::io_context context;
    raw_server server([](tcp::socket& socket, int number) -> awaitable<void> {
        const std::array<std::string, 3> responses{"HTTP/1.1 200 OK\r\nContent-Len",
                                                   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                                                   make_response("whole")};
        co_await read_header(socket);
        co_await send(socket, responses.at(static_cast<std::size_t>(number - 1)));
        co_await read_until_end(socket);
    });
    http_client client(context, 2);
    const auto deadline = after(milliseconds(100));
    const auto results = call_at_once(context, client, server.get_address(), 2, deadline);
    const auto ended = std::chrono::steady_clock::now();
    // One second of grace, and half a second for a busy machine.
    BOOST_TEST((ended < deadline + milliseconds(1500)));
    for (const auto& result : results) {
        BOOST_TEST(!result.ok(), describe(result));
        BOOST_TEST(get_run_name(result) == "may-have-run");
        BOOST_TEST_MESSAGE("a partial response was reported as " << describe(result));
    }
    const auto next = call(context, client, server.get_address(), after_seconds(5));
    BOOST_TEST(describe(next) == "response whole");
    BOOST_TEST(server.get_accepted() == 3);
}

// Guards against a large response that is requested again from its beginning on a slow link, without end:
// while more of it arrives it is read, and once nothing arrives the call ends.
BOOST_AUTO_TEST_CASE(response_that_arrives_slowly_is_read_whole_if_the_call_asks_for_it) {
    asio::io_context context;
    const std::string whole = make_response(make_large_body(2500));
    raw_server server([&](tcp::socket& socket, int number) -> awaitable<void> {
        co_await read_header(socket);
        const bool is_stalling = number == 3;
        for (std::size_t sent = 0; sent < (is_stalling ? whole.size() / 2 : whole.size()); sent += 100) {
            const std::string part = whole.substr(sent, 100);
            co_await send(socket, part);
            co_await wait_until(after(milliseconds(100)));
        }
        co_await read_until_end(socket);
    });
    http_client client(context, 1);
    const auto fetch = [&](late_response late) {
        call_result result;
        const auto call_late = [&]() -> awaitable<void> {
            const http_request request;
            call_options options;
            options.late = late;
            result = co_await client.fetch(server.get_address(), request, after(milliseconds(300)), options);
        };
        spawn_task(context, "call", call_late());
        context.restart();
        context.run();
        return result;
    };
    BOOST_TEST(!fetch(late_response::read_briefly).ok());
    BOOST_TEST(describe(fetch(late_response::read_while_arriving)) == "response " + make_large_body(2500));
    const auto begun_at = std::chrono::steady_clock::now();
    BOOST_TEST(!fetch(late_response::read_while_arriving).ok());
    // Half of the response takes 1.3 s, and the call ends two seconds later at the latest.
    BOOST_TEST((std::chrono::steady_clock::now() < begun_at + milliseconds(4500)));
}

// Guards against the end of a connection that is returned as a response, which is empty or lacks its end.
BOOST_AUTO_TEST_CASE(connection_that_ends_before_the_end_of_a_response_is_lost) {
    const std::array<std::string, 4> incomplete{
        "", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"};
    for (const auto& bytes : incomplete) {
        const auto result = call_and_close(bytes);
        BOOST_TEST(describe(result) == "upstream_lost", describe(result) << " after \"" << bytes << "\"");
        BOOST_TEST(get_run_name(result) == "may-have-run");
    }
}

// Guards against a body without an announced length that is taken for incomplete when its connection ends.
BOOST_AUTO_TEST_CASE(body_without_content_length_ends_with_the_connection) {
    BOOST_TEST(describe(call_and_close("HTTP/1.1 200 OK\r\n\r\nwhole")) == "response whole");
    BOOST_TEST(describe(call_and_close("HTTP/1.1 200 OK\r\n\r\n")) == "response ");
}

// Guards against bytes that follow a response being taken for the response to the next request.
BOOST_AUTO_TEST_CASE(connection_with_bytes_after_a_response_is_not_used_again) {
    asio::io_context context;
    raw_server server([](tcp::socket& socket, int number) -> awaitable<void> {
        const auto response = make_response(std::to_string(number)) + make_response("stale");
        co_await read_header(socket);
        co_await send(socket, response);
        co_await read_until_end(socket);
    });
    http_client client(context, 1);
    const auto first = call(context, client, server.get_address(), after_seconds(5));
    const auto second = call(context, client, server.get_address(), after_seconds(5));
    BOOST_TEST(describe(first) == "response 1");
    BOOST_TEST(describe(second) == "response 2");
    BOOST_TEST(server.get_accepted() == 2);
}

// Guards against the same bytes being left in the socket by a read that takes exactly the rest of a body.
BOOST_AUTO_TEST_CASE(connection_with_bytes_after_a_long_response_is_not_used_again) {
    asio::io_context context;
    const auto body = make_large_body(10'000);
    raw_server server([&](tcp::socket& socket, int number) -> awaitable<void> {
        const auto response = make_response(body + std::to_string(number)) + make_response("stale");
        co_await read_header(socket);
        co_await send(socket, response);
        co_await read_until_end(socket);
    });
    http_client client(context, 1);
    const auto first = call(context, client, server.get_address(), after_seconds(5));
    const auto second = call(context, client, server.get_address(), after_seconds(5));
    BOOST_TEST(describe(first) == "response " + body + "1");
    BOOST_TEST(describe(second) == "response " + body + "2");
    BOOST_TEST(server.get_accepted() == 2);
}

// Guards against the same bytes arriving only when the connection is idle.
BOOST_AUTO_TEST_CASE(idle_connection_on_which_bytes_arrive_is_not_used_again) {
    asio::io_context context;
    std::promise<void> returned;
    std::promise<void> sent;
    raw_server server([&](tcp::socket& socket, int number) -> awaitable<void> {
        const auto response = make_response(std::to_string(number));
        co_await read_header(socket);
        co_await send(socket, response);
        if (number == 1) {
            returned.get_future().wait_for(max_wait);
            const auto stale = make_response("stale");
            co_await send(socket, stale);
            sent.set_value();
        }
        co_await read_until_end(socket);
    });
    http_client client(context, 1);
    const auto first = call(context, client, server.get_address(), after_seconds(5));
    returned.set_value();
    BOOST_REQUIRE((sent.get_future().wait_for(max_wait) == std::future_status::ready));
    const auto second = call(context, client, server.get_address(), after_seconds(5));
    BOOST_TEST(describe(first) == "response 1");
    BOOST_TEST(describe(second) == "response 2");
    BOOST_TEST(server.get_accepted() == 2);
}

// Guards against a body that loses or repeats parts when it takes many reads.
BOOST_AUTO_TEST_CASE(large_response_arrives_whole) {
    asio::io_context context;
    const auto body = make_large_body(4U << 20U);
    const auto response = make_response(body);
    raw_server server([&](tcp::socket& socket, int) -> awaitable<void> {
        co_await read_header(socket);
        co_await send(socket, response);
        co_await read_until_end(socket);
    });
    http_client client(context, 1);
    const auto result = call(context, client, server.get_address(), after_seconds(10));
    BOOST_REQUIRE_MESSAGE(result.ok(), result.status());
    BOOST_TEST(result->body.size() == body.size());
    BOOST_TEST((result->body == body));
}

// Guards against a request that loses or repeats parts when the socket takes only some bytes at a time.
BOOST_AUTO_TEST_CASE(large_request_is_written_whole_to_a_slow_server) {
    asio::io_context context;
    http_request request;
    request.method = "POST";
    request.body = make_large_body(6U << 20U);
    std::string received;
    raw_server server([&](tcp::socket& socket, int) -> awaitable<void> {
        std::vector<char> part(256U << 10U);
        boost::system::error_code error;
        co_await wait_until(after(milliseconds(50)));
        while (!error && !received.ends_with("\r\n\r\n" + request.body)) {
            const auto size = co_await socket.async_read_some(
                asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
            received.append(part.data(), size);
            co_await wait_until(after(milliseconds(1)));
        }
        const auto response = make_response("taken");
        co_await send(socket, response);
        co_await read_until_end(socket);
    });
    http_client client(context, 1);
    const auto result = call(context, client, server.get_address(), after_seconds(10), request);
    BOOST_TEST(describe(result) == "response taken");
    const auto header_end = received.find("\r\n\r\n");
    BOOST_REQUIRE((header_end != std::string::npos));
    BOOST_TEST((received.substr(header_end + 4) == request.body));
}

BOOST_AUTO_TEST_SUITE_END()
