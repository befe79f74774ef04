#include "standin/run_server.hpp"

#include <csignal>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>

namespace jacinthvane {

void run_until_signal(asio::io_context& context, std::size_t threads) {
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    std::vector<std::thread> workers;
    for (std::size_t n = 1; n < threads; ++n) {
        workers.emplace_back([&] { context.run(); });
    }
    context.run();
    for (auto& worker : workers) {
        worker.join();
    }
}

}  // namespace jacinthvane
