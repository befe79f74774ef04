#include "connection/ownership_codec.hpp"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/json_reader.hpp"
#include "connection/upstream_codec.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

using nlohmann::json;

constexpr std::int64_t max_counter = std::int64_t{1} << 62U;

json encode_process(const process_id& process) {
    return {{"vm", process.vm.get()}, {"incarnation", process.incarnation}};
}

process_id decode_process(json_reader& outer, const json& object, const char* name) {
    json_reader reader(object, name);
    process_id process{vm_id(reader.read_text("vm", max_identifier_bytes)),
                       static_cast<std::uint64_t>(reader.read_integer("incarnation", 0, max_counter))};
    if (!reader.get_status().ok()) {
        outer.fail(name, std::string(reader.get_status().message()));
    }
    return process;
}

bool has_object(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && !found->is_null();
}

}  // namespace

std::string encode_ownership(const ownership& value) {
    auto members = json::array();
    for (const auto& member : value.members) {
        auto entry = encode_process(member.process);
        entry["lease"] = member.lease;
        members.push_back(std::move(entry));
    }
    auto slices = json::array();
    for (const auto& slice : value.slices) {
        json entry{{"owner", nullptr},
                   {"epoch", slice.epoch},
                   {"share_permille", slice.share_permille},
                   {"reservation", nullptr}};
        if (slice.owner) {
            entry["owner"] = encode_process(*slice.owner);
        }
        if (slice.reservation) {
            entry["reservation"] = encode_process(slice.reservation->holder);
            entry["reservation"]["share_permille"] = slice.reservation->share_permille;
        }
        slices.push_back(std::move(entry));
    }
    return json{{"failure_domain", value.failure_domain.get()},
                {"members", std::move(members)},
                {"slices", std::move(slices)}}
        .dump();
}

absl::StatusOr<ownership> decode_ownership(std::string_view bytes) {
    const auto object = parse_json_object(bytes, "ownership");
    if (!object.ok()) {
        return object.status();
    }
    json_reader reader(*object, "ownership");
    ownership value;
    value.failure_domain = failure_domain_id(reader.read_text("failure_domain", max_identifier_bytes));
    for (const auto& entry : reader.read_array("members")) {
        json_reader fields(entry, "member");
        ownership_member member;
        member.process = decode_process(fields, entry, "process");
        member.lease = static_cast<std::uint64_t>(fields.read_integer("lease", 0, max_counter));
        if (!fields.get_status().ok()) {
            return fields.get_status();
        }
        value.members.push_back(std::move(member));
    }
    for (const auto& entry : reader.read_array("slices")) {
        json_reader fields(entry, "slice");
        slice_record slice;
        slice.epoch = static_cast<std::uint64_t>(fields.read_integer("epoch", 0, max_counter));
        slice.share_permille = fields.read_integer("share_permille", 0, full_share_permille);
        if (has_object(entry, "owner")) {
            slice.owner = decode_process(fields, entry["owner"], "owner");
        }
        if (has_object(entry, "reservation")) {
            const auto& reserved = entry["reservation"];
            json_reader reserved_fields(reserved, "reservation");
            slice.reservation =
                reserved_claim{decode_process(fields, reserved, "reservation"),
                               reserved_fields.read_integer("share_permille", 0, full_share_permille)};
            if (!reserved_fields.get_status().ok()) {
                return reserved_fields.get_status();
            }
        }
        if (!fields.get_status().ok()) {
            return fields.get_status();
        }
        value.slices.push_back(std::move(slice));
    }
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    auto status = check_ownership(value);
    if (!status.ok()) {
        return status;
    }
    return value;
}

}  // namespace jacinthvane
