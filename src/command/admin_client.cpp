#include "command/admin_client.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>

#include "connection/document_reader.hpp"
#include "connection/http_client.hpp"
#include "connection/spawn_task.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_response_bytes = 8U << 20U;
constexpr std::size_t max_file_bytes = 1U << 20U;
constexpr std::size_t max_token_bytes = 512;

std::string read_environment(const char* name) {
    // Only the main thread runs while options are read.
    const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? std::string() : std::string(value);
}

std::vector<std::string> split_addresses(const std::string& text) {
    std::vector<std::string> addresses;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        if (end > start) {
            addresses.push_back(text.substr(start, end - start));
        }
        start = end + 1;
    }
    return addresses;
}

awaitable<void> fetch_into(http_client& client, std::string address, http_request request,
                           time_point deadline, std::optional<absl::StatusOr<http_response>>& result) {
    result = co_await client.fetch(std::move(address), std::move(request), deadline);
}

// The HTTP client reports errors of upstreams; the remote side of this client is an entry process.
absl::Status translate_transport_error(const absl::Status& status, const std::string& address) {
    if (get_error_kind(status) == error_kind::upstream_unreachable) {
        return make_error(error_kind::peer_unreachable, "cannot connect to an entry process at " + address);
    }
    return make_error(error_kind::peer_lost, "the connection to " + address +
                                                 " was lost or timed out before a complete response arrived");
}

}  // namespace

absl::StatusOr<admin_client> admin_client::make(const parsed_arguments& arguments) {
    const auto addresses = split_addresses(arguments.get("address", read_environment("JACINTHVANE_ADDRESS")));
    if (addresses.empty()) {
        return make_error(error_kind::bad_request,
                          "no address; give --address IP:PORT or set JACINTHVANE_ADDRESS");
    }
    const auto token_file = arguments.get("token-file", read_environment("JACINTHVANE_TOKEN_FILE"));
    if (token_file.empty()) {
        return make_error(error_kind::bad_request,
                          "no token; give --token-file FILE or set JACINTHVANE_TOKEN_FILE");
    }
    auto token = read_file(token_file);
    if (!token.ok()) {
        return token.status();
    }
    token->erase(token->find_last_not_of(" \t\r\n") + 1);
    const bool is_printable =
        std::all_of(token->begin(), token->end(), [](char c) { return c > 0x20 && c < 0x7f; });
    if (token->empty() || token->size() > max_token_bytes || !is_printable) {
        return make_error(error_kind::bad_request,
                          token_file + " must contain exactly one token of printable characters");
    }
    std::int64_t seconds = 10;
    const auto status = read_number_option(arguments, "timeout", 1, 600, seconds);
    if (!status.ok()) {
        return status;
    }
    return admin_client(addresses, *token, std::chrono::seconds(seconds));
}

std::vector<admin_client> admin_client::split() const {
    std::vector<admin_client> clients;
    clients.reserve(addresses_.size());
    for (const auto& address : addresses_) {
        clients.emplace_back(std::vector<std::string>{address}, token_, timeout_);
    }
    return clients;
}

absl::StatusOr<http_response> admin_client::send(http_request request) const {
    request.headers["Authorization"] = "Bearer " + token_;
    absl::Status last_error;
    for (const auto& address : addresses_) {
        asio::io_context context;
        http_client client(context, 1);
        std::optional<absl::StatusOr<http_response>> result;
        const auto deadline = std::chrono::steady_clock::now() + timeout_;
        spawn_task(context, "admin_call", fetch_into(client, address, request, deadline, result));
        context.run();
        if (result && result->ok()) {
            return **result;
        }
        last_error = translate_transport_error(result ? result->status() : absl::UnknownError(""), address);
        if (get_error_kind(last_error) != error_kind::peer_unreachable) {
            return last_error;
        }
    }
    return last_error;
}

absl::StatusOr<std::string> admin_client::get_text(const std::string& target) const {
    http_request request;
    request.target = target;
    auto response = send(std::move(request));
    if (!response.ok()) {
        return response.status();
    }
    if (response->status >= 300) {
        return read_error(*response);
    }
    return response->body;
}

absl::StatusOr<nlohmann::json> admin_client::get(const std::string& target) const {
    auto text = get_text(target);
    if (!text.ok()) {
        return text.status();
    }
    auto read = read_json(*text, max_response_bytes);
    if (auto* document = std::get_if<text_document>(&read)) {
        return std::move(document->root);
    }
    return make_error(error_kind::internal,
                      "the response of the entry process is not valid JSON of at most 8 MB");
}

absl::StatusOr<nlohmann::json> admin_client::post(const std::string& target,
                                                  const nlohmann::json& body) const {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.headers["Content-Type"] = "application/json";
    request.body = write_json(body);
    auto response = send(std::move(request));
    if (!response.ok()) {
        return response.status();
    }
    if (response->status >= 300) {
        return read_error(*response);
    }
    auto read = read_json(response->body, max_response_bytes);
    if (auto* document = std::get_if<text_document>(&read)) {
        return std::move(document->root);
    }
    return make_error(error_kind::internal,
                      "the response of the entry process is not valid JSON of at most 8 MB");
}

absl::Status read_error(const http_response& response) {
    auto read = read_json(response.body, max_response_bytes);
    const auto* document = std::get_if<text_document>(&read);
    if (document != nullptr && document->root.is_object()) {
        const auto kind = document->root.value("kind", std::string());
        const auto message = document->root.value("message", std::string());
        const auto run = document->root.value("run", std::string());
        for (const auto& entry : get_all_error_mappings()) {
            if (entry.name != kind) {
                continue;
            }
            for (const auto known :
                 {run_knowledge::not_run, run_knowledge::may_have_run, run_knowledge::ran}) {
                if (get_name(known) == run) {
                    return make_error(entry.kind, message, known);
                }
            }
            return make_error(entry.kind, message);
        }
    }
    return make_error(error_kind::internal,
                      "the entry process returned an error without a known kind; HTTP status " +
                          std::to_string(response.status));
}

absl::StatusOr<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return make_error(error_kind::bad_request, "cannot read the file " + path);
    }
    std::string text;
    std::array<char, 4096> block{};
    while (file.read(block.data(), block.size()) || file.gcount() > 0) {
        text.append(block.data(), static_cast<std::size_t>(file.gcount()));
        if (text.size() > max_file_bytes) {
            return make_error(error_kind::bad_request, path + " is larger than 1 MB");
        }
    }
    if (file.bad()) {
        return make_error(error_kind::bad_request, "cannot read the file " + path);
    }
    return text;
}

std::string escape_target(std::string_view text) {
    std::string escaped;
    for (const char c : text) {
        const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                              c == '-' || c == '_' || c == '.';
        if (is_plain) {
            escaped += c;
            continue;
        }
        std::array<char, 4> code{};
        std::snprintf(code.data(), code.size(), "%%%02X", static_cast<unsigned char>(c));
        escaped += code.data();
    }
    return escaped;
}

void pause_for(std::chrono::milliseconds time) {
    asio::io_context context;
    asio::steady_timer timer(context, time);
    timer.wait();
}

}  // namespace jacinthvane
