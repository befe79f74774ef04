#include "process/log_buffer.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <mutex>

namespace jacinthvane {

namespace {

// A pipe that poll() reports as writable accepts at least this many bytes without blocking (PIPE_BUF).
constexpr std::size_t nonblocking_write_bytes = 4096;

bool is_writable(int descriptor) {
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void log_buffer::send(google::LogSeverity severity, const char*, const char* base_filename, int line,
                      const google::LogMessageTime& time, const char* message, std::size_t length) {
    std::array<char, 160> prefix{};
    const int size = std::snprintf(prefix.data(), prefix.size(), "%c%02d:%02d:%02d.%03d %s:%d ",
                                   "IWEF"[std::clamp(severity, 0, 3)], time.hour(), time.min(), time.sec(),
                                   static_cast<int>(time.usec() / 1000), base_filename, line);
    std::lock_guard lock(mutex_);
    if (pending_.size() + length > max_bytes_) {
        ++dropped_;
        return;
    }
    if (dropped_ > reported_) {
        pending_ += "W event=log_lines_dropped count=" + std::to_string(dropped_ - reported_) + "\n";
        reported_ = dropped_;
    }
    pending_.append(prefix.data(),
                    static_cast<std::size_t>(std::clamp(size, 0, static_cast<int>(prefix.size()) - 1)));
    pending_.append(message, length);
    pending_.push_back('\n');
}

void log_buffer::flush() {
    std::lock_guard lock(mutex_);
    std::size_t written = 0;
    while (written < pending_.size() && is_writable(descriptor_)) {
        const auto size = std::min(nonblocking_write_bytes, pending_.size() - written);
        const auto accepted_bytes = write(descriptor_, pending_.data() + written, size);
        if (accepted_bytes <= 0) {
            break;
        }
        written += static_cast<std::size_t>(accepted_bytes);
    }
    pending_.erase(0, written);
}

std::uint64_t log_buffer::get_dropped_lines() const {
    std::lock_guard lock(mutex_);
    return dropped_;
}

}  // namespace jacinthvane
