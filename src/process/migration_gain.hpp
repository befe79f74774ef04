#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace jacinthvane {

// What the gain of moving a slow best-effort task to another upstream is computed from.
struct migration_terms {
    // How long the task takes at full speed; 0 if that is unknown.
    std::chrono::milliseconds full_time{0};
    // Progress in percent; -1 if it is unknown.
    std::int32_t percent = -1;
    // Speed so far, as a share of full speed; nothing if it is unknown.
    std::optional<double> speed;
    // Present CPU limit, as a share of full speed.
    double cpu_limit = 1.0;
    // A task with checkpoints continues where it was stopped, after the time for its restore.
    bool saves_checkpoints = false;
    std::chrono::milliseconds restore_time{0};
    // From the decision to stop the run until the next one begins to work.
    std::chrono::milliseconds stop_time{0};
    // Speed at the new place, as a share of full speed.
    double new_speed = 1.0;

    bool operator==(const migration_terms&) const = default;
};

// Returns how much earlier the task is expected to end if it moves, or nothing if that is not clearly earlier
// than where it runs. A task whose duration is unknown may move, with an expected gain of 0.
std::optional<std::chrono::milliseconds> get_migration_gain(const migration_terms& terms);

// Migrations of best-effort tasks, and the sum of their expected gains.
struct migration_count {
    std::uint64_t migrations = 0;
    // How often a slow task stayed, since a move would not have ended it clearly earlier. Each check counts.
    std::uint64_t refused = 0;
    std::chrono::milliseconds expected_gain{0};

    bool operator==(const migration_count&) const = default;
};

}  // namespace jacinthvane
