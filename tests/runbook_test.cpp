#include "version/runbook.hpp"

#include <map>
#include <random>
#include <set>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/runbook_codec.hpp"
#include "connection/spawn_task.hpp"
#include "request/runbook_run.hpp"

using namespace jacinthvane;

namespace {

time_point after_seconds(int seconds) {
    return std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
}

runbook_step make_step(const std::string& name, bool is_idempotent, failure_action on_failure) {
    runbook_step step;
    step.name = name;
    step.command = "/opt/old/" + name;
    step.kind = task_kind("import");
    step.is_idempotent = is_idempotent;
    step.timeout_ms = 60'000;
    step.on_failure = on_failure;
    return step;
}

runbook make_book() {
    return {.name = "visit",
            .description = "",
            .team = team_id("imports"),
            .steps = {make_step("copy", true, failure_action::stop),
                      make_step("merge", false, failure_action::stop),
                      make_step("index", true, failure_action::go_on),
                      make_step("publish", false, failure_action::ask)}};
}

struct driver_crashed {};

// The durable record and the upstreams, which outlive the drivers. A driver crashes at the calls whose
// numbers are in crash_calls, either before or after the call takes effect.
struct environment {
    runbook_run_record record;
    std::uint64_t revision = 0;
    std::map<std::string, int> executions;
    std::set<std::string> executed_tasks;
    std::set<std::string> fenced_tasks;
    std::map<std::string, int> failures_left;
    bool can_find_outcomes = true;
    int calls = 0;
    std::set<int> crash_calls;
    bool crashes_after_effect = false;
    std::mt19937* interleave = nullptr;
    bool loses_save_responses = false;

    bool is_crash() { return crash_calls.contains(++calls); }

    awaitable<void> yield_to_other_drivers() {
        const auto executor = co_await asio::this_coro::executor;
        for (auto turns = interleave == nullptr ? 0U : (*interleave)() % 4; turns > 0; --turns) {
            co_await asio::post(executor, asio::use_awaitable);
        }
    }

    void execute(const runbook_step& step, const task_id& task) {
        if (!fenced_tasks.contains(task.get())) {
            ++executions[step.name];
            executed_tasks.insert(task.get());
        }
    }

    step_outcome report(const runbook_step& step, const task_id& task) {
        if (!executed_tasks.contains(task.get())) {
            return {run_knowledge::not_run, false, "fenced"};
        }
        auto& failures = failures_left[step.name];
        const bool is_success = failures == 0;
        failures -= is_success ? 0 : 1;
        return {run_knowledge::ran, is_success, "status"};
    }

