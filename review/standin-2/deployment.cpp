#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>

namespace review {

namespace {

constexpr int client_budget_ms = 3000;
constexpr int client_attempts = 5;

json encode(const submission& sent) {
    json steps = json::array();
    for (const auto& each : sent.steps) {
        json one = {
            {"Count", each.count}, {"Cpu", each.cpu}, {"MemMb", each.memory_mb}, {"EstMs", each.work_ms}};
        if (!each.after.empty()) {
            one["After"] = each.after;
        }
        if (!each.required_label.empty()) {
            one["RequiredLabel"] = each.required_label;
        }
        if (each.max_per_server > 0) {
            one["MaxPerServer"] = each.max_per_server;
        }
        if (each.saves_progress) {
            one["SavesProgress"] = true;
        }
        if (each.is_gang) {
            one["Gang"] = true;
        }
        if (each.is_lasting) {
            one["LongRunning"] = true;
        }
        steps.push_back(one);
    }
    json body = {{"Spec", "review " + sent.id}, {"Steps", steps}};
    if (sent.times > 0) {
        body["Times"] = sent.times;
        body["StartAtMs"] = sent.start_at_unix_ms;
        body["PeriodMs"] = sent.period_ms;
    }
    return body;
}

struct task_name {
    std::string id;
    int occurrence = 0;
    int step = 0;
    int index = 0;
};

task_name parse(const std::string& task) {
    task_name name;
    std::istringstream parts(task);
    std::string part;
    std::getline(parts, name.id, '.');
    std::getline(parts, part, '.');
    name.occurrence = std::atoi(part.c_str());
    std::getline(parts, part, '.');
    name.step = std::atoi(part.c_str());
    std::getline(parts, part, '.');
    name.index = std::atoi(part.c_str());
    return name;
}

bool overlap(const run& left, const run& right) {
    const auto left_end = left.ended_at == 0 ? INT64_MAX : left.ended_at;
    const auto right_end = right.ended_at == 0 ? INT64_MAX : right.ended_at;
    return left.started_at < right_end && right.started_at < left_end;
}

std::string describe(const run& told) {
    return told.task + "/" + std::to_string(told.number) + " on " + told.worker + " boot " +
           std::to_string(told.boot);
}

}  // namespace

deployment::deployment(const deployment_options& options) : record(options.record), options_(options) {
    platform.put("op/config", make_config());
}

deployment::~deployment() {
    for (auto& entry : entries) {
        entry->send(SIGCONT);
        entry->send(SIGKILL);
    }
    for (auto& entry : entries) {
        entry->wait(2000);
    }
    for (auto& each : workers) {
        if (each->is_up()) {
            each->crash();
        }
    }
}

json deployment::make_config() const {
    json routes = json::array();
    for (const auto& queue : options_.queues) {
        json route = {{"Name", queue.name},
                      {"Host", host_},
                      {"Prefix", queue.prefix},
                      {"Kind", "non_idempotent"},
                      {"TimeoutMs", client_budget_ms},
                      {"TargetLatencyMs", queue.target_latency_ms},
                      {"Priority", queue.priority},
                      {"Service", "matcher"},
                      {"MaxAttempts", queue.max_attempts},
                      {"Stretch", queue.stretch}};
        if (!queue.advice.is_null()) {
            route["Advice"] = queue.advice;
        }
        routes.push_back(route);
    }
    return {{"Version", 7},
            {"Routes", routes},
            {"Services", json::array({{{"Name", "matcher"},
                                       {"HealthPath", "/health"},
                                       {"MaxConns", 64},
                                       {"Protocol", "h1"},
                                       {"Tls", false},
                                       {"AdmissionCheck", false},
                                       {"Standby", false}}})},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 262144},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}}};
}

