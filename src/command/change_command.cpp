#include "command/change_command.hpp"

#include "connection/document_reader.hpp"
#include "process/random_id.hpp"
#include "process/utc_time.hpp"

namespace jacinthvane {

namespace {

constexpr int max_attempts = 4;
constexpr std::chrono::milliseconds poll_interval{500};

}  // namespace

const option_spec reason_option = {"reason", "TEXT",
                                   "reason for the change; required and recorded in the history"};
const option_spec wait_option = {"wait", "", "wait until the change is in force on every live member"};
const option_spec wait_timeout_option = {"wait-timeout", "SECONDS", "timeout of --wait (default: 60)"};

absl::StatusOr<std::string> require_reason(const parsed_arguments& arguments) {
    const auto reason = arguments.get("reason");
    if (reason.empty()) {
        return make_error(error_kind::bad_request, "a change needs --reason TEXT");
    }
    return reason;
}

absl::StatusOr<nlohmann::json> post_change(const admin_client& client, const std::string& target,
                                           nlohmann::json body) {
    body["mark"] = make_random_id();
    body["at"] = format_utc(get_utc_now());
    for (int attempt = 1;; ++attempt) {
        auto response = client.post(target, body);
        const auto kind = response.ok() ? error_kind::internal : get_error_kind(response.status());
        const bool is_outcome_unknown =
            !response.ok() && (kind == error_kind::peer_lost || kind == error_kind::store_outcome_unknown);
        if (!is_outcome_unknown || attempt == max_attempts) {
            return response;
        }
        pause_for(poll_interval);
    }
}

absl::Status wait_until_in_force(const admin_client& client, std::uint64_t version,
                                 const parsed_arguments& arguments, command_streams& streams) {
    std::int64_t seconds = 60;
    if (auto status = read_number_option(arguments, "wait-timeout", 1, 86400, seconds); !status.ok()) {
        return status;
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::string last_progress;
    while (true) {
        const auto response = client.get("/v1/admin/members");
        std::string progress = "the entry process does not respond";
        if (response.ok()) {
            std::size_t live = 0;
            std::size_t done = 0;
            for (const auto& member : response->at("members")) {
                if (member.value("state", "") == "live") {
                    ++live;
                    done += member.value("config_version", std::uint64_t{0}) >= version ? 1 : 0;
                }
            }
            progress = "version " + std::to_string(version) + " is in force on " + std::to_string(done) +
                       " of " + std::to_string(live) + " live members";
            if (live > 0 && done == live) {
                streams.err << progress << "\n";
                return absl::OkStatus();
            }
        }
        if (progress != last_progress) {
            streams.err << progress << "\n";
            last_progress = progress;
        }
        if (std::chrono::steady_clock::now() + poll_interval >= deadline) {
            return make_error(error_kind::deadline_exceeded,
                              "the change was made, but after " + std::to_string(seconds) + " s " + progress,
                              run_knowledge::ran);
        }
        pause_for(poll_interval);
    }
}

absl::Status finish_change(const admin_client& client, const nlohmann::json& response,
                           const parsed_arguments& arguments, command_streams& streams) {
    const auto outcome = response.value("outcome", std::string());
    const auto version = response.value("version", std::uint64_t{0});
    if (arguments.is_json()) {
        streams.out << write_json(response) << "\n";
    } else if (outcome == "unchanged") {
        streams.out << "no change; version " << version << " remains in force\n";
    } else {
        streams.out << "version " << version << ": " << response.value("summary", std::string()) << "\n";
    }
    if (!arguments.has("wait")) {
        return absl::OkStatus();
    }
    return wait_until_in_force(client, version, arguments, streams);
}

}  // namespace jacinthvane
