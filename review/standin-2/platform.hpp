// Stand-ins for the platform's store, its advice service, and the workers, as PROTOCOL.md describes them.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http.hpp"

namespace review {

// Writes record.txt: one line for all that was sent, answered and run.
class record_file {
public:
    explicit record_file(const std::string& path) : file_(path), began_at_(now_ms()) {}
    void write(const std::string& line);
    std::int64_t get_time() const { return now_ms() - began_at_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t began_at_;
};

// The platform's key-value store.
class store {
public:
    store();
    std::uint16_t get_port() const { return port_; }
    // Writes and removals of the operator and of workers.
    void put(const std::string& key, const json& value);
    void remove(const std::string& key);
    // Returns the value of the key, or an empty string.
    std::string get(const std::string& key);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        std::uint64_t revision = 0;
        bool is_removed = false;
        json encoded;
    };
    struct lease {
        std::int64_t time_to_live_ms = 0;
        std::int64_t ends_at = 0;
    };

    http_response handle(const http_request& request);
    http_response list(const http_request& request);
    http_response watch(const http_request& request);
    http_response transact(const http_request& request);
    http_response handle_lease(const http_request& request);
    static json encode(const std::string& key, const item& known);
    void write_locked(const std::string& key, const std::string& value, std::uint64_t lease_id,
                      std::uint64_t revision);
    void remove_locked(const std::string& key, std::uint64_t revision);
    void end_lease_locked(std::uint64_t id);
    void end_leases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
    http_server server_;
    std::uint16_t port_ = 0;
    std::thread ender_;
    std::atomic<bool> is_over_ = false;

public:
    ~store();
};

// One step of a submission, as the client sends it, and what the stand-in workers need to run it.
struct step {
    int count = 1;
    int cpu = 1000;
    int memory_mb = 256;
    int work_ms = 1000;
    std::vector<int> after;
    std::string required_label;
    int max_per_server = 0;
    bool saves_progress = false;
    bool is_gang = false;
    bool is_lasting = false;
    // Shares in thousandths of the runs that fail.
    int failing_permille = 0;
};

struct submission {
    std::string id;
    std::string prefix;
    std::vector<step> steps;
    int times = 0;
    std::int64_t start_at_unix_ms = 0;
    int period_ms = 0;
    bool is_accepted = false;
    std::int64_t accepted_at = 0;
    bool is_cancelled = false;
    std::int64_t cancelled_at = 0;
    std::string last_state;
};

// All submissions of the clients, by id.
class book {
public:
    void add(const submission& added);
    void change(const std::string& id, const std::function<void(submission&)>& edit);
    submission get(const std::string& id);
    std::vector<submission> get_all();
    bool find_step(const std::string& task, step& found);

private:
    std::mutex mutex_;
    std::map<std::string, submission> submissions_;
};

// What workers have run, for the judgement.
struct run {
    std::string task;
    std::uint64_t number = 0;
    std::string worker;
    int boot = 0;
    std::vector<std::string> labels;
    int capacity_cpu = 0;
    int capacity_memory_mb = 0;
    int cpu = 0;
    int memory_mb = 0;
    std::int64_t started_at = 0;
    std::int64_t start_unix_ms = 0;
    // 0 while it runs.
    std::int64_t ended_at = 0;
    std::string how;
    // When the end was acknowledged; 0 if it was not.
    std::int64_t noted_at = 0;
};

class run_log {
public:
    // Whether a run of the submission is at work.
    bool has_active(const std::string& id);
    std::size_t add(const run& added);
    void end(std::size_t number, const std::string& how);
    void note(std::size_t number);
    std::vector<run> get_all();

private:
    std::mutex mutex_;
    std::vector<run> runs_;
};

// The members of gangs that are present, for all workers together.
class gang_board {
public:
    void add_member(const std::string& gang, int count);
    // The member has ended otherwise than as done, so the others end too.
    void break_up(const std::string& gang);
    bool is_broken(const std::string& gang);
    // When all members were present; 0 if they never were.
    std::int64_t get_complete_at(const std::string& gang);

private:
    struct state {
        int present = 0;
        std::int64_t complete_at = 0;
        bool is_broken = false;
    };

