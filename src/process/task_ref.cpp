#include "process/task_ref.hpp"

#include <charconv>

namespace jacinthvane {

namespace {

// Removes the last dot-separated number from the text and returns it. Returns nullopt if there is none.
std::optional<std::uint32_t> take_last_number(std::string_view& text) {
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos || dot + 1 == text.size()) {
        return std::nullopt;
    }
    std::uint32_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data() + dot + 1, end, number);
    if (error != std::errc() || parsed != end) {
        return std::nullopt;
    }
    text.remove_suffix(text.size() - dot);
    return number;
}

}  // namespace

std::string step_ref::to_string() const {
    return job.get() + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::string task_ref::to_string() const {
    return get_step().to_string() + "." + std::to_string(index);
}

std::optional<task_ref> parse_task_ref(std::string_view text) {
    const auto index = take_last_number(text);
    const auto step = index ? take_last_number(text) : std::nullopt;
    const auto occurrence = step ? take_last_number(text) : std::nullopt;
    if (!occurrence || text.empty()) {
        return std::nullopt;
    }
    return task_ref{job_id(std::string(text)), *occurrence, *step, *index};
}

}  // namespace jacinthvane
