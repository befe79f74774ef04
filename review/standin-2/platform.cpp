#include "platform.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr std::size_t max_items = 500;

const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& bytes) {
    std::string text;
    std::size_t i = 0;
    for (; i + 2 < bytes.size(); i += 3) {
        const unsigned part = (static_cast<unsigned char>(bytes[i]) << 16U) |
                              (static_cast<unsigned char>(bytes[i + 1]) << 8U) |
                              static_cast<unsigned char>(bytes[i + 2]);
        text += {digits[part >> 18U], digits[(part >> 12U) & 63U], digits[(part >> 6U) & 63U],
                 digits[part & 63U]};
    }
    if (bytes.size() - i == 1) {
        const unsigned part = static_cast<unsigned char>(bytes[i]) << 16U;
        text += {digits[part >> 18U], digits[(part >> 12U) & 63U], '=', '='};
    } else if (bytes.size() - i == 2) {
        const unsigned part =
            (static_cast<unsigned char>(bytes[i]) << 16U) | (static_cast<unsigned char>(bytes[i + 1]) << 8U);
        text += {digits[part >> 18U], digits[(part >> 12U) & 63U], digits[(part >> 6U) & 63U], '='};
    }
    return text;
}

std::string decode_base64(const std::string& text) {
    std::string bytes;
    unsigned part = 0;
    int bits = 0;
    for (const char c : text) {
        const auto* found = std::find(digits, digits + 64, c);
        if (found == digits + 64) {
            break;
        }
        part = (part << 6U) | static_cast<unsigned>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>((part >> static_cast<unsigned>(bits)) & 255U));
        }
    }
    return bytes;
}

std::uint64_t to_number(const std::string& text) {
    return std::strtoull(text.c_str(), nullptr, 10);
}

int draw(int limit) {
    static std::mutex mutex;
    static std::mt19937 random(std::random_device{}());
    std::lock_guard lock(mutex);
    return std::uniform_int_distribution<int>(0, limit - 1)(random);
}

}  // namespace

void record_file::write(const std::string& line) {
    std::lock_guard lock(mutex_);
    file_ << get_time() << " " << line << std::endl;
}

// ---- the store ----

store::store() : server_([this](const http_request& request) { return handle(request); }) {
    port_ = server_.start(find_free_ports(1));
    ender_ = std::thread([this] { end_leases(); });
}

store::~store() {
    is_over_ = true;
    changed_.notify_all();
    ender_.join();
    server_.stop();
}

void store::put(const std::string& key, const json& value) {
    std::lock_guard lock(mutex_);
    write_locked(key, value.dump(), 0, ++revision_);
    changed_.notify_all();
}

void store::remove(const std::string& key) {
    std::lock_guard lock(mutex_);
    remove_locked(key, ++revision_);
    changed_.notify_all();
}

std::string store::get(const std::string& key) {
    std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value;
}

json store::encode(const std::string& key, const item& known) {
    return {{"Key", key},
            {"Value", encode_base64(known.value)},
            {"Rev", known.revision},
            {"CreatedAt", known.created},
            {"Lease", known.lease}};
}

void store::write_locked(const std::string& key, const std::string& value, std::uint64_t lease_id,
                         std::uint64_t revision) {
    auto& known = items_[key];
    known.value = value;
    known.revision = revision;
    known.created = known.created == 0 ? revision : known.created;
    known.lease = lease_id;
    events_.push_back({key, revision, false, encode(key, known)});
}

void store::remove_locked(const std::string& key, std::uint64_t revision) {
    if (items_.erase(key) > 0) {
        events_.push_back({key, revision, true, {{"Key", key}, {"Rev", revision}, {"Deleted", true}}});
    }
}

void store::end_lease_locked(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, known] : items_) {
        if (known.lease == id) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++revision_;
    }
    for (const auto& key : keys) {
        remove_locked(key, revision_);
    }
    changed_.notify_all();
}

void store::end_leases() {
    while (!is_over_) {
        sleep_ms(10);
        std::lock_guard lock(mutex_);
        std::vector<std::uint64_t> ended;
        for (const auto& [id, known] : leases_) {
            if (now_ms() >= known.ends_at) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            end_lease_locked(id);
        }
    }
}

