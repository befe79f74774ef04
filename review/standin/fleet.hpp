#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store.hpp"

namespace review {

struct fleet_plan {
    int entries = 3;
    int workers = 3;
    // So many of them, the first ones, are of kind "b"; the others are of kind "a".
    int workers_of_kind_b = 0;
    // Changes of single values under "Bounds" of the settings file, as JSON.
    std::string bounds = "{}";
};

// A small installation on loopback ports: the store in this process, workers and entry processes as
// processes of their own.
class fleet {
public:
    fleet(std::string folder, std::string program, fleet_plan plan);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    // Kills the processes of all fleets, also from another thread.
    static void kill_all_processes();

    // Starts all processes and waits until every entry process is ready. Returns false if one never is.
    bool start();
    store& get_store() { return *store_; }

    // The entry process whose address is in the record of the present owner; nothing if there is none.
    std::optional<int> find_owner();
    void kill_entry(int index);
    void start_entry(int index);
    // Finds a worker by its id, and kills or starts it.
    void kill_worker(const std::string& id);
    void start_worker(const std::string& id);

    // Submits at an entry process that is ready, and repeats it as the pages let clients do. Returns whether
    // a 2xx response came.
    bool submit(const std::string& id, const std::string& body);
    // Submits once, and leaves after the time that the client says it waits.
    bool submit_once(const std::string& id, const std::string& body, int deadline_ms);
    // Returns the state that a GET shows, or the status of the response in its place.
    std::string get_state(const std::string& id);

private:
    struct process {
        std::string name;
        std::string kind;
        pid_t pid = 0;
        int front = 0;
        int ready = 0;
        int control = 0;
        int peer = 0;
    };

    static pid_t spawn(const std::vector<std::string>& arguments, const std::string& settings_file,
                       const std::string& log_file);
    static void kill_process(process& killed);
    bool is_ready(const process& entry) const;
    std::vector<int> get_ready_entries() const;
    process& find_worker(const std::string& id);

    const std::string folder_;
    const std::string program_;
    const fleet_plan plan_;
    // Connections are served until the process ends, so the store is never destroyed.
    store* const store_;
    int store_port_ = 0;
    std::vector<process> entries_;
    std::vector<process> workers_;
    std::atomic<std::size_t> next_entry_ = 0;
};

}  // namespace review
