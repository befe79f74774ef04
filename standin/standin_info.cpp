#include "standin/standin_info.hpp"

namespace jacinthvane {

std::string_view get_standin_version() {
    return "0.1.0";
}

}  // namespace jacinthvane
