#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthvane {

// A moment in UTC with a resolution of one second. It is used only for times that operators read or enter,
// such as the time of a change or the end of an exception. Deadlines and leases use the monotonic clock
// instead.
struct utc_time {
    std::int64_t unix_seconds = 0;

    auto operator<=>(const utc_time&) const = default;
};

utc_time get_utc_now();

// Returns a text such as "2026-03-12T08:00:00Z".
std::string format_utc(utc_time time);

// Parses the format of format_utc. Returns nullopt for any other text.
std::optional<utc_time> parse_utc(std::string_view text);

}  // namespace jacinthvane
