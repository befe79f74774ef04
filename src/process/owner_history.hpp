#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "process/clock.hpp"

namespace jacinthvane {

// An owner of the cell as this process has seen it.
struct seen_owner {
    std::uint64_t token = 0;
    std::string process;
    // The address at which it serves requests of other processes.
    std::string address;
    // When a read of the store first showed it here. Its predecessors had lost the cell by then.
    time_point seen_at;
    // It is known to have acted for the last time by then; max if nothing is known.
    time_point ended_by = time_point::max();

    bool operator==(const seen_owner&) const = default;
};

// Computes until when earlier owners of a cell may have acted. An owner may act for the proof window after
// its last proof of ownership, and it finds no proof after the next owner has taken the cell. The result does
// not begin anew when the owner changes again. Not safe for concurrent use.
class owner_history {
public:
    explicit owner_history(std::chrono::milliseconds proof_window) : proof_window_(proof_window) {}

    // Records an owner that the store shows. Tokens only rise; an owner that is known is ignored.
    void record_owner(std::uint64_t token, const std::string& process, const std::string& address,
                      time_point now);
    // Records that the owner with this token acts no more, and has not since the given time.
    void record_end(std::uint64_t token, time_point ended_by);
    // Records that all owners before this token have ended so long ago that they need not be waited for.
    void record_ended_before(std::uint64_t token);
    // Records that no owner up to and including this token has acted after the given time, as another process
    // has found out.
    void record_last_action(std::uint64_t token, time_point last_action);

    // Returns the time by which all owners before this token have acted for the last time. An owner with this
    // or a higher token must have been recorded.
    time_point get_last_action(std::uint64_t token) const;
    // Returns the owners before this token that may act after the given time.
    std::vector<seen_owner> get_possible_owners(std::uint64_t token, time_point now) const;

private:
    // What another process knows of all owners up to and including a token.
    struct action_bound {
        std::uint64_t token = 0;
        time_point last_action;
    };

    // Returns until when the owner at this position may act, by what is known of it.
    time_point get_last_action_at(std::size_t position) const;
    // Returns the time by which all owners from the first token to the one before the end have acted for the
    // last time, by what this process has seen.
    time_point get_seen_last_action(std::uint64_t first, std::uint64_t end) const;

    std::chrono::milliseconds proof_window_;
    // In ascending order of tokens.
    std::vector<seen_owner> owners_;
    std::uint64_t ended_before_ = 1;
    // In ascending order of tokens.
    std::vector<action_bound> bounds_;
};

}  // namespace jacinthvane
