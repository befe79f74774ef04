#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "connection/upstream_codec.hpp"
#include "process/clock.hpp"

namespace jacinthvane {

// The stand-in for the platform's VM list. Changes become visible after a lag.
//   GET /v1/vms                                    returns the visible version of the list
//   POST /admin/vms                                adds or replaces entries; body in the format of the list
//   POST /admin/state?vm=NAME&state=live|leaving   changes the state of one VM
//   POST /admin/remove?vm=NAME                     removes one VM from the list
//   POST /admin/lag?ms=N                           sets the lag of later changes
//   POST /admin/available?value=0|1                returns 503 for the list while the value is 0
class vm_list_server {
public:
    vm_list_server(asio::io_context& context, std::chrono::milliseconds lag,
                   const std::vector<vm_record>& initial_vms = {});

    absl::Status listen(const std::string& address) { return server_.listen(address); }
    std::string get_address() const { return server_.get_address(); }

private:
    struct shared_state;

    static http_response handle(shared_state& state, const http_request& request);

    std::shared_ptr<shared_state> state_;
    http_server server_;
};

// Runs the VM list stand-in until SIGTERM or SIGINT. Arguments: --listen ADDRESS [--lag-ms N] [--file PATH],
// where the file contains the initial entries in the format of the list. Prints one line with the bound
// address when it is ready. Returns the exit code.
int run_list_command(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
