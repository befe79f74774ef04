#include "process/ledger.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

using kind = jacinthvane::error_kind;
using std::chrono::milliseconds;

constexpr milliseconds start_window{2000};
constexpr milliseconds clock_error{200};
constexpr milliseconds task_lease{30000};
const time_point origin = time_point(std::chrono::hours(1));
const upstream_id only_upstream("up");
const resource_vector upstream_size(16000, 62000, 2, 8);

upstream_record make_record(const std::string& name, const resource_vector& size) {
    upstream_record record;
    record.upstream = upstream_id(name);
    record.rack = rack_id("rack");
    record.size = size;
    return record;
}

commitment make_commitment(const std::string& task, const resource_vector& size, time_point now,
                           std::uint64_t generation = 1) {
    return {.task = task_id(task),
            .generation = generation,
            .kind = task_kind("import"),
            .size = size,
            .work_class = task_class::batch,
            .state = commitment_state::reserved,
            .is_of_reserved_holder = false,
            .changed_at = now,
            .start_until = now + start_window + clock_error,
            .lease_until = now + task_lease + clock_error};
}

listed_task make_listed(const std::string& task, const resource_vector& size, task_state state,
                        const std::string& owner) {
    return {.task = task_id(task),
            .generation = 1,
            .kind = task_kind("import"),
            .size = size,
            .state = state,
            .lease_deadline_ms = 30000,
            .owner = owner,
            .checkpoint = std::nullopt};
}

void open_upstream(ledger& table, const upstream_record& record, const ledger_limit& limit = {}) {
    table.put_upstream(record, limit);
    table.set_open(record.upstream, true);
}

// A model of one upstream with start orders in flight to it.
struct upstream_model {
    struct running_task {
        resource_vector size;
        std::string owner;
    };
    struct sent_start {
        std::string task;
        resource_vector size;
        std::string owner;
        time_point start_by;
    };

    time_point now = origin;
    std::map<std::string, running_task> running;
    std::vector<sent_start> starts_in_flight;

    resource_vector get_committed() const {
        resource_vector sum;
        for (const auto& [id, task] : running) {
            sum = sum + task.size;
        }
        return sum;
    }

    upstream_list make_list() const {
        upstream_list list;
        for (const auto& [id, task] : running) {
            list.tasks.push_back(make_listed(id, task.size, task_state::running, task.owner));
        }
        return list;
    }
};

// A model of one entry process, which uses its ledger as capacity_service does.
struct owner_process {
    owner_process(const std::string& given_name, std::uint64_t seed)
        : name(given_name), table(std::make_unique<ledger>(seed)) {}

    std::string name;
    std::unique_ptr<ledger> table;
    int next_task = 0;
    time_point listed_at = origin - std::chrono::hours(1);
    std::vector<std::pair<time_point, upstream_list>> lists_in_flight;

    void request_list(const upstream_model& upstream) {
        lists_in_flight.emplace_back(upstream.now, upstream.make_list());
    }

    // Applies the oldest list response in flight.
    void receive_list(const upstream_model& upstream) {
        if (lists_in_flight.empty()) {
            return;
        }
        const auto [sent_at, list] = lists_in_flight.front();
        lists_in_flight.erase(lists_in_flight.begin());
        table->apply_list(only_upstream, list, sent_at, upstream.now, clock_error);
        listed_at = sent_at;
    }

    void try_start(upstream_model& upstream, const resource_vector& size, time_point share_deadline) {
        const auto task = name + "-" + std::to_string(next_task++);
        auto entry = make_commitment(task, size, upstream.now);
        entry.start_until = std::min(share_deadline, upstream.now + start_window) + clock_error;
        if (table->commit(only_upstream, entry).ok()) {
            upstream.starts_in_flight.push_back(
                {task, size, name, std::min(share_deadline, upstream.now + start_window)});
        }
    }
};

resource_vector draw_size(std::mt19937_64& random) {
    const auto draw = [&](std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random);
    };
    return {draw(1, 10) * 500, draw(1, 10) * 1000, draw(0, 5) == 0 ? 1 : 0, 1};
}

