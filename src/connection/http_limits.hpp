#pragma once

#include <chrono>
#include <cstddef>

namespace jacinthvane {

// Limits that keep one slow or hostile client from degrading the service for the others.
struct http_limits {
    std::size_t max_body_bytes = 8U << 20U;
    // Also the limit of the trailers of a chunked request, and of the extensions of one chunk.
    std::size_t max_header_bytes = 16U << 10U;
    // For a server without a budget that it shares with others.
    std::size_t max_connections = 4096;
    // How long a client may take to send one request, from its first byte, or to read one response.
    std::chrono::milliseconds io_timeout{15000};
    std::chrono::milliseconds idle_timeout{60000};

    bool operator==(const http_limits&) const = default;
};

}  // namespace jacinthvane
