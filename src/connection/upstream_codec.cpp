#include "connection/upstream_codec.hpp"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/json_reader.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

using nlohmann::json;

constexpr std::int64_t max_amount = std::int64_t{1} << 40U;
constexpr std::int64_t max_time_ms = std::int64_t{1} << 53U;
constexpr std::size_t max_list_entries = 100000;

constexpr std::array<std::pair<task_state, std::string_view>, 5> state_names{{
    {task_state::running, "running"},
    {task_state::checkpointed, "checkpointed"},
    {task_state::finished, "finished"},
    {task_state::failed, "failed"},
    {task_state::stopped, "stopped"},
}};

json encode_resources(const resource_vector& size) {
    return {{"processors_milli", size.get_processors_milli()},
            {"memory_mb", size.get_memory_mb()},
            {"accelerators", size.get_accelerators()},
            {"slots", size.get_slots()}};
}

resource_vector decode_resources(json_reader& outer, const char* name) {
    json_reader reader(outer.read_object(name), name);
    const auto processors = reader.read_integer("processors_milli", 0, max_amount);
    const auto memory = reader.read_integer("memory_mb", 0, max_amount);
    const auto accelerators = reader.read_integer("accelerators", 0, max_amount);
    const auto slots = reader.read_integer("slots", 0, max_amount);
    if (!reader.get_status().ok()) {
        outer.fail(name, std::string(reader.get_status().message()));
    }
    return {processors, memory, accelerators, slots};
}

// Replaces bytes that are not valid UTF-8, for which the library would throw an exception by default.
std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <typename Decode>
absl::Status decode_entries(const json& entries, Decode decode) {
    if (entries.size() > max_list_entries) {
        return make_error(error_kind::bad_request, "a list has " + std::to_string(entries.size()) +
                                                       " entries; at most " +
                                                       std::to_string(max_list_entries) + " are allowed");
    }
    for (const auto& entry : entries) {
        auto status = decode(entry);
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

}  // namespace

std::string_view get_name(task_state state) {
    for (const auto& [candidate, name] : state_names) {
        if (candidate == state) {
            return name;
        }
    }
    return "running";
}

std::optional<task_state> find_task_state(std::string_view name) {
    for (const auto& [state, candidate] : state_names) {
        if (candidate == name) {
            return state;
        }
    }
    return std::nullopt;
}

std::string encode_start(const start_call& call) {
    json line{{"task", call.task.get()},
              {"generation", call.generation},
              {"kind", call.kind.get()},
              {"resources", encode_resources(call.size)},
              {"owner", call.owner},
              {"start_by_ms", call.start_by_ms},
              {"lease_deadline_ms", call.lease_deadline_ms},
              {"resume_from", nullptr},
              {"wait", call.is_waiting}};
    if (call.resume_from) {
        line["resume_from"] = *call.resume_from;
    }
    return dump(line) + "\n" + call.body;
}

absl::StatusOr<start_call> decode_start(std::string_view bytes) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) {
        return make_error(error_kind::bad_request, "the first line of a start order has no line feed");
    }
    const auto line = parse_json_object(bytes.substr(0, end), "start");
    if (!line.ok()) {
        return line.status();
    }
    json_reader reader(*line, "start");
    start_call call;
    call.task = task_id(reader.read_text("task", max_identifier_bytes));
    call.generation = static_cast<std::uint64_t>(reader.read_integer("generation", 0, max_time_ms));
    call.kind = task_kind(reader.read_text("kind", max_identifier_bytes));
    call.size = decode_resources(reader, "resources");
    call.owner = reader.read_text("owner", max_identifier_bytes);
    call.start_by_ms = reader.read_integer("start_by_ms", -max_time_ms, max_time_ms);
    call.lease_deadline_ms = reader.read_integer("lease_deadline_ms", -max_time_ms, max_time_ms);
    call.resume_from = reader.read_optional_text("resume_from", max_checkpoint_bytes);
    call.is_waiting = reader.read_flag("wait");
    call.body = std::string(bytes.substr(end + 1));
    if (call.task.is_empty()) {
        reader.fail("task", "is empty");
    }
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    return call;
}

