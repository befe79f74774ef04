#include "hostile_fixture.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <fstream>
#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "connection/endpoint.hpp"
#include "connection/spawn_task.hpp"
#include "process/clock.hpp"

using namespace jacinthvane;
using boost::asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds max_attack_duration{20};
// The process may still be busy with the input after the attack, more so under a sanitizer.
constexpr seconds max_answer_wait{90};
constexpr seconds max_call_duration{5};
constexpr milliseconds retry_interval{100};
constexpr std::size_t write_bytes = 64U << 10U;
constexpr std::size_t memory_mb = 64;

tcp::endpoint to_endpoint(const std::string& address) {
    return *parse_endpoint<tcp>(address);
}

time_point after(milliseconds delay) {
    return std::chrono::steady_clock::now() + delay;
}

// Ports that were free a moment ago, the first of which begins a free range of two.
std::vector<unsigned short> pick_ports() {
    asio::io_context context;
    const auto loopback = asio::ip::make_address("127.0.0.1");
    while (true) {
        tcp::acceptor first(context, {loopback, 0});
        const auto port = first.local_endpoint().port();
        boost::system::error_code error;
        tcp::acceptor second(context, tcp::v4());
        second.bind({loopback, static_cast<unsigned short>(port + 1)}, error);
        if (error) {
            continue;
        }
        tcp::acceptor third(context, {loopback, 0});
        tcp::acceptor fourth(context, {loopback, 0});
        return {port, static_cast<unsigned short>(port + 1), third.local_endpoint().port(),
                fourth.local_endpoint().port()};
    }
}

// Sends the input until it is complete or the other side has closed the connection.
awaitable<void> send_input(tcp::socket& socket, const hostile_input& input, std::atomic<std::size_t>& sent) {
    boost::system::error_code error;
    co_await asio::async_write(socket, asio::buffer(input.beginning),
                               asio::redirect_error(asio::use_awaitable, error));
    std::string text = input.unit;
    while (input.pause_ms == 0 && !text.empty() && text.size() < write_bytes) {
        text += input.unit;
    }
    std::size_t written = 0;
    while (!error && written < input.max_bytes) {
        const auto part = co_await socket.async_write_some(asio::buffer(text),
                                                           asio::redirect_error(asio::use_awaitable, error));
        if (part < text.size()) {
            // Continues with the rest, so that the stream stays a sequence of whole units.
            const auto rest = asio::buffer(text) + part;
            co_await asio::async_write(socket, rest, asio::redirect_error(asio::use_awaitable, error));
        }
        written += text.size();
        sent += text.size();
        if (input.pause_ms > 0) {
            co_await wait_until(after(milliseconds(input.pause_ms)));
        }
    }
}

awaitable<void> connect_and_send(tcp::socket& socket, tcp::endpoint endpoint, hostile_input input) {
    boost::system::error_code error;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    std::atomic<std::size_t> sent = 0;
    if (!error) {
        co_await send_input(socket, input, sent);
    }
}

// Returns the status of the response to a request; 0 if there was none.
int call(const std::string& address, const std::string& target) {
    asio::io_context context;
    tcp::socket socket(context);
    std::string received;
    const auto exchange = [&]() -> awaitable<void> {
        boost::system::error_code error;
        co_await socket.async_connect(to_endpoint(address), asio::redirect_error(asio::use_awaitable, error));
        const std::string request = "GET " + target + " HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        if (!error) {
            co_await asio::async_write(socket, asio::buffer(request),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        if (!error) {
            co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                      asio::redirect_error(asio::use_awaitable, error));
        }
    };
    asio::co_spawn(context, exchange(), asio::detached);
    context.run_for(max_call_duration);
    constexpr std::string_view status_begin = "HTTP/1.1 ";
    return received.starts_with(status_begin) ? std::atoi(received.c_str() + status_begin.size()) : 0;
}

std::string make_settings(const std::vector<unsigned short>& ports, const std::string& store_address,
                          std::size_t max_fds) {
    const auto make_address = [](unsigned short port) { return "127.0.0.1:" + std::to_string(port); };
    const json settings = {
        {"NodeId", "e0"},
        {"Ip", "127.0.0.1"},
        {"Zone", "z"},
        {"Region", "r"},
        {"Listen", {{"Front", make_address(ports[2])}, {"Ready", make_address(ports[3])}}},
        {"PortRange", {ports[0], ports[0] + 15}},
        {"Limits", {{"CpuShare", 1.0}, {"Cores", 1}, {"MemoryMb", memory_mb}, {"MaxFds", max_fds}}},
        {"platform", {{"Addr", store_address}, {"MinTtlMs", 1000}}},
        {"Bounds", {{"MaxHoldMs", 10000}, {"StopTimeoutMs", 400}, {"GraceS", 6}}}};
    return settings.dump();
}

