#include "fleet.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "base64.hpp"
#include "record.hpp"

namespace review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds ready_timeout{500};
constexpr std::int64_t start_limit_ms = 15000;
constexpr std::int64_t client_budget_ms = 3000;
constexpr int client_retries = 4;

// The processes that run now.
std::mutex children_mutex;
std::set<pid_t> children;

sockaddr_in make_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool is_free(int port) {
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = make_address(port);
    const bool is_bound = ::bind(file, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(file);
    return is_bound;
}

// Takes a block of ports for this process: it binds the first one and keeps it, so that cases that are played
// beside each other never use the same block. All blocks lie below the range from which the kernel takes
// ports for outgoing connections.
int claim_block(int size) {
    constexpr int first_port = 12000;
    constexpr int blocks = 250;
    const int start = static_cast<int>(::getpid() % blocks);
    for (int i = 0; i < blocks; ++i) {
        const int port = first_port + (start + i) % blocks * size;
        const int guard = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = make_address(port);
        if (::bind(guard, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
            return port;
        }
        ::close(guard);
    }
    std::abort();
}

// Returns the first of so many free ports in a row.
int find_ports(int count) {
    constexpr int block_size = 80;
    static const int block = claim_block(block_size);
    static int next = block + 1;
    while (next + count <= block + block_size) {
        const int first = next;
        next += count;
        bool are_free = true;
        for (int port = first; port < first + count; ++port) {
            are_free = are_free && is_free(port);
        }
        if (are_free) {
            return first;
        }
    }
    std::abort();
}

std::string at_loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

// The settings of an entry process as DEPLOY.md shows them, with the bounds of the small installations.
json make_settings(const std::string& name, int front, int ready, int control, int first_port,
                   int store_port) {
    return {
        {"NodeId", name},
        {"Role", "entry"},
        {"MachineClass", "front"},
        {"Serves", {"front"}},
        {"Ip", "127.0.0.1"},
        {"Zone", "z1"},
        {"Region", "r1"},
        {"Zones", {{"z1", "r1"}}},
        {"Listen",
         {{"Front", at_loopback(front)}, {"Ready", at_loopback(ready)}, {"Control", at_loopback(control)}}},
        {"PortRange", {first_port, first_port + 1}},
        {"Seeds", json::array()},
        {"Bootstrap", true},
        {"Limits",
         {{"CpuShare", 0.25},
          {"Cores", 1},
          {"MemoryMb", 260},
          {"MaxFds", 4100},
          {"LinkMbps", 1000.0},
          {"DiskMb", 0}}},
        {"DataDir", nullptr},
        {"HeartbeatMs", 1100},
        {"Bounds",
         {{"ContactMs", 4000},
          {"AckMs", 5000},
          {"DrainMs", 2500},
          {"GraceS", 6},
          {"LossSlackMs", 200},
          {"ConfigMs", 2500},
          {"RecoveryS", 12},
          {"MaxHoldMs", 6000},
          {"StopTimeoutMs", 200},
          {"cancel_ms", 3000},
          {"visible_ms", 3000},
          {"finish_s", 14},
          {"status_s", 120},
          {"LeaseMs", 3000},
          {"HarmMs", 4000},
          {"GangTimeoutMs", 3000}}},
        {"Orders", "rpc"},
        {"Advice", at_loopback(store_port)},
        {"platform",
         {{"Addr", at_loopback(store_port)},
          {"form", "kv"},
          {"WritesPerS", 400},
          {"ReadsPerS", 2000},
          {"HistoryS", 20},
          {"ValueBytes", 1048576},
          {"MinTtlMs", 1000}}}};
}

json make_config() {
    return {{"Version", 7},
            {"Routes",
             {{{"Name", "merge"},
               {"Host", "trees.example"},
               {"Prefix", "/merge/"},
               {"Kind", "non_idempotent"},
               {"TimeoutMs", 3000},
               {"TargetLatencyMs", 1000},
               {"Priority", 0},
               {"Service", "tree"},
               {"MaxAttempts", 2},
               {"Stretch", 2.0}}}},
            {"Services",
             {{{"Name", "tree"},
               {"HealthPath", "/health"},
               {"MaxConns", 64},
               {"Protocol", "h1"},
               {"Tls", false},
               {"AdmissionCheck", false},
               {"Standby", false}}}},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 262144},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}}};
}

}  // namespace

