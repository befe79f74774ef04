#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jacinthvane {

// Amounts of the resources that an upstream offers or a task needs. A task fits only if it fits in every
// dimension.
class resource_vector {
public:
    constexpr resource_vector() = default;
    constexpr resource_vector(std::int64_t processors_milli, std::int64_t memory_mb,
                              std::int64_t accelerators, std::int64_t slots)
        : processors_milli_(processors_milli),
          memory_mb_(memory_mb),
          accelerators_(accelerators),
          slots_(slots) {}

    constexpr std::int64_t get_processors_milli() const { return processors_milli_; }
    constexpr std::int64_t get_memory_mb() const { return memory_mb_; }
    constexpr std::int64_t get_accelerators() const { return accelerators_; }
    constexpr std::int64_t get_slots() const { return slots_; }

    constexpr bool is_within(const resource_vector& limit) const {
        return processors_milli_ <= limit.processors_milli_ && memory_mb_ <= limit.memory_mb_ &&
               accelerators_ <= limit.accelerators_ && slots_ <= limit.slots_;
    }

    constexpr bool is_negative() const {
        return processors_milli_ < 0 || memory_mb_ < 0 || accelerators_ < 0 || slots_ < 0;
    }

    constexpr resource_vector operator+(const resource_vector& other) const {
        return {processors_milli_ + other.processors_milli_, memory_mb_ + other.memory_mb_,
                accelerators_ + other.accelerators_, slots_ + other.slots_};
    }

    constexpr resource_vector operator-(const resource_vector& other) const {
        return {processors_milli_ - other.processors_milli_, memory_mb_ - other.memory_mb_,
                accelerators_ - other.accelerators_, slots_ - other.slots_};
    }

    constexpr resource_vector without_processors() const { return {0, memory_mb_, accelerators_, slots_}; }

    // Returns the given share of each amount, rounded down, so that the results for shares that add up to
    // 1000 never exceed the original amounts in total.
    constexpr resource_vector scale_permille(std::int64_t permille) const {
        return {processors_milli_ * permille / 1000, memory_mb_ * permille / 1000,
                accelerators_ * permille / 1000, slots_ * permille / 1000};
    }

    constexpr bool operator==(const resource_vector&) const = default;

    std::string to_string() const {
        return std::to_string(processors_milli_) + "m/" + std::to_string(memory_mb_) + "MB/" +
               std::to_string(accelerators_) + "acc/" + std::to_string(slots_) + "slots";
    }

private:
    std::int64_t processors_milli_ = 0;
    std::int64_t memory_mb_ = 0;
    std::int64_t accelerators_ = 0;
    std::int64_t slots_ = 0;
};

}  // namespace jacinthvane
