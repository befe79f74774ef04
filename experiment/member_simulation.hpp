#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "connection/key_ring.hpp"
#include "process/clock.hpp"
#include "process/member_table.hpp"

namespace jacinthvane {

// Entry processes whose membership datagrams pass over a wire in memory, round by round on a clock of its
// own. Datagrams are encoded and signed as on a socket. Two runs with the same seed are equal.
class member_simulation {
public:
    // Returns false for a datagram that is lost on its way.
    using link_filter = std::function<bool(std::size_t from, std::size_t to)>;

    // Members are spread over four failure domains of two regions; the first three are everyone's seeds.
    member_simulation(std::size_t members, std::uint64_t seed);

    // One second: each running member sends its round, in a random order.
    void run_round();
    void run_rounds(std::size_t count);
    // Runs until the condition holds and returns the number of rounds, or limit + 1.
    std::size_t run_until(const std::function<bool()>& condition, std::size_t limit);

    void set_loss(double share) { loss_ = share; }
    void set_filter(link_filter filter) { filter_ = std::move(filter); }

    // A paused member neither sends nor receives and keeps its table; its clock goes on.
    void set_paused(std::size_t index, bool is_paused) { nodes_[index].is_paused = is_paused; }
    // Ends the member's process and starts another one on its VM with the next incarnation.
    void restart(std::size_t index);

    std::size_t get_size() const { return nodes_.size(); }
    member_table& get_table(std::size_t index) { return *nodes_[index].table; }
    bool is_paused(std::size_t index) const { return nodes_[index].is_paused; }

    // True if every running member judges every member as the given state.
    bool all_judge(std::size_t index, member_state state);
    // True if every running member has all running members as live, and no other one.
    bool all_live_known();

    std::size_t get_rounds() const { return rounds_; }
    std::uint64_t get_sent_bytes() const { return sent_bytes_; }
    std::uint64_t get_sent_datagrams() const { return sent_datagrams_; }
    std::size_t get_largest_datagram() const { return largest_datagram_; }
    std::uint64_t get_changes_to(member_state state) const;

private:
    struct node {
        std::unique_ptr<member_table> table;
        std::uint64_t incarnation = 1;
        bool is_paused = false;
    };

    member make_member(std::size_t index) const;
    void start(std::size_t index);
    void send_round(std::size_t index);

    std::mt19937_64 random_;
    key_ring keys_;
    std::vector<node> nodes_;
    std::map<std::string, std::size_t> by_address_;
    time_point now_;
    double loss_ = 0;
    link_filter filter_;
    std::size_t rounds_ = 0;
    std::uint64_t sent_bytes_ = 0;
    std::uint64_t sent_datagrams_ = 0;
    std::size_t largest_datagram_ = 0;
    std::map<member_state, std::uint64_t> changes_;
};

}  // namespace jacinthvane
