#pragma once

#include <vector>

#include "command/command_line.hpp"

namespace jacinthvane {

std::vector<command_spec> get_info_commands();

}  // namespace jacinthvane
