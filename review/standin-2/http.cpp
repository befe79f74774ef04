#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <random>
#include <set>
#include <vector>

namespace review {

namespace {

sockaddr_in make_address(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int open_listener(std::uint16_t port) {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const auto address = make_address(port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(listener, 256) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

std::uint16_t get_port(int listener) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void set_no_delay(int socket) {
    const int one = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

bool send_all(int socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto part = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (part <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(part);
    }
    return true;
}

// Reads one message from the socket. Bytes after it stay in the buffer. Returns false at the end.
bool read_message(int socket, std::string& buffer, std::string& first_line,
                  std::map<std::string, std::string>& headers, std::string& body, bool has_no_body = false) {
    std::size_t end = std::string::npos;
    char part[16384];
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const auto received = recv(socket, part, sizeof(part), 0);
        if (received <= 0) {
            return false;
        }
        buffer.append(part, static_cast<std::size_t>(received));
    }
    const auto head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    headers.clear();
    auto line_end = head.find("\r\n");
    first_line = head.substr(0, line_end);
    while (line_end != std::string::npos) {
        const auto start = line_end + 2;
        line_end = head.find("\r\n", start);
        const auto line = head.substr(start, line_end == std::string::npos ? line_end : line_end - start);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        for (auto& c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers[name] = value;
    }
    const auto found = headers.find("content-length");
    const std::size_t length =
        found == headers.end() || has_no_body ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
    while (buffer.size() < length) {
        const auto received = recv(socket, part, sizeof(part), 0);
        if (received <= 0) {
            return false;
        }
        buffer.append(part, static_cast<std::size_t>(received));
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

std::string decode_percent(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

}  // namespace

bool http_request::is_abandoned() const {
    char byte = 0;
    const auto received = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string http_request::get_path() const {
    return target.substr(0, target.find('?'));
}

std::string http_request::get_query(const std::string& name) const {
    const auto start = target.find('?');
    auto rest = start == std::string::npos ? std::string() : target.substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string::npos) {
            return decode_percent(part.substr(equals + 1));
        }
        rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    }
    return {};
}

std::string http_request::get_header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::uint16_t http_server::start(std::uint16_t port) {
    listener_ = open_listener(port);
    if (listener_ < 0) {
        return 0;
    }
    is_stopping_ = false;
    acceptor_ = std::thread([this] { accept_all(); });
    return get_port(listener_);
}

void http_server::stop() {
    if (listener_ < 0) {
        return;
    }
    is_stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    if (acceptor_.joinable()) {
        acceptor_.join();
    }
    close(listener_);
    listener_ = -1;
    {
        std::lock_guard lock(mutex_);
        for (const int socket : sockets_) {
            // A reset, as from the end of a process with unread data.
            const linger reset{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            shutdown(socket, SHUT_RDWR);
        }
    }
    while (threads_ > 0) {
        sleep_ms(1);
    }
}

void http_server::accept_all() {
    while (!is_stopping_) {
        const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (is_stopping_) {
                return;
            }
            sleep_ms(5);
            continue;
        }
        set_no_delay(socket);
        {
            std::lock_guard lock(mutex_);
            sockets_.insert(socket);
        }
        ++threads_;
        std::thread([this, socket] {
            serve(socket);
            {
                std::lock_guard lock(mutex_);
                sockets_.erase(socket);
                close(socket);
            }
            --threads_;
        }).detach();
    }
}

void http_server::serve(int socket) {
    std::string buffer;
    std::string first_line;
    http_request request;
    request.socket = socket;
    while (!is_stopping_ && read_message(socket, buffer, first_line, request.headers, request.body)) {
        const auto first = first_line.find(' ');
        const auto second = first_line.find(' ', first + 1);
        request.method = first_line.substr(0, first);
        request.target = first_line.substr(first + 1, second - first - 1);
        const auto response = handle_(request);
        if (response.is_dropped || is_stopping_) {
            return;
        }
        const auto body = response.body.dump();
        std::string text =
            "HTTP/1.1 " + std::to_string(response.status) +
            " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto& [name, value] : response.headers) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
        text.append("\r\n").append(body);
        if (!send_all(socket, text)) {
            return;
        }
    }
}

call_result call(std::uint16_t port, const std::string& method, const std::string& target,
                 const std::map<std::string, std::string>& headers, const std::string& body, int timeout_ms) {
    call_result result;
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const auto address = make_address(port);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        set_no_delay(connection);
        std::string text =
            method + " " + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto& [name, value] : headers) {
            text.append(name).append(": ").append(value).append("\r\n");
        }
        std::string buffer;
        std::string first_line;
        std::string received;
        std::map<std::string, std::string> received_headers;
        if (send_all(connection, text + "\r\n" + body) &&
            read_message(connection, buffer, first_line, received_headers, received)) {
            result.status = std::atoi(first_line.c_str() + first_line.find(' '));
            result.body = json::parse(received, nullptr, false);
        }
    }
    close(connection);
    return result;
}

std::uint16_t find_free_ports(int count) {
    // Outside of the range from which the system takes ports for connections, so that a port that a stand-in
    // has left for a moment stays free.
    constexpr int lowest = 20000;
    constexpr int highest = 32000;
    static std::mutex mutex;
    static std::mt19937 random(std::random_device{}());
    // A process that is given ports uses them only later.
    static std::set<int> given;
    const std::lock_guard lock(mutex);
    std::uniform_int_distribution<int> draw(lowest, highest - count);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int port = draw(random);
        const auto next = given.lower_bound(port);
        bool is_free = next == given.end() || *next >= port + count;
        for (int i = 0; i < count && is_free; ++i) {
            const int listener = open_listener(static_cast<std::uint16_t>(port + i));
            is_free = listener >= 0;
            if (is_free) {
                close(listener);
            }
        }
        if (is_free) {
            for (int i = 0; i < count; ++i) {
                given.insert(port + i);
            }
            return static_cast<std::uint16_t>(port);
        }
    }
    return 0;
}

std::int64_t now_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

void sleep_ms(std::int64_t ms) {
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

void sleep_until_ms(std::int64_t at) {
    sleep_ms(at - now_ms());
}

}  // namespace review
