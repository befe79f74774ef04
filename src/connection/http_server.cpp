#include "connection/http_server.hpp"

#include <exception>
#include <optional>
#include <utility>

#include <glog/logging.h>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "connection/endpoint.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds accept_retry_delay{50};

http_request from_beast(http::request<http::string_body>&& message) {
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers.emplace(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> to_beast(http_response&& response, bool keep_alive) {
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers) {
        message.set(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive);
    message.prepare_payload();
    return message;
}

http_response make_parse_failure(const boost::system::error_code& error) {
    const bool is_too_large = error == http::error::body_limit;
    const auto& error_info =
        get_error_mapping(is_too_large ? error_kind::body_too_large : error_kind::bad_request);
    http_response response;
    response.status = error_info.http_status;
    response.headers["Content-Type"] = "application/json";
    response.headers["X-Run"] = std::string(get_name(error_info.run));
    response.body = "{\"kind\":\"" + std::string(error_info.name) +
                    "\",\"message\":\"cannot read the request: " + error.message() +
                    "\",\"run\":\"not-run\",\"retry_after_ms\":0}\n";
    return response;
}

bool is_parse_failure(const boost::system::error_code& error) {
    return error && error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

http_server::http_server(asio::io_context& context, http_limits limits, handler handle)
    : state_(std::make_shared<shared_state>(context)) {
    state_->limits = limits;
    state_->handle = std::move(handle);
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
        boost::system::error_code error;
        asio::ip::tcp::socket socket(asio::make_strand(state->context));
        co_await state->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            // Out of file descriptors: waits for some to be closed instead of failing in a tight loop.
            co_await wait_until(std::chrono::steady_clock::now() + accept_retry_delay);
            continue;
        }
        if (state->connections >= state->limits.max_connections) {
            continue;
        }
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve_connection(state, std::move(socket)),
                       [](const std::exception_ptr& failure) {
                           if (failure) {
                               LOG(ERROR) << "event=connection_failed";
                           }
                       });
    }
}

awaitable<void> http_server::serve_connection(std::shared_ptr<shared_state> state,
                                              asio::ip::tcp::socket socket) {
    struct connection_count {
        explicit connection_count(std::atomic<std::size_t>& counted) : count(counted) { ++count; }
        ~connection_count() { --count; }
        std::atomic<std::size_t>& count;
    };
    const connection_count counted(state->connections);
    boost::system::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(state->limits.max_body_bytes);
        parser.header_limit(static_cast<std::uint32_t>(state->limits.max_header_bytes));
        stream.expires_after(buffer.size() == 0 ? state->limits.idle_timeout : state->limits.io_timeout);
        co_await http::async_read_header(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            stream.expires_after(state->limits.io_timeout);
            co_await http::async_read(stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        if (error && !is_parse_failure(error)) {
            co_return;
        }
        bool keep_alive = false;
        http_response response;
        const bool is_counted = !error;
        if (error) {
            response = make_parse_failure(error);
        } else {
            ++state->requests_in_progress;
            keep_alive = parser.get().keep_alive();
            stream.expires_never();
            auto request = from_beast(parser.release());
            std::exception_ptr failure;
            try {
                response = co_await state->handle(std::move(request));
            } catch (...) {
                failure = std::current_exception();
            }
            if (failure) {
                LOG(ERROR) << "event=handler_failed";
                response.status = get_error_mapping(error_kind::internal).http_status;
                response.headers["X-Run"] = std::string(get_name(run_knowledge::may_have_run));
            }
            keep_alive = keep_alive && !state->is_stopping && !state->is_closing;
            if (response.status == dropped_response_status) {
                --state->requests_in_progress;
                state->request_finished.notify_all();
                co_return;
            }
        }
        const auto message = to_beast(std::move(response), keep_alive);
        stream.expires_after(state->limits.io_timeout);
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
        if (is_counted) {
            --state->requests_in_progress;
            state->request_finished.notify_all();
        }
        if (error || !keep_alive) {
            stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
            co_return;
        }
    }
}

}  // namespace jacinthvane
