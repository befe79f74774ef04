#pragma once

#include <cstdint>
#include <string>

namespace review {

// Milliseconds of the machine's steady clock, which all processes of a case share.
std::int64_t read_clock_ms();
std::int64_t read_unix_ms();

// Appends one line with the time to the record file of the case. Whole lines of several processes never mix.
void open_record(const std::string& path);
void record(const std::string& line);

}  // namespace review
