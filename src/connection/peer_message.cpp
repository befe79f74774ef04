#include "connection/peer_message.hpp"

namespace jacinthvane {

namespace {

struct lane_visitor {
    peer_lane operator()(const dispatch_request& item) const {
        return item.start.spec.work_class == task_class::urgent ? peer_lane::urgent : peer_lane::bulk;
    }
    peer_lane operator()(const submit_job_request&) const { return peer_lane::bulk; }
    peer_lane operator()(const query_job_request&) const { return peer_lane::bulk; }
    peer_lane operator()(const reserve_task_request&) const { return peer_lane::bulk; }
    peer_lane operator()(const start_task_request&) const { return peer_lane::bulk; }
    peer_lane operator()(const task_report_request&) const { return peer_lane::bulk; }
    // Requests about idempotency keys, stops, leaving upstreams and configuration are small, and other work
    // waits for them.
    peer_lane operator()(const auto&) const { return peer_lane::urgent; }
};

}  // namespace

peer_lane get_lane(const peer_request& request) {
    return std::visit(lane_visitor{}, request);
}

absl::Status to_status(const error_reply& reply) {
    return make_error(reply.kind, reply.message, reply.run);
}

error_reply make_error_reply(const absl::Status& status) {
    return error_reply{.kind = get_error_kind(status),
                       .message = std::string(status.message()),
                       .run = get_run_knowledge(status)};
}

}  // namespace jacinthvane