pid_t start_entry(const std::filesystem::path& settings_path) {
    std::vector<std::string> variables = {
        "JACINTHVANE_NODE_FILE=" + settings_path.string(), "TZ=UTC",
        // Freed memory that a sanitizer keeps is no memory of the process.
        "ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=64"};
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (auto& variable : variables) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    std::string program = JACINTHVANE_PROGRAM;
    std::string command = "entry";
    std::array<char*, 3> arguments = {program.data(), command.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto log_path = settings_path.string() + ".log";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT, 0600);
    pid_t pid = -1;
    const int error =
        posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    BOOST_REQUIRE_MESSAGE(error == 0, "cannot start " << program);
    return pid;
}

}  // namespace

void hostile_crowd::attack(const std::string& address, std::size_t clients, const hostile_input& input) {
    for (std::size_t i = 0; i < clients; ++i) {
        auto& socket = *sockets_.emplace_back(std::make_unique<tcp::socket>(context_));
        asio::co_spawn(context_, connect_and_send(socket, to_endpoint(address), input), asio::detached);
    }
    context_.restart();
    context_.run_for(max_attack_duration);
}

hostile_server::hostile_server(hostile_input input)
    : input_(std::move(input)), acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}) {
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    asio::co_spawn(context_, accept_connections(), asio::detached);
    runner_ = std::thread([this] { context_.run(); });
}

hostile_server::~hostile_server() {
    context_.stop();
    runner_.join();
}

awaitable<void> hostile_server::accept_connections() {
    while (true) {
        boost::system::error_code error;
        auto socket = std::make_shared<tcp::socket>(context_);
        co_await acceptor_.async_accept(*socket, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(context_, send_input(std::move(socket)), asio::detached);
        }
    }
}

awaitable<void> hostile_server::send_input(std::shared_ptr<tcp::socket> socket) {
    boost::system::error_code error;
    std::array<char, 1024> request{};
    co_await socket->async_read_some(asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_await ::send_input(*socket, input_, sent_bytes_);
    }
    // The input of one response ends; the connection stays open until the other side closes it.
    while (!error) {
        co_await socket->async_read_some(asio::buffer(request),
                                         asio::redirect_error(asio::use_awaitable, error));
    }
}

store_process::store_process()
    : store_(std::make_shared<memory_cell_store>(machine_clock{})), server_(context_, store_) {
    BOOST_REQUIRE(server_.listen("127.0.0.1:0").ok());
    write("op/config", R"({"Version":1,"Routes":[{"Name":"q","Host":"host","Prefix":"/p/","Service":"s"}],)"
                       R"("Services":[{"Name":"s"}],"Limits":{}})");
    runner_ = std::thread([this] { context_.run(); });
}

store_process::~store_process() {
    context_.stop();
    runner_.join();
}

void store_process::write(const std::string& key, const std::string& value) {
    store_transaction transaction;
    transaction.writes.push_back({key, value, 0});
    store_->apply(transaction);
}

void store_process::add_upstream(const std::string& name, const std::string& address) {
    const json entry = {{"Service", "s"},
                        {"Addr", address},
                        {"Zone", "z"},
                        {"State", "ready"},
                        {"Capacity", {{"Cpu", 16000}, {"MemMb", 64000}}},
                        {"Labels", json::array()}};
    write("servers/" + name, entry.dump());
}

entry_process::entry_process(const std::string& store_address, std::size_t max_fds) {
    const auto ports = pick_ports();
    const auto make_address = [](unsigned short port) { return "127.0.0.1:" + std::to_string(port); };
    metrics_address_ = make_address(ports[0]);
    peer_address_ = make_address(ports[1]);
    caller_address_ = make_address(ports[2]);
    readiness_address_ = make_address(ports[3]);
    settings_path_ = std::filesystem::temp_directory_path() /
                     ("jacinthvane_hostile_" + std::to_string(getpid()) + "_" + std::to_string(ports[0]));
    std::ofstream(settings_path_) << make_settings(ports, store_address, max_fds);
    pid_ = start_entry(settings_path_);
}

entry_process::~entry_process() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove(settings_path_, ignored);
    std::filesystem::remove(settings_path_.string() + ".log", ignored);
}

bool entry_process::is_alive() const {
    // A process that has ended stays a zombie, which has no memory, until the destructor waits for it.
    return kill(pid_, 0) == 0 && read_memory("VmRSS") > 0;
}

std::size_t entry_process::count_descriptors() const {
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t entry_process::read_memory(const std::string& field) const {
    constexpr std::size_t bytes_per_kib = 1024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string name;
    std::size_t kib = 0;
    while (status >> name) {
        if (name == field + ":" && status >> kib) {
            return kib * bytes_per_kib;
        }
        std::getline(status, name);
    }
    return 0;
}

bool entry_process::answers(bool wants_success) const {
    constexpr int ok_status = 200;
    const auto deadline = std::chrono::steady_clock::now() + max_answer_wait;
    while (std::chrono::steady_clock::now() < deadline && is_alive()) {
        const int status = call(caller_address_, "/p/");
        if (wants_success ? status == ok_status : status != 0) {
            return true;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return false;
}

bool wait_until_true(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + max_answer_wait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return true;
}

void wait_for_attack() {
    constexpr seconds duration{4};
    std::this_thread::sleep_for(duration);
}
