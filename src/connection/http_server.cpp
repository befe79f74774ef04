#include "connection/http_server.hpp"

#include <exception>
#include <utility>
#include <variant>

#include <glog/logging.h>
#include <boost/asio/post.hpp>

#include "connection/endpoint.hpp"
#include "connection/server_connection.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds accept_retry_delay{50};

std::string describe(const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

}  // namespace

class http_server::progress_count {
public:
    explicit progress_count(std::shared_ptr<shared_state> state) : state_(std::move(state)) {
        ++state_->requests_in_progress;
    }
    ~progress_count() {
        --state_->requests_in_progress;
        state_->request_finished.notify_all();
    }
    progress_count(const progress_count&) = delete;
    progress_count& operator=(const progress_count&) = delete;

private:
    std::shared_ptr<shared_state> state_;
};

http_server::http_server(asio::io_context& context, http_limits limits, handler handle,
                         std::shared_ptr<connection_budget> budget)
    : state_(std::make_shared<shared_state>(context)) {
    if (!budget) {
        connection_limits own_limits;
        own_limits.max_connections = limits.max_connections;
        budget = std::make_shared<connection_budget>(own_limits, std::make_shared<rejection_log>(nullptr));
    }
    state_->limits = limits;
    state_->handle = std::move(handle);
    state_->group = budget->add_group();
    state_->budget = std::move(budget);
}

absl::Status http_server::listen(const std::string& address) {
    const auto endpoint = parse_endpoint<asio::ip::tcp>(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    auto& acceptor = state_->acceptor;
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(*endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return make_error(error_kind::bad_configuration,
                          "cannot listen on " + address + ": " + error.message());
    }
    spawn_task(state_->context, "accept_connections", accept_connections(state_));
    return absl::OkStatus();
}

std::string http_server::get_address() const {
    boost::system::error_code error;
    const auto endpoint = state_->acceptor.local_endpoint(error);
    return error ? std::string() : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void http_server::stop_accepting() {
    state_->is_stopping = true;
    asio::post(state_->acceptor.get_executor(), [state = state_] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

awaitable<bool> http_server::drain(time_point deadline) {
    const auto state = state_;
    while (true) {
        const auto seen = state->request_finished.get_count();
        if (state->requests_in_progress == 0) {
            co_return true;
        }
        if (!co_await state->request_finished.wait(seen, deadline)) {
            co_return state->requests_in_progress == 0;
        }
    }
}

awaitable<void> http_server::accept_connections(std::shared_ptr<shared_state> state) {
    while (!state->is_stopping) {
        std::exception_ptr failure;
        bool is_open = true;
        try {
            is_open = co_await accept_connection(state);
        } catch (...) {
            failure = std::current_exception();
        }
        if (!is_open) {
            co_return;
        }
        if (failure) {
            LOG(ERROR) << "event=accept_failed error=\"" << describe(failure) << "\"";
            co_await wait_until(std::chrono::steady_clock::now() + accept_retry_delay);
        }
    }
}

awaitable<bool> http_server::accept_connection(std::shared_ptr<shared_state> state) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket(asio::make_strand(state->context));
    co_await state->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
        co_return false;
    }
    if (error) {
        // Out of file descriptors: waits for some to be closed instead of failing in a tight loop.
        co_await wait_until(std::chrono::steady_clock::now() + accept_retry_delay);
        co_return true;
    }
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, serve_connection(state, std::move(socket)),
                   [](const std::exception_ptr& failure) {
                       if (failure) {
                           LOG(ERROR) << "event=connection_failed error=\"" << describe(failure) << "\"";
                       }
                   });
    co_return true;
}

awaitable<void> http_server::serve_connection(std::shared_ptr<shared_state> state,
                                              asio::ip::tcp::socket socket) {
    const auto connection =
        std::make_shared<server_connection>(std::move(socket), state->limits, state->budget);
    if (!connection->open(state->group)) {
        co_return;
    }
    while (true) {
        auto result = co_await connection->read_request();
        if (auto* rejected = std::get_if<rejected_request>(&result)) {
            connection->reject(std::move(rejected->response));
            co_return;
        }
        auto* received = std::get_if<received_request>(&result);
        if (received == nullptr) {
            co_return;
        }
        const progress_count counted(state);
        auto response = co_await handle_request(state, std::move(received->request));
        if (response.status == dropped_response_status) {
            co_return;
        }
        const bool keep_alive = received->keep_alive && !state->is_stopping && !state->is_closing;
        const bool is_open = co_await connection->write_response(std::move(response), keep_alive);
        if (!is_open) {
            co_return;
        }
    }
}

awaitable<http_response> http_server::handle_request(std::shared_ptr<shared_state> state,
                                                     http_request request) {
    std::exception_ptr failure;
    http_response response;
    try {
        response = co_await state->handle(std::move(request));
    } catch (...) {
        failure = std::current_exception();
    }
    if (failure) {
        LOG(ERROR) << "event=handler_failed error=\"" << describe(failure) << "\"";
        response = http_response();
        response.status = get_error_mapping(error_kind::internal).http_status;
        response.headers["X-Run"] = std::string(get_name(run_knowledge::may_have_run));
    }
    co_return response;
}

}  // namespace jacinthvane
