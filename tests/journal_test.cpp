#include "process/journal.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/error_kind.hpp"
#include "process/shard_table.hpp"

using namespace jacinthvane;

namespace {

process_id make_process(const std::string& name) {
    return {vm_id(name), 1};
}

journal_record make_document(const std::string& name, std::uint64_t revision,
                             const std::string& bytes = "x") {
    return document_written{name, revision, bytes};
}

// A store without sockets and encodings: the batches by their sequence, and the newest snapshot.
struct model_store {
    std::map<std::uint64_t, std::shared_ptr<const journal_batch>> batches;
    std::vector<std::shared_ptr<const journal_batch>> deferred;
    shard_snapshot snapshot;

    bool create(const std::shared_ptr<const journal_batch>& batch) {
        return batches.emplace(batch->sequence, batch).second;
    }
};

enum class record_state { pending, durable, refused, withdrawn, unknown };

// A model of one process that writes documents. Each record replaces the revision before it, so each durable
// record raises the revision of its document by one.
class model_writer {
public:
    model_writer(const std::string& name, model_store& store, std::mt19937_64& random, journal_limits limits)
        : name_(name),
          store_(store),
          random_(random),
          log_(limits, make_process(name)),
          table_(shard_limits{}) {}

    // Performs one step with at most one call to the store.
    void step(bool with_faults) {
        if (with_faults && log_.get_action() == journal_action::idle && draw(2) == 0) {
            add_record();
        }
        if (with_faults && draw(8) == 0 && !tickets_.empty()) {
            const auto ticket = std::next(tickets_.begin(), static_cast<long>(draw(tickets_.size())));
            if (log_.withdraw(ticket->first)) {
                finish(ticket->first, record_state::withdrawn);
            }
        }
        switch (log_.get_action()) {
            case journal_action::idle:
                finish(log_.form_batch(table_, 1));
                break;
            case journal_action::write:
                write(with_faults ? draw(6) : 5);
                break;
            case journal_action::read_back:
                if (const auto found = store_.batches.find(log_.get_batch()->sequence);
                    found != store_.batches.end()) {
                    log_.on_read_back(found->second->mark);
                } else {
                    log_.on_read_back(std::nullopt);
                }
                break;
            case journal_action::check_head:
                check_head();
                break;
            case journal_action::load_snapshot:
                load();
                finish(log_.on_overtaken());
                break;
            case journal_action::refresh:
                refresh();
                break;
        }
    }

    bool is_idle() const { return tickets_.empty() && log_.get_action() == journal_action::idle; }

    void refresh() {
        if (!is_refreshing_) {
            is_refreshing_ = true;
            log_.on_refresh_started();
            staged_.clear();
            for (auto next = log_.get_next_sequence(); store_.batches.contains(next); ++next) {
                staged_.push_back(store_.batches.at(next));
            }
            return;
        }
        // Reads the head in a later step than the batches.
        is_refreshing_ = false;
        if (store_.snapshot.sequence >= log_.get_next_sequence()) {
            load();
            return;
        }
        for (const auto& batch : staged_) {
            table_.apply(*batch);
            log_.note_applied(batch->sequence, batch->mark, 1);
        }
        log_.on_refreshed();
    }

    const std::map<std::string, record_state>& get_record_states() const { return record_states_; }
    const shard_table& get_table() const { return table_; }

private:
    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

    void add_record() {
        const auto document = "d" + std::to_string(draw(3));
        const auto current = table_.find_document(document);
        const auto id = name_ + std::to_string(++records_);
        const auto revision = current ? current->revision + 1 : 1;
        const auto ticket = log_.add(make_document(document, revision, id), 10);
        BOOST_REQUIRE(ticket.ok());
        tickets_[*ticket] = id;
        record_states_[id] = record_state::pending;
    }

    void write(std::uint64_t event) {
        const auto batch = log_.get_batch();
        switch (event) {
            case 0:
                store_.create(batch);
                log_.on_unknown_outcome();
                break;
            case 1:
                log_.on_unknown_outcome();
                break;
            case 2:
                store_.deferred.push_back(batch);
                log_.on_unknown_outcome();
                break;
            case 3:
                log_.on_refused();
                break;
            default:
                if (store_.create(batch)) {
                    log_.on_written();
                } else {
                    log_.on_conflict();
                }
        }
    }