// Advances the time: start orders arrive or are refused, tasks end, and responses reach their owners or are
// lost.
void advance_model(upstream_model& upstream, std::vector<owner_process*> owners, std::mt19937_64& random) {
    upstream.now += milliseconds(std::uniform_int_distribution<int>(0, 300)(random));
    std::shuffle(upstream.starts_in_flight.begin(), upstream.starts_in_flight.end(), random);
    for (std::size_t n = upstream.starts_in_flight.size(); n-- > 0;) {
        const auto start = upstream.starts_in_flight[n];
        const bool is_late = upstream.now > start.start_by;
        if (!is_late && random() % 3 != 0) {
            continue;
        }
        upstream.starts_in_flight.erase(upstream.starts_in_flight.begin() + static_cast<std::ptrdiff_t>(n));
        if (!is_late) {
            upstream.running[start.task] = {start.size, start.owner};
        }
        for (auto* owner : owners) {
            if (owner->name != start.owner) {
                continue;
            }
            // Some responses are lost, those of refused start orders as well.
            if (random() % 4 == 0) {
                owner->table->mark_unconfirmed(only_upstream, task_id(start.task), 1, upstream.now)
                    .IgnoreError();
            } else if (is_late) {
                owner->table->release(only_upstream, task_id(start.task), 1).IgnoreError();
            } else {
                owner->table->confirm(only_upstream, task_id(start.task), 1, upstream.now).IgnoreError();
            }
        }
    }
    for (auto task = upstream.running.begin(); task != upstream.running.end();) {
        task = random() % 12 == 0 ? upstream.running.erase(task) : std::next(task);
    }
}

// Returns true if the running tasks never exceeded the upstream's size in a run with one seed.
bool run_two_owners(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    upstream_model upstream;
    owner_process previous_owner("previous", seed);
    owner_process next_owner("next", seed + 1);
    open_upstream(*previous_owner.table, make_record("up", upstream_size));
    const auto act = [&](owner_process& owner, time_point share_deadline) {
        // Skips some steps, as a paused owner does.
        if (random() % 5 == 0) {
            return;
        }
        if (random() % 2 == 0) {
            owner.request_list(upstream);
        }
        if (random() % 2 == 0) {
            owner.receive_list(upstream);
        }
        for (int n = 0; n < 3; ++n) {
            owner.try_start(upstream, draw_size(random), share_deadline);
        }
    };
    bool is_within = true;
    const auto step = [&] {
        advance_model(upstream, {&previous_owner, &next_owner}, random);
        is_within = is_within && upstream.get_committed().is_within(upstream_size);
    };
    // The previous owner has a valid term.
    const auto term_deadline = upstream.now + milliseconds(3000 + random() % 5000);
    while (upstream.now < term_deadline) {
        act(previous_owner, term_deadline);
        step();
    }
    // The term has expired. The previous owner continues with a reduced share, and the next owner waits.
    previous_owner.table->set_share(750);
    const auto forever = upstream.now + std::chrono::hours(2);
    const auto opens_after = upstream.now + start_window + clock_error;
    next_owner.table->put_upstream(make_record("up", upstream_size), {1000, 750, "previous"});
    while (upstream.now <= opens_after) {
        act(previous_owner, forever);
        step();
    }
    next_owner.request_list(upstream);
    const auto first_list = upstream.now;
    while (next_owner.listed_at < first_list) {
        act(previous_owner, forever);
        step();
        next_owner.receive_list(upstream);
    }
    next_owner.table->set_open(only_upstream, true);
    // Both owners commit at the same time.
    for (int n = 0; n < 60; ++n) {
        act(previous_owner, forever);
        act(next_owner, forever);
        step();
    }
    // The previous owner ends. Its last start orders may still arrive until the next owner takes the full
    // share.
    const auto full_share_after = upstream.now + start_window + clock_error;
    while (upstream.now <= full_share_after) {
        act(next_owner, forever);
        step();
    }
    next_owner.request_list(upstream);
    const auto last_list = upstream.now;
    while (next_owner.listed_at < last_list) {
        act(next_owner, forever);
        step();
        next_owner.receive_list(upstream);
    }
    next_owner.table->set_limit(only_upstream, {1000, 0, ""});
    for (int n = 0; n < 40; ++n) {
        act(next_owner, forever);
        step();
    }
    return is_within;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ledger)

// Guards against two owners that together commit more than the size of the upstream (I1), in 300 seeded
// interleavings of pauses, expired terms, takeovers, late start orders, lost responses and stale lists.
BOOST_AUTO_TEST_CASE(two_owners_never_exceed_the_upstream) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        BOOST_TEST(run_two_owners(seed), "seed " << seed << " overcommitted the upstream");
    }
}

