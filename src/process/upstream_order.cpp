#include "process/upstream_order.hpp"

namespace jacinthvane {

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
    }
    return "invalid";
}

}  // namespace jacinthvane
