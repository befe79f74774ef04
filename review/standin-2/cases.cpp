#include "cases.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <numeric>
#include <random>
#include <thread>
#include <vector>

#include "deployment.hpp"

namespace review {

namespace {

constexpr int broken = 1;
constexpr int held = 0;
constexpr int not_run = 2;
constexpr int start_limit_ms = 15000;
// ContactMs of the sheet: after so long without disturbance all is calm.
constexpr int calm_ms = 4000;

deployment_options make_options(const case_options& options) {
    deployment_options made;
    made.program = options.program;
    made.folder = options.folder;
    made.record = options.record;
    made.queues = {{"quote", "/quote/", 0, 3, 1.5, 400, {}}, {"nest", "/nest/", 2, 4, 2.0, 1000, {}}};
    return made;
}

submission make_submission(const std::string& prefix, std::vector<step> steps) {
    submission made;
    made.prefix = prefix;
    made.steps = std::move(steps);
    return made;
}

// Writes all findings to the record and prints them. Returns the exit code of a case on this rule.
int conclude(deployment& judged, const std::string& rule, const std::vector<finding>& seen = {}) {
    int count = 0;
    auto findings = judge(judged);
    findings.insert(findings.end(), seen.begin(), seen.end());
    for (const auto& found : findings) {
        judged.record.write(found.rule + ": " + found.text);
        std::printf("%s: %s\n", found.rule.c_str(), found.text.c_str());
        count += rule.empty() || found.rule == rule;
    }
    for (const auto& entry : judged.entries) {
        if (entry->has_ended()) {
            judged.record.write("process " + entry->get_name() + " has ended");
        }
    }
    std::printf("%s\n", count > 0 ? "the rule was broken" : "the rule held");
    judged.record.write(count > 0 ? "the rule was broken" : "the rule held");
    return count > 0 ? broken : held;
}

// Asks for the submissions from finish_s after the last one was sent. Nothing may then run for 3 s at most.
int conclude_idle(deployment& judged, std::vector<finding> seen = {}) {
    constexpr int finish_ms = 14000;
    constexpr int asking_ms = 20000;
    constexpr int idle_limit_ms = 3000;
    sleep_ms(finish_ms);
    const auto idle_ms = judged.measure_idle_time(asking_ms);
    const auto text =
        "longest time with nothing running, later than finish_s: " + std::to_string(idle_ms) + " ms";
    judged.record.write(text);
    std::printf("%s\n", text.c_str());
    if (idle_ms > idle_limit_ms) {
        seen.push_back({"LOST", "a submission had nothing running for " + std::to_string(idle_ms) + " ms"});
    }
    return conclude(judged, "LOST", seen);
}

std::string get_worker_id(int number) {
    char text[24];
    std::snprintf(text, sizeof(text), "i-%08x", 0x1000 + number);
    return text;
}

}  // namespace

int run_late(const case_options& options) {
    // In each round, one of 20 orders to start gets no answer and is carried out 6 s later. The worker that
    // has it crashes in between, once, for a second, when the task has been started elsewhere.
    constexpr int workers = 48;
    constexpr int rounds = 5;
    constexpr int orders = 20;
    constexpr int held_order = 10;
    constexpr int delay_ms = 6000;
    constexpr int listed_ms = 1500;
    constexpr int down_ms = 1000;
    deployment made(make_options(options));
    for (int i = 0; i < workers; ++i) {
        made.add_worker(get_worker_id(i), {"a", "r1-" + std::to_string(i / 8)}, 16000, 100);
    }
    made.start_entries();
    if (!made.wait_until_ready(start_limit_ms)) {
        return not_run;
    }
    sleep_ms(2000);
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < orders; ++i) {
            if (i == held_order && options.has_trouble) {
                worker::hold_next_start(delay_ms);
            }
            step one;
            one.cpu = 4000;
            one.work_ms = 12000;
            made.submit(make_submission("/nest/", {one}));
            sleep_ms(50);
        }
        const auto deadline = now_ms() + delay_ms;
        while (options.has_trouble && now_ms() < deadline - listed_ms - down_ms - 500) {
            sleep_ms(20);
            const auto held = worker::get_held_start();
            if (held.task.empty() || !made.runs.has_active(held.task)) {
                continue;
            }
            sleep_ms(listed_ms);
            for (auto& each : made.workers) {
                if (each->get_id() == held.worker) {
                    each->crash();
                    sleep_ms(down_ms);
                    each->boot();
                }
            }
            break;
        }
        sleep_until_ms(deadline + 2000);
    }
    made.wait_for_ends(25000);
    return conclude(made, "TWICE");
}

