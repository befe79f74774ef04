#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "connection/asio.hpp"
#include "connection/memory_cell_store.hpp"
#include "standin/platform_store.hpp"

// The processes and hostile remote sides of the tests in hostile_client_test.cpp.

constexpr std::size_t mib = std::size_t{1} << 20U;

// Bytes that one remote side sends: a beginning, and then a unit that is repeated up to a size.
struct hostile_input {
    std::string beginning;
    std::string unit;
    std::size_t max_bytes = 0;
    // Waits after each unit; 0 sends as fast as the socket takes it.
    std::int64_t pause_ms = 0;

    bool operator==(const hostile_input&) const = default;
};

// Clients that send hostile input at the same time. Their sockets stay open until the destructor.
class hostile_crowd {
public:
    // Adds clients of one address and returns when each of them has sent everything or was disconnected, and
    // at the latest after the longest duration of an attack.
    void attack(const std::string& address, std::size_t clients, const hostile_input& input);

private:
    jacinthvane::asio::io_context context_;
    std::vector<std::unique_ptr<jacinthvane::asio::ip::tcp::socket>> sockets_;
};

// A server that reads a part of each request and then sends hostile input instead of a response.
class hostile_server {
public:
    explicit hostile_server(hostile_input input);
    ~hostile_server();
    hostile_server(const hostile_server&) = delete;
    hostile_server& operator=(const hostile_server&) = delete;

    const std::string& get_address() const { return address_; }
    std::size_t get_sent_bytes() const { return sent_bytes_; }

private:
    jacinthvane::awaitable<void> accept_connections();
    jacinthvane::awaitable<void> send_input(std::shared_ptr<jacinthvane::asio::ip::tcp::socket> socket);

    hostile_input input_;
    jacinthvane::asio::io_context context_;
    jacinthvane::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::atomic<std::size_t> sent_bytes_ = 0;
    std::thread runner_;
};

// The platform's store of a cell, served from a thread of the test.
class store_process {
public:
    store_process();
    ~store_process();
    store_process(const store_process&) = delete;
    store_process& operator=(const store_process&) = delete;

    std::string get_address() const { return server_.get_address(); }
    // Writes the entry of an upstream as its operators do.
    void add_upstream(const std::string& name, const std::string& address);

private:
    void write(const std::string& key, const std::string& value);

    jacinthvane::asio::io_context context_;
    std::shared_ptr<jacinthvane::memory_cell_store> store_;
    jacinthvane::standin::platform_store server_;
    std::thread runner_;
};

// A child process `jacinthvane entry` with lowered limits.
class entry_process {
public:
    entry_process(const std::string& store_address, std::size_t max_fds);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    const std::string& get_caller_address() const { return caller_address_; }
    const std::string& get_readiness_address() const { return readiness_address_; }
    const std::string& get_metrics_address() const { return metrics_address_; }
    const std::string& get_peer_address() const { return peer_address_; }

    bool is_alive() const;
    std::size_t count_descriptors() const;
    // Returns a field of /proc/PID/status, in bytes.
    std::size_t read_memory(const std::string& field) const;
    // Sends ordinary requests to the caller port until one is answered, with status 200 if that is wanted.
    bool answers(bool wants_success) const;

private:
    std::string caller_address_;
    std::string readiness_address_;
    std::string metrics_address_;
    std::string peer_address_;
    std::filesystem::path settings_path_;
    pid_t pid_ = -1;
};

// Waits for a condition and returns whether it came true in time.
bool wait_until_true(const std::function<bool()>& condition);

// Leaves the remote sides of the process time for their attack.
void wait_for_attack();
