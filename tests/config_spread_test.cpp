#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "connection/http_server.hpp"
#include "platform/registry.hpp"
#include "platform/store_connection.hpp"
#include "platform/upstream_connection.hpp"
#include "process/metrics.hpp"
#include "request/cell_member.hpp"
#include "request/peer_queries.hpp"
#include "standin/link_relay.hpp"
#include "standin/platform_store.hpp"
#include "tests/run_coroutine.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// How soon an acknowledged configuration has to be in force in every process. All processes of a test and its
// store share one thread, so the configurations are small, and the links slow in proportion.
constexpr seconds config_bound{4};
constexpr milliseconds check_interval{10};

time_point after(milliseconds span) {
    return std::chrono::steady_clock::now() + span;
}

std::string encode_config(std::uint64_t version, std::size_t queues) {
    nlohmann::json routes = nlohmann::json::array();
    for (std::size_t i = 0; i < queues; ++i) {
        const auto number = std::to_string(i);
        routes.push_back({{"Name", "route-" + number},
                          {"Host", "host-of-the-route.example"},
                          {"Prefix", "/prefix-" + number + "/"},
                          {"Service", "matcher"},
                          {"Priority", 1},
                          {"MaxAttempts", 3},
                          {"Stretch", 1.5},
                          {"TargetLatencyMs", 400},
                          {"Timeouts", {{"TotalMs", 30000}, {"ConnectMs", 300}, {"IdleMs", 15000}}}});
    }
    const nlohmann::json config = {{"Version", version},
                                   {"Routes", std::move(routes)},
                                   {"Services", nlohmann::json::array({{{"Name", "matcher"}}})},
                                   {"Limits", nlohmann::json::object()}};
    return config.dump();
}

// An entry process that reaches the store at the given address.
class spread_process {
public:
    spread_process(asio::io_context& context, const std::string& store_address, const std::string& name)
        : peer_server_(context, http_limits{}, [this](http_request request) -> awaitable<http_response> {
              if (is_unreachable_) {
                  http_response nothing;
                  nothing.status = dropped_response_status;
                  co_return nothing;
              }
              co_return co_await respond_to_query(std::move(request), member_);
          }) {
        BOOST_REQUIRE(peer_server_.listen("127.0.0.1:0").ok());
        const auto store = std::make_shared<platform::store_connection>(context, store_address);
        const cell_ports ports{
            cell_store(store), registry_port(std::make_shared<platform::registry>(store)),
            upstream_port(std::make_shared<platform::upstream_connection>(context, std::string()))};
        entry_settings settings;
        settings.vm = vm_id(name);
        settings.place = {region_id("far"), failure_domain_id("far-" + name.substr(name.size() - 1))};
        settings.peer_address = peer_server_.get_address();
        member_ = std::make_shared<jacinthvane::cell_member>(context, ports, settings, name, counters_);
        member_->start();
    }

    std::uint64_t get_version() const {
        const auto queues = member_->get_queues();
        return queues == nullptr ? 0 : queues->get_config().version;
    }
    const jacinthvane::cell_member& get_member() const { return *member_; }
    // Drops the connections of other processes, also those of queries that wait.
    void set_unreachable() { is_unreachable_ = true; }

private:
    bool is_unreachable_ = false;
    metrics counters_;
    http_server peer_server_;
    std::shared_ptr<jacinthvane::cell_member> member_;
};

// A store, and the processes of another region that reach it across one link.
struct two_regions {
    two_regions(std::size_t process_count, std::int64_t link_bytes_per_second)
        : server(context, store), link(context, listen()) {
        BOOST_REQUIRE(link.listen_tcp("127.0.0.1:0").ok());
        link_faults faults;
        faults.delay_ms = 12;
        faults.bytes_per_second = link_bytes_per_second;
        link.set_faults(faults);
        for (std::size_t i = 0; i < process_count; ++i) {
            const auto name = "far-" + std::to_string(i);
            processes.push_back(std::make_unique<spread_process>(context, link.get_tcp_address(), name));
        }
    }

    std::string listen() {
        BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
        return server.get_address();
    }

    void write_config(std::uint64_t version, std::size_t queues) {
        store_transaction transaction;
        transaction.writes = {{"op/config", encode_config(version, queues), 0}};
        store->apply(transaction);
    }

    std::size_t count_processes_with(std::uint64_t version) const {
        return static_cast<std::size_t>(
            std::count_if(processes.begin(), processes.end(),
                          [&](const auto& process) { return process->get_version() == version; }));
    }

    // Returns the bytes that have crossed the link towards the processes.
    awaitable<std::uint64_t> count_link_bytes() {
        http_request request;
        request.target = "/admin/ledger";
        const auto response = co_await link.handle_admin(request);
        co_return nlohmann::json::parse(response.body).at("backward_bytes").get<std::uint64_t>();
    }

    awaitable<bool> wait_for_version(std::uint64_t version, time_point deadline) {
        while (count_processes_with(version) < processes.size()) {
            if (std::chrono::steady_clock::now() >= deadline) {
                co_return false;
            }
            co_await wait_until(after(check_interval));
        }
        co_return true;
    }