http_response store::handle(const http_request& request) {
    const auto path = request.get_path();
    if (path == "/-/kv-key") {
        std::lock_guard lock(mutex_);
        const auto found = items_.find(request.get_query("Key"));
        if (found == items_.end()) {
            return {404, json{{"At", revision_}}, false, {}};
        }
        auto body = encode(found->first, found->second);
        body["At"] = revision_;
        return {200, body, false, {}};
    }
    if (path == "/-/kv-range") {
        return list(request);
    }
    if (path == "/-/kv-watch") {
        return watch(request);
    }
    if (path == "/-/kv-txn") {
        return transact(request);
    }
    return handle_lease(request);
}

http_response store::list(const http_request& request) {
    const auto prefix = request.get_query("Prefix");
    const auto after = request.get_query("After");
    json items = json::array();
    bool has_more = false;
    std::lock_guard lock(mutex_);
    for (auto found = items_.lower_bound(std::max(prefix, after)); found != items_.end(); ++found) {
        if (found->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        if (found->first <= after) {
            continue;
        }
        if (items.size() == max_items) {
            has_more = true;
            break;
        }
        items.push_back(encode(found->first, found->second));
    }
    return {200, json{{"items", items}, {"MorePages", has_more}, {"At", revision_}}, false, {}};
}

http_response store::watch(const http_request& request) {
    const auto prefix = request.get_query("Prefix");
    const auto after = to_number(request.get_query("After"));
    const auto deadline = now_ms() + static_cast<std::int64_t>(to_number(request.get_query("WaitMs")));
    std::unique_lock lock(mutex_);
    while (true) {
        json events = json::array();
        auto first =
            std::upper_bound(events_.begin(), events_.end(), after,
                             [](std::uint64_t revision, const event& e) { return revision < e.revision; });
        std::uint64_t last = revision_;
        for (; first != events_.end(); ++first) {
            if (first->key.compare(0, prefix.size(), prefix) != 0) {
                continue;
            }
            if (events.size() >= max_items && first->revision != last) {
                break;
            }
            events.push_back(first->encoded);
            last = first->revision;
        }
        const auto at = first == events_.end() ? revision_ : last;
        if (!events.empty() || now_ms() >= deadline || is_over_) {
            return {200, json{{"events", events}, {"At", at}}, false, {}};
        }
        changed_.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(deadline - now_ms(), 1)));
    }
}

http_response store::transact(const http_request& request) {
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return {400, json::object(), false, {}};
    }
    const auto expected = body.value("Expected", json::array());
    const auto writes = body.value("Writes", json::array());
    const auto deletes = body.value("Deletes", json::array());
    if (expected.size() + writes.size() + deletes.size() > 32) {
        return {400, json::object(), false, {}};
    }
    std::lock_guard lock(mutex_);
    bool is_met = true;
    json present = json::array();
    for (const auto& row : expected) {
        const auto found = items_.find(row.at("Key").get<std::string>());
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        is_met = is_met && revision == row.at("Rev").get<std::uint64_t>();
        present.push_back(found == items_.end() ? json{{"Key", row.at("Key")}, {"Rev", 0}}
                                                : encode(found->first, found->second));
    }
    if (!is_met) {
        return {412, json{{"items", present}}, false, {}};
    }
    for (const auto& row : writes) {
        const auto key = row.at("Key").get<std::string>();
        const auto lease_id = row.value("Lease", std::uint64_t{0});
        if (lease_id != 0 && leases_.count(lease_id) == 0) {
            return {404, json::object(), false, {}};
        }
        if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
            return {403, json::object(), false, {}};
        }
    }
    ++revision_;
    for (const auto& row : writes) {
        write_locked(row.at("Key"), decode_base64(row.at("Value")), row.value("Lease", std::uint64_t{0}),
                     revision_);
    }
    for (const auto& key : deletes) {
        remove_locked(key, revision_);
    }
    changed_.notify_all();
    return {200, json{{"Rev", revision_}}, false, {}};
}

