#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "hostile_fixture.hpp"

// Remote sides that keep to no limit, against processes of this project with lowered limits. The tests check
// only what does not depend on the speed of the machine: the process lives, its memory and descriptors stay
// under a bound, and an ordinary request is answered afterwards.

namespace {

// The sanitizers keep a multiple of the memory that the program uses. Without limits each attack on memory
// holds at least 230 MiB.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t max_growth = 160 * mib;
#else
constexpr std::size_t max_growth = 64 * mib;
#endif
constexpr std::size_t max_fds = 256;
constexpr std::size_t many_fds = 4100;

std::string repeat(const std::string& unit, std::size_t bytes) {
    std::string text;
    while (text.size() < bytes) {
        text += unit;
    }
    return text;
}

const std::string trailer_line = "X-T: " + std::string(1017, 'a') + "\r\n";
const std::string chunked_get = "GET /p/ HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunked_response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const hostile_input endless_trailers = {chunked_get + "1\r\na\r\n0\r\n", trailer_line, 16 * mib};

void check_bounds(const entry_process& entry, std::size_t memory_before) {
    BOOST_TEST(entry.is_alive());
    const auto peak = entry.read_memory("VmHWM");
    const auto growth = peak > memory_before ? peak - memory_before : 0;
    BOOST_TEST_MESSAGE("peak growth " << growth / mib << " MiB, descriptors " << entry.count_descriptors());
    BOOST_TEST(growth < max_growth);
}

// A process that serves a store, and clients that attack one of its ports.
struct attacked_entry {
    explicit attacked_entry(std::size_t descriptors) : entry(store.get_address(), descriptors) {
        BOOST_REQUIRE(entry.answers(true));
        memory_before = entry.read_memory("VmRSS");
    }

    void check() const {
        wait_for_attack();
        BOOST_TEST(entry.answers(true));
        check_bounds(entry, memory_before);
    }

