#include "platform/front_handler.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>

#include "connection/memory_cell_store.hpp"
#include "connection/memory_registry.hpp"
#include "connection/memory_upstreams.hpp"
#include "tests/run_coroutine.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds config_bound{1500};

time_point after(milliseconds span) {
    return std::chrono::steady_clock::now() + span;
}

dispatch_config make_config() {
    dispatch_config config;
    config.version = 1;
    queue_settings queue;
    queue.rules.queue = "merges";
    queue.rules.service = "tree";
    queue.host = "host.example";
    queue.prefix = "/merges/";
    config.queues = {queue};
    return config;
}

// The requests of clients to one process whose store and registry are in memory.
struct front_parts {
    front_parts() {
        registry->set_config(std::make_shared<const dispatch_config>(make_config()));
        entry_settings settings;
        settings.vm = vm_id("vm");
        settings.peer_address = "127.0.0.1:1";
        settings.limits.config_bound = config_bound;
        const cell_ports ports{cell_store(store), registry_port(registry), upstream_port(upstreams)};
        member = std::make_shared<jacinthvane::cell_member>(context, ports, settings, "vm", counters);
        jobs = std::make_shared<job_submission>(context, ports.store, member, counters);
        member->start();
    }

    // The views must refer to constants.
    awaitable<int> get_status(std::string_view method, std::string_view path, std::string_view body,
                              std::string_view deadline_ms = "3000") {
        http_request request;
        request.method = std::string(method);
        request.target = std::string(path);
        request.headers["Host"] = "host.example";
        request.headers["Deadline-Ms"] = std::string(deadline_ms);
        request.body = std::string(body);
        const platform::front_handler handler(member, jobs);
        const auto response = co_await handler.handle(request);
        co_return response.status;
    }

    asio::io_context context;
    metrics counters;
    std::shared_ptr<memory_cell_store> store = std::make_shared<memory_cell_store>(machine_clock{});
    std::shared_ptr<memory_registry> registry = std::make_shared<memory_registry>();
    std::shared_ptr<memory_upstreams> upstreams =
        std::make_shared<memory_upstreams>(machine_clock{}, [](const task_ref&) {
            return simulated_task{{1000, 1000, 0, 0}, 200};
        });
    std::shared_ptr<jacinthvane::cell_member> member;
    std::shared_ptr<job_submission> jobs;
};

constexpr std::string_view job_path = "/merges/00000000000000aa";
constexpr std::string_view job_body =
    R"({"Spec":"x","Steps":[{"Count":1,"Cpu":100,"MemMb":10,"EstMs":100}]})";

}  // namespace

BOOST_AUTO_TEST_SUITE(front_handler)

// Guards against a response that a newer configuration contradicts: a process that was cut off from every
// source of configurations answered 404 for routes that had been added long before, and accepted jobs of
// removed ones.
BOOST_AUTO_TEST_CASE(refuses_what_depends_on_an_outdated_configuration) {
    front_parts front;
    run_coroutine(front.context, [&]() -> awaitable<void> {
        co_await wait_until(after(milliseconds(500)));
        BOOST_TEST(co_await front.get_status("GET", "/unknown/", "") == 404);
        BOOST_TEST(co_await front.get_status("GET", "/merges/", "") == 200);
        BOOST_TEST(co_await front.get_status("POST", job_path, job_body) == 200);
        front.registry->set_down(true);
        co_await wait_until(after(config_bound + milliseconds(1000)));
        BOOST_TEST(co_await front.get_status("GET", "/unknown/", "") == 503);
        BOOST_TEST(co_await front.get_status("GET", "/merges/", "") == 503);
        BOOST_TEST(co_await front.get_status("POST", "/merges/00000000000000bb", job_body) == 503);
        // The state of an accepted job does not depend on the configuration.
        BOOST_TEST(co_await front.get_status("GET", job_path, "") == 200);
        BOOST_TEST(!front.member->is_ready());
        front.registry->set_down(false);
        co_await wait_until(after(milliseconds(1000)));
        BOOST_TEST(co_await front.get_status("GET", "/unknown/", "") == 404);
        BOOST_TEST(co_await front.get_status("GET", "/merges/", "") == 200);
        BOOST_TEST(front.member->is_ready());
    });
}

// Guards against a job that is acknowledged and not stored: the timeout of 1 ms left no time for an attempt.
BOOST_AUTO_TEST_CASE(acknowledges_no_job_that_it_had_no_time_to_store) {
    front_parts front;
    run_coroutine(front.context, [&]() -> awaitable<void> {
        co_await wait_until(after(milliseconds(500)));
        BOOST_TEST(co_await front.get_status("POST", job_path, job_body, "1") == 504);
        BOOST_TEST(co_await front.get_status("GET", job_path, "") == 410);
        BOOST_TEST(co_await front.get_status("POST", job_path, job_body) == 200);
        BOOST_TEST(co_await front.get_status("GET", job_path, "") == 200);
    });
}

BOOST_AUTO_TEST_SUITE_END()