http_response store::handle_lease(const http_request& request) {
    const auto path = request.get_path();
    std::lock_guard lock(mutex_);
    if (path == "/-/kv-lease") {
        const auto body = json::parse(request.body, nullptr, false);
        const auto time = std::max<std::int64_t>(body.value("TtlMs", std::int64_t{1000}), 1000);
        leases_[next_lease_] = {time, now_ms() + time};
        return {200, json{{"Lease", next_lease_++}, {"TtlMs", time}}, false, {}};
    }
    const std::string keep = "/-/kv-keep/";
    const std::string end = "/-/kv-lease-end/";
    const bool is_keep = path.rfind(keep, 0) == 0;
    if (!is_keep && path.rfind(end, 0) != 0) {
        return {404, json::object(), false, {}};
    }
    const auto id = to_number(path.substr(is_keep ? keep.size() : end.size()));
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
        return {404, json::object(), false, {}};
    }
    if (is_keep) {
        found->second.ends_at = now_ms() + found->second.time_to_live_ms;
        return {200, json{{"TtlMs", found->second.time_to_live_ms}}, false, {}};
    }
    end_lease_locked(id);
    return {200, json::object(), false, {}};
}

// ---- submissions and runs ----

void book::add(const submission& added) {
    std::lock_guard lock(mutex_);
    submissions_[added.id] = added;
}

void book::change(const std::string& id, const std::function<void(submission&)>& edit) {
    std::lock_guard lock(mutex_);
    edit(submissions_.at(id));
}

submission book::get(const std::string& id) {
    std::lock_guard lock(mutex_);
    const auto found = submissions_.find(id);
    return found == submissions_.end() ? submission() : found->second;
}

std::vector<submission> book::get_all() {
    std::lock_guard lock(mutex_);
    std::vector<submission> all;
    for (const auto& [id, known] : submissions_) {
        all.push_back(known);
    }
    return all;
}

bool book::find_step(const std::string& task, step& found) {
    std::istringstream parts(task);
    std::string id;
    std::string occurrence;
    std::string number;
    std::getline(parts, id, '.');
    std::getline(parts, occurrence, '.');
    std::getline(parts, number, '.');
    std::lock_guard lock(mutex_);
    const auto known = submissions_.find(id);
    const auto index = to_number(number);
    if (known == submissions_.end() || index >= known->second.steps.size()) {
        return false;
    }
    found = known->second.steps[index];
    return true;
}

std::size_t run_log::add(const run& added) {
    std::lock_guard lock(mutex_);
    runs_.push_back(added);
    return runs_.size() - 1;
}

void run_log::end(std::size_t number, const std::string& how) {
    std::lock_guard lock(mutex_);
    if (runs_[number].ended_at == 0) {
        runs_[number].ended_at = now_ms();
        runs_[number].how = how;
    }
}

void run_log::note(std::size_t number) {
    std::lock_guard lock(mutex_);
    if (runs_[number].noted_at == 0) {
        runs_[number].noted_at = now_ms();
    }
}

bool run_log::has_active(const std::string& id) {
    std::lock_guard lock(mutex_);
    return std::any_of(runs_.begin(), runs_.end(), [&](const run& each) {
        return each.ended_at == 0 && each.task.compare(0, id.size(), id) == 0;
    });
}

std::vector<run> run_log::get_all() {
    std::lock_guard lock(mutex_);
    return runs_;
}

void gang_board::add_member(const std::string& gang, int count) {
    std::lock_guard lock(mutex_);
    auto& known = gangs_[gang];
    if (++known.present == count && !known.is_broken) {
        known.complete_at = now_ms();
    }
}

void gang_board::break_up(const std::string& gang) {
    std::lock_guard lock(mutex_);
    gangs_[gang].is_broken = true;
}

bool gang_board::is_broken(const std::string& gang) {
    std::lock_guard lock(mutex_);
    return gangs_[gang].is_broken;
}

std::int64_t gang_board::get_complete_at(const std::string& gang) {
    std::lock_guard lock(mutex_);
    return gangs_[gang].complete_at;
}

// ---- a worker ----

worker::worker(worker_options options, store& platform, book& submissions, run_log& runs, gang_board& gangs,
               record_file& record)
    : options_(std::move(options)),
      store_(platform),
      submissions_(submissions),
      runs_(runs),
      gangs_(gangs),
      record_(record),
      server_([this](const http_request& request) { return handle(request); }),
      port_(find_free_ports(1)) {}

worker::~worker() {
    if (is_up_) {
        crash();
    }
    for (auto& late : late_orders_) {
        late.join();
    }
}

std::mutex worker::held_mutex_;
int worker::held_delay_ms_ = 0;
worker::held_start worker::held_start_;