    std::mutex mutex_;
    std::map<std::string, state> gangs_;
};

struct worker_options {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    int cpu = 16000;
    int memory_mb = 64000;
    int heartbeat_ms = 1500;
    int stop_ms = 100;
    int max_hold_ms = 10000;
    int gang_timeout_ms = 3000;
};

// One worker. It registers itself in the store, runs tasks, and can crash and start again.
class worker {
public:
    worker(worker_options options, store& platform, book& submissions, run_log& runs, gang_board& gangs,
           record_file& record);
    ~worker();
    const std::string& get_id() const { return options_.id; }
    void boot();
    // The process ends: its port is closed, and all runs are gone.
    void crash();
    // What the next boot is.
    void set_kind(const std::vector<std::string>& labels, int cpu);
    void set_stalled(bool is_stalled) { is_stalled_ = is_stalled; }
    void drain(int remaining_ms);
    // The next order to start, to whichever worker, gets no answer and is carried out after this time.
    static void hold_next_start(int delay_ms);
    // The task and the worker of the order that was held last, and whether it is carried out by now.
    struct held_start {
        std::string task;
        std::string worker;
        bool is_over = false;
    };
    static held_start get_held_start();
    bool is_up() const { return is_up_; }
    std::size_t count_runs();
    std::size_t count_stopping();

private:
    struct active_run {
        std::uint64_t number = 0;
        std::size_t log = 0;
        step spec;
        double done_ms = 0;
        std::int64_t counted_at = 0;
        bool will_fail = false;
        std::int64_t stops_at = 0;
        std::int64_t started_at = 0;
        // The step and run that its gang shares; empty if it is in none.
        std::string gang;
    };

    http_response handle(const http_request& request);
    // Takes an order that is to be carried out late. Returns whether it did.
    bool hold(const http_request& request);
    http_response carry_out(const http_request& request, const json& body);
    http_response start_run(const json& body);
    http_response stop_run(const json& body);
    http_response list_runs(const json& body, std::unique_lock<std::mutex>& lock);
    http_response refuse(const char* reason);
    void advance_locked();
    void end_locked(const std::string& task, const std::string& how);
    std::string get_saved(const active_run& active) const;
    std::int64_t read_clock() const { return now_ms() - booted_at_ + 1000; }
    void register_self();
    void live();

    worker_options options_;
    store& store_;
    book& submissions_;
    run_log& runs_;
    gang_board& gangs_;
    record_file& record_;
    http_server server_;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::thread thread_;
    std::atomic<bool> is_up_ = false;
    std::atomic<bool> is_stalled_ = false;
    int boot_ = 0;
    std::int64_t booted_at_ = 0;
    std::int64_t born_ = 0;
    std::uint64_t fence_ = 0;
    std::int64_t lease_until_ = 0;
    std::uint64_t next_end_ = 1;
    std::uint64_t sequence_ = 0;
    std::int64_t leaves_at_ = 0;
    bool is_draining_ = false;
    std::map<std::string, active_run> active_;
    std::map<std::string, std::uint64_t> excluded_;
    struct ended_row {
        json row;
        std::size_t log = 0;
    };
    std::vector<ended_row> ended_;
    std::vector<std::thread> late_orders_;
    static std::mutex held_mutex_;
    static int held_delay_ms_;
    static held_start held_start_;
};

// The advice service: one call at a time for each calling machine, here for all, since one machine calls.
class advice_service {
public:
    advice_service(int decide_ms, int interval_ms, int valid_ms, record_file& record);
    std::uint16_t get_port() const { return port_; }
    void set_allowed(std::set<std::string> workers);

private:
    http_response handle(const http_request& request);

    int decide_ms_;
    int interval_ms_;
    int valid_ms_;
    record_file& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t served_ = 0;
    int waiting_ = 0;
    std::set<std::string> allowed_;
    http_server server_;
    std::uint16_t port_ = 0;
};

// A process of the project, `target/jacinthvane entry`.
class entry_process {
public:
    entry_process(std::string program, std::string name, std::string folder, json settings);
    ~entry_process();
    void start();
    // SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void send(int signal);
    // Waits for the end of the process, and ends it by SIGKILL after the time.
    void wait(int limit_ms);
    bool has_ended();
    std::uint16_t get_front_port() const { return front_port_; }
    std::uint16_t get_ready_port() const { return ready_port_; }
    const std::string& get_name() const { return name_; }

private:
    std::string program_;
    std::string name_;
    std::string folder_;
    json settings_;
    std::uint16_t front_port_ = 0;
    std::uint16_t ready_port_ = 0;
    int pid_ = 0;
};

}  // namespace review