// Guards against a commitment that exceeds one of the four resource limits.
BOOST_AUTO_TEST_CASE(each_resource_limits_on_its_own) {
    jacinthvane::ledger table(1);
    open_upstream(table, make_record("up", {4000, 1000, 1, 2}));
    const auto try_size = [&](const resource_vector& size) {
        const auto status = table.commit(only_upstream, make_commitment("probe", size, origin));
        if (status.ok()) {
            BOOST_TEST(table.release(only_upstream, task_id("probe"), 1).ok());
        }
        return status.ok();
    };
    BOOST_TEST(try_size({4000, 1000, 1, 2}));
    BOOST_TEST(!try_size({4001, 1, 0, 1}));
    BOOST_TEST(!try_size({1, 1001, 0, 1}));
    BOOST_TEST(!try_size({1, 1, 2, 1}));
    BOOST_TEST(!try_size({1, 1, 0, 3}));
    BOOST_TEST(!try_size({-1, 1, 0, 1}));
}

// Guards against a task that is committed twice (I2).
BOOST_AUTO_TEST_CASE(a_committed_task_is_not_committed_again) {
    jacinthvane::ledger table(1);
    open_upstream(table, make_record("up", upstream_size));
    open_upstream(table, make_record("other", upstream_size));
    BOOST_REQUIRE(table.commit(only_upstream, make_commitment("task", {1000, 1, 0, 1}, origin)).ok());
    const auto again =
        table.commit(upstream_id("other"), make_commitment("task", {1000, 1, 0, 1}, origin, 2));
    BOOST_TEST((get_error_kind(again) == kind::version_conflict));
    BOOST_TEST((table.find_task(task_id("task")) == only_upstream));
}

// Guards against a stale list that frees the room of a task that started after the list was requested.
BOOST_AUTO_TEST_CASE(a_list_proves_nothing_about_later_starts) {
    jacinthvane::ledger table(1);
    open_upstream(table, make_record("up", upstream_size));
    const resource_vector size{1000, 1, 0, 1};
    const auto sent_at = origin;
    BOOST_REQUIRE(table.commit(only_upstream, make_commitment("task", size, origin + milliseconds(1))).ok());
    table.apply_list(only_upstream, {}, sent_at, origin + milliseconds(2), clock_error);
    BOOST_TEST((table.get_committed(only_upstream) == size));
    BOOST_REQUIRE(table.confirm(only_upstream, task_id("task"), 1, origin + milliseconds(3)).ok());
    table.apply_list(only_upstream, {}, sent_at, origin + milliseconds(4), clock_error);
    BOOST_TEST((table.get_committed(only_upstream) == size));
    const auto outcome =
        table.apply_list(only_upstream, {}, origin + milliseconds(5), origin + milliseconds(6), clock_error);
    BOOST_TEST(outcome.vanished.size() == 1U);
    BOOST_TEST((table.get_committed(only_upstream) == resource_vector{}));
}

// Guards against room that is freed while a start order of unknown outcome can still be accepted.
BOOST_AUTO_TEST_CASE(an_unconfirmed_start_holds_its_room_until_it_is_disproved) {
    jacinthvane::ledger table(1);
    open_upstream(table, make_record("up", upstream_size));
    const resource_vector size{1000, 1, 0, 1};
    BOOST_REQUIRE(table.commit(only_upstream, make_commitment("task", size, origin)).ok());
    BOOST_REQUIRE(table.mark_unconfirmed(only_upstream, task_id("task"), 1, origin).ok());
    const auto early = origin + start_window;
    BOOST_TEST(table.apply_list(only_upstream, {}, early, early, clock_error).never_started.empty());
    BOOST_TEST((table.get_committed(only_upstream) == size));
    const auto late = origin + start_window + clock_error + milliseconds(1);
    BOOST_TEST(table.apply_list(only_upstream, {}, late, late, clock_error).never_started.size() == 1U);
    BOOST_TEST((table.get_committed(only_upstream) == resource_vector{}));
}

// Guards against tasks of an unreachable upstream that hold their room forever, or lose it before the lease
// expires.
BOOST_AUTO_TEST_CASE(room_of_an_unreachable_upstream_is_freed_when_the_lease_expires) {
    jacinthvane::ledger table(1);
    open_upstream(table, make_record("up", upstream_size));
    BOOST_REQUIRE(table.commit(only_upstream, make_commitment("task", {1000, 1, 0, 1}, origin)).ok());
    BOOST_REQUIRE(table.confirm(only_upstream, task_id("task"), 1, origin).ok());
    BOOST_REQUIRE(table.extend_lease(only_upstream, task_id("task"), 1, origin + 2 * task_lease).ok());
    BOOST_TEST(table.remove_expired(only_upstream, origin + 2 * task_lease).empty());
    BOOST_TEST(table.remove_expired(only_upstream, origin + 2 * task_lease + milliseconds(1)).size() == 1U);
}