int run_kind(const case_options& options) {
    // 48 workers, half of either kind. In each round six of them crash, and are back a second later as
    // workers of the other kind. The work of one kind always waits for room.
    constexpr int workers = 48;
    constexpr int crashing_workers = 6;
    constexpr int rounds = 3;
    constexpr int down_ms = 1000;
    deployment made(make_options(options));
    for (int i = 0; i < workers; ++i) {
        made.add_worker(get_worker_id(i), {i % 2 == 0 ? "a" : "b", "r1-" + std::to_string(i / 8)}, 16000,
                        100);
    }
    made.start_entries();
    if (!made.wait_until_ready(start_limit_ms)) {
        return not_run;
    }
    sleep_ms(2000);
    // Tasks of a minute fill the workers of kind a, and some wait.
    for (int i = 0; i < 60; ++i) {
        step one;
        one.cpu = 8000;
        one.work_ms = 60000;
        one.required_label = "a";
        made.submit(make_submission("/nest/", {one}));
    }
    sleep_ms(23000);
    for (int round = 0; round < rounds; ++round) {
        const int first = round * 2 * crashing_workers;
        for (int i = 0; i < crashing_workers && options.has_trouble; ++i) {
            const int number = first + 2 * i;
            made.workers.at(number)->crash();
        }
        sleep_ms(down_ms);
        for (int i = 0; i < crashing_workers && options.has_trouble; ++i) {
            const int number = first + 2 * i;
            auto& back = *made.workers.at(number);
            back.set_kind({"b", "r1-" + std::to_string(number / 8)}, 16000);
            back.boot();
        }
        sleep_ms(5000);
    }
    made.wait_for_ends(2000);
    return conclude(made, "ROUTE");
}

int run_takeover(const case_options& options) {
    // Two of 16 workers are lost for good, and 0.3 s later the process that gives the orders. A new process
    // comes at another address 2 s after that.
    constexpr int workers = 16;
    constexpr int lost_workers = 2;
    constexpr int gap_ms = 300;
    constexpr int replacement_ms = 2000;
    constexpr int entry_removal_ms = 4500;
    constexpr int watch_ms = 25000;
    // The rule on tasks that last: not from 6 s after the last run, for 3 s, if these and the 4 s before are
    // calm.
    constexpr int after_run_ms = 6000;
    constexpr int idle_limit_ms = 3000;
    deployment made(make_options(options));
    for (int i = 0; i < workers; ++i) {
        made.add_worker(get_worker_id(i), {"a", "r1-" + std::to_string(i / 8)}, 16000, 100);
    }
    made.start_entries();
    if (!made.wait_until_ready(start_limit_ms)) {
        return not_run;
    }
    sleep_ms(2000);
    for (int i = 0; i < workers; ++i) {
        step one;
        one.count = 4;
        one.is_lasting = true;
        one.cpu = 3000;
        made.submit(make_submission("/quote/", {one}));
    }
    sleep_ms(12000);
    for (int i = 0; i < lost_workers && options.has_trouble; ++i) {
        made.workers.at(i)->crash();
    }
    const auto lost_at = now_ms();
    sleep_ms(gap_ms);
    const auto owner = std::find_if(made.entries.begin(), made.entries.end(),
                                    [&](const auto& entry) { return made.is_owner(*entry); });
    if (owner == made.entries.end()) {
        return not_run;
    }
    if (options.has_trouble) {
        made.record.write("killed for good " + (*owner)->get_name());
        (*owner)->send(SIGKILL);
        (*owner)->wait(1000);
    }
    sleep_ms(replacement_ms);
    if (options.has_trouble) {
        made.entries.erase(owner);
        made.add_entry().start();
        made.record.write("started " + made.entries.back()->get_name());
    }
    const auto calm_from = now_ms();
    sleep_until_ms(lost_at + entry_removal_ms);
    for (const auto& each : made.workers) {
        if (!each->is_up()) {
            made.platform.remove("servers/" + each->get_id());
        }
    }
    sleep_until_ms(lost_at + watch_ms);
    std::vector<finding> seen;
    const auto all = made.runs.get_all();
    for (const auto& lost : all) {
        if (lost.how != "crash") {
            continue;
        }
        auto next = now_ms();
        for (const auto& later : all) {
            next = later.task == lost.task && later.started_at > lost.ended_at
                       ? std::min(next, later.started_at)
                       : next;
        }
        const auto idle_from = std::max(lost.ended_at + after_run_ms, calm_from + calm_ms);
        if (next > idle_from + idle_limit_ms) {
            seen.push_back({"LOST", lost.task + " is to last and doesn't run for " +
                                        std::to_string(next - lost.ended_at) + " ms"});
        }
    }
    for (const auto& known : made.submissions.get_all()) {
        made.ask(known.id);
    }
    return conclude(made, "LOST", seen);
}

