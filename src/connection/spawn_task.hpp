#pragma once

#include "connection/asio.hpp"

namespace jacinthvane {

// Starts a coroutine on its own strand, so that two threads of the pool never access its timers and sockets
// at the same time. An exception that leaves the coroutine is logged with the given name.
void spawn_task(asio::io_context& context, const char* name, awaitable<void> task);

}  // namespace jacinthvane