std::string encode_list(const upstream_list& list) {
    auto tasks = json::array();
    for (const auto& task : list.tasks) {
        json entry{{"task", task.task.get()},       {"generation", task.generation},
                   {"kind", task.kind.get()},       {"resources", encode_resources(task.size)},
                   {"state", get_name(task.state)}, {"lease_deadline_ms", task.lease_deadline_ms},
                   {"owner", task.owner},           {"checkpoint", nullptr}};
        if (task.checkpoint) {
            entry["checkpoint"] = *task.checkpoint;
        }
        tasks.push_back(std::move(entry));
    }
    return dump({{"now_ms", list.now_ms}, {"leaving", list.is_leaving}, {"tasks", std::move(tasks)}});
}

absl::StatusOr<upstream_list> decode_list(std::string_view bytes) {
    const auto object = parse_json_object(bytes, "task list");
    if (!object.ok()) {
        return object.status();
    }
    json_reader reader(*object, "task list");
    upstream_list list;
    list.now_ms = reader.read_integer("now_ms", -max_time_ms, max_time_ms);
    list.is_leaving = reader.read_flag("leaving");
    auto status = decode_entries(reader.read_array("tasks"), [&](const json& entry) {
        json_reader fields(entry, "listed task");
        listed_task task;
        task.task = task_id(fields.read_text("task", max_identifier_bytes));
        task.generation = static_cast<std::uint64_t>(fields.read_integer("generation", 0, max_time_ms));
        task.kind = task_kind(fields.read_text("kind", max_identifier_bytes));
        task.size = decode_resources(fields, "resources");
        const auto state = find_task_state(fields.read_text("state", max_identifier_bytes));
        task.lease_deadline_ms = fields.read_integer("lease_deadline_ms", -max_time_ms, max_time_ms);
        task.owner = fields.read_text("owner", max_identifier_bytes);
        task.checkpoint = fields.read_optional_text("checkpoint", max_checkpoint_bytes);
        if (!state) {
            fields.fail("state", "is unknown");
        }
        task.state = state.value_or(task_state::running);
        list.tasks.push_back(std::move(task));
        return fields.get_status();
    });
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    if (!status.ok()) {
        return status;
    }
    return list;
}

std::string encode_usage(const usage_response& usage) {
    auto reports = json::array();
    for (const auto& sample : usage.samples) {
        reports.push_back({{"task", sample.task.get()},
                           {"generation", sample.generation},
                           {"kind", sample.kind.get()},
                           {"at_ms", sample.at_ms},
                           {"processors_milli", sample.processors_milli},
                           {"memory_mb", sample.memory_mb},
                           {"slowdown_permille", sample.slowdown_permille}});
    }
    return dump({{"now_ms", usage.now_ms}, {"reports", std::move(reports)}});
}

absl::StatusOr<usage_response> decode_usage(std::string_view bytes) {
    const auto object = parse_json_object(bytes, "usage");
    if (!object.ok()) {
        return object.status();
    }
    json_reader reader(*object, "usage");
    usage_response usage;
    usage.now_ms = reader.read_integer("now_ms", -max_time_ms, max_time_ms);
    auto status = decode_entries(reader.read_array("reports"), [&](const json& entry) {
        json_reader fields(entry, "usage report");
        usage_sample sample;
        sample.task = task_id(fields.read_text("task", max_identifier_bytes));
        sample.generation = static_cast<std::uint64_t>(fields.read_integer("generation", 0, max_time_ms));
        sample.kind = task_kind(fields.read_text("kind", max_identifier_bytes));
        sample.at_ms = fields.read_integer("at_ms", -max_time_ms, max_time_ms);
        sample.processors_milli = fields.read_integer("processors_milli", 0, max_amount);
        sample.memory_mb = fields.read_integer("memory_mb", 0, max_amount);
        sample.slowdown_permille = fields.read_integer("slowdown_permille", 0, max_amount);
        usage.samples.push_back(std::move(sample));
        return fields.get_status();
    });
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    if (!status.ok()) {
        return status;
    }
    return usage;
}

std::string encode_task_call(const task_call& call) {
    return dump({{"generation", call.generation},
                 {"lease_deadline_ms", call.lease_deadline_ms},
                 {"percent", call.percent}});
}