void worker::hold_next_start(int delay_ms) {
    std::lock_guard lock(held_mutex_);
    held_delay_ms_ = delay_ms;
    held_start_ = held_start();
}

worker::held_start worker::get_held_start() {
    std::lock_guard lock(held_mutex_);
    return held_start_;
}

bool worker::hold(const http_request& request) {
    if (request.get_path() != "/-/run-start") {
        return false;
    }
    const auto body = json::parse(request.body, nullptr, false);
    int delay_ms = 0;
    {
        std::lock_guard lock(held_mutex_);
        delay_ms = std::exchange(held_delay_ms_, 0);
        if (delay_ms == 0) {
            return false;
        }
        held_start_.task = body.value("Task", std::string());
        held_start_.worker = options_.id;
    }
    record_.write("held " + body.dump() + " to " + options_.id + " boot " + std::to_string(boot_));
    const auto arrives_at = now_ms() + delay_ms;
    std::lock_guard lock(mutex_);
    late_orders_.emplace_back([this, request, body, arrives_at] {
        sleep_until_ms(arrives_at);
        if (is_up_) {
            const auto response = carry_out(request, body);
            record_.write("late " + body.value("Task", std::string()) + " at " + options_.id + " boot " +
                          std::to_string(boot_) + " -> " + std::to_string(response.status) + " " +
                          response.body.dump());
        }
        std::lock_guard held(held_mutex_);
        held_start_.is_over = true;
    });
    return true;
}

void worker::boot() {
    {
        std::lock_guard lock(mutex_);
        ++boot_;
        booted_at_ = now_ms();
        born_ = unix_ms();
        fence_ = 0;
        lease_until_ = 0;
        next_end_ = 1;
        sequence_ = 0;
        is_draining_ = false;
        active_.clear();
        excluded_.clear();
        ended_.clear();
        is_up_ = true;
    }
    // It registers before it serves, so that whoever reaches it could know what it is.
    register_self();
    port_ = server_.start(port_);
    record_.write("worker " + options_.id + " boot " + std::to_string(boot_) + " labels " +
                  json(options_.labels).dump() + " cpu " + std::to_string(options_.cpu) + " port " +
                  std::to_string(port_));
    thread_ = std::thread([this] { live(); });
}

void worker::crash() {
    {
        std::lock_guard lock(mutex_);
        is_up_ = false;
        for (const auto& [task, known] : active_) {
            runs_.end(known.log, "crash");
            if (!known.gang.empty()) {
                gangs_.break_up(known.gang);
            }
            record_.write("lost " + task + "/" + std::to_string(known.number) + " with " + options_.id);
        }
        active_.clear();
    }
    record_.write("worker " + options_.id + " crashes");
    changed_.notify_all();
    server_.stop();
    thread_.join();
}

void worker::set_kind(const std::vector<std::string>& labels, int cpu) {
    std::lock_guard lock(mutex_);
    options_.labels = labels;
    options_.cpu = cpu;
}

void worker::drain(int remaining_ms) {
    {
        std::lock_guard lock(mutex_);
        is_draining_ = true;
        leaves_at_ = now_ms() + remaining_ms;
    }
    record_.write("worker " + options_.id + " drains");
    register_self();
}

std::size_t worker::count_runs() {
    std::lock_guard lock(mutex_);
    return active_.size();
}

std::size_t worker::count_stopping() {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        active_.begin(), active_.end(), [](const auto& entry) { return entry.second.stops_at > 0; }));
}

void worker::register_self() {
    json entry;
    {
        std::lock_guard lock(mutex_);
        entry = {{"Service", options_.service},
                 {"Addr", "127.0.0.1:" + std::to_string(port_)},
                 {"Zone", options_.zone},
                 {"Version", "v1"},
                 {"Slots", 8},
                 {"State", is_draining_ ? "draining" : "ready"},
                 {"ColdLeftMs", 0},
                 {"Capacity", {{"Cpu", options_.cpu}, {"MemMb", options_.memory_mb}, {"Gpus", 0}}},
                 {"Labels", options_.labels},
                 {"ClockMs", read_clock()},
                 {"Seq", ++sequence_},
                 {"born", born_}};
        if (is_draining_) {
            entry["RemainingMs"] = std::max<std::int64_t>(leaves_at_ - now_ms(), 0);
        }
    }
    store_.put("servers/" + options_.id, entry);
}

