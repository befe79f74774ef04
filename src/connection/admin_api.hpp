#pragma once

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection/admin_limits.hpp"
#include "connection/admin_types.hpp"
#include "connection/http_server.hpp"
#include "connection/key_file.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Serves the admin interface (docs/api.md). The operations make the decisions; this class authenticates and
// authorizes calls, reads and writes JSON, applies the rate limits of each token and keeps an audit record of
// every change. It must outlive the server that calls it.
class admin_api {
public:
    admin_api(admin_operations operations, std::shared_ptr<key_file> keys, clock_source clock,
              admin_rate rate = {});

    awaitable<http_response> handle(http_request request);

    http_server::handler make_handler() {
        return [this](http_request request) { return handle(std::move(request)); };
    }

    // The newest records first; at most 500 are kept.
    std::vector<audit_record> list_audit() const;

private:
    // A call whose token has been authenticated.
    struct admin_call {
        http_request request;
        std::vector<std::string> path;
        access_token token;
        time_point deadline;
    };
    using route_handler = awaitable<http_response> (admin_api::*)(std::shared_ptr<const admin_call> call);
    struct admin_route {
        std::string_view method;
        // Segments after /v1/admin; "*" matches one name.
        std::vector<std::string_view> path;
        access_role role;
        // Whether only tokens that are not limited to one team may use the route.
        bool is_fleet_only;
        route_handler handle;
    };

    static const std::vector<admin_route>& get_routes();

    awaitable<http_response> show_config(std::shared_ptr<const admin_call> call);
    awaitable<http_response> diff_config_file(std::shared_ptr<const admin_call> call);
    awaitable<http_response> apply_config(std::shared_ptr<const admin_call> call);
    awaitable<http_response> roll_back(std::shared_ptr<const admin_call> call);
    awaitable<http_response> show_history(std::shared_ptr<const admin_call> call);
    awaitable<http_response> explain(std::shared_ptr<const admin_call> call);
    awaitable<http_response> list_runbooks(std::shared_ptr<const admin_call> call);
    awaitable<http_response> show_runbook(std::shared_ptr<const admin_call> call);
    awaitable<http_response> start_run(std::shared_ptr<const admin_call> call);
    awaitable<http_response> list_runs(std::shared_ptr<const admin_call> call);
    awaitable<http_response> show_run(std::shared_ptr<const admin_call> call);
    awaitable<http_response> resume_run(std::shared_ptr<const admin_call> call);
    awaitable<http_response> cancel_run(std::shared_ptr<const admin_call> call);
    awaitable<http_response> list_jobs(std::shared_ptr<const admin_call> call);
    awaitable<http_response> show_job(std::shared_ptr<const admin_call> call);
    awaitable<http_response> cancel_job(std::shared_ptr<const admin_call> call);
    awaitable<http_response> drain(std::shared_ptr<const admin_call> call);
    awaitable<http_response> undrain(std::shared_ptr<const admin_call> call);
    awaitable<http_response> show_drain(std::shared_ptr<const admin_call> call);
    awaitable<http_response> show_quotas(std::shared_ptr<const admin_call> call);
    awaitable<http_response> set_quota(std::shared_ptr<const admin_call> call);
    awaitable<http_response> dump_state(std::shared_ptr<const admin_call> call);
    awaitable<http_response> list_members(std::shared_ptr<const admin_call> call);
    awaitable<http_response> show_audit(std::shared_ptr<const admin_call> call);
    awaitable<http_response> reload_keys(std::shared_ptr<const admin_call> call);

    awaitable<http_response> route(std::shared_ptr<const admin_call> call);
    awaitable<http_response> send_change(std::shared_ptr<const admin_call> call, config_change change,
                                         std::optional<std::uint64_t> expected_version);
    // Loads a run that the token can access. Errors: not_found, also for runs of other teams.
    awaitable<absl::StatusOr<runbook_run_record>> load_visible_run(std::shared_ptr<const admin_call> call);
    void audit(const admin_call& call, const std::string& reason, const std::string& outcome);

    admin_operations operations_;
    std::shared_ptr<key_file> keys_;
    clock_source clock_;
    admin_limits limits_;
    mutable ordered_mutex audit_mutex_{lock_rank::admin};
    std::deque<audit_record> audit_;
};

}  // namespace jacinthvane
