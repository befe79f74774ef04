#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "process/task_types.hpp"
#include "process/upstream_types.hpp"

namespace jacinthvane {

constexpr std::size_t max_identifier_bytes = 256;
constexpr std::size_t max_checkpoint_bytes = 4096;

// Encodings of the upstream interface. A start order is one line of JSON followed by the task's body, so that
// the body may contain any bytes. Errors of all decoders: bad_request, which names the invalid field.
std::string encode_start(const start_call& call);
absl::StatusOr<start_call> decode_start(std::string_view bytes);

std::string encode_list(const upstream_list& list);
absl::StatusOr<upstream_list> decode_list(std::string_view bytes);

std::string encode_usage(const usage_response& usage);
absl::StatusOr<usage_response> decode_usage(std::string_view bytes);

// The parameters of a call for one task. Each call uses only some of them.
struct task_call {
    std::uint64_t generation = 0;
    std::int64_t lease_deadline_ms = 0;
    std::int64_t percent = 100;

    bool operator==(const task_call&) const = default;
};

std::string encode_task_call(const task_call& call);
absl::StatusOr<task_call> decode_task_call(std::string_view bytes);

// The response to a call for one task. It names the task, so that a response to another call is detected.
struct task_call_response {
    task_id task;
    std::optional<task_state> state;
    std::optional<std::string> checkpoint;

    bool operator==(const task_call_response&) const = default;
};

std::string encode_task_call_response(const task_call_response& response);
absl::StatusOr<task_call_response> decode_task_call_response(std::string_view bytes);

std::string_view get_name(task_state state);
std::optional<task_state> find_task_state(std::string_view name);

// One entry of the platform's VM list.
enum class vm_role { entry, upstream };

struct vm_record {
    vm_id vm;
    failure_domain_id failure_domain;
    rack_id rack;
    vm_role role = vm_role::upstream;
    bool is_leaving = false;
    std::string address;
    resource_vector size;
    std::int64_t connections = 64;

    bool operator==(const vm_record&) const = default;
};

std::string encode_vm_list(const std::vector<vm_record>& vms);
absl::StatusOr<std::vector<vm_record>> decode_vm_list(std::string_view bytes);

}  // namespace jacinthvane
