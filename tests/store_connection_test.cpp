#include "platform/store_connection.hpp"

#include <chrono>
#include <string>

#include <boost/test/unit_test.hpp>

#include "connection/http_server.hpp"
#include "process/error_kind.hpp"
#include "tests/run_coroutine.hpp"

using namespace jacinthvane;

BOOST_AUTO_TEST_SUITE(store_connection)

// Guards against a listing that ends early and passes for complete, because no item of one of its pages can
// be read: a next owner would not know the jobs of the later pages.
BOOST_AUTO_TEST_CASE(a_listing_without_a_readable_page_fails) {
    asio::io_context context;
    http_server server(context, http_limits{}, [](http_request request) -> awaitable<http_response> {
        http_response response;
        response.body = request.get_query("After").empty()
                            ? R"({"items":[{"Key":"a","Value":"","Rev":1}],"MorePages":true,"At":9})"
                            : R"({"items":[7],"MorePages":true,"At":9})";
        co_return response;
    });
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    platform::store_connection store(context, server.get_address());
    run_coroutine(context, [&]() -> awaitable<void> {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        const std::string prefix("jv/");
        const auto listing = co_await store.list(prefix, deadline);
        BOOST_REQUIRE(!listing.ok());
        BOOST_TEST((get_error_kind(listing.status()) == error_kind::store_unavailable));
    });
}

BOOST_AUTO_TEST_SUITE_END()
