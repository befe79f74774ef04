#include "command/serve_command.hpp"

#include <cstdio>

#include "process/error_kind.hpp"

namespace jacinthvane {

int run_serve(const std::vector<std::string>& /*arguments*/) {
    std::fputs("jacinthvane: serve is not linked in this build\n", stderr);
    return get_answer(error_kind::internal).exit_code;
}

}  // namespace jacinthvane
