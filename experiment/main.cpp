#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "experiment/cell_bench.hpp"
#include "experiment/contended_cell.hpp"
#include "experiment/journal_bench.hpp"
#include "experiment/ledger_bench.hpp"
#include "experiment/member_bench.hpp"
#include "experiment/owner_bench.hpp"
#include "experiment/policy_bench.hpp"

namespace {

using namespace jacinthvane::experiment;

int run_policy_command(int argc, char** argv) {
    cxxopts::Options options("jacinthvane_experiment policy",
                             "Compares the placement policies in a simulation with a virtual clock");
    options.add_options()("sites", "Comma-separated list of sites; empty selects all",
                          cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "variant", "Runs only the variants whose names start with this text",
        cxxopts::value<std::string>()->default_value(""))("seeds", "Number of seeds",
                                                          cxxopts::value<int>()->default_value("5"))(
        "workers", "Number of concurrent runs", cxxopts::value<std::size_t>()->default_value("4"))(
        "folder", "Output folder for JSON lines, tables and plots",
        cxxopts::value<std::string>()->default_value(""))(
        "name", "Name of the JSON lines file without its extension",
        cxxopts::value<std::string>()->default_value("policy"))("no-overload", "Skips the overload runs")(
        "help", "Prints this help text");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::puts(options.help().c_str());
        return 0;
    }
    policy_bench_options bench{.sites = parsed["sites"].as<std::vector<std::string>>(),
                               .variant = parsed["variant"].as<std::string>(),
                               .seeds = parsed["seeds"].as<int>(),
                               .workers = parsed["workers"].as<std::size_t>(),
                               .folder = parsed["folder"].as<std::string>(),
                               .name = parsed["name"].as<std::string>(),
                               .has_overload = parsed.count("no-overload") == 0};
    std::erase(bench.sites, "");
    return run_policy_bench(bench);
}

int run_decision_command(int argc, char** argv) {
    cxxopts::Options options("jacinthvane_experiment decision",
                             "Measures the latency of one placement decision");
    options.add_options()("folder", "Output folder for JSON lines",
                          cxxopts::value<std::string>()->default_value(""));
    return run_decision_bench(options.parse(argc, argv)["folder"].as<std::string>());
}

int run_owner_command(int argc, char** argv) {
    cxxopts::Options options("jacinthvane_experiment owner",
                             "Measures the processor time of a cell's owner against upstreams on loopback");
    options.add_options()("upstreams", "Number of upstreams",
                          cxxopts::value<std::size_t>()->default_value("490"))(
        "long-running", "Number of long-running jobs", cxxopts::value<std::size_t>()->default_value("150"))(
        "jobs", "Jobs submitted a second", cxxopts::value<std::size_t>()->default_value("30"))(
        "seconds", "Duration", cxxopts::value<int>()->default_value("20"));
    const auto parsed = options.parse(argc, argv);
    return run_owner_bench({.upstreams = parsed["upstreams"].as<std::size_t>(),
                            .long_running_jobs = parsed["long-running"].as<std::size_t>(),
                            .jobs_per_second = parsed["jobs"].as<std::size_t>(),
                            .seconds = parsed["seconds"].as<int>()});
}

int run_cell_command(int argc, char** argv) {
    cxxopts::Options options("jacinthvane_experiment cell",
                             "Measures the decisions of a cell against upstreams in memory");
    options.add_options()("upstreams", "Number of upstreams",
                          cxxopts::value<std::size_t>()->default_value("890"))(
        "reports", "Reports between two decisions", cxxopts::value<std::size_t>()->default_value("40"))(
        "jobs", "Jobs that begin between two decisions", cxxopts::value<std::size_t>()->default_value("1"))(
        "decisions", "Number of decisions", cxxopts::value<std::size_t>()->default_value("500"));
    const auto parsed = options.parse(argc, argv);
    return run_cell_bench({.upstreams = parsed["upstreams"].as<std::size_t>(),
                           .reports = parsed["reports"].as<std::size_t>(),
                           .jobs = parsed["jobs"].as<std::size_t>(),
                           .decisions = parsed["decisions"].as<std::size_t>()});
}

int run_contention_command(int argc, char** argv) {
    cxxopts::Options options("jacinthvane_experiment contention",
                             "Measures the decisions of a cell whose best-effort tasks fit nowhere");
    options.add_options()("upstreams", "Number of upstreams",
                          cxxopts::value<std::size_t>()->default_value("490"))(
        "jobs", "Best-effort jobs that begin in each second",
        cxxopts::value<std::size_t>()->default_value("30"))(
        "sizes", "Sizes of best-effort tasks of each image",
        cxxopts::value<std::size_t>()->default_value("3"))("seconds", "Duration",
                                                           cxxopts::value<int>()->default_value("20"));
    const auto parsed = options.parse(argc, argv);
    contention_options contention;
    contention.upstreams = parsed["upstreams"].as<std::size_t>();
    contention.jobs_per_second = parsed["jobs"].as<std::size_t>();
    contention.sizes = parsed["sizes"].as<std::size_t>();
    return run_contention_bench(contention, parsed["seconds"].as<int>());
}

std::vector<std::string> to_arguments(int argc, char** argv) {
    return {argv + 1, argv + argc};
}

int run_journal_command(int argc, char** argv) {
    return jacinthvane::run_journal_bench(to_arguments(argc, argv));
}

int run_ledger_command(int argc, char** argv) {
    return jacinthvane::run_ledger_bench(to_arguments(argc, argv));
}

int run_member_command(int /*argc*/, char** /*argv*/) {
    jacinthvane::run_member_bench(std::cout);
    return 0;
}

struct bench_command {
    std::string_view name;
    int (*run)(int argc, char** argv);
    const char* text;
};

// The subcommands. Each function parses its own options.
constexpr bench_command commands[] = {
    {"policy", run_policy_command, "placement policies, admission, ejection and retries under load"},
    {"decision", run_decision_command, "latency of one placement decision at 7,400 upstreams"},
    {"journal", run_journal_command, "cost of the journal; optional parts: rules, snapshot, service"},
    {"ledger", run_ledger_command, "start operations, task lists and memory of the ledger at four sizes"},
    {"member", run_member_command,
     "traffic, CPU time, memory and convergence rounds of the membership at four sizes"},
    {"cell", run_cell_command, "time of a cell's decisions and reports, without any network"},
    {"contention", run_contention_command, "a cell's decisions while best-effort tasks fit nowhere"},
    {"owner", run_owner_command, "CPU time of a cell's owner against upstreams on loopback"},
};

void print_commands() {
    std::puts("usage: jacinthvane_experiment COMMAND [OPTION...]");
    for (const auto& command : commands) {
        std::printf("  %-10s %s\n", std::string(command.name).c_str(), command.text);
    }
}

}  // namespace

int main(int argc, char** argv) {
    const std::string_view name = argc > 1 ? argv[1] : "";
    for (const auto& command : commands) {
        if (command.name != name) {
            continue;
        }
        try {
            return command.run(argc - 1, argv + 1);
        } catch (const std::exception& error) {
            std::fprintf(stderr, "%s: %s\n", argv[1], error.what());
            return 2;
        }
    }
    print_commands();
    return name.empty() || name == "--help" ? 0 : 2;
}
