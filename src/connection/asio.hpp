#pragma once

// The parts of Boost.Asio that this project uses. Boost 1.74 needs <utility> before its awaitable header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jacinthvane {

namespace asio = boost::asio;
using boost::asio::awaitable;

}  // namespace jacinthvane
