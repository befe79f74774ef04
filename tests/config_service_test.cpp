#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/memory_store.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "request/config_service.hpp"

using namespace jacinthvane;

namespace {

time_point after_long_time() {
    return std::chrono::steady_clock::now() + std::chrono::seconds(60);
}

std::string make_config(std::uint64_t version, const std::string& text = "x") {
    return "{\"version\":" + std::to_string(version) + ",\"text\":\"" + text + "\"}";
}

member make_member(const std::string& vm, const std::string& domain, std::uint64_t config_version = 0) {
    member entry;
    entry.process = process_id{vm_id(vm), 1};
    entry.place = location{region_id("r"), failure_domain_id(domain)};
    entry.peer_address = vm;
    entry.membership_address = vm;
    entry.state = member_state::live;
    entry.heartbeat = 1;
    entry.config_version = config_version;
    return entry;
}

// Several entry processes within the test process. Calls between them are direct, and the test delivers the
// gossip.
class fleet {
public:
    explicit fleet(asio::io_context& context)
        : context_(context), store_(std::make_shared<memory_store>(clock_source(machine_clock{}))) {}

    // A process that cannot reach the store gets a separate empty store, which is equivalent to a lost one.
    config_service& add(const std::string& vm, const std::string& domain, bool has_store = true) {
        const auto table = std::make_shared<jacinthvane::member_table>(
            make_member(vm, domain), std::vector<std::string>(), 1, std::chrono::steady_clock::now());
        const auto memory =
            has_store ? store_ : std::make_shared<memory_store>(clock_source(machine_clock{}));
        const auto store = std::make_shared<store_client>(store_client::backend(memory));
        config_service::peer_call call = [this](std::string address, peer_request request,
                                                time_point) -> awaitable<absl::StatusOr<peer_reply>> {
            ++calls;
            co_return respond(address, std::get<fetch_config_request>(request));
        };
        nodes_.push_back(std::make_unique<node>(vm, table, nullptr));
        nodes_.back()->service = std::make_unique<config_service>(context_, store, table, std::move(call),
                                                                  std::chrono::milliseconds(10));
        return *nodes_.back()->service;
    }

    // Delivers gossip about one process to another.
    void deliver_gossip(const std::string& listener, const member& about) {
        for (const auto& entry : nodes_) {
            if (entry->vm == listener) {
                member_message message;
                message.entries.push_back(about);
                entry->table->merge(message, std::chrono::steady_clock::now());
                entry->service->notify_members_changed();
            }
        }
    }

    jacinthvane::member_table& get_table(std::size_t index) { return *nodes_[index]->table; }
    memory_store& get_store() { return *store_; }

    std::atomic<int> calls = 0;
    // Produces the responses of peers outside the fleet.
    std::function<absl::StatusOr<peer_reply>(const std::string&, const fetch_config_request&)> outside;

private:
    struct node {
        node(std::string name, std::shared_ptr<jacinthvane::member_table> members,
             std::unique_ptr<config_service> config)
            : vm(std::move(name)), table(std::move(members)), service(std::move(config)) {}

        std::string vm;
        std::shared_ptr<jacinthvane::member_table> table;
        std::unique_ptr<config_service> service;
    };

    absl::StatusOr<peer_reply> respond(const std::string& address, const fetch_config_request& request) {
        for (const auto& entry : nodes_) {
            if (entry->vm == address) {
                return entry->service->serve_fetch(request);
            }
        }
        return outside ? outside(address, request)
                       : absl::StatusOr<peer_reply>(make_error(error_kind::peer_unreachable, address));
    }

