#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/endpoint.hpp"
#include "connection/peer_link.hpp"
#include "connection/peer_server.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

// A deadline that is reached only if a test hangs; no assertion depends on it.
time_point after_long_time() {
    return std::chrono::steady_clock::now() + std::chrono::seconds(60);
}

peer_options make_options(const std::vector<std::string>& keys = {"0123456789abcdef"}) {
    peer_options options;
    options.keys = key_ring(keys);
    options.heartbeat_interval = std::chrono::milliseconds(20);
    // Only the test of unresponsive links shortens this, so that delays on a busy machine cannot fail the
    // others.
    options.receive_timeout = std::chrono::seconds(60);
    return options;
}

dispatch_request make_dispatch(const std::string& body, task_class work_class) {
    dispatch_request request;
    request.start.spec.task = task_id("task-" + std::to_string(body.size()));
    request.start.spec.work_class = work_class;
    request.start.spec.body = body;
    request.start.deadline = after_long_time();
    return request;
}

awaitable<peer_reply> echo(peer_request request) {
    dispatch_reply reply;
    if (const auto* item = std::get_if<dispatch_request>(&request)) {
        reply.answer.task = item->start.spec.task;
        reply.answer.body = item->start.spec.body;
    }
    co_return reply;
}

// Runs one coroutine on a pool of two threads until it ends.
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

// Forwards bytes between clients and one server. After block_open_connections, it discards all bytes of the
// connections that are open at that time; newer connections work.
class relay : public std::enable_shared_from_this<relay> {
public:
    relay(asio::io_context& context, const std::string& target)
        : context_(context),
          acceptor_(asio::make_strand(context), {asio::ip::make_address("127.0.0.1"), 0}),
          target_(*parse_endpoint<asio::ip::tcp>(target)) {}

    std::string get_address() const { return to_address(acceptor_.local_endpoint()); }
    int get_accepted() const { return accepted_; }
    void block_open_connections() { blocked_below_ = accepted_.load(); }