    runbook_run_operations make_operations() {
        runbook_run_operations operations;
        operations.load = [this](std::string, time_point) -> awaitable<absl::StatusOr<loaded_run>> {
            co_await yield_to_other_drivers();
            if (is_crash()) {
                throw driver_crashed{};
            }
            co_return loaded_run{revision, record};
        };
        operations.save = [this](runbook_run_record next, std::uint64_t expected,
                                 time_point) -> awaitable<absl::StatusOr<std::uint64_t>> {
            co_await yield_to_other_drivers();
            const bool crashes = is_crash();
            if (crashes && !crashes_after_effect) {
                throw driver_crashed{};
            }
            // A lost response hides conflicts as well as successes.
            const auto unknown = make_error(error_kind::store_outcome_unknown, "no response");
            if (expected != revision) {
                co_return loses_save_responses ? unknown
                                               : make_error(error_kind::version_conflict, "other revision");
            }
            record = next;
            ++revision;
            if (crashes) {
                throw driver_crashed{};
            }
            if (loses_save_responses) {
                co_return unknown;
            }
            co_return revision;
        };
        operations.run = [this](runbook_step step, task_id task, time_point) -> awaitable<step_outcome> {
            co_await yield_to_other_drivers();
            const bool crashes = is_crash();
            if (crashes && !crashes_after_effect) {
                throw driver_crashed{};
            }
            execute(step, task);
            co_await yield_to_other_drivers();
            if (crashes) {
                throw driver_crashed{};
            }
            co_return report(step, task);
        };
        operations.find_outcome = [this](runbook_step step, task_id task,
                                         time_point) -> awaitable<step_outcome> {
            co_await yield_to_other_drivers();
            if (is_crash()) {
                throw driver_crashed{};
            }
            if (!can_find_outcomes) {
                co_return step_outcome{run_knowledge::may_have_run, false, "the journal contains no outcome"};
            }
            if (!executed_tasks.contains(task.get())) {
                fenced_tasks.insert(task.get());
            }
            co_return report(step, task);
        };
        return operations;
    }
};

environment make_environment() {
    environment made;
    made.record = make_run(make_book(), "run1", "amel", "visit", {1});
    made.revision = 1;
    return made;
}

awaitable<void> drive_once(environment& environment, int& crash_count, std::string driver = "d") {
    const auto operations = environment.make_operations();
    try {
        (void)co_await drive_run(operations, "run1", driver, after_seconds(60));
    } catch (const driver_crashed&) {
        ++crash_count;
    }
}

void run_tasks(std::vector<awaitable<void>> tasks) {
    asio::io_context context;
    for (auto& task : tasks) {
        spawn_task(context, "test", std::move(task));
    }
    context.run();
}

// Starts one driver after another until one completes without a crash.
void drive_until_no_crash(environment& environment) {
    int crash_count = 0;
    int previous_crash_count = -1;
    while (crash_count != previous_crash_count) {
        previous_crash_count = crash_count;
        std::vector<awaitable<void>> tasks;
        tasks.push_back(drive_once(environment, crash_count));
        run_tasks(std::move(tasks));
    }
}

// Repeats the decision until the process that makes it does not crash. A decision that took effect before a
// crash is refused when repeated, because the run no longer waits for one.
absl::Status resume(environment& environment, run_decision decision) {
    absl::Status status = absl::UnknownError("not run");
    const auto call = [&]() -> awaitable<void> {
        const auto operations = environment.make_operations();
        for (bool is_alive = false; !is_alive;) {
            is_alive = true;
            try {
                const auto changed = co_await resume_run(operations, "run1", decision, "amel",
                                                         "seen in the archive", {2}, after_seconds(60));
                status = changed.status();
            } catch (const driver_crashed&) {
                is_alive = false;
            }
        }
    };
    std::vector<awaitable<void>> tasks;
    tasks.push_back(call());
    run_tasks(std::move(tasks));
    return status;
}

void check_at_most_once(const environment& environment, const std::string& context) {
    for (const auto* step : {"merge", "publish"}) {
        const auto found = environment.executions.find(step);
        BOOST_TEST((found == environment.executions.end() || found->second <= 1),
                   step << " ran twice: " << context);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(runbook)

// Guards against a runbook whose errors are detected only in the middle of a run.
BOOST_AUTO_TEST_CASE(errors_in_a_file_name_line_and_key) {
    const auto parsed = parse_runbook_toml(
        "name = \"a b\"\nteam = \"t\"\n\n[[steps]]\nname = \"s\"\ncommand = \"\"\nkind = \"k\"\n"
        "timeout_ms = 0\n\n[[steps]]\nname = \"s\"\ncommand = \"c\"\nkind = \"k\"\ntimeout_ms = 5\n");
    BOOST_REQUIRE(std::holds_alternative<config_errors>(parsed));
    const auto& errors = std::get<config_errors>(parsed);
    BOOST_TEST(format_errors(errors).find("line 1: name:") != std::string::npos);
    BOOST_TEST(format_errors(errors).find("line 6: steps[0].command:") != std::string::npos);
    BOOST_TEST(format_errors(errors).find("line 8: steps[0].timeout_ms:") != std::string::npos);
    BOOST_TEST(format_errors(errors).find("line 11: steps[1].name:") != std::string::npos);
    const auto unknown = parse_runbook_toml("name = \"a\"\nteam = \"t\"\nsteps = []\nretries = 3\n");
    BOOST_TEST(format_errors(std::get<config_errors>(unknown)).find("line 4: retries") != std::string::npos);
}

// Guards against a driver that continues from a record that lost a field when it was encoded or decoded.
BOOST_AUTO_TEST_CASE(a_run_record_survives_its_encoding) {
    auto record = begin_step(make_run(make_book(), "run1", "amel", "visit", {1}), 0);
    record = record_outcome(record, 0, record.steps[0].task, {run_knowledge::ran, false, "exit 3"});
    record.decisions = {"a", "b"};
    record.writer = "w";
    const auto decoded = decode_runbook_run(write_json(encode_runbook_run(record)));
    BOOST_REQUIRE(std::holds_alternative<runbook_run_record>(decoded));
    BOOST_TEST((std::get<runbook_run_record>(decoded) == record));
    BOOST_TEST(std::holds_alternative<config_errors>(decode_runbook_run("{\"run_id\": 4}")));
}

// Guards against a run that stops, or runs a merge twice, because its driver crashed. Each run has up to two
// crashes, at every pair of calls, before or after the call takes effect.
BOOST_AUTO_TEST_CASE(a_run_survives_a_crash_of_its_driver_at_every_call) {
    int asked = 0;
    for (const bool can_find : {true, false}) {
        for (const bool after_effect : {false, true}) {
            for (int first = 1; first <= 16; ++first) {
                for (int second = first; second <= first + 8; ++second) {
                    auto environment = make_environment();
                    environment.can_find_outcomes = can_find;
                    environment.crashes_after_effect = after_effect;
                    environment.crash_calls = {first, second};
                    const auto context = std::to_string(first) + "," + std::to_string(second);
                    drive_until_no_crash(environment);
                    while (environment.record.state == run_state::asking) {
                        ++asked;
                        BOOST_TEST(!can_find, "an operator was asked although the outcome can be determined: "
                                                  << context);
                        BOOST_TEST(environment.record.question.find("not idempotent") != std::string::npos);
                        BOOST_TEST(environment.record.question.find("may-have-run") != std::string::npos);
                        BOOST_TEST(!resume(environment, run_decision::repeat).ok());
                        (void)resume(environment, run_decision::it_ran);
                        BOOST_REQUIRE_MESSAGE(environment.record.state == run_state::running,
                                              context << " is " << get_name(environment.record.state) << " "
                                                      << environment.record.question);
                        drive_until_no_crash(environment);
                    }
                    BOOST_TEST((environment.record.state == run_state::finished), context);
                    check_at_most_once(environment, context);
                    BOOST_TEST(environment.executions["copy"] >= 1);
                    BOOST_TEST(environment.executions["index"] >= 1);
                    if (can_find) {
                        BOOST_TEST(environment.executions["merge"] == 1, context);
                        BOOST_TEST(environment.executions["publish"] == 1, context);
                    }
                }
            }
        }
    }
    BOOST_TEST(asked > 0);
}

// Guards against two concurrent drivers that both start the same merge, and against a lost store response
// that makes a driver start a step although its record of the start was not saved.
BOOST_AUTO_TEST_CASE(drivers_at_the_same_time_run_a_merge_at_most_once) {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        auto environment = make_environment();
        environment.interleave = &random;
        environment.can_find_outcomes = seed % 2 == 0;
        environment.loses_save_responses = seed % 3 == 0;
        int crash_count = 0;
        std::vector<awaitable<void>> tasks;
        tasks.reserve(3);
        for (int i = 0; i < 3; ++i) {
            tasks.push_back(drive_once(environment, crash_count, "d" + std::to_string(i)));
        }
        run_tasks(std::move(tasks));
        check_at_most_once(environment, "seed " + std::to_string(seed));
        // Drivers that prevent each other's attempts from starting may use up all attempts. Then the step is
        // known not to have run, and an operator may let the run continue.
        if (environment.record.state == run_state::stopped) {
            BOOST_TEST(environment.record.question.find("not-run") != std::string::npos);
            BOOST_TEST(resume(environment, run_decision::repeat).ok());
            drive_until_no_crash(environment);
            check_at_most_once(environment, "resumed, seed " + std::to_string(seed));
        }
        BOOST_TEST((environment.record.state == run_state::finished ||
                    environment.record.state == run_state::asking),
                   "seed " << seed << " " << get_name(environment.record.state) << " "
                           << environment.record.question);
    }
}

// Guards against a failed step that is skipped, or that stops a run that is set to continue after failures.
BOOST_AUTO_TEST_CASE(failures_follow_the_step) {
    auto environment = make_environment();
    environment.failures_left = {{"index", 1}, {"publish", 1}};
    drive_until_no_crash(environment);
    BOOST_TEST((environment.record.steps[2].state == step_state::failed));
    BOOST_TEST((environment.record.state == run_state::asking));
    BOOST_TEST(environment.record.question.find("publish") != std::string::npos);
    BOOST_TEST(!resume(environment, run_decision::repeat).ok());
    BOOST_TEST(!resume(environment, run_decision::did_not_run).ok());
    BOOST_TEST(resume(environment, run_decision::it_failed).ok());
    BOOST_TEST((environment.record.state == run_state::cancelled));
    BOOST_TEST(environment.executions["publish"] == 1);

    auto stopped = make_environment();
    stopped.failures_left = {{"copy", 1}};
    drive_until_no_crash(stopped);
    BOOST_TEST((stopped.record.state == run_state::stopped));
    BOOST_TEST(!stopped.executions.contains("merge"));
    BOOST_TEST(resume(stopped, run_decision::repeat).ok());
    drive_until_no_crash(stopped);
    BOOST_TEST((stopped.record.state == run_state::finished));
    BOOST_TEST(stopped.executions["copy"] == 2);
}

// Guards against an operator's statement taking precedence over an outcome that the system can determine.
BOOST_AUTO_TEST_CASE(a_statement_that_a_step_did_not_run_is_checked_first) {
    auto environment = make_environment();
    environment.can_find_outcomes = false;
    environment.crashes_after_effect = true;
    // The calls are load, save, run and save for the first step, then save and run for the merge.
    environment.crash_calls = {6};
    drive_until_no_crash(environment);
    BOOST_REQUIRE((environment.record.state == run_state::asking));
    BOOST_TEST(environment.executions["merge"] == 1);
    environment.can_find_outcomes = true;
    BOOST_TEST(resume(environment, run_decision::did_not_run).ok());
    drive_until_no_crash(environment);
    BOOST_TEST((environment.record.state == run_state::finished));
    BOOST_TEST(environment.executions["merge"] == 1);
}

// Guards against a cancelled run that starts further steps, and against losing the outcome of the step in
// progress.
BOOST_AUTO_TEST_CASE(a_cancelled_run_starts_nothing_more) {
    auto record = begin_step(make_run(make_book(), "run1", "amel", "visit", {1}), 0);
    const auto cancelled = cancel(record, "amel", "postponed", {2});
    BOOST_REQUIRE(cancelled.ok());
    const auto recorded =
        record_outcome(*cancelled, 0, cancelled->steps[0].task, {run_knowledge::ran, true, "ok"});
    BOOST_TEST((recorded.steps[0].state == step_state::done));
    BOOST_TEST((get_next_action(recorded) == run_action(leave_run{})));
    BOOST_TEST(recorded.decisions.at(0).find("amel cancel: postponed") != std::string::npos);
    BOOST_TEST(!cancel(recorded, "amel", "again", {3}).ok());
}

BOOST_AUTO_TEST_SUITE_END()
