#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthvane {

// A moment in UTC with a resolution of one second. It is for people: authors of changes and ends of
// exceptions. Deadlines and leases use the monotonic clock instead.
struct utc_time {
    std::int64_t unix_seconds = 0;

    auto operator<=>(const utc_time&) const = default;
};

utc_time get_utc_now();

// Writes "2026-03-12T08:00:00Z".
std::string format_utc(utc_time time);

// Reads the form that format_utc writes; anything else gives nullopt.
std::optional<utc_time> parse_utc(std::string_view text);

}  // namespace jacinthvane
