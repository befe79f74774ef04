#include "command/fleet_commands.hpp"

#include <algorithm>

#include "command/admin_client.hpp"
#include "command/change_command.hpp"
#include "command/text_table.hpp"
#include "connection/document_reader.hpp"

namespace jacinthvane {

namespace {

std::string to_cell(const nlohmann::json& row, const char* key) {
    const auto found = row.find(key);
    if (found == row.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : write_json(*found);
}

void print_teams(const nlohmann::json& teams, std::ostream& out) {
    text_table table({"TEAM", "SLOTS USED", "OF", "ACCELERATORS USED", "OF", "SHARE", "URGENT", "BATCH",
                      "QUEUED", "REFUSED"});
    for (const auto& team : teams) {
        table.add_row({to_cell(team, "team"), to_cell(team, "slots_used"), to_cell(team, "quota_slots"),
                       to_cell(team, "accelerators_used"), to_cell(team, "quota_accelerators"),
                       to_cell(team, "share"), to_cell(team, "urgent_running"),
                       to_cell(team, "batch_running"), to_cell(team, "queued"), to_cell(team, "refused")});
    }
    table.print(out);
}

absl::Status show_quotas(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = client->get("/v1/admin/quotas");
    if (!response.ok()) {
        return response.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*response) << "\n";
    } else {
        print_teams(response->at("teams"), streams.out);
    }
    return absl::OkStatus();
}

absl::Status set_quota(const parsed_arguments& arguments, command_streams& streams) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    nlohmann::json body = {{"team", arguments.positionals[0]}, {"reason", *reason}};
    for (const auto& [option, field] :
         {std::pair{"slots", "quota_slots"}, std::pair{"accelerators", "quota_accelerators"},
          std::pair{"share", "share"}}) {
        std::int64_t number = 0;
        if (auto status = read_number_option(arguments, option, 0, 1'000'000, number); !status.ok()) {
            return status;
        }
        if (arguments.has(option)) {
            body[field] = number;
        }
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = post_change(*client, "/v1/admin/quotas", std::move(body));
    return response.ok() ? finish_change(*client, *response, arguments, streams) : response.status();
}

absl::Status dump_state(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = client->get("/v1/admin/state");
    if (!response.ok()) {
        return response.status();
    }
    streams.out << (arguments.is_json() ? write_json(*response) : response->dump(2)) << "\n";
    return absl::OkStatus();
}

absl::Status show_members(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = client->get("/v1/admin/members");
    if (!response.ok()) {
        return response.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*response) << "\n";
        return absl::OkStatus();
    }
    text_table table({"MEMBER", "FAILURE DOMAIN", "STATE", "CONFIG", "ADDRESS"});
    for (const auto& member : response->at("members")) {
        table.add_row({to_cell(member, "process"), to_cell(member, "failure_domain"),
                       to_cell(member, "state"), to_cell(member, "config_version"),
                       to_cell(member, "address")});
    }
    table.print(streams.out);
    return absl::OkStatus();
}

// Sends the request to every address, since each process reads its own copy of the key file. Continues after
// a failure, so that the other processes reload their keys while one is down.
absl::Status reload_keys(const parsed_arguments& arguments, command_streams& streams) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    absl::Status first_failure;
    auto results = nlohmann::json::array();
    text_table table({"ADDRESS", "RESULT"});
    for (const auto& process_client : client->split()) {
        const auto response = post_change(process_client, "/v1/admin/keys/reload", {{"reason", *reason}});
        const auto result =
            response.ok() ? std::to_string(response->value("tokens", std::int64_t{0})) + " tokens in force"
                          : std::string(response.status().message());
        results.push_back(
            {{"address", process_client.get_first_address()}, {"ok", response.ok()}, {"result", result}});
        table.add_row({process_client.get_first_address(), result});
        first_failure.Update(response.status());
    }
    if (arguments.is_json()) {
        streams.out << write_json({{"processes", std::move(results)}}) << "\n";
    } else {
        table.print(streams.out);
    }
    return first_failure;
}

absl::Status show_top(const parsed_arguments& arguments, command_streams& streams) {
    std::int64_t count = 1;
    std::int64_t interval = 2;
    for (const auto& status : {read_number_option(arguments, "count", 1, 100'000, count),
                               read_number_option(arguments, "interval", 1, 3600, interval)}) {
        if (!status.ok()) {
            return status;
        }
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    for (std::int64_t i = 0; i < count; ++i) {
        if (i > 0) {
            pause_for(std::chrono::seconds(interval));
            streams.out << "\n";
        }
        const auto response = client->get("/v1/admin/quotas");
        if (!response.ok()) {
            return response.status();
        }
        if (arguments.is_json()) {
            streams.out << write_json(*response) << "\n";
            continue;
        }
        auto teams = response->at("teams").get<std::vector<nlohmann::json>>();
        std::stable_sort(teams.begin(), teams.end(), [](const auto& left, const auto& right) {
            return left.value("slots_used", std::int64_t{0}) > right.value("slots_used", std::int64_t{0});
        });
        print_teams(teams, streams.out);
        streams.out.flush();
    }
    return absl::OkStatus();
}

}  // namespace

std::vector<command_spec> get_fleet_commands() {
    return {
        {.command = "quota",
         .subcommand = "show",
         .summary = "show the quotas and the usage of all teams",
         .examples = {"jacinthvane quota show"},
         .run = show_quotas},
        {.command = "quota",
         .subcommand = "set",
         .operands = "TEAM",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "set the quota or the share of a team",
         .examples = {"jacinthvane quota set imports --slots 300 --reason \"visit week\""},
         .options = {{"slots", "N", "maximum number of slots in use at the same time"},
                     {"accelerators", "N", "maximum number of accelerators in use at the same time"},
                     {"share", "N", "weight in the queue"},
                     reason_option,
                     wait_option,
                     wait_timeout_option},
         .run = set_quota},
        {.command = "keys",
         .subcommand = "reload",
         .summary = "reload the key file of the process at every address",
         .examples = {"jacinthvane keys reload --reason \"token of amel rotated\""},
         .options = {reason_option},
         .run = reload_keys},
        {.command = "dump",
         .summary = "dump the state of one entry process",
         .examples = {"jacinthvane dump --address 10.0.0.11:9090 > state.json"},
         .run = dump_state},
        {.command = "members",
         .summary = "list members with the configuration version in force on each",
         .examples = {"jacinthvane members"},
         .run = show_members},
        {.command = "top",
         .summary = "show all teams, ordered by the slots that they use",
         .examples = {"jacinthvane top", "jacinthvane top --count 30 --interval 2"},
         .options = {{"count", "N", "print N times (default: 1)"},
                     {"interval", "SECONDS", "time between prints (default: 2)"}},
         .run = show_top},
    };
}

}  // namespace jacinthvane