// Ends what is due, and sends heartbeats.
void worker::live() {
    auto next_heartbeat = now_ms() + options_.heartbeat_ms;
    while (is_up_) {
        {
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, std::chrono::milliseconds(10));
            if (!is_up_) {
                return;
            }
            advance_locked();
        }
        if (now_ms() >= next_heartbeat) {
            next_heartbeat += options_.heartbeat_ms;
            register_self();
        }
    }
}

std::string worker::get_saved(const active_run& active) const {
    if (!active.spec.saves_progress || active.done_ms <= 0) {
        return std::string();
    }
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(active.done_ms));
    return text;
}

void worker::advance_locked() {
    const auto now = now_ms();
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto& [task, known] : active_) {
        const bool waits = !known.gang.empty() && gangs_.get_complete_at(known.gang) == 0;
        if (!is_stalled_ && known.stops_at == 0 && !waits) {
            known.done_ms += static_cast<double>(now - known.counted_at);
        }
        known.counted_at = now;
        if (known.stops_at > 0) {
            if (now >= known.stops_at) {
                ended.emplace_back(task, "stopped");
            }
        } else if (lease_until_ <= read_clock()) {
            ended.emplace_back(task, "lapsed");
        } else if (!known.gang.empty() && gangs_.is_broken(known.gang)) {
            ended.emplace_back(task, "broken");
        } else if (waits && now >= known.started_at + options_.gang_timeout_ms) {
            ended.emplace_back(task, "alone");
        } else if (!known.spec.is_lasting && known.done_ms >= known.spec.work_ms) {
            ended.emplace_back(task, known.will_fail ? "failed" : "done");
        }
    }
    for (const auto& [task, how] : ended) {
        end_locked(task, how);
    }
}

void worker::end_locked(const std::string& task, const std::string& how) {
    const auto found = active_.find(task);
    const auto known = found->second;
    active_.erase(found);
    excluded_[task] = std::max(excluded_[task], known.number);
    ended_.push_back({json::array({next_end_++, task, known.number, how, get_saved(known)}), known.log});
    runs_.end(known.log, how);
    if (!known.gang.empty() && how != "done") {
        gangs_.break_up(known.gang);
    }
    record_.write("end " + task + "/" + std::to_string(known.number) + " on " + options_.id + " " + how);
    changed_.notify_all();
}

http_response worker::refuse(const char* reason) {
    return {409, json{{"ClockMs", read_clock()}, {"Reason", reason}, {"born", born_}}, false, {}};
}

http_response worker::handle(const http_request& request) {
    if (!is_up_) {
        return {503, json::object(), true, {}};
    }
    if (request.method == "GET") {
        return {200, json::object(), false, {{"Instance-Id", options_.id}}};
    }
    const auto target = request.get_header("target-instance");
    if (!target.empty() && target != options_.id) {
        return {421, json::object(), false, {}};
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return {400, json::object(), false, {}};
    }
    if (hold(request)) {
        const int boot = boot_;
        while (is_up_ && boot == boot_ && !request.is_abandoned()) {
            sleep_ms(20);
        }
        return {503, json::object(), true, {}};
    }
    return carry_out(request, body);
}

http_response worker::carry_out(const http_request& request, const json& body) {
    const auto path = request.get_path();
    std::unique_lock lock(mutex_);
    if (!is_up_) {
        return {503, json::object(), true, {}};
    }
    advance_locked();
    const auto fence = body.value("Fence", std::uint64_t{0});
    if (fence < fence_) {
        return refuse("fence");
    }
    fence_ = fence;
    const auto until = body.value("UntilMs", std::int64_t{0});
    if (path == "/-/run-start" && until < read_clock()) {
        return refuse("late");
    }
    lease_until_ = std::max(lease_until_, std::min(until, read_clock() + options_.max_hold_ms));
    if (path == "/-/run-start") {
        return start_run(body);
    }
    if (path == "/-/run-stop") {
        return stop_run(body);
    }
    if (path == "/-/hold") {
        return list_runs(body, lock);
    }
    return {200, json{{"ClockMs", read_clock()}}, false, {}};
}