    asio::io_context& context_;
    std::shared_ptr<memory_store> store_;
    std::vector<std::unique_ptr<node>> nodes_;
};

void run_test(asio::io_context& context, const std::function<awaitable<void>()>& body) {
    bool is_done = false;
    spawn_task(
        context, "test",
        [](std::function<awaitable<void>()> inner, asio::io_context& io, bool& done) -> awaitable<void> {
            co_await inner();
            done = true;
            io.stop();
        }(body, context, is_done));
    std::thread other([&] { context.run(); });
    context.run();
    other.join();
    BOOST_TEST(is_done);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(config_service)

// Guards against a change in the store that the failure domain does not receive, or receives out of order.
BOOST_AUTO_TEST_CASE(watcher_installs_changes_and_others_fetch_them) {
    asio::io_context context;
    fleet processes(context);
    auto& watcher = processes.add("a", "d1");
    auto& other = processes.add("b", "d1");
    processes.deliver_gossip("a", make_member("b", "d1"));
    processes.deliver_gossip("b", make_member("a", "d1"));
    std::vector<std::uint64_t> versions;
    watcher.add_install_callback([&](const auto& config) { versions.push_back(config->version); });
    bool has_first = false;
    bool has_second = false;
    run_test(context, [&]() -> awaitable<void> {
        const auto revision = processes.get_store().compare_and_swap("config/fleet", 0, make_config(1));
        watcher.start();
        has_first = co_await watcher.wait_for_version(1, after_long_time());
        static_cast<void>(processes.get_store().compare_and_swap("config/fleet", *revision, make_config(2)));
        has_second = co_await watcher.wait_for_version(2, after_long_time());
        // The other process already has a configuration, so only the watcher has a store call in progress.
        BOOST_TEST(other.install(make_config(1)).ok());
        other.start();
        auto entry = make_member("a", "d1", 2);
        entry.heartbeat = 9;
        processes.deliver_gossip("b", entry);
        has_second = has_second && co_await other.wait_for_version(2, after_long_time());
    });
    BOOST_TEST(has_first);
    BOOST_TEST(has_second);
    BOOST_TEST((versions == std::vector<std::uint64_t>{1, 2}));
    BOOST_TEST(other.get_counts().from_peers == 1U);
    BOOST_TEST(other.get_counts().from_store == 0U);
    BOOST_TEST(processes.get_table(1).get_own()->config_version == 2U);
}

// Guards against a store that is lost, returns with an older value, and reverts the fleet to it (I9).
BOOST_AUTO_TEST_CASE(lost_store_and_older_value_keep_the_installed_version) {
    asio::io_context context;
    fleet processes(context);
    auto& service = processes.add("a", "d1");
    std::atomic<int> installs = 0;
    service.add_install_callback([&](const auto&) { ++installs; });
    bool has_later = false;
    run_test(context, [&]() -> awaitable<void> {
        auto& store = processes.get_store();
        const auto first = store.compare_and_swap("config/fleet", 0, make_config(5));
        service.start();
        co_await service.wait_for_version(5, after_long_time());
        static_cast<void>(store.remove("config/fleet", *first));
        const auto older = store.compare_and_swap("config/fleet", 0, make_config(4));
        while (service.get_counts().older == 0 && installs < 2) {
            co_await wait_until(std::chrono::steady_clock::now() + std::chrono::milliseconds(5));
        }
        BOOST_TEST(service.get_current()->version == 5U);
        BOOST_TEST(installs == 1);
        static_cast<void>(store.compare_and_swap("config/fleet", *older, make_config(6)));
        has_later = co_await service.wait_for_version(6, after_long_time());
    });
    BOOST_TEST(has_later);
    BOOST_TEST(installs == 2);
}

// Guards against a peer that advertises a newer version and then serves an older one, or nothing.
BOOST_AUTO_TEST_CASE(older_or_broken_peer_changes_nothing) {
    asio::io_context context;
    fleet processes(context);
    auto& service = processes.add("a", "d1", false);
    std::atomic<int> step = 0;
    processes.outside = [&](const std::string&, const fetch_config_request&) -> absl::StatusOr<peer_reply> {
        switch (step++) {
            case 0:
                return fetch_config_reply{3, make_config(3)};
            case 1:
                return make_error(error_kind::peer_lost, "gone");
            case 2:
                return fetch_config_reply{9, "no json"};
            case 3:
                return fetch_config_reply{9, "{\"version\":-9}"};
            case 4:
                return make_error_reply(make_error(error_kind::not_ready, "not ready"));
            default:
                return fetch_config_reply{9, make_config(9)};
        }
    };
    std::vector<std::uint64_t> versions;
    service.add_install_callback([&](const auto& config) { versions.push_back(config->version); });
    run_test(context, [&]() -> awaitable<void> {
        BOOST_TEST(service.install(make_config(5)).ok());
        service.start();
        processes.deliver_gossip("a", make_member("b", "d2", 9));
        co_await service.wait_for_version(9, after_long_time());
    });
    BOOST_TEST((versions == std::vector<std::uint64_t>{5, 9}));
    BOOST_TEST(service.get_counts().refused == 2U);
    BOOST_TEST(service.get_counts().older == 1U);
}

// Guards against a new process that waits for the store although peers have a configuration, and against
// installing the first response instead of the highest version.
BOOST_AUTO_TEST_CASE(fresh_process_with_peers_only_takes_the_highest_version) {
    asio::io_context context;
    fleet processes(context);
    auto& fresh = processes.add("a", "d1", false);
    auto& older = processes.add("b", "d2", false);
    auto& newer = processes.add("c", "d3", false);
    BOOST_TEST(older.install(make_config(7)).ok());
    BOOST_TEST(newer.install(make_config(8)).ok());
    bool is_known = false;
    run_test(context, [&]() -> awaitable<void> {
        BOOST_TEST(!fresh.is_ready());
        processes.deliver_gossip("a", make_member("b", "d2", 7));
        processes.deliver_gossip("a", make_member("c", "d3", 8));
        fresh.start();
        is_known = co_await fresh.wait_for_version(1, after_long_time());
    });
    BOOST_TEST(is_known);
    BOOST_REQUIRE(fresh.is_ready());
    BOOST_TEST(fresh.get_current()->version == 8U);
    BOOST_TEST(fresh.get_current()->bytes == make_config(8));
}

// Guards against a process that becomes ready, or serves a configuration, without having received one.
BOOST_AUTO_TEST_CASE(fresh_process_alone_is_not_ready) {
    asio::io_context context;
    fleet processes(context);
    auto& service = processes.add("a", "d1", false);
    bool is_known = true;
    run_test(context, [&]() -> awaitable<void> {
        service.start();
        // Several store calls must have failed by then.
        while (service.get_counts().failed_store_calls < 3) {
            co_await wait_until(std::chrono::steady_clock::now() + std::chrono::milliseconds(5));
        }
        is_known = co_await service.wait_for_version(1, std::chrono::steady_clock::now());
    });
    BOOST_TEST(!is_known);
    BOOST_TEST(!service.is_ready());
    const auto reply = service.serve_fetch(fetch_config_request{});
    const auto* error = std::get_if<error_reply>(&reply);
    BOOST_REQUIRE(error != nullptr);
    BOOST_TEST((error->kind == error_kind::not_ready));
}

// Guards against installing a value that the schema rejects.
BOOST_AUTO_TEST_CASE(refused_value_is_not_installed) {
    asio::io_context context;
    fleet processes(context);
    auto& service = processes.add("a", "d1", false);
    service.set_validator([](const config_bytes& config) {
        return config.bytes.find("bad") == std::string::npos
                   ? absl::OkStatus()
                   : make_error(error_kind::bad_configuration, "bad");
    });
    BOOST_TEST(service.install(make_config(1)).ok());
    BOOST_TEST(!service.install(make_config(2, "bad")).ok());
    BOOST_TEST(service.get_current()->version == 1U);
    for (const char* wrong :
         {"", "[]", "{}", "{\"version\":0}", "{\"version\":\"3\"}", "{\"version\":1.5}"}) {
        BOOST_TEST(!read_config_version(wrong).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