    store_process store;
    entry_process entry;
    std::size_t memory_before = 0;
    hostile_crowd crowd;
};

// Checks an entry whose upstreams all send the input instead of responses.
void check_hostile_upstreams(std::size_t upstreams, const hostile_input& input, std::size_t min_sent) {
    attacked_entry attacked(many_fds);
    std::vector<std::unique_ptr<hostile_server>> servers;
    for (std::size_t i = 0; i < upstreams; ++i) {
        servers.push_back(std::make_unique<hostile_server>(input));
        attacked.store.add_upstream("u" + std::to_string(i), servers.back()->get_address());
    }
    const auto count_sent = [&] {
        std::size_t sent = 0;
        for (const auto& server : servers) {
            sent += server->get_sent_bytes();
        }
        return sent;
    };
    BOOST_TEST(wait_until_true([&] { return count_sent() >= min_sent || !attacked.entry.is_alive(); }));
    attacked.check();
}

void check_hostile_store(const hostile_input& input) {
    const hostile_server store(input);
    const entry_process entry(store.get_address(), many_fds);
    BOOST_TEST(entry.answers(false));
    const auto memory_before = entry.read_memory("VmRSS");
    BOOST_TEST(wait_until_true([&] { return store.get_sent_bytes() > 0 || !entry.is_alive(); }));
    wait_for_attack();
    BOOST_TEST(entry.answers(false));
    check_bounds(entry, memory_before);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(hostile_client)

// Guards against a process that keeps the trailers of a request without limit: 20 connections ended it.
BOOST_AUTO_TEST_CASE(endless_trailers_on_the_caller_port) {
    attacked_entry attacked(many_fds);
    attacked.crowd.attack(attacked.entry.get_caller_address(), 20, endless_trailers);
    attacked.check();
}

// Guards against limits on the caller port only.
BOOST_AUTO_TEST_CASE(endless_trailers_on_the_other_ports) {
    attacked_entry attacked(many_fds);
    attacked.crowd.attack(attacked.entry.get_readiness_address(), 8, endless_trailers);
    attacked.crowd.attack(attacked.entry.get_metrics_address(), 8, endless_trailers);
    attacked.crowd.attack(attacked.entry.get_peer_address(), 8, endless_trailers);
    attacked.check();
}

// Guards against a chunk header that is kept until its end arrives.
BOOST_AUTO_TEST_CASE(endless_chunk_extensions) {
    attacked_entry attacked(many_fds);
    attacked.crowd.attack(attacked.entry.get_caller_address(), 20,
                          {chunked_get + "1;a=", std::string(1024, 'a'), 16 * mib});
    attacked.check();
}

// Guards against a limit for each connection without one for all connections: each body is within the limit
// of the caller port.
BOOST_AUTO_TEST_CASE(unfinished_bodies_on_the_caller_port) {
    attacked_entry attacked(many_fds);
    attacked.crowd.attack(
        attacked.entry.get_caller_address(), 1200,
        {"POST /p/0123456789abcdef HTTP/1.1\r\nHost: host\r\nContent-Length: 262144\r\n\r\n" +
             std::string(200'000, ' '),
         "", 0});
    attacked.check();
}

// Guards against the same on a port whose requests have no bodies.
BOOST_AUTO_TEST_CASE(unfinished_bodies_on_the_peer_port) {
    attacked_entry attacked(many_fds);
    attacked.crowd.attack(attacked.entry.get_peer_address(), 40,
                          {"POST /v1/cell/state HTTP/1.1\r\nHost: host\r\nContent-Length: 8000000\r\n\r\n",
                           std::string(1000, ' '), 7 * mib});
    attacked.check();
}

// Guards against connections that use up the descriptors of the process: half of them send nothing, the
// others a header at one byte at a time.
BOOST_AUTO_TEST_CASE(idle_connections_and_slow_headers) {
    attacked_entry attacked(max_fds);
    attacked.crowd.attack(attacked.entry.get_caller_address(), 200, {"", "", 0});
    attacked.crowd.attack(attacked.entry.get_caller_address(), 200, {"GET / HTTP/1.1\r\n", "X", 20, 50});
    BOOST_TEST(attacked.entry.count_descriptors() < max_fds);
    attacked.check();
    BOOST_TEST(attacked.entry.count_descriptors() < max_fds);
}

// Guards against requests that are kept while an earlier one of their connection is being answered.
BOOST_AUTO_TEST_CASE(pipelined_requests_behind_one_that_waits) {
    attacked_entry attacked(many_fds);
    const std::string waiting =
        "GET /v1/cell/config?version=1000&confirmation=1000&wait_ms=20000 HTTP/1.1\r\nHost: host\r\n\r\n";
    attacked.crowd.attack(attacked.entry.get_peer_address(), 20,
                          {waiting, "GET /v1/cell/state HTTP/1.1\r\nHost: host\r\n\r\n", 16 * mib});
    attacked.check();
}

// Guards against bodies that are small as text and large as a decoded tree.
BOOST_AUTO_TEST_CASE(job_that_is_large_when_decoded) {
    attacked_entry attacked(many_fds);
    const auto body = R"({"Steps":[)" + repeat("[],", 240'000) + "[]]}";
    attacked.crowd.attack(attacked.entry.get_caller_address(), 40,
                          {"",
                           "POST /p/0123456789abcdef HTTP/1.1\r\nHost: host\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body,
                           2 * mib});
    attacked.check();
}

// Guards against responses of upstreams that are kept without limit.
BOOST_AUTO_TEST_CASE(endless_trailers_from_upstreams) {
    check_hostile_upstreams(16, {chunked_response + "0\r\n", trailer_line, 64 * mib}, mib);
}

// Guards against the same for bodies: each is below the largest response, and there is one of each upstream.
BOOST_AUTO_TEST_CASE(endless_bodies_from_upstreams) {
    check_hostile_upstreams(16, {chunked_response, "400\r\n" + std::string(1024, ' ') + "\r\n", 60 * mib},
                            mib);
}

// Guards against a refusal that is decoded as a tree whatever its size.
BOOST_AUTO_TEST_CASE(refusals_of_upstreams_that_are_large_when_decoded) {
    const auto body = R"({"Reason":[)" + repeat("[],", 20 * mib) + "[]]}";
    check_hostile_upstreams(
        1, {"HTTP/1.1 503 Busy\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n", body, 1}, 1);
}

// Guards against the same for the store, whose responses are read for as long as more arrives.
BOOST_AUTO_TEST_CASE(endless_trailers_from_the_store) {
    check_hostile_store({chunked_response + "0\r\n", trailer_line, 256 * mib});
}

BOOST_AUTO_TEST_CASE(listing_of_the_store_that_is_large_when_decoded) {
    const auto body = R"({"At":1,"MorePages":false,"items":[)" + repeat("[],", 20 * mib) + "[]]}";
    check_hostile_store(
        {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n", body, 1});
}

BOOST_AUTO_TEST_SUITE_END()