fleet::fleet(std::string folder, std::string program, fleet_plan plan)
    : folder_(std::move(folder)), program_(std::move(program)), plan_(std::move(plan)), store_(new store()) {}

fleet::~fleet() {
    for (auto* processes : {&entries_, &workers_}) {
        for (auto& process : *processes) {
            kill_process(process);
        }
    }
}

void fleet::kill_all_processes() {
    std::lock_guard lock(children_mutex);
    for (const auto pid : children) {
        ::kill(pid, SIGKILL);
    }
}

pid_t fleet::spawn(const std::vector<std::string>& arguments, const std::string& settings_file,
                   const std::string& log_file) {
    std::vector<char*> words;
    words.reserve(arguments.size() + 1);
    for (const auto& argument : arguments) {
        words.push_back(const_cast<char*>(argument.c_str()));
    }
    words.push_back(nullptr);
    const char* path = std::getenv("PATH");
    std::vector<std::string> environment = {std::string("PATH=") + (path == nullptr ? "" : path), "HOME=/tmp",
                                            "JACINTHVANE_NODE_FILE=" + settings_file};
    std::vector<char*> variables;
    variables.reserve(environment.size() + 1);
    for (auto& variable : environment) {
        variables.push_back(variable.data());
    }
    variables.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t readable_by_all = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     readable_by_all);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, words[0], &actions, nullptr, words.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return 0;
    }
    std::lock_guard lock(children_mutex);
    children.insert(pid);
    return pid;
}

void fleet::kill_process(process& killed) {
    if (killed.pid == 0) {
        return;
    }
    {
        std::lock_guard lock(children_mutex);
        children.erase(killed.pid);
    }
    ::kill(killed.pid, SIGKILL);
    ::waitpid(killed.pid, nullptr, 0);
    record("kill " + killed.name);
    killed.pid = 0;
}

bool fleet::start() {
    store_port_ = find_ports(1);
    serve(store_port_, [present = store_](const request& call) { return present->handle(call); });
    store_->put("op/config", encode_base64(make_config().dump()));
    for (int i = 0; i < plan_.workers; ++i) {
        process worker;
        worker.name = "w" + std::to_string(i + 1);
        worker.kind = i < plan_.workers_of_kind_b ? "b" : "a";
        worker.front = find_ports(1);
        workers_.push_back(worker);
        start_worker(worker.name);
    }
    for (int i = 0; i < plan_.entries; ++i) {
        process entry;
        entry.name = "front-" + std::to_string(i + 1);
        const int first = find_ports(5);
        entry.front = first;
        entry.ready = first + 1;
        entry.control = first + 2;
        entry.peer = first + 4;
        entries_.push_back(entry);
        auto settings =
            make_settings(entry.name, entry.front, entry.ready, entry.control, first + 3, store_port_);
        settings["Bounds"].update(json::parse(plan_.bounds));
        std::ofstream(folder_ + "/" + entry.name + ".json") << settings.dump(1);
        start_entry(i);
    }
    const auto deadline = read_clock_ms() + start_limit_ms;
    while (read_clock_ms() < deadline) {
        if (get_ready_entries().size() == entries_.size() && find_owner()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

void fleet::start_entry(int index) {
    auto& entry = entries_.at(static_cast<std::size_t>(index));
    entry.pid =
        spawn({program_, "entry"}, folder_ + "/" + entry.name + ".json", folder_ + "/" + entry.name + ".log");
    record("run " + entry.name + " front=" + std::to_string(entry.front));
}

void fleet::kill_entry(int index) {
    kill_process(entries_.at(static_cast<std::size_t>(index)));
}

fleet::process& fleet::find_worker(const std::string& id) {
    return *std::find_if(workers_.begin(), workers_.end(),
                         [&](const process& worker) { return worker.name == id; });
}

void fleet::kill_worker(const std::string& id) {
    kill_process(find_worker(id));
}

void fleet::start_worker(const std::string& id) {
    auto& worker = find_worker(id);
    const auto self = std::string("/proc/") + std::to_string(::getpid()) + "/exe";
    worker.pid = spawn({self, "worker", id, std::to_string(worker.front), std::to_string(store_port_),
                        worker.kind, folder_ + "/record.txt"},
                       "", folder_ + "/" + id + ".log");
    record("run " + id);
}

std::optional<int> fleet::find_owner() {
    const auto row = decode_base64(store_->get("jv/owner/0"));
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (row.find(at_loopback(entries_[i].peer)) != std::string::npos) {
            return static_cast<int>(i);
        }
    }
    return std::nullopt;
}

bool fleet::is_ready(const process& entry) const {
    const auto answer = call(entry.ready, "GET", "/-/ready", {}, "", ready_timeout);
    return answer && answer->status == 200;
}

std::vector<int> fleet::get_ready_entries() const {
    std::vector<int> ready;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].pid != 0 && is_ready(entries_[i])) {
            ready.push_back(static_cast<int>(i));
        }
    }
    return ready;
}

