#include "http.hpp"

#include <memory>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

std::string decode_percent(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

request make_request(const http::request<http::string_body>& message) {
    request result;
    result.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    result.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        const auto equals = part.find('=');
        if (equals != std::string::npos) {
            result.query[part.substr(0, equals)] = decode_percent(part.substr(equals + 1));
        }
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
    for (const auto& field : message) {
        result.headers[std::string(field.name_string())] = std::string(field.value());
    }
    result.body = message.body();
    return result;
}

void serve_connection(asio::ip::tcp::socket socket, const handler& handle) {
    error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(16U << 20U);
        http::read(socket, buffer, parser, error);
        if (error) {
            return;
        }
        const auto& message = parser.get();
        auto result = handle(make_request(message));
        http::response<http::string_body> reply(static_cast<http::status>(result.status), 11);
        reply.set(http::field::content_type, "application/json");
        reply.keep_alive(message.keep_alive());
        reply.body() = std::move(result.body);
        reply.prepare_payload();
        http::write(socket, reply, error);
        if (error || !message.keep_alive()) {
            return;
        }
    }
}

}  // namespace

void serve(int port, handler handle) {
    std::thread([port, handle = std::move(handle)] {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(),
                                                                          static_cast<std::uint16_t>(port)));
        while (true) {
            error_code error;
            asio::ip::tcp::socket socket(context);
            acceptor.accept(socket, error);
            if (!error) {
                std::thread([&handle, accepted = std::make_shared<asio::ip::tcp::socket>(std::move(socket))] {
                    serve_connection(std::move(*accepted), handle);
                }).detach();
            }
        }
    }).detach();
}

std::optional<response> call(int port, const std::string& method, const std::string& target,
                             const std::map<std::string, std::string>& headers, const std::string& body,
                             std::chrono::milliseconds timeout, bool is_exact) {
    asio::io_context context;
    beast::tcp_stream stream(context);
    constexpr std::chrono::milliseconds connect_timeout{1000};
    stream.expires_after(is_exact ? connect_timeout : timeout);
    error_code error;
    const auto run = [&] {
        context.restart();
        context.run();
    };
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                           static_cast<std::uint16_t>(port));
    stream.async_connect(endpoint, [&](error_code result) { error = result; });
    run();
    if (error) {
        return std::nullopt;
    }
    http::request<http::string_body> message;
    message.method_string(method);
    message.target(target);
    message.version(11);
    message.set(http::field::host, "127.0.0.1");
    message.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : headers) {
        message.set(name, value);
    }
    message.body() = body;
    message.prepare_payload();
    const auto sent_at = std::chrono::steady_clock::now();
    if (is_exact) {
        stream.expires_after(connect_timeout);
    }
    http::async_write(stream, message, [&](error_code result, std::size_t) { error = result; });
    run();
    if (error) {
        return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response<http::string_body> reply;
    http::async_read(stream, buffer, reply, [&](error_code result, std::size_t) { error = result; });
    run();
    if (error || (is_exact && std::chrono::steady_clock::now() - sent_at > timeout)) {
        return std::nullopt;
    }
    return response{static_cast<int>(reply.result_int()), reply.body()};
}

}  // namespace review
