#pragma once

#include <cstddef>
#include <ostream>

namespace jacinthvane {

// Runs a membership of each size (3, 9, 50 and 200) for the given number of rounds without and with loss of
// datagrams, and prints for each the bytes that a member sends and receives in a second, the CPU time of a
// member's round, the memory of a member's table, and the rounds until all know a change and a join.
void run_member_bench(std::ostream& output, std::size_t rounds = 60);

}  // namespace jacinthvane
