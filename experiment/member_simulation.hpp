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

// Simulates entry processes that exchange membership datagrams over an in-memory network, round by round on a
// virtual clock. Datagrams are encoded and signed as on a socket. Runs with the same seed give the same
// results.
class member_simulation {
public:
    // Returns false if datagrams of this link are dropped.
    using link_filter = std::function<bool(std::size_t from, std::size_t to)>;

    // Distributes the members over four failure domains in two regions. All members use the first three as
    // seeds.
    member_simulation(std::size_t members, std::uint64_t seed);

    // Simulates one second, in which each running member sends its datagrams, in random order.
    void run_round();
    void run_rounds(std::size_t count);
    // Runs until the condition holds and returns the number of rounds, or limit + 1 if it never holds.
    std::size_t run_until(const std::function<bool()>& condition, std::size_t limit);

    void set_loss(double share) { loss_ = share; }
    void set_filter(link_filter filter) { filter_ = std::move(filter); }

    // A paused member neither sends nor receives. It keeps its table, and its clock continues.
    void set_paused(std::size_t index, bool is_paused) { nodes_[index].is_paused = is_paused; }
    // Ends the member's process and starts another one on its VM with the next incarnation.
    void restart(std::size_t index);

    std::size_t get_size() const { return nodes_.size(); }
    member_table& get_table(std::size_t index) { return *nodes_[index].table; }
    bool is_paused(std::size_t index) const { return nodes_[index].is_paused; }

    // Returns true if every other running member has the member at this index in the given state.
    bool is_state_agreed(std::size_t index, member_state state);
    // Returns true if every running member has as many live members in its table as there are running ones.
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