// The settings of the sheet of the Offcut Matching Yard.
json deployment::make_settings() const {
    return {
        {"Role", "entry"},
        {"MachineClass", "front"},
        {"Serves", {"front"}},
        {"Zone", "erie-toledo"},
        {"Region", "erie"},
        {"Zones", {{"erie-toledo", "erie"}, {"erie-cleveland", "erie"}, {"huron-sarnia", "huron"}}},
        {"Seeds", json::array()},
        {"Bootstrap", true},
        {"InFaultBudget", false},
        {"Limits",
         {{"CpuShare", 0.25},
          {"Cores", 1},
          {"MemoryMb", options_.memory_mb},
          {"MaxFds", 4100},
          {"LinkMbps", 1000.0},
          {"DiskMb", 0}}},
        {"DataDir", nullptr},
        {"Discovery", "platform"},
        {"Entry", "vip"},
        {"HeartbeatMs", options_.heartbeat_ms},
        {"Contracts",
         {"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"}},
        {"FaultTolerance", {{"Machines", 1}, {"Zones", 0}, {"Regions", 0}}},
        {"Bounds",
         {{"SeedLagS", 3},
          {"AddrReuseS", 2},
          {"ContactMs", 4000},
          {"AckMs", 5000},
          {"CatchUpS", 4},
          {"DrainMs", 2500},
          {"GraceS", 6},
          {"LossSlackMs", 200},
          {"ConfigMs", 2500},
          {"RollbackSlackMs", 250},
          {"MaxStretchMs", 6000},
          {"RecoveryS", 12},
          {"MaxHoldMs", options_.max_hold_ms},
          {"StopTimeoutMs", options_.stop_timeout_ms},
          {"GangTimeoutMs", 3000},
          {"cancel_ms", 3000},
          {"visible_ms", 3000},
          {"early_ms", 250},
          {"finish_s", 14},
          {"status_s", 120},
          {"RemoteFactor", 2},
          {"CheckpointS", 2},
          {"RestoreMs", 100},
          {"NoticeMs", 5500},
          {"MoveS", 1.5},
          {"MaintenanceS", 2},
          {"EnforceFencing", true},
          {"LeaseMs", 3000},
          {"ThawMs", 300},
          {"PaceMs", 100},
          {"HarmMs", 4000}}},
        {"Orders", "rpc"},
        {"Advice", advice ? "127.0.0.1:" + std::to_string(advice->get_port()) : std::string()},
        {"platform",
         {{"Addr", "127.0.0.1:" + std::to_string(platform.get_port())},
          {"form", "kv"},
          {"WritesPerS", 400},
          {"ReadsPerS", 2000},
          {"HistoryS", 20},
          {"ValueBytes", 1048576},
          {"MinTtlMs", 1000}}}};
}

worker& deployment::add_worker(const std::string& id, const std::vector<std::string>& labels, int cpu,
                               int stop_ms) {
    worker_options made;
    made.id = id;
    made.service = "matcher";
    made.zone = "erie-toledo";
    made.labels = labels;
    made.cpu = cpu;
    made.stop_ms = stop_ms;
    made.heartbeat_ms = options_.heartbeat_ms;
    made.max_hold_ms = options_.max_hold_ms;
    workers.push_back(std::make_unique<worker>(made, platform, submissions, runs, gangs, record));
    workers.back()->boot();
    return *workers.back();
}

entry_process& deployment::add_entry() {
    ++added_entries_;
    entries.push_back(std::make_unique<entry_process>(
        options_.program, "front-" + std::to_string(added_entries_), options_.folder, make_settings()));
    return *entries.back();
}

void deployment::start_entries() {
    for (int i = 0; i < options_.entries; ++i) {
        add_entry().start();
    }
}

