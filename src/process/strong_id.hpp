#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace jacinthvane {

// A typed identifier. The tag makes identifiers of different kinds distinct types, so that mixing them up is
// a compile-time error.
template <typename Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    const std::string& get() const { return value_; }
    bool is_empty() const { return value_.empty(); }

    auto operator<=>(const strong_id&) const = default;

private:
    std::string value_;
};

}  // namespace jacinthvane

template <typename Tag>
struct std::hash<jacinthvane::strong_id<Tag>> {
    std::size_t operator()(const jacinthvane::strong_id<Tag>& id) const {
        return std::hash<std::string>{}(id.get());
    }
};
