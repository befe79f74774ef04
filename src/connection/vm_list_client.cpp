#include "connection/vm_list_client.hpp"

#include <mutex>
#include <utility>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

struct get_visitor {
    time_point deadline;

    awaitable<absl::StatusOr<std::vector<vm_record>>> operator()(std::shared_ptr<http_vm_list> source) const {
        return source->get(deadline);
    }
    awaitable<absl::StatusOr<std::vector<vm_record>>> operator()(
        std::shared_ptr<memory_vm_list> source) const {
        return get_from_memory(std::move(source));
    }

    static awaitable<absl::StatusOr<std::vector<vm_record>>> get_from_memory(
        std::shared_ptr<memory_vm_list> source) {
        co_return source->get();
    }
};

}  // namespace

awaitable<absl::StatusOr<std::vector<vm_record>>> http_vm_list::get(time_point deadline) {
    http_request request;
    request.target = "/v1/vms";
    const auto fetched = co_await client_.fetch(address_, std::move(request), deadline);
    if (!fetched.ok()) {
        co_return make_error(error_kind::store_unavailable,
                             "cannot read the VM list: " + std::string(fetched.status().message()));
    }
    if (fetched->status != 200) {
        co_return make_error(
            error_kind::store_unavailable,
            "the request for the VM list failed with status " + std::to_string(fetched->status));
    }
    co_return decode_vm_list(fetched->body);
}

void memory_vm_list::set(const std::vector<vm_record>& vms) {
    std::lock_guard lock(mutex_);
    vms_ = vms;
}

void memory_vm_list::set_available(bool is_available) {
    std::lock_guard lock(mutex_);
    is_available_ = is_available;
}

absl::StatusOr<std::vector<vm_record>> memory_vm_list::get() const {
    std::lock_guard lock(mutex_);
    if (!is_available_) {
        return make_error(error_kind::store_unavailable, "the VM list is not available");
    }
    return vms_;
}

awaitable<absl::StatusOr<std::vector<vm_record>>> vm_list_client::get(time_point deadline) {
    return std::visit(get_visitor{deadline}, backend_);
}

}  // namespace jacinthvane
