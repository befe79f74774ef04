#pragma once

#include "connection/asio.hpp"

namespace jacinthvane {

// Starts a coroutine on a strand of its own, so that its timers and sockets are never touched by two threads
// of the pool at once. An exception that leaves the coroutine is logged with the given name and counted.
void spawn_task(asio::io_context& context, const char* name, awaitable<void> task);

}  // namespace jacinthvane