http_response worker::start_run(const json& body) {
    const auto task = body.value("Task", std::string());
    const auto number = body.value("RunId", std::uint64_t{0});
    const auto found = active_.find(task);
    if (found != active_.end()) {
        return found->second.number == number ? http_response{200, json{{"ClockMs", read_clock()}}, false, {}}
                                              : refuse("old");
    }
    const auto excluded = excluded_.find(task);
    if (excluded != excluded_.end() && number <= excluded->second) {
        return refuse("old");
    }
    active_run started;
    if (!submissions_.find_step(task, started.spec)) {
        record_.write("start of unknown task " + task + " on " + options_.id);
        return {400, json{{"ClockMs", read_clock()}}, false, {}};
    }
    run logged;
    logged.task = task;
    logged.number = number;
    logged.worker = options_.id;
    logged.boot = boot_;
    logged.labels = options_.labels;
    logged.capacity_cpu = options_.cpu;
    logged.capacity_memory_mb = options_.memory_mb;
    logged.cpu = started.spec.cpu;
    logged.memory_mb = started.spec.memory_mb;
    logged.started_at = now_ms();
    logged.start_unix_ms = unix_ms();
    started.number = number;
    started.log = runs_.add(logged);
    started.counted_at = now_ms();
    started.started_at = started.counted_at;
    if (started.spec.is_gang) {
        started.gang = task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
        gangs_.add_member(started.gang, started.spec.count);
    }
    started.will_fail = draw(1000) < started.spec.failing_permille;
    const auto saved = body.value("LastCheckpoint", std::string());
    started.done_ms = saved.empty() ? 0 : static_cast<double>(std::strtoull(saved.c_str(), nullptr, 16));
    active_[task] = started;
    record_.write("start " + task + "/" + std::to_string(number) + " on " + options_.id + " boot " +
                  std::to_string(boot_) + " fence " + std::to_string(fence_));
    changed_.notify_all();
    return {200, json{{"ClockMs", read_clock()}}, false, {}};
}

http_response worker::stop_run(const json& body) {
    const auto task = body.value("Task", std::string());
    const auto number = body.value("RunId", std::uint64_t{0});
    excluded_[task] = std::max(excluded_[task], number);
    const auto found = active_.find(task);
    if (found != active_.end() && found->second.number <= number && found->second.stops_at == 0) {
        found->second.stops_at = now_ms() + options_.stop_ms;
        record_.write("stop " + task + "/" + std::to_string(found->second.number) + " on " + options_.id +
                      " fence " + std::to_string(fence_));
    }
    return {200, json{{"ClockMs", read_clock()}}, false, {}};
}

http_response worker::list_runs(const json& body, std::unique_lock<std::mutex>& lock) {
    const auto acknowledged = body.value("Acked", std::uint64_t{0});
    for (const auto& row : ended_) {
        if (row.row[0].get<std::uint64_t>() <= acknowledged) {
            runs_.note(row.log);
        }
    }
    ended_.erase(
        std::remove_if(ended_.begin(), ended_.end(),
                       [&](const ended_row& row) { return row.row[0].get<std::uint64_t>() <= acknowledged; }),
        ended_.end());
    const auto boot = boot_;
    const auto deadline = now_ms() + std::min<std::int64_t>(body.value("WaitMs", std::int64_t{0}), 2000);
    while (ended_.empty() && now_ms() < deadline && is_up_ && boot == boot_) {
        changed_.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(deadline - now_ms(), 1)));
    }
    if (!is_up_ || boot != boot_) {
        return {503, json::object(), true, {}};
    }
    advance_locked();
    json running = json::array();
    // A run that is being stopped still runs, and is listed.
    for (const auto& [task, known] : active_) {
        const double share = known.spec.is_lasting ? 1.0 : known.done_ms / std::max(known.spec.work_ms, 1);
        const int percent = known.spec.is_lasting ? (known.done_ms >= 300 ? 100 : 50)
                                                  : std::min(static_cast<int>(share * 100), 99);
        running.push_back(json::array({task, known.number, get_saved(known), percent, known.spec.cpu}));
    }
    json ended = json::array();
    for (const auto& row : ended_) {
        if (ended.size() < max_items) {
            ended.push_back(row.row);
        }
    }
    return {200,
            json{{"ClockMs", read_clock()}, {"Running", running}, {"Ended", ended}, {"born", born_}},
            false,
            {}};
}