    asio::io_context context;
    std::shared_ptr<memory_cell_store> store = std::make_shared<memory_cell_store>(machine_clock{});
    standin::platform_store server;
    link_relay link;
    std::vector<std::unique_ptr<spread_process>> processes;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(config_spread)

// Guards against a store of the tests that serves no process: the other tests would fail without a fault.
BOOST_AUTO_TEST_CASE(a_small_configuration_reaches_a_whole_region) {
    two_regions regions(4, 3'000'000);
    run_coroutine(regions.context, [&]() -> awaitable<void> {
        regions.write_config(1, 10);
        BOOST_TEST(co_await regions.wait_for_version(1, after(config_bound)));
        regions.write_config(2, 20);
        BOOST_TEST(co_await regions.wait_for_version(2, after(config_bound)));
    });
}

// Guards against a configuration that never comes into force in a region: each process read the whole value
// across the link between the regions, no read ended by its deadline, and all of them began again.
BOOST_AUTO_TEST_CASE(a_large_configuration_reaches_a_whole_region_across_a_narrow_link) {
    constexpr std::size_t process_count = 20;
    constexpr std::int64_t link_bytes_per_second = 1'000'000;
    two_regions regions(process_count, link_bytes_per_second);
    run_coroutine(regions.context, [&]() -> awaitable<void> {
        regions.write_config(1, 10);
        BOOST_TEST(co_await regions.wait_for_version(1, after(config_bound)));
        constexpr std::size_t queues = 1000;
        regions.write_config(2, queues);
        BOOST_TEST(co_await regions.wait_for_version(2, after(config_bound)));
        BOOST_TEST(regions.count_processes_with(2) == process_count);
    });
}

// Guards against bytes on the link between the regions that grow with the number of processes: one process
// reads the value, and the others get the changes from each other.
BOOST_AUTO_TEST_CASE(a_change_crosses_the_link_between_regions_about_once) {
    constexpr std::size_t process_count = 20;
    two_regions regions(process_count, 0);
    run_coroutine(regions.context, [&]() -> awaitable<void> {
        regions.write_config(1, 500);
        BOOST_TEST(co_await regions.wait_for_version(1, after(config_bound)));
        const auto before = co_await regions.count_link_bytes();
        regions.write_config(2, 1000);
        BOOST_TEST(co_await regions.wait_for_version(2, after(config_bound)));
        const auto value_bytes = encode_config(2, 1000).size() * 4 / 3;
        const auto link_bytes = co_await regions.count_link_bytes() - before;
        BOOST_TEST(link_bytes < 3 * value_bytes);
    });
}

// Guards against processes that abandon their relay while it receives a large configuration, and then all
// read it themselves: the link was so slow for that many copies that nobody got it.
BOOST_AUTO_TEST_CASE(a_relay_that_receives_for_long_is_not_abandoned) {
    constexpr std::size_t process_count = 12;
    constexpr std::int64_t link_bytes_per_second = 150'000;
    two_regions regions(process_count, link_bytes_per_second);
    run_coroutine(regions.context, [&]() -> awaitable<void> {
        regions.write_config(1, 10);
        BOOST_TEST(co_await regions.wait_for_version(1, after(config_bound)));
        const auto before = co_await regions.count_link_bytes();
        constexpr std::size_t queues = 1000;
        regions.write_config(2, queues);
        BOOST_TEST(co_await regions.wait_for_version(2, after(config_bound)));
        const auto value_bytes = encode_config(2, queues).size() * 4 / 3;
        const auto link_bytes = co_await regions.count_link_bytes() - before;
        BOOST_TEST(link_bytes < 2 * value_bytes);
    });
}

// Guards against values that cross the link although they have not changed, because a process that has lost
// its relay reads the configuration again from the store.
BOOST_AUTO_TEST_CASE(processes_without_a_relay_read_no_unchanged_value) {
    constexpr std::size_t process_count = 6;
    two_regions regions(process_count, 0);
    run_coroutine(regions.context, [&]() -> awaitable<void> {
        constexpr std::size_t queues = 1000;
        regions.write_config(1, queues);
        BOOST_TEST(co_await regions.wait_for_version(1, after(config_bound)));
        const auto before = co_await regions.count_link_bytes();
        for (const auto& process : regions.processes) {
            process->set_unreachable();
        }
        co_await wait_until(after(seconds(4)));
        BOOST_TEST(co_await regions.count_link_bytes() - before < encode_config(1, queues).size());
        for (const auto& process : regions.processes) {
            BOOST_TEST(process->get_member().is_config_current());
        }
    });
}

// Guards against processes that stay without a new configuration because the one that they get it from is
// gone and still listed.
BOOST_AUTO_TEST_CASE(a_change_reaches_the_processes_whose_relay_is_gone) {
    constexpr std::size_t process_count = 12;
    two_regions regions(process_count, 0);
    run_coroutine(regions.context, [&]() -> awaitable<void> {
        regions.write_config(1, 10);
        BOOST_TEST(co_await regions.wait_for_version(1, after(config_bound)));
        // Processes of equal strength are ordered by name, so these three are the relays of most others.
        for (const std::size_t relay : {9U, 8U, 7U}) {
            regions.processes[relay]->set_unreachable();
        }
        regions.write_config(2, 20);
        BOOST_TEST(co_await regions.wait_for_version(2, after(config_bound)));
        co_await wait_until(after(seconds(2)));
        for (const auto& process : regions.processes) {
            BOOST_TEST(process->get_member().is_config_current());
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
