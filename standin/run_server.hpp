#pragma once

#include <cstddef>

#include "connection/asio.hpp"

namespace jacinthvane {

// Runs the context on the given number of threads until SIGTERM or SIGINT.
void run_until_signal(asio::io_context& context, std::size_t threads);

}  // namespace jacinthvane
