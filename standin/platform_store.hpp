#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "connection/memory_cell_store.hpp"

namespace jacinthvane::standin {

// The platform's store on a loopback port, with its HTTP protocol: reads, listings in pages, watches,
// transactions and leases. The state is in the given store, to which tests write as the operators do.
class platform_store {
public:
    platform_store(asio::io_context& context, std::shared_ptr<memory_cell_store> store);

    absl::Status listen(const std::string& address) { return server_.listen(address); }
    std::string get_address() const { return server_.get_address(); }

private:
    http_server server_;
};

}  // namespace jacinthvane::standin
