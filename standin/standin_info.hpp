#pragma once

#include <string_view>

namespace jacinthvane {

std::string_view get_standin_version();

}  // namespace jacinthvane
