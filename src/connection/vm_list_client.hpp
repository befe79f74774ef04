#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/http_client.hpp"
#include "connection/upstream_codec.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Reads the platform's VM list over HTTP.
class http_vm_list {
public:
    http_vm_list(asio::io_context& context, std::string address)
        : address_(std::move(address)), client_(context, 1) {}

    awaitable<absl::StatusOr<std::vector<vm_record>>> get(time_point deadline);

private:
    std::string address_;
    http_client client_;
};

// An in-memory VM list for tests and for the stand-in.
class memory_vm_list {
public:
    void set(const std::vector<vm_record>& vms);
    void set_available(bool is_available);
    absl::StatusOr<std::vector<vm_record>> get() const;

private:
    mutable ordered_mutex mutex_{lock_rank::store};
    std::vector<vm_record> vms_;
    bool is_available_ = true;
};

// A client of the platform's VM list. The list is updated with a delay and can be unreachable. Errors:
// store_unavailable.
class vm_list_client {
public:
    using backend = std::variant<std::shared_ptr<http_vm_list>, std::shared_ptr<memory_vm_list>>;

    explicit vm_list_client(backend source) : backend_(std::move(source)) {}

    awaitable<absl::StatusOr<std::vector<vm_record>>> get(time_point deadline);

private:
    backend backend_;
};

}  // namespace jacinthvane
