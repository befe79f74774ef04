#include "command/job_commands.hpp"

#include <cstdlib>

#include "command/admin_client.hpp"
#include "command/change_command.hpp"
#include "command/text_table.hpp"
#include "connection/document_reader.hpp"
#include "process/random_id.hpp"

namespace jacinthvane {

namespace {

void print_job(const nlohmann::json& job, std::ostream& out) {
    for (const auto& [key, value] : job.items()) {
        out << key << ": " << (value.is_string() ? value.get<std::string>() : write_json(value)) << "\n";
    }
}

// Jobs are submitted through the client interface, which listens on a separate address.
absl::Status submit_job(const parsed_arguments& arguments, command_streams& streams) {
    const auto body = read_file(arguments.positionals[0]);
    if (!body.ok()) {
        return body.status();
    }
    for (const auto* required : {"team", "kind"}) {
        if (!arguments.has(required)) {
            return make_error(error_kind::bad_request, std::string("a job needs --") + required + " NAME");
        }
    }
    const auto address = arguments.get("client-address");
    if (address.empty()) {
        return make_error(error_kind::bad_request,
                          "a job needs --client-address IP:PORT, the client address of an entry process");
    }
    http_request request;
    request.method = "POST";
    request.target = "/v1/jobs";
    request.body = *body;
    request.headers["X-Team"] = arguments.get("team");
    request.headers["X-Kind"] = arguments.get("kind");
    request.headers["X-Class"] = "batch";
    // All attempts use the same key, so that a lost response cannot create a second job.
    request.headers["Idempotency-Key"] = arguments.get("key", make_random_id());
    if (arguments.has("non-idempotent")) {
        request.headers["X-Non-Idempotent"] = "true";
    }
    for (const auto& [option, header] :
         {std::pair{"processors-milli", "X-Processors-Milli"}, std::pair{"memory-mb", "X-Memory-Mb"},
          std::pair{"accelerators", "X-Accelerators"}}) {
        std::int64_t number = 0;
        if (auto status = read_number_option(arguments, option, 0, 1'000'000'000, number); !status.ok()) {
            return status;
        }
        if (arguments.has(option)) {
            request.headers[header] = std::to_string(number);
        }
    }
    const admin_client client({address}, "-", std::chrono::seconds(30));
    auto response = client.send(request);
    if (!response.ok() && get_error_kind(response.status()) == error_kind::peer_lost) {
        response = client.send(request);
    }
    if (!response.ok()) {
        return response.status();
    }
    if (response->status >= 300) {
        return read_error(*response);
    }
    streams.out << response->body;
    if (!response->body.ends_with('\n')) {
        streams.out << "\n";
    }
    return absl::OkStatus();
}

absl::Status list_jobs(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    std::int64_t limit = 100;
    if (auto status = read_number_option(arguments, "limit", 1, 1000, limit); !status.ok()) {
        return status;
    }
    auto target = "/v1/admin/jobs?limit=" + std::to_string(limit);
    for (const auto* filter : {"team", "state", "kind"}) {
        if (arguments.has(filter)) {
            target += std::string("&") + filter + "=" + escape_target(arguments.get(filter));
        }
    }
    const auto result = client->get(target);
    if (!result.ok()) {
        return result.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*result) << "\n";
        return absl::OkStatus();
    }
    text_table table({"JOB", "TEAM", "KIND", "STATE", "GENERATION", "UPSTREAM", "WHY"});
    for (const auto& job : result->at("jobs")) {
        table.add_row({job.value("job", ""), job.value("team", ""), job.value("kind", ""),
                       job.value("state", ""), std::to_string(job.value("generation", 0)),
                       job.value("upstream", ""), job.value("why", "")});
    }
    table.print(streams.out);
    return absl::OkStatus();
}

absl::Status show_job(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto job = client->get("/v1/admin/jobs/" + escape_target(arguments.positionals[0]));
    if (!job.ok()) {
        return job.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*job) << "\n";
    } else {
        print_job(*job, streams.out);
    }
    return absl::OkStatus();
}

absl::Status cancel_job(const parsed_arguments& arguments, command_streams& streams) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto result =
        post_change(*client, "/v1/admin/jobs/" + escape_target(arguments.positionals[0]) + "/cancel",
                    {{"reason", *reason}});
    if (!result.ok()) {
        return result.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*result) << "\n";
    } else {
        streams.out << "the cancellation of " << arguments.positionals[0] << " is recorded\n";
    }
    return absl::OkStatus();
}

}  // namespace

std::vector<command_spec> get_job_commands() {
    return {
        {.command = "job",
         .subcommand = "submit",
         .operands = "FILE",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "submit a batch job with the file as its body",
         .examples = {"jacinthvane job submit archive.json --client-address 10.0.0.11:8080 --team archives "
                      "--kind rebuild"},
         .options = {{"client-address", "IP:PORT", "client address of an entry process"},
                     {"team", "NAME", "team whose quota the job uses"},
                     {"kind", "NAME", "task kind"},
                     {"key", "TEXT", "idempotency key (default: a random one)"},
                     {"non-idempotent", "", "the job must not run twice"},
                     {"processors-milli", "N", "processors in thousandths of a processor"},
                     {"memory-mb", "N", "memory"},
                     {"accelerators", "N", "accelerators"}},
         .calls_admin = false,
         .run = submit_job},
        {.command = "job",
         .subcommand = "list",
         .summary = "list jobs with the reason why each one waits",
         .examples = {"jacinthvane job list --team archives --state waiting"},
         .options = {{"team", "NAME", "only this team"},
                     {"state", "NAME", "only this state"},
                     {"kind", "NAME", "only this task kind"},
                     {"limit", "N", "at most N jobs (default: 100)"}},
         .run = list_jobs},
        {.command = "job",
         .subcommand = "show",
         .operands = "JOB",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "show one job",
         .examples = {"jacinthvane job show 5-1187"},
         .run = show_job},
        {.command = "job",
         .subcommand = "cancel",
         .operands = "JOB",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "cancel a job",
         .examples = {"jacinthvane job cancel 5-1187 --reason \"wrong archive\""},
         .options = {reason_option},
         .run = cancel_job},
    };
}

}  // namespace jacinthvane