    void check_head() {
        const auto batch = log_.get_batch();
        const auto results = log_.on_head(store_.snapshot.sequence);
        if (log_.get_action() != journal_action::idle) {
            return;
        }
        table_.apply(*batch);
        log_.note_applied(batch->sequence, batch->mark, 1);
        finish(results);
        if (log_.is_snapshot_due() && table_.get_sequence() > store_.snapshot.sequence) {
            store_.snapshot = table_.get_snapshot();
            store_.snapshot.recent_marks = log_.get_recent_marks();
            log_.on_snapshot(store_.snapshot.sequence, 1);
            store_.batches.erase(store_.batches.begin(),
                                 store_.batches.upper_bound(store_.snapshot.sequence));
        }
    }

    void load() {
        table_ = shard_table(shard_limits{}, store_.snapshot);
        log_.note_loaded(store_.snapshot.sequence, store_.snapshot.recent_marks);
    }

    void finish(const std::vector<record_result>& results) {
        for (const auto& result : results) {
            const bool is_unknown = get_error_kind(result.status) == error_kind::store_outcome_unknown;
            const auto failure = is_unknown ? record_state::unknown : record_state::refused;
            finish(result.ticket, result.status.ok() ? record_state::durable : failure);
        }
    }

    void finish(std::uint64_t ticket, record_state result) {
        BOOST_REQUIRE(tickets_.contains(ticket));
        record_states_[tickets_.at(ticket)] = result;
        tickets_.erase(ticket);
    }

    std::string name_;
    model_store& store_;
    std::mt19937_64& random_;
    journal log_;
    shard_table table_;
    std::map<std::uint64_t, std::string> tickets_;
    std::map<std::string, record_state> record_states_;
    std::vector<std::shared_ptr<const journal_batch>> staged_;
    bool is_refreshing_ = false;
    int records_ = 0;
};

// Runs writers that compete, pause and lose responses, and checks that the reported results match the store.
void check_random_history(std::uint64_t seed, journal_limits limits) {
    std::mt19937_64 random(seed);
    model_store store;
    std::vector<std::unique_ptr<model_writer>> writers;
    for (const auto* name : {"a", "b", "c"}) {
        writers.push_back(std::make_unique<model_writer>(name, store, random, limits));
    }
    std::size_t running = 0;
    for (int i = 0; i < 3000; ++i) {
        // One writer runs for several steps, while the others are paused in any state.
        running = random() % 12 == 0 ? random() % writers.size() : running;
        writers[running]->step(true);
        if (!store.deferred.empty() && random() % 20 == 0) {
            const auto late = store.deferred.begin() + static_cast<long>(random() % store.deferred.size());
            store.create(*late);
            store.deferred.erase(late);
        }
    }
    for (int i = 0; i < 10000; ++i) {
        writers[static_cast<std::size_t>(i) % writers.size()]->step(false);
    }
    for (auto& writer : writers) {
        BOOST_REQUIRE(writer->is_idle());
        // Two steps read the rest of the journal, and two more read the batches after a snapshot.
        for (int i = 0; i < 4; ++i) {
            writer->refresh();
        }
        BOOST_TEST((writer->get_table().get_snapshot() == writers[0]->get_table().get_snapshot()));
    }
    std::size_t durable = 0;
    for (const auto& document : writers[0]->get_table().list_documents("")) {
        durable += document.revision;
    }
    std::size_t reported_durable = 0;
    std::size_t reported_unknown = 0;
    for (const auto& writer : writers) {
        for (const auto& [id, result] : writer->get_record_states()) {
            reported_durable += result == record_state::durable ? 1 : 0;
            reported_unknown += result == record_state::unknown ? 1 : 0;
        }
    }
    // Each durable record raised the revision of its document by one.
    BOOST_TEST(reported_durable <= durable);
    BOOST_TEST(durable <= reported_durable + reported_unknown);
    BOOST_TEST(reported_durable > 50U);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(journal)

// Guards against a record that is reported durable but lost, reported refused but applied, or applied twice,
// when responses are lost, writes arrive late, writers pause, and batches older than a snapshot are removed
// (I2, I6, I10).
BOOST_AUTO_TEST_CASE(random_histories_match_the_reported_results) {
    journal_limits limits;
    limits.snapshot_interval = 4;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            check_random_history(seed, limits);
        }
    }
}

// Guards against a wrong outcome when the kept writer marks no longer reach back to a paused writer's batch.
BOOST_AUTO_TEST_CASE(outcome_beyond_the_marks_stays_unknown) {
    journal_limits limits;
    limits.snapshot_interval = 4;
    limits.max_recent_marks = 2;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            check_random_history(seed, limits);
        }
    }
}

