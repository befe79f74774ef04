#include "process/utc_time.hpp"

#include <array>
#include <chrono>
#include <cstdio>

namespace jacinthvane {

namespace {

std::optional<int> read_digits(std::string_view text, std::size_t start, std::size_t count) {
    int value = 0;
    for (std::size_t i = start; i < start + count; ++i) {
        if (text[i] < '0' || text[i] > '9') {
            return std::nullopt;
        }
        value = value * 10 + (text[i] - '0');
    }
    return value;
}

}  // namespace

utc_time get_utc_now() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::seconds>(now).count()};
}

std::string format_utc(utc_time time) {
    const std::chrono::sys_seconds moment{std::chrono::seconds(time.unix_seconds)};
    const auto day = std::chrono::floor<std::chrono::days>(moment);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(moment - day);
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()));
    return text.data();
}

std::optional<utc_time> parse_utc(std::string_view text) {
    constexpr std::string_view form = "dddd-dd-ddTdd:dd:ddZ";
    if (text.size() != form.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < form.size(); ++i) {
        if (form[i] != 'd' && text[i] != form[i]) {
            return std::nullopt;
        }
    }
    const auto year = read_digits(text, 0, 4);
    const auto month = read_digits(text, 5, 2);
    const auto day = read_digits(text, 8, 2);
    const auto hour = read_digits(text, 11, 2);
    const auto minute = read_digits(text, 14, 2);
    const auto second = read_digits(text, 17, 2);
    if (!year || !month || !day || !hour || !minute || !second || *hour > 23 || *minute > 59 ||
        *second > 59) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(*year),
                                           std::chrono::month(static_cast<unsigned>(*month)),
                                           std::chrono::day(static_cast<unsigned>(*day))};
    if (!date.ok()) {
        return std::nullopt;
    }
    const auto moment = std::chrono::sys_days(date) + std::chrono::hours(*hour) +
                        std::chrono::minutes(*minute) + std::chrono::seconds(*second);
    return utc_time{std::chrono::duration_cast<std::chrono::seconds>(moment.time_since_epoch()).count()};
}

}  // namespace jacinthvane