    void start() { spawn_task(context_, "relay", accept(shared_from_this())); }

private:
    static awaitable<void> accept(std::shared_ptr<relay> self) {
        while (true) {
            const auto strand = asio::make_strand(self->context_);
            const auto client = std::make_shared<asio::ip::tcp::socket>(strand);
            const auto server = std::make_shared<asio::ip::tcp::socket>(strand);
            boost::system::error_code error;
            co_await self->acceptor_.async_accept(*client, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            const int number = self->accepted_++;
            server->connect(self->target_, error);
            asio::co_spawn(strand, pass(self, number, client, server), asio::detached);
            asio::co_spawn(strand, pass(self, number, server, client), asio::detached);
        }
    }

    static awaitable<void> pass(std::shared_ptr<relay> self, int number,
                                std::shared_ptr<asio::ip::tcp::socket> from,
                                std::shared_ptr<asio::ip::tcp::socket> to) {
        std::string bytes(4096, '\0');
        const auto buffer = asio::buffer(bytes);
        boost::system::error_code error;
        while (!error) {
            const auto count =
                co_await from->async_read_some(buffer, asio::redirect_error(asio::use_awaitable, error));
            if (!error && number >= self->blocked_below_) {
                const auto received = asio::buffer(bytes.data(), count);
                co_await asio::async_write(*to, received, asio::redirect_error(asio::use_awaitable, error));
            }
        }
        // A blocked connection stays open, so that neither end is notified by an error.
        if (number >= self->blocked_below_) {
            to->close(error);
        }
    }

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    std::atomic<int> accepted_ = 0;
    std::atomic<int> blocked_below_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_link)

// Guards against replies that are delivered to the wrong caller when many calls share a link.
BOOST_AUTO_TEST_CASE(calls_in_parallel_get_their_own_replies) {
    asio::io_context context;
    peer_server server(context, make_options());
    server.set_handler(echo);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    peer_links links(context, make_options());
    constexpr int calls = 200;
    std::atomic<int> finished = 0;
    std::atomic<int> correct = 0;
    async_signal done;
    const auto one_call = [&](int number) -> awaitable<void> {
        const std::string body(static_cast<std::size_t>(number) * 977, static_cast<char>('a' + number % 26));
        const auto work_class = number % 2 == 0 ? task_class::urgent : task_class::batch;
        peer_request request = make_dispatch(body, work_class);
        const auto reply = co_await links.call(server.get_address(), std::move(request), after_long_time());
        const auto* received = reply.ok() ? std::get_if<dispatch_reply>(&*reply) : nullptr;
        correct += received != nullptr && received->answer.body == body ? 1 : 0;
        ++finished;
        done.notify_all();
    };
    run_test(context, [&]() -> awaitable<void> {
        for (int i = 0; i < calls; ++i) {
            spawn_task(context, "call", one_call(i));
        }
        while (finished < calls) {
            const auto seen = done.get_count();
            if (finished < calls) {
                co_await done.wait(seen, after_long_time());
            }
        }
    });
    BOOST_TEST(correct == calls);
    BOOST_TEST(links.get_counts().opened == 1U);
}

// Guards against a link that becomes unresponsive permanently and makes every later call fail.
BOOST_AUTO_TEST_CASE(unresponsive_link_is_replaced_and_its_calls_are_lost) {
    asio::io_context context;
    peer_server server(context, make_options());
    server.set_handler(echo);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    const auto proxy = std::make_shared<relay>(context, server.get_address());
    proxy->start();
    auto options = make_options();
    options.receive_timeout = std::chrono::milliseconds(300);
    peer_links links(context, options);
    std::optional<absl::Status> unresponsive_status;
    bool works_again = false;
    run_test(context, [&]() -> awaitable<void> {
        // A pause of this process can make a link time out early; the same steps are then repeated on the
        // next link.
        for (int attempt = 0; attempt < 50 && !works_again; ++attempt) {
            peer_request request = make_dispatch("body", task_class::urgent);
            const auto reply =
                co_await links.call(proxy->get_address(), std::move(request), after_long_time());
            if (!reply.ok() || unresponsive_status) {
                works_again = reply.ok();
                continue;
            }
            proxy->block_open_connections();
            peer_request second = make_dispatch("body", task_class::urgent);
            const auto blocked_reply =
                co_await links.call(proxy->get_address(), std::move(second), after_long_time());
            if (get_error_kind(blocked_reply.status()) == error_kind::peer_lost) {
                unresponsive_status = blocked_reply.status();
            }
        }
    });
    BOOST_REQUIRE(unresponsive_status.has_value());
    // The request was sent on the unresponsive link, so the peer may have processed it.
    BOOST_TEST((get_error_kind(*unresponsive_status) == error_kind::peer_lost));
    BOOST_TEST((get_run_knowledge(*unresponsive_status) == run_knowledge::may_have_run));
    BOOST_TEST(works_again);
    BOOST_TEST(proxy->get_accepted() >= 2);
    BOOST_TEST(links.get_counts().replaced >= 1U);
}

// Guards against reporting a request that was never sent as one that may have run, and the reverse.
BOOST_AUTO_TEST_CASE(unreachable_and_lost_are_distinguished) {
    asio::io_context context;
    std::string closed_address;
    {
        asio::ip::tcp::acceptor closed(context, {asio::ip::make_address("127.0.0.1"), 0});
        closed_address = to_address(closed.local_endpoint());
    }
    // Accepts connections in the backlog, but never sends a hello.
    asio::ip::tcp::acceptor unresponsive_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    peer_server server(context, make_options());
    async_signal entered;
    async_signal never;
    server.set_handler([&](peer_request) -> awaitable<peer_reply> {
        entered.notify_all();
        co_await never.wait(0, after_long_time());
        co_return accepted_reply{};
    });
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    peer_links links(context, make_options());
    std::vector<absl::Status> unreachable;
    std::optional<absl::Status> lost;
    async_signal done;
    const auto call_server = [&]() -> awaitable<void> {
        peer_request request = make_dispatch("body", task_class::urgent);
        const auto reply = co_await links.call(server.get_address(), std::move(request), after_long_time());
        lost = reply.status();
        done.notify_all();
    };
    run_test(context, [&]() -> awaitable<void> {
        const std::vector<std::string> addresses = {
            closed_address, to_address(unresponsive_acceptor.local_endpoint()), "no address"};
        for (const auto& address : addresses) {
            peer_request request = make_dispatch("body", task_class::urgent);
            const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
            const auto reply = co_await links.call(address, std::move(request), deadline);
            unreachable.push_back(reply.status());
        }
        spawn_task(context, "call", call_server());
        co_await entered.wait(0, after_long_time());
        server.close();
        co_await done.wait(0, after_long_time());
    });
    BOOST_REQUIRE(unreachable.size() == 3U);
    for (const auto& status : unreachable) {
        BOOST_TEST((get_error_kind(status) == error_kind::peer_unreachable));
        BOOST_TEST((get_run_knowledge(status) == run_knowledge::not_run));
    }
    BOOST_REQUIRE(lost.has_value());
    BOOST_TEST((get_error_kind(*lost) == error_kind::peer_lost));
    BOOST_TEST((get_run_knowledge(*lost) == run_knowledge::may_have_run));
    BOOST_TEST(links.get_counts().calls_lost == 1U);
    BOOST_TEST(links.get_counts().calls_unreachable == 3U);
}

// Guards against a large body that blocks the small messages queued after it.
BOOST_AUTO_TEST_CASE(small_messages_overtake_a_large_body) {
    asio::io_context context;
    peer_server server(context, make_options());
    std::vector<std::string> order;
    std::mutex order_mutex;
    server.set_handler([&](peer_request request) -> awaitable<peer_reply> {
        {
            std::lock_guard lock(order_mutex);
            order.push_back(std::get<dispatch_request>(request).start.spec.task.get());
        }
        co_return accepted_reply{};
    });
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    auto options = make_options();
    // The budget delays the large body after its first chunks and still admits small urgent frames, so that
    // the order depends only on the lanes.
    auto budget = std::make_shared<link_budget>(2'000'000, 64 * 1024, std::chrono::steady_clock::now());
    options.get_budget = [budget](const region_id&) { return budget; };
    peer_links links(context, options);
    std::atomic<int> finished = 0;
    async_signal done;
    const auto one_call = [&](std::size_t size, task_class work_class) -> awaitable<void> {
        peer_request request = make_dispatch(std::string(size, 'x'), work_class);
        const auto reply = co_await links.call(server.get_address(), std::move(request), after_long_time());
        finished += reply.ok() ? 1 : 0;
        done.notify_all();
    };
    run_test(context, [&]() -> awaitable<void> {
        spawn_task(context, "call", one_call(4U << 20U, task_class::batch));
        // Wait until chunks of the large body have been sent.
        while (budget->get_spending().bulk_bytes == 0) {
            co_await wait_until(std::chrono::steady_clock::now() + std::chrono::milliseconds(1));
        }
        spawn_task(context, "call", one_call(10, task_class::urgent));
        spawn_task(context, "call", one_call(20, task_class::batch));
        while (finished < 3) {
            const auto seen = done.get_count();
            if (finished < 3) {
                co_await done.wait(seen, after_long_time());
            }
        }
    });
    BOOST_REQUIRE(order.size() == 3U);
    BOOST_TEST(order.back() == "task-" + std::to_string(4U << 20U));
    const auto spending = budget->get_spending();
    BOOST_TEST(spending.bulk_bytes > (4U << 20U));
    BOOST_TEST(spending.urgent_bytes > 0U);
}

// Guards against accepting a peer without a key of the fleet, and against a key rotation that breaks links.
BOOST_AUTO_TEST_CASE(only_known_keys_are_accepted) {
    const std::string old_key = "0123456789abcdef";
    const std::string new_key = "fedcba9876543210";
    const std::string wrong_key = "wrong-wrong-wrong";
    asio::io_context context;
    peer_server server(context, make_options({old_key, new_key}));
    server.set_handler(echo);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    peer_links with_old(context, make_options({old_key}));
    peer_links with_new(context, make_options({new_key, old_key}));
    peer_links with_wrong(context, make_options({wrong_key}));
    std::vector<absl::Status> results;
    run_test(context, [&]() -> awaitable<void> {
        for (auto* links : {&with_old, &with_new, &with_wrong}) {
            peer_request request = make_dispatch("body", task_class::urgent);
            const auto reply =
                co_await links->call(server.get_address(), std::move(request), after_long_time());
            results.push_back(reply.status());
        }
    });
    BOOST_REQUIRE(results.size() == 3U);
    BOOST_TEST(results[0].ok());
    BOOST_TEST(results[1].ok());
    BOOST_TEST((get_error_kind(results[2]) == error_kind::peer_unreachable));
    BOOST_TEST(server.get_counts().refused_handshakes == 1U);
}

// Guards against a peer that accepts more calls than it can process and fails all of them.
BOOST_AUTO_TEST_CASE(calls_beyond_the_limit_are_refused_as_not_run) {
    asio::io_context context;
    auto options = make_options();
    options.max_calls_in_progress = 1;
    peer_server server(context, options);
    async_signal entered;
    async_signal release;
    server.set_handler([&](peer_request) -> awaitable<peer_reply> {
        entered.notify_all();
        co_await release.wait(0, after_long_time());
        co_return accepted_reply{};
    });
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    peer_links links(context, make_options());
    std::optional<absl::StatusOr<peer_reply>> first;
    std::optional<absl::StatusOr<peer_reply>> second;
    async_signal done;
    const auto first_call = [&]() -> awaitable<void> {
        peer_request request = make_dispatch("1", task_class::urgent);
        first = co_await links.call(server.get_address(), std::move(request), after_long_time());
        done.notify_all();
    };
    run_test(context, [&]() -> awaitable<void> {
        spawn_task(context, "call", first_call());
        co_await entered.wait(0, after_long_time());
        peer_request request = make_dispatch("2", task_class::urgent);
        second = co_await links.call(server.get_address(), std::move(request), after_long_time());
        release.notify_all();
        co_await done.wait(0, after_long_time());
    });
    BOOST_REQUIRE((first && first->ok() && second && second->ok()));
    BOOST_TEST(std::holds_alternative<accepted_reply>(**first));
    const auto* refusal = std::get_if<error_reply>(&**second);
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST((refusal->kind == error_kind::overloaded));
    BOOST_TEST((refusal->run == run_knowledge::not_run));
}

// Guards against idle links whose heartbeats consume the budget for control traffic.
BOOST_AUTO_TEST_CASE(idle_link_is_closed_and_opened_again) {
    asio::io_context context;
    peer_server server(context, make_options());
    server.set_handler(echo);
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    auto options = make_options();
    options.idle_timeout = std::chrono::milliseconds(50);
    peer_links links(context, options);
    std::vector<absl::Status> results;
    run_test(context, [&]() -> awaitable<void> {
        for (int i = 0; i < 2; ++i) {
            peer_request request = make_dispatch("body", task_class::urgent);
            const auto reply =
                co_await links.call(server.get_address(), std::move(request), after_long_time());
            results.push_back(reply.status());
            while (links.get_counts().closed_idle == static_cast<std::uint64_t>(i)) {
                co_await wait_until(std::chrono::steady_clock::now() + std::chrono::milliseconds(5));
            }
        }
    });
    BOOST_REQUIRE(results.size() == 2U);
    BOOST_TEST((results[0].ok() && results[1].ok()));
    BOOST_TEST(links.get_counts().opened == 2U);
    BOOST_TEST(links.get_counts().replaced == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
