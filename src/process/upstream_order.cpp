#include "process/upstream_order.hpp"

namespace jacinthvane {

namespace {

// Request line, headers, names of fields, and the acknowledgements and headers of the transport.
constexpr std::size_t order_overhead_bytes = 450;
constexpr std::size_t poll_overhead_bytes = 400;

}  // namespace

std::string_view get_name(order_result result) {
    switch (result) {
        case order_result::accepted:
            return "accepted";
        case order_result::refused_token:
            return "refused_token";
        case order_result::refused_outdated:
            return "refused_outdated";
        case order_result::refused_late:
            return "refused_late";
        case order_result::refused_room:
            return "refused_room";
        case order_result::refused_ticket:
            return "refused_ticket";
        case order_result::refused_invalid:
            return "refused_invalid";
        case order_result::refused_busy:
            return "refused_busy";
        case order_result::refused_other_incarnation:
            return "refused_other_life";
        case order_result::not_sent:
            return "not_sent";
        case order_result::unknown:
            return "unknown";
        case order_result::delayed:
            return "delayed";
        case order_result::withdrawn:
            return "withdrawn";
    }
    return "invalid";
}

bool is_answer(order_result result) {
    return may_have_been_sent(result) && result != order_result::unknown;
}

bool may_have_been_sent(order_result result) {
    return result != order_result::not_sent && result != order_result::delayed &&
           result != order_result::withdrawn;
}

bool may_have_renewed_lease(order_result result) {
    switch (result) {
        case order_result::accepted:
        case order_result::refused_outdated:
        case order_result::refused_room:
        case order_result::refused_ticket:
        case order_result::unknown:
            return true;
        default:
            return false;
    }
}

std::size_t estimate_bytes(const start_order& order) {
    return order_overhead_bytes + order.payload.size() + order.checkpoint.size() + order.ticket.size();
}

std::size_t estimate_bytes(const poll_order&) {
    return poll_overhead_bytes;
}

}  // namespace jacinthvane