// Guards against adopted tasks that are not counted, and against an end that is reported for the wrong class.
BOOST_AUTO_TEST_CASE(a_list_is_adopted_and_ends_are_reported) {
    jacinthvane::ledger table(1);
    open_upstream(table, make_record("up", upstream_size));
    upstream_list list;
    list.tasks = {make_listed("runs", {1000, 1, 0, 1}, task_state::running, "previous"),
                  make_listed("kept", {2000, 1, 0, 1}, task_state::checkpointed, "previous"),
                  make_listed("done", {4000, 1, 0, 1}, task_state::finished, "previous")};
    const auto outcome = table.apply_list(only_upstream, list, origin, origin, clock_error);
    BOOST_TEST(outcome.adopted.size() == 2U);
    BOOST_REQUIRE(outcome.ended.size() == 1U);
    BOOST_TEST(!outcome.ended[0].work_class.has_value());
    BOOST_TEST((table.get_committed(only_upstream) == resource_vector{3000, 2, 0, 2}));
    list.tasks[0].state = task_state::failed;
    const auto changed = table.apply_list(only_upstream, list, origin, origin, clock_error);
    BOOST_REQUIRE(changed.ended.size() == 2U);
    BOOST_TEST((changed.ended[0].work_class == task_class::batch));
    BOOST_TEST((table.get_committed(only_upstream) == resource_vector{2000, 1, 0, 1}));
}

// Guards against an index that omits an upstream with room or offers one without room, after any change.
BOOST_AUTO_TEST_CASE(the_index_offers_exactly_the_upstreams_with_room) {
    std::mt19937_64 random(7);
    jacinthvane::ledger table(7);
    constexpr int count = 40;
    std::set<int> leaving;
    for (int n = 0; n < count; ++n) {
        open_upstream(table, make_record("up-" + std::to_string(n), {8000, 8000, n % 4 == 0 ? 2 : 0, 4}));
    }
    std::map<std::string, std::pair<int, resource_vector>> held;
    for (int step = 0; step < 4000; ++step) {
        const auto size =
            resource_vector(static_cast<std::int64_t>(random() % 9) * 1000,
                            static_cast<std::int64_t>(random() % 9) * 1000, random() % 6 == 0 ? 1 : 0, 1);
        const int changed = static_cast<int>(random() % count);
        if (random() % 20 == 0) {
            const bool is_leaving = leaving.insert(changed).second;
            if (!is_leaving) {
                leaving.erase(changed);
            }
            table.set_leaving(upstream_id("up-" + std::to_string(changed)), is_leaving);
        }
        std::set<std::string> fitting;
        for (int n = 0; n < count; ++n) {
            resource_vector used;
            for (const auto& [task, entry] : held) {
                used = entry.first == n ? used + entry.second : used;
            }
            const resource_vector full_size{8000, 8000, n % 4 == 0 ? 2 : 0, 4};
            if (!leaving.contains(n) && (used + size).is_within(full_size)) {
                fitting.insert("up-" + std::to_string(n));
            }
        }
        const auto offered = table.sample_candidates(size, 2);
        BOOST_TEST(offered.empty() == fitting.empty());
        for (const auto& candidate : offered) {
            BOOST_TEST(fitting.contains(candidate.upstream.get()));
        }
        if (!offered.empty()) {
            const auto task = "task-" + std::to_string(step);
            BOOST_REQUIRE(table.commit(offered[0].upstream, make_commitment(task, size, origin)).ok());
            held[task] = {std::stoi(offered[0].upstream.get().substr(3)), size};
        }
        if (!held.empty() && random() % 3 != 0) {
            const auto freed = std::next(held.begin(), static_cast<std::ptrdiff_t>(random() % held.size()));
            const upstream_id at("up-" + std::to_string(freed->second.first));
            BOOST_REQUIRE(table.release(at, task_id(freed->first), 1).ok());
            held.erase(freed);
        }
    }
}

// Guards against new tasks on an upstream that is leaving (I7), closed, or has a share of 0.
BOOST_AUTO_TEST_CASE(closed_leaving_and_shareless_upstreams_take_nothing) {
    jacinthvane::ledger table(1);
    const auto probe = [&] {
        return table.commit(only_upstream, make_commitment("probe", {1, 1, 0, 1}, origin)).ok() &&
               table.release(only_upstream, task_id("probe"), 1).ok();
    };
    table.put_upstream(make_record("up", upstream_size), {});
    BOOST_TEST(!probe());
    table.set_open(only_upstream, true);
    BOOST_TEST(probe());
    table.set_leaving(only_upstream, true);
    BOOST_TEST(!probe());
    table.set_leaving(only_upstream, false);
    table.set_share(0);
    BOOST_TEST(!probe());
    table.set_share(1000);
    BOOST_TEST(probe());
}

BOOST_AUTO_TEST_SUITE_END()