// ---- the advice service ----

advice_service::advice_service(int decide_ms, int interval_ms, int valid_ms, record_file& record)
    : decide_ms_(decide_ms),
      interval_ms_(interval_ms),
      valid_ms_(valid_ms),
      record_(record),
      server_([this](const http_request& request) { return handle(request); }) {
    port_ = server_.start(find_free_ports(1));
}

void advice_service::set_allowed(std::set<std::string> workers) {
    std::lock_guard lock(mutex_);
    allowed_ = std::move(workers);
}

http_response advice_service::handle(const http_request& request) {
    const auto body = json::parse(request.body, nullptr, false);
    if (request.get_path() != "/-/advise" || !body.is_object()) {
        return {400, json::object(), false, {}};
    }
    const auto workers = body.value("Workers", json::array());
    const auto name = body.value("Step", std::string());
    std::unique_lock lock(mutex_);
    if (waiting_ == 32) {
        record_.write("advice refused for " + name);
        return {429, json::object(), false, {}};
    }
    ++waiting_;
    const auto turn = next_ticket_++;
    record_.write("advice asked for " + name + " on " + std::to_string(workers.size()) + " workers");
    changed_.wait(lock, [&] { return served_ + 1 == turn; });
    --waiting_;
    // A call whose client has gone takes no time.
    const bool is_abandoned = request.is_abandoned();
    if (!is_abandoned) {
        lock.unlock();
        sleep_ms(decide_ms_ + static_cast<std::int64_t>(workers.size()) * interval_ms_);
        lock.lock();
    }
    ++served_;
    changed_.notify_all();
    json allowed = json::array();
    for (const auto& id : workers) {
        if (allowed_.count(id.get<std::string>()) > 0) {
            allowed.push_back(json::array({id, "t-" + std::to_string(turn)}));
        }
    }
    record_.write("advice answered for " + name + " allowed " + allowed.dump() +
                  (request.is_abandoned() ? ", and the caller has gone" : ""));
    return {200, json{{"Allowed", allowed}, {"ValidMs", valid_ms_}}, false, {}};
}

// ---- a process of the project ----

entry_process::entry_process(std::string program, std::string name, std::string folder, json settings)
    : program_(std::move(program)),
      name_(std::move(name)),
      folder_(std::move(folder)),
      settings_(std::move(settings)) {
    front_port_ = find_free_ports(3);
    ready_port_ = static_cast<std::uint16_t>(front_port_ + 1);
    const int first = find_free_ports(4);
    settings_["NodeId"] = name_;
    settings_["Ip"] = "127.0.0.1";
    settings_["Listen"] = {{"Front", "127.0.0.1:" + std::to_string(front_port_)},
                           {"Ready", "127.0.0.1:" + std::to_string(ready_port_)},
                           {"Control", "127.0.0.1:" + std::to_string(front_port_ + 2)}};
    settings_["PortRange"] = {first, first + 3};
    std::ofstream(folder_ + "/" + name_ + ".json") << settings_.dump(2);
}

entry_process::~entry_process() {
    if (pid_ > 0) {
        send(SIGCONT);
        send(SIGKILL);
        wait(1000);
    }
}

void entry_process::start() {
    const auto settings = folder_ + "/" + name_ + ".json";
    const auto log = folder_ + "/" + name_ + ".log";
    // All that allocates is done before the fork, since this process has threads.
    const auto variable = "JACINTHVANE_NODE_FILE=" + settings;
    const char* path = std::getenv("PATH");
    const auto path_variable = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(path_variable.c_str()), nullptr};
    char argument[] = "entry";
    char* const arguments[] = {const_cast<char*>(program_.c_str()), argument, nullptr};
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(file, 1);
        dup2(file, 2);
        execve(program_.c_str(), arguments, environment);
        _exit(127);
    }
    close(file);
}

void entry_process::send(int signal) {
    if (pid_ > 0) {
        kill(pid_, signal);
    }
}

bool entry_process::has_ended() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = 0;
    }
    return pid_ <= 0;
}

void entry_process::wait(int limit_ms) {
    const auto deadline = now_ms() + limit_ms;
    while (!has_ended()) {
        if (now_ms() >= deadline) {
            kill(pid_, SIGKILL);
        }
        sleep_ms(10);
    }
}

}  // namespace review
