#include "experiment/member_bench.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>

#include <malloc.h>

#include "experiment/member_simulation.hpp"

namespace jacinthvane {

namespace {

constexpr std::array<std::size_t, 4> sizes = {3, 9, 50, 200};
constexpr std::array<double, 2> losses = {0.0, 0.1};
constexpr std::size_t round_limit = 100;
constexpr std::uint64_t bench_seed = 20260312;

double get_cpu_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::size_t get_heap_bytes() {
    return mallinfo2().uordblks;
}

}  // namespace

void run_member_bench(std::ostream& output, std::size_t rounds) {
    output << "members  loss  join_rounds  change_rounds  bytes_out_per_s  cpu_us_per_round  "
              "table_kb  suspected  judged_gone\n";
    for (const auto size : sizes) {
        for (const auto loss : losses) {
            const auto heap_before = get_heap_bytes();
            member_simulation simulation(size, bench_seed);
            simulation.set_loss(loss);
            const auto join_rounds =
                simulation.run_until([&] { return simulation.all_live_known(); }, round_limit);
            const auto bytes_before = simulation.get_sent_bytes();
            const auto cpu_before = get_cpu_seconds();
            simulation.run_rounds(rounds);
            const auto cpu = get_cpu_seconds() - cpu_before;
            const auto bytes = simulation.get_sent_bytes() - bytes_before;
            const auto heap = get_heap_bytes() - heap_before;
            simulation.get_table(0).set_config_version(2);
            const auto change_rounds = simulation.run_until(
                [&] {
                    for (std::size_t i = 1; i < size; ++i) {
                        if (simulation.get_table(i).get_own()->config_version < 2) {
                            return false;
                        }
                    }
                    return true;
                },
                round_limit);
            const auto member_rounds = static_cast<double>(size * rounds);
            output << std::fixed << std::setprecision(1) << std::setw(7) << size << std::setw(6) << loss
                   << std::setw(13) << join_rounds << std::setw(15) << change_rounds << std::setw(17)
                   << static_cast<double>(bytes) / member_rounds << std::setw(18) << cpu * 1e6 / member_rounds
                   << std::setw(10) << static_cast<double>(heap) / 1024 / static_cast<double>(size)
                   << std::setw(11) << simulation.get_changes_to(member_state::suspect) << std::setw(13)
                   << simulation.get_changes_to(member_state::gone) << "\n";
        }
    }
}

}  // namespace jacinthvane