absl::StatusOr<task_call> decode_task_call(std::string_view bytes) {
    const auto object = parse_json_object(bytes, "task call");
    if (!object.ok()) {
        return object.status();
    }
    json_reader reader(*object, "task call");
    task_call call;
    call.generation = static_cast<std::uint64_t>(reader.read_integer("generation", 0, max_time_ms));
    call.lease_deadline_ms = reader.read_integer("lease_deadline_ms", -max_time_ms, max_time_ms);
    call.percent = reader.read_integer("percent", 1, 100);
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    return call;
}

std::string encode_task_call_response(const task_call_response& response) {
    json object{{"task", response.task.get()}, {"state", nullptr}, {"checkpoint", nullptr}};
    if (response.state) {
        object["state"] = get_name(*response.state);
    }
    if (response.checkpoint) {
        object["checkpoint"] = *response.checkpoint;
    }
    return dump(object);
}

absl::StatusOr<task_call_response> decode_task_call_response(std::string_view bytes) {
    const auto object = parse_json_object(bytes, "task call response");
    if (!object.ok()) {
        return object.status();
    }
    json_reader reader(*object, "task call response");
    task_call_response response;
    response.task = task_id(reader.read_text("task", max_identifier_bytes));
    const auto state = reader.read_optional_text("state", max_identifier_bytes);
    if (state) {
        response.state = find_task_state(*state);
        if (!response.state) {
            reader.fail("state", "is unknown");
        }
    }
    response.checkpoint = reader.read_optional_text("checkpoint", max_checkpoint_bytes);
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    return response;
}

std::string encode_vm_list(const std::vector<vm_record>& vms) {
    auto entries = json::array();
    for (const auto& vm : vms) {
        entries.push_back({{"vm", vm.vm.get()},
                           {"failure_domain", vm.failure_domain.get()},
                           {"rack", vm.rack.get()},
                           {"role", vm.role == vm_role::entry ? "entry" : "upstream"},
                           {"state", vm.is_leaving ? "leaving" : "live"},
                           {"address", vm.address},
                           {"processors", vm.size.get_processors_milli() / 1000},
                           {"memory_mb", vm.size.get_memory_mb()},
                           {"accelerators", vm.size.get_accelerators()},
                           {"slots", vm.size.get_slots()},
                           {"connections", vm.connections}});
    }
    return dump(entries);
}

absl::StatusOr<std::vector<vm_record>> decode_vm_list(std::string_view bytes) {
    const auto parsed = json::parse(bytes.begin(), bytes.end(), nullptr, false);
    if (!parsed.is_array()) {
        return make_error(error_kind::bad_request, "the VM list is not a JSON array");
    }
    std::vector<vm_record> vms;
    vms.reserve(parsed.size());
    auto status = decode_entries(parsed, [&](const json& entry) {
        json_reader fields(entry, "VM");
        vm_record vm;
        vm.vm = vm_id(fields.read_text("vm", max_identifier_bytes));
        vm.failure_domain = failure_domain_id(fields.read_text("failure_domain", max_identifier_bytes));
        vm.rack = rack_id(fields.read_text("rack", max_identifier_bytes));
        const auto role = fields.read_text("role", max_identifier_bytes);
        if (role != "entry" && role != "upstream") {
            fields.fail("role", "is neither entry nor upstream");
        }
        vm.role = role == "entry" ? vm_role::entry : vm_role::upstream;
        const auto state = fields.read_text("state", max_identifier_bytes);
        if (state != "live" && state != "leaving") {
            fields.fail("state", "is neither live nor leaving");
        }
        vm.is_leaving = state == "leaving";
        vm.address = fields.read_text("address", max_identifier_bytes);
        const auto processors = fields.read_integer("processors", 0, max_amount / 1000);
        const auto memory = fields.read_integer("memory_mb", 0, max_amount);
        const auto accelerators = fields.read_integer("accelerators", 0, max_amount);
        const auto slots = fields.read_integer("slots", 0, max_amount);
        vm.size = resource_vector(processors * 1000, memory, accelerators, slots);
        vm.connections = fields.read_integer("connections", 0, max_amount);
        vms.push_back(std::move(vm));
        return fields.get_status();
    });
    if (!status.ok()) {
        return status;
    }
    return vms;
}

}  // namespace jacinthvane
