#include "record.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

namespace review {

namespace {

int record_file = -1;

}  // namespace

std::int64_t read_clock_ms() {
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::int64_t read_unix_ms() {
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

void open_record(const std::string& path) {
    constexpr mode_t readable_by_all = 0644;
    record_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, readable_by_all);
}

void record(const std::string& line) {
    const auto text = std::to_string(read_clock_ms()) + " " + line + "\n";
    if (record_file >= 0 && ::write(record_file, text.data(), text.size()) < 0) {
        ::_exit(2);
    }
}

}  // namespace review