// Guards against a batch that is changed, or whose records are withdrawn, after it may have been written.
BOOST_AUTO_TEST_CASE(batch_of_unknown_outcome_is_neither_changed_nor_withdrawn) {
    const shard_table table{shard_limits{}};
    jacinthvane::journal log(journal_limits{}, make_process("a"));
    const auto first = log.add(make_document("d1", 1), 10);
    BOOST_TEST(log.form_batch(table, 0).empty());
    const auto batch = log.get_batch();
    BOOST_TEST(!log.withdraw(*first));
    log.on_refused();
    BOOST_TEST((log.get_action() == journal_action::idle));
    const auto second = log.add(make_document("d2", 1), 10);
    BOOST_TEST(log.withdraw(*second));
    BOOST_TEST(log.form_batch(table, 0).empty());
    const auto unresolved = log.get_batch();
    BOOST_TEST((unresolved->mark != batch->mark));
    log.on_unknown_outcome();
    log.on_read_back(std::nullopt);
    BOOST_TEST((log.get_action() == journal_action::write));
    log.on_refused();
    BOOST_TEST((log.get_action() == journal_action::write));
    BOOST_TEST((log.get_batch() == unresolved));
    BOOST_TEST(!log.withdraw(*first));
    log.on_conflict();
    BOOST_TEST((log.get_action() == journal_action::read_back));
    log.on_read_back(unresolved->mark);
    BOOST_TEST((log.get_action() == journal_action::check_head));
    const auto results = log.on_head(0);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST(results[0].ticket == *first);
    BOOST_TEST(results[0].status.ok());
}

// Guards against a record that is refused because of a stale state.
BOOST_AUTO_TEST_CASE(refusal_waits_for_a_newer_state) {
    const shard_table table{shard_limits{}};
    jacinthvane::journal log(journal_limits{}, make_process("a"));
    BOOST_TEST(log.add(make_document("d1", 2), 10).ok());
    BOOST_TEST(log.form_batch(table, 0).empty());
    BOOST_TEST((log.get_action() == journal_action::refresh));
    log.on_refresh_started();
    const auto late = log.add(make_document("d2", 2), 10);
    log.on_refreshed();
    const auto refused = log.form_batch(table, 0);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((get_error_kind(refused[0].status) == error_kind::version_conflict));
    BOOST_TEST((log.get_action() == journal_action::refresh));
    BOOST_TEST(log.withdraw(*late));
}

// Guards against values above the store's limit, unbounded memory use, and two records on one subject that
// are validated against the same state.
BOOST_AUTO_TEST_CASE(batches_keep_their_limits) {
    const shard_table table{shard_limits{}};
    journal_limits limits;
    limits.max_batch_bytes = 100;
    limits.max_pending_records = 3;
    jacinthvane::journal log(limits, make_process("a"));
    BOOST_TEST((get_error_kind(log.add(make_document("d0", 1), 101).status()) == error_kind::body_too_large));
    BOOST_TEST(log.add(make_document("d1", 1), 40).ok());
    BOOST_TEST(log.add(make_document("d1", 1), 1).ok());
    BOOST_TEST(log.add(make_document("d2", 1), 60).ok());
    BOOST_TEST((get_error_kind(log.add(make_document("d3", 1), 1).status()) == error_kind::overloaded));
    log.add_beyond_limits(make_document("d4", 1), 1);
    BOOST_TEST(log.form_batch(table, 0).empty());
    BOOST_TEST(log.get_batch()->records.size() == 2U);
    BOOST_TEST(log.get_pending_count() == 2U);
}

// Guards against snapshots that write many times more than the batches, and against a journal that is never
// truncated.
BOOST_AUTO_TEST_CASE(snapshots_are_due_in_proportion_to_the_journal) {
    jacinthvane::journal log(journal_limits{}, make_process("a"));
    const writer_mark mark{make_process("a"), 1};
    log.on_snapshot(64, 10'000);
    std::vector<std::uint64_t> due;
    for (std::uint64_t sequence = 65; sequence <= 1100; ++sequence) {
        log.note_applied(sequence, mark, sequence <= 300 ? 40 : 1);
        if (log.is_snapshot_due()) {
            due.push_back(sequence);
            log.on_snapshot(sequence, 10'000);
        }
    }
    BOOST_TEST((due == std::vector<std::uint64_t>{192, 704}));
}

BOOST_AUTO_TEST_SUITE_END()