bool fleet::submit(const std::string& id, const std::string& body) {
    const auto deadline = read_clock_ms() + client_budget_ms;
    for (int attempt = 0; attempt <= client_retries && read_clock_ms() < deadline; ++attempt) {
        const auto ready = get_ready_entries();
        if (ready.empty()) {
            std::this_thread::sleep_for(milliseconds(200));
            continue;
        }
        const auto& entry = entries_.at(static_cast<std::size_t>(ready[next_entry_++ % ready.size()]));
        const auto answer =
            call(entry.front, "POST", "/merge/" + id, {{"Host", "trees.example"}, {"Deadline-Ms", "3000"}},
                 body, milliseconds(std::max<std::int64_t>(deadline - read_clock_ms(), 1)));
        record("post " + id + " at " + entry.name + " -> " +
               (answer ? std::to_string(answer->status) : std::string("no answer")));
        if (answer && answer->status / 100 == 2) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

bool fleet::submit_once(const std::string& id, const std::string& body, int deadline_ms) {
    const auto ready = get_ready_entries();
    if (ready.empty()) {
        return false;
    }
    const auto& entry = entries_.at(static_cast<std::size_t>(ready[next_entry_++ % ready.size()]));
    const auto answer = call(entry.front, "POST", "/merge/" + id,
                             {{"Host", "trees.example"}, {"Deadline-Ms", std::to_string(deadline_ms)}}, body,
                             milliseconds(deadline_ms), true);
    record("post " + id + " at " + entry.name + " with " + std::to_string(deadline_ms) + " ms -> " +
           (answer ? std::to_string(answer->status) : std::string("no answer in that time")));
    return answer && answer->status / 100 == 2;
}

std::string fleet::get_state(const std::string& id) {
    const auto ready = get_ready_entries();
    if (ready.empty()) {
        return "no entry process is ready";
    }
    const auto& entry = entries_.at(static_cast<std::size_t>(ready[next_entry_++ % ready.size()]));
    const auto answer =
        call(entry.front, "GET", "/merge/" + id, {{"Host", "trees.example"}, {"Deadline-Ms", "3000"}}, "",
             milliseconds(client_budget_ms));
    std::string state = "no answer";
    if (answer) {
        const auto parsed = json::parse(answer->body, nullptr, false);
        state = answer->status == 200 && parsed.is_object() ? parsed.value("State", std::string())
                                                            : std::to_string(answer->status);
    }
    record("get " + id + " at " + entry.name + " -> " + state);
    return state;
}

}  // namespace review
