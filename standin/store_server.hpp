#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/faulty_store.hpp"
#include "connection/http_server.hpp"

namespace jacinthvane {

// The stand-in for the platform's store: its HTTP interface, and fault control under /admin.
//   GET, PUT /admin/faults  the faults in force as JSON; PUT replaces them, fields that are left out are off
//   POST /admin/deferred    applies the deferred writes
//   GET /admin/ledger       counts of calls by kind and of effective writes
class store_server {
public:
    store_server(asio::io_context& context, std::shared_ptr<faulty_store> store);

    absl::Status listen(const std::string& address) { return server_.listen(address); }
    std::string get_address() const { return server_.get_address(); }
    void stop_accepting() { server_.stop_accepting(); }

private:
    http_server server_;
};

// Runs the store stand-in until SIGTERM or SIGINT. Arguments: --listen ADDRESS [--threads N]. Prints one line
// with the bound address when it is ready. Returns the exit code.
int run_store_command(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