bool deployment::wait_until_ready(int limit_ms) {
    const auto deadline = now_ms() + limit_ms;
    while (now_ms() < deadline) {
        int ready = 0;
        for (const auto& entry : entries) {
            ready +=
                call(entry->get_ready_port(), "GET", "/-/ready", {{"Host", "ready"}}, "", 500).status == 200;
        }
        if (ready == static_cast<int>(entries.size())) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

std::string deployment::make_id() {
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

int deployment::submit(submission added) {
    added.id = added.id.empty() ? make_id() : added.id;
    submissions.add(added);
    const auto body = encode(added).dump();
    int status = 0;
    for (int attempt = 0; attempt < client_attempts; ++attempt) {
        std::size_t entry = 0;
        {
            std::lock_guard lock(mutex_);
            entry = next_entry_++ % entries.size();
        }
        status = call(entries[entry]->get_front_port(), "POST", added.prefix + added.id,
                      {{"Host", host_},
                       {"Content-Type", "application/json"},
                       {"Deadline-Ms", std::to_string(client_budget_ms)}},
                      body, client_budget_ms)
                     .status;
        record.write("submit " + added.id + " " + body + " at " + entries[entry]->get_name() + " -> " +
                     std::to_string(status));
        if (status >= 200 && status < 300) {
            submissions.change(added.id, [](submission& known) {
                known.is_accepted = true;
                known.accepted_at = now_ms();
            });
            return status;
        }
        sleep_ms(200);
    }
    return status;
}

std::string deployment::ask(const std::string& id) {
    const auto known = submissions.get(id);
    for (int attempt = 0; attempt < client_attempts; ++attempt) {
        std::size_t entry = 0;
        {
            std::lock_guard lock(mutex_);
            entry = next_entry_++ % entries.size();
        }
        const auto result =
            call(entries[entry]->get_front_port(), "GET", known.prefix + id,
                 {{"Host", host_}, {"Deadline-Ms", std::to_string(client_budget_ms)}}, "", client_budget_ms);
        if (result.status == 410) {
            record.write("state " + id + " at " + entries[entry]->get_name() + " -> 410");
            return "gone";
        }
        if (result.status == 200 && result.body.is_object()) {
            auto state = result.body.value("State", std::string());
            if (state != known.last_state) {
                const std::string told = state;
                std::string line = "state ";
                line.append(id).append(" at ").append(entries[entry]->get_name()).append(" -> ").append(told);
                record.write(line);
                submissions.change(id, [&](submission& changed) { changed.last_state = told; });
            }
            return state;
        }
        sleep_ms(100);
    }
    return std::string();
}

int deployment::cancel(const std::string& id) {
    const auto known = submissions.get(id);
    for (int attempt = 0; attempt < client_attempts; ++attempt) {
        std::size_t entry = 0;
        {
            std::lock_guard lock(mutex_);
            entry = next_entry_++ % entries.size();
        }
        submissions.change(id, [](submission& changed) { changed.is_cancelled = true; });
        const auto status = call(entries[entry]->get_front_port(), "DELETE", known.prefix + id,
                                 {{"Host", host_}, {"Deadline-Ms", "3000"}}, "", client_budget_ms)
                                .status;
        record.write("cancel " + id + " -> " + std::to_string(status));
        if (status == 410 || (status >= 200 && status < 300)) {
            submissions.change(id, [](submission& changed) { changed.cancelled_at = now_ms(); });
            return status;
        }
        sleep_ms(100);
    }
    return 0;
}

bool deployment::is_owner(const entry_process& entry) {
    return platform.get("jv/owner/0").find(entry.get_name() + "/") != std::string::npos;
}

void deployment::wait_for_ends(int limit_ms) {
    const auto deadline = now_ms() + limit_ms;
    while (now_ms() < deadline) {
        bool has_all = true;
        for (const auto& known : submissions.get_all()) {
            if (!known.is_accepted) {
                continue;
            }
            const bool is_over =
                known.last_state == "done" || known.last_state == "failed" || known.last_state == "cancelled";
            if (!is_over) {
                const auto state = ask(known.id);
                has_all = has_all && (state == "done" || state == "failed" || state == "cancelled");
            }
        }
        if (has_all) {
            return;
        }
        sleep_ms(200);
    }
}

std::int64_t deployment::measure_idle_time(int limit_ms) {
    const auto deadline = now_ms() + limit_ms;
    std::int64_t longest = 0;
    std::map<std::string, std::int64_t> idle_since;
    while (now_ms() < deadline) {
        bool has_all = true;
        for (const auto& known : submissions.get_all()) {
            const bool is_over = !known.is_accepted || known.last_state == "done" ||
                                 known.last_state == "failed" || known.last_state == "cancelled";
            if (is_over) {
                continue;
            }
            has_all = false;
            ask(known.id);
            if (runs.has_active(known.id)) {
                idle_since.erase(known.id);
                continue;
            }
            const auto since = idle_since.emplace(known.id, now_ms()).first->second;
            longest = std::max(longest, now_ms() - since);
        }
        if (has_all) {
            break;
        }
        sleep_ms(50);
    }
    return longest;
}

std::vector<finding> judge(deployment& judged) {
    std::vector<finding> findings;
    const auto all = judged.runs.get_all();
    std::map<std::string, std::vector<run>> by_task;
    std::map<std::string, std::vector<run>> by_boot;
    for (const auto& each : all) {
        by_task[each.task].push_back(each);
        by_boot[each.worker + " boot " + std::to_string(each.boot)].push_back(each);
    }
    for (const auto& [task, runs] : by_task) {
        const auto name = parse(task);
        const auto known = judged.submissions.get(name.id);
        const auto& spec = known.steps.at(static_cast<std::size_t>(name.step));
        for (std::size_t i = 0; i < runs.size(); ++i) {
            for (std::size_t k = i + 1; k < runs.size(); ++k) {
                if (overlap(runs[i], runs[k])) {
                    findings.push_back(
                        {"TWICE", "at the same time: " + describe(runs[i]) + " and " + describe(runs[k])});
                }
                if (runs[i].how == "done" && runs[i].noted_at > 0 && runs[k].started_at > runs[i].ended_at) {
                    findings.push_back({"TWICE", "after its end as done: " + describe(runs[k])});
                }
            }
            const auto& labels = runs[i].labels;
            if (!spec.required_label.empty() &&
                std::find(labels.begin(), labels.end(), spec.required_label) == labels.end()) {
                findings.push_back({"ROUTE", describe(runs[i]) + " needs the label " + spec.required_label +
                                                 ", and the worker has " + json(labels).dump()});
            }
            for (const auto earlier : spec.after) {
                for (int index = 0; index < known.steps[static_cast<std::size_t>(earlier)].count; ++index) {
                    const auto before = name.id + "." + std::to_string(name.occurrence) + "." +
                                        std::to_string(earlier) + "." + std::to_string(index);
                    const auto found = by_task.find(before);
                    const bool is_done =
                        found != by_task.end() &&
                        std::any_of(found->second.begin(), found->second.end(),
                                    [started_at = runs[i].started_at](const run& earlier_run) {
                                        return earlier_run.how == "done" &&
                                               earlier_run.ended_at <= started_at;
                                    });
                    if (!is_done) {
                        findings.push_back({"ORDER", describe(runs[i]) + " before the end of " + before});
                    }
                }
            }
            const auto due = known.start_at_unix_ms + std::int64_t{name.occurrence} * known.period_ms;
            if (known.times > 0 && runs[i].start_unix_ms < due - 250) {
                findings.push_back({"ORDER", describe(runs[i]) + " before its time"});
            }
            if (known.cancelled_at > 0 && runs[i].started_at > known.cancelled_at + 3000) {
                findings.push_back({"UNASKED", describe(runs[i]) + " after the cancelling"});
            }
        }
    }
    for (const auto& [boot, runs] : by_boot) {
        for (const auto& started : runs) {
            int cpu = 0;
            int memory_mb = 0;
            int of_step = 0;
            const auto name = parse(started.task);
            for (const auto& other : runs) {
                const bool is_there = other.started_at <= started.started_at &&
                                      (other.ended_at == 0 || other.ended_at > started.started_at);
                if (is_there) {
                    cpu += other.cpu;
                    memory_mb += other.memory_mb;
                    const auto of = parse(other.task);
                    of_step += of.id == name.id && of.step == name.step && of.occurrence == name.occurrence;
                }
            }
            if (cpu > started.capacity_cpu || memory_mb > started.capacity_memory_mb) {
                findings.push_back({"LIMIT", "the start of " + describe(started) + " brings it to cpu " +
                                                 std::to_string(cpu) + " of " +
                                                 std::to_string(started.capacity_cpu)});
            }
            const auto spec = judged.submissions.get(name.id).steps.at(static_cast<std::size_t>(name.step));
            if (spec.max_per_server > 0 && of_step > spec.max_per_server) {
                findings.push_back({"ROUTE", describe(started) + " is number " + std::to_string(of_step) +
                                                 " of its step there"});
            }
        }
    }
    for (const auto& known : judged.submissions.get_all()) {
        if (!known.is_accepted) {
            continue;
        }
        int unfinished = 0;
        int most_failed = 0;
        const int times = std::max(known.times, 1);
        for (int occurrence = 0; occurrence < times; ++occurrence) {
            for (std::size_t number = 0; number < known.steps.size(); ++number) {
                bool has_gang_end = false;
                int undone = 0;
                for (int index = 0; index < known.steps[number].count; ++index) {
                    const auto task = known.id + "." + std::to_string(occurrence) + "." +
                                      std::to_string(number) + "." + std::to_string(index);
                    int failed = 0;
                    bool is_done = false;
                    for (const auto& each : by_task[task]) {
                        is_done = is_done || each.how == "done";
                        failed += each.how == "failed";
                    }
                    undone += !is_done;
                    has_gang_end = has_gang_end || is_done;
                    most_failed = std::max(most_failed, failed);
                }
                unfinished += known.steps[number].is_gang && has_gang_end ? 0 : undone;
            }
        }
        const auto& state = known.last_state;
        if (state == "done" && unfinished > 0) {
            findings.push_back({"MIXED", known.id + " is shown as done, and " + std::to_string(unfinished) +
                                             " tasks haven't ended so"});
        }
        if (state == "failed" && most_failed == 0) {
            findings.push_back(
                {"LOST", known.id + " is shown as failed, and no run of it has ended as failed"});
        }
        if (state == "cancelled" && !known.is_cancelled) {
            findings.push_back({"LOST", known.id + " is shown as cancelled, and nobody cancelled it"});
        }
        if (state.empty() || state == "gone") {
            findings.push_back(
                {"LOST", known.id + (state.empty() ? ": no state was given in time" : " isn't known")});
        }
    }
    return findings;
}

}  // namespace review
