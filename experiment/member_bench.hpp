#pragma once

#include <cstddef>
#include <ostream>

namespace jacinthvane {

// Runs a membership of each size (3, 9, 50 and 200) for the given number of rounds, without and with datagram
// loss. Prints for each the bytes that a member sends per second, the CPU time per member and round, the
// memory of a member's table, the number of rounds until a join and a configuration change have reached all
// members, and the number of transitions to suspect and gone.
void run_member_bench(std::ostream& output, std::size_t rounds = 60);

}  // namespace jacinthvane