int run_advice(const case_options& options) {
    // A call on 16 workers takes 2.7 s, one on 20 takes 3.1 s.
    constexpr int decide_ms = 1100;
    constexpr int interval_ms = 100;
    constexpr int valid_ms = 5000;
    constexpr int workers = 16;
    constexpr int added_workers = 4;
    auto deployment = make_options(options);
    deployment.queues[0].advice = {
        {"DecideMs", decide_ms}, {"IntervalMs", interval_ms}, {"ValidMs", valid_ms}};
    review::deployment made(deployment);
    made.advice = std::make_unique<advice_service>(decide_ms, interval_ms, valid_ms, made.record);
    std::set<std::string> allowed;
    for (int i = 0; i < workers + added_workers; ++i) {
        allowed.insert(get_worker_id(i));
    }
    made.advice->set_allowed(allowed);
    for (int i = 0; i < workers; ++i) {
        made.add_worker(get_worker_id(i), {"a", "r1-1"}, 16000, 100);
    }
    made.start_entries();
    if (!made.wait_until_ready(start_limit_ms)) {
        return not_run;
    }
    sleep_ms(2000);
    const auto submit = [&] {
        step one;
        one.count = 4;
        one.cpu = 2000;
        one.work_ms = 1000;
        made.submit(make_submission("/quote/", {one}));
    };
    submit();
    made.wait_for_ends(20000);
    if (options.has_trouble) {
        for (int i = workers; i < workers + added_workers; ++i) {
            made.add_worker(get_worker_id(i), {"a", "r1-2"}, 16000, 100);
        }
    }
    sleep_ms(calm_ms);
    submit();
    return conclude_idle(made);
}

int run_gang(const case_options& options) {
    // The times of the example: a call on 20 workers takes 0.3 s, and its tickets are valid for 3 s.
    constexpr int decide_ms = 100;
    constexpr int interval_ms = 10;
    constexpr int valid_ms = 3000;
    constexpr int workers = 40;
    constexpr int added_workers = 10;
    constexpr int members = 4;
    auto deployment = make_options(options);
    deployment.queues[0].advice = {
        {"DecideMs", decide_ms}, {"IntervalMs", interval_ms}, {"ValidMs", valid_ms}};
    review::deployment made(deployment);
    made.advice = std::make_unique<advice_service>(decide_ms, interval_ms, valid_ms, made.record);
    // The ids of the workers that are added later come first in their order.
    for (int i = 0; i < workers; ++i) {
        made.add_worker(get_worker_id(added_workers + i), {"a", "r1-1"}, 16000, 100);
    }
    // The policy allows eight of them, twice what the gang needs.
    std::set<std::string> allowed;
    for (const int number : {3, 7, 12, 17, 25, 31, 34, 38}) {
        allowed.insert(get_worker_id(added_workers + number));
    }
    made.advice->set_allowed(allowed);
    made.start_entries();
    if (!made.wait_until_ready(start_limit_ms)) {
        return not_run;
    }
    sleep_ms(2000);
    const auto submit = [&] {
        // One member fits on a worker.
        step one;
        one.count = members;
        one.is_gang = true;
        one.cpu = 10000;
        one.work_ms = 1000;
        made.submit(make_submission("/quote/", {one}));
    };
    submit();
    made.wait_for_ends(15000);
    for (int i = 0; i < added_workers && options.has_trouble; ++i) {
        made.add_worker(get_worker_id(i), {"a", "r1-2"}, 16000, 100);
    }
    sleep_ms(calm_ms);
    submit();
    return conclude_idle(made);
}

}  // namespace review
