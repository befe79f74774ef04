#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "connection/memory_fleet.hpp"
#include "connection/upstream_codec.hpp"

namespace jacinthvane {

struct farm_settings {
    std::string ip = "127.0.0.1";
    // Port of the admin interface; the upstreams use the ports after it. 0 selects free ports for all.
    std::uint16_t first_port = 0;
    std::size_t upstreams = 1;
    std::string name_prefix = "upstream-";
    std::string failure_domain = "domain-a";
    std::string rack_prefix = "rack-";
    std::size_t upstreams_per_rack = 11;
    resource_vector size{16000, 62000, 0, 8};
    std::int64_t connections = 64;
    std::int64_t usage_lag_ms = 3000;
};

// The stand-in for upstreams: one process simulates many of them, each on its own port. memory_upstream
// documents the JSON fields of a task's body that control its run. The admin interface sets faults at run
// time:
//   POST /admin/faults?upstream=NAME&fault=FAULT[&count=N]   NAME may be "*"; FAULT is one of
//       fail, heal (all starts), leave, stay, pause, resume, die, revive, lose_answers, ignore_calls (the
//       last two affect the next N calls)
//   POST /admin/slowdowns   body [{kind, beside, slowdown_permille}]; replaces the table
//   GET /admin/ledger       all starts, the peak committed size of each upstream, the number of overcommitted
//                           starts, and the tasks that had two runs at the same time
//   GET /admin/vms          the upstreams as entries of the VM list
class upstream_farm {
public:
    upstream_farm(asio::io_context& context, const farm_settings& settings);

    absl::Status listen();
    std::string get_admin_address() const { return admin_server_->get_address(); }
    std::vector<vm_record> get_vms() const;
    memory_fleet& get_fleet() { return *fleet_; }

private:
    struct handler_state {
        std::shared_ptr<memory_fleet> fleet;
        std::vector<vm_record> vms;
    };

    asio::io_context& context_;
    const farm_settings settings_;
    std::shared_ptr<memory_fleet> fleet_;
    std::shared_ptr<handler_state> state_;
    std::unique_ptr<http_server> admin_server_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

// Runs the upstream stand-in until SIGTERM or SIGINT. Arguments: --port PORT (the admin port; the upstreams
// use the ports after it) [--ip ADDRESS] [--count N] [--prefix NAME] [--failure-domain NAME] [--per-rack N]
// [--processors N] [--memory-mb N] [--accelerators N] [--slots N] [--usage-lag-ms N] [--threads N]. Prints
// one line with the admin address when it is ready. Returns the exit code.
int run_upstream_command(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
