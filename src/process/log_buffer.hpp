#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <glog/logging.h>

#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Buffers glog's lines until flush() writes them to a file descriptor, so that logging never blocks on the
// descriptor. If the buffer is full, a line is dropped and counted, and the count is logged before the next
// line that is accepted. Safe to call from any thread.
class log_buffer : public google::LogSink {
public:
    log_buffer(int descriptor, std::size_t max_bytes) : descriptor_(descriptor), max_bytes_(max_bytes) {}

    void send(google::LogSeverity severity, const char* full_filename, const char* base_filename, int line,
              const google::LogMessageTime& time, const char* message, std::size_t length) override;

    // Writes as many bytes as the descriptor accepts without blocking.
    void flush();

    std::uint64_t get_dropped_lines() const;

private:
    const int descriptor_;
    const std::size_t max_bytes_;
    mutable ordered_mutex mutex_{lock_rank::log};
    std::string pending_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
};

}  // namespace jacinthvane
