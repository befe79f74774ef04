#include "standin/link_relay.hpp"

#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

awaitable<http_response> respond_with_target(http_request request) {
    http_response response;
    response.body = request.target;
    co_return response;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(link_relay)

// Guards against a relay whose faults have no effect: tests that inject them would pass without testing
// anything.
BOOST_AUTO_TEST_CASE(each_fault_takes_effect_and_ends) {
    asio::io_context context;
    http_server server(context, http_limits{}, respond_with_target);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    jacinthvane::link_relay relay(context, server.get_address());
    BOOST_REQUIRE(relay.listen_tcp("127.0.0.1:0").ok());
    const auto address = relay.get_tcp_address();
    http_client client(context, 8);
    http_client second_client(context, 8);

    const auto run = [&]() -> awaitable<void> {
        const http_request request;
        const auto is_ok = [&](http_client& user, int milliseconds) -> awaitable<bool> {
            const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
            const auto response = co_await user.fetch(address, request, deadline);
            co_return response.ok();
        };
        BOOST_TEST(co_await is_ok(client, 5000));

        relay.silence_open_connections();
        BOOST_TEST(!co_await is_ok(client, 100));
        BOOST_TEST(co_await is_ok(second_client, 5000));

        link_faults faults;
        faults.is_cut = true;
        relay.set_faults(faults);
        BOOST_TEST(!co_await is_ok(second_client, 200));

        faults = link_faults{};
        faults.is_backward_dropped = true;
        relay.set_faults(faults);
        BOOST_TEST(!co_await is_ok(client, 100));

        faults = link_faults{};
        faults.delay_ms = 40;
        relay.set_faults(faults);
        const auto before = std::chrono::steady_clock::now();
        BOOST_TEST(co_await is_ok(client, 5000));
        BOOST_TEST((std::chrono::steady_clock::now() - before >= std::chrono::milliseconds(80)));
        context.stop();
    };
    spawn_task(context, "test", run());
    context.run();
}

// Guards against a byte rate that is applied per connection instead of per direction of the link.
BOOST_AUTO_TEST_CASE(rate_is_shared_by_the_direction) {
    relayed_direction direction;
    link_faults faults;
    faults.bytes_per_second = 1000;
    const time_point now(std::chrono::hours(1));
    BOOST_TEST((direction.schedule(500, faults, now) == now + std::chrono::milliseconds(500)));
    BOOST_TEST((direction.schedule(500, faults, now) == now + std::chrono::milliseconds(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
