#include "experiment/journal_bench.hpp"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>

#include "connection/faulty_store.hpp"
#include "connection/record_codec.hpp"
#include "connection/spawn_task.hpp"
#include "process/journal.hpp"
#include "process/shard_table.hpp"
#include "request/shard_service.hpp"

namespace jacinthvane {

namespace {

// Field sizes match typical requests: a UUID as the key, a hexadecimal SHA-256 as the digest and a short
// response body.
constexpr std::size_t response_body_bytes = 200;
constexpr std::size_t records_per_measurement = 40'000;

const team_id team("lakeshore-appraisals");
const process_id claimant{vm_id("erie-toledo-entry-3"), 1'772'000'000'000};

double to_seconds(const timespec& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double get_thread_cpu_seconds() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return to_seconds(now);
}

double get_process_cpu_seconds() {
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return to_seconds(now);
}

std::size_t get_heap_bytes() {
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

idempotency_key make_key(std::uint64_t number) {
    auto digits = std::to_string(number);
    digits.insert(0, 12 - std::min<std::size_t>(12, digits.size()), '0');
    return idempotency_key("3f2504e0-4f89-41d3-9a0c-" + digits);
}

journal_record make_claim(std::uint64_t number) {
    return key_claimed{.team = team,
                       .key = make_key(number),
                       .digest = std::string(64, 'd'),
                       .claimant = claimant,
                       .claim_number = number,
                       .generation = 1};
}

journal_record make_settlement(std::uint64_t number) {
    return key_settled{.team = team,
                       .key = make_key(number),
                       .claimant = claimant,
                       .claim_number = number,
                       .generation = 1,
                       .run = run_knowledge::ran,
                       .answer = {.status = 200,
                                  .content_type = "application/json",
                                  .body = std::string(response_body_bytes, 'a'),
                                  .is_kept = true}};
}

// Fills the table with keys that have both a claim and a stored response.
void add_settled_keys(shard_table& table, std::uint64_t keys) {
    for (std::uint64_t number = 0; number < keys; ++number) {
        table.apply({.sequence = table.get_sequence() + 1,
                     .mark = {claimant, number},
                     .elapsed_ms = 1,
                     .records = {make_claim(number), make_settlement(number)}});
    }
}

void measure_rules(std::uint64_t keys, std::size_t batch_records) {
    shard_limits table_limits;
    table_limits.max_keys = keys + 2 * records_per_measurement;
    shard_table writer_table(table_limits);
    add_settled_keys(writer_table, keys);
    shard_table reader_table(table_limits, writer_table.get_snapshot());
    journal_limits limits;
    limits.max_pending_records = 2 * records_per_measurement;
    limits.max_pending_bytes = 1U << 30U;
    journal log(limits, claimant);
    log.note_loaded(writer_table.get_sequence(), {});
    std::size_t bytes = 0;
    std::size_t batches = 0;
    std::uint64_t next = keys;
    double write_cpu = 0;
    double read_cpu = 0;
    std::size_t records = 0;
    // Writes a batch of claims and then a batch with their results, in the order that requests produce them.
    while (records < records_per_measurement) {
        for (const bool is_claim : {true, false}) {
            std::vector<journal_record> new_records;
            for (std::size_t i = 0; i < batch_records; ++i) {
                new_records.push_back(is_claim ? make_claim(next + i) : make_settlement(next + i));
            }
            const auto write_start = get_thread_cpu_seconds();
            for (auto& record : new_records) {
                const auto size = get_encoded_size(record);
                log.add_beyond_limits(std::move(record), size);
            }
            std::vector<std::string> encoded;
            while (log.get_pending_count() > 0) {
                log.form_batch(writer_table, 1);
                const auto batch = log.get_batch();
                encoded.push_back(encode_batch(*batch));
                log.on_written();
                log.on_head(0);
                writer_table.apply(*batch);
                log.note_applied(batch->sequence, batch->mark, encoded.back().size());
            }
            const auto write_end = get_thread_cpu_seconds();
            for (const auto& value : encoded) {
                reader_table.apply(*decode_batch(value));
                bytes += value.size();
                ++batches;
            }
            write_cpu += write_end - write_start;
            read_cpu += get_thread_cpu_seconds() - write_end;
            records += batch_records;
        }
        next += batch_records;
    }
    const auto count = static_cast<double>(records);
    std::cout << "part=rules keys=" << keys << " records_per_batch=" << records / batches
              << " records=" << records << " bytes_per_record=" << static_cast<double>(bytes) / count
              << " write_cpu_us_per_record=" << write_cpu * 1e6 / count
              << " read_cpu_us_per_record=" << read_cpu * 1e6 / count
              << " records_per_s_one_core=" << static_cast<std::int64_t>(count / write_cpu) << std::endl;
}

void measure_snapshot(std::uint64_t keys) {
    const auto heap_before = get_heap_bytes();
    shard_limits limits;
    auto table = std::make_unique<shard_table>(limits);
    add_settled_keys(*table, keys);
    const auto heap_after = get_heap_bytes();
    const auto copy_start = get_thread_cpu_seconds();
    const auto snapshot = table->get_snapshot();
    const auto copied = get_thread_cpu_seconds();
    const auto bytes = encode_snapshot(snapshot);
    const auto encoded = get_thread_cpu_seconds();
    const auto decoded = decode_snapshot(bytes);
    const shard_table loaded(limits, *decoded);
    const auto loaded_at = get_thread_cpu_seconds();
    const auto count = static_cast<double>(keys);
    std::cout << "part=snapshot keys=" << keys << " bytes=" << bytes.size()
              << " parts=" << (bytes.size() + (512U << 10U) - 1) / (512U << 10U)
              << " heap_bytes_per_key=" << static_cast<double>(heap_after - heap_before) / count
              << " copy_under_lock_ms=" << (copied - copy_start) * 1e3
              << " encode_ms=" << (encoded - copied) * 1e3 << " load_ms=" << (loaded_at - encoded) * 1e3
              << " same=" << (loaded.get_snapshot() == snapshot) << std::endl;
}

void measure_service(std::size_t callers) {
    constexpr unsigned threads = 2;
    // In each round a caller waits for two flushes: one for the claim and one for the result.
    constexpr std::uint64_t rounds = 100;
    asio::io_context context;
    const auto store = std::make_shared<faulty_store>(machine_clock{});
    shard_service_options options;
    options.self = claimant;
    options.shards = 1;
    shard_service service(context, store_client(store), options);
    std::atomic<std::uint64_t> next = 0;
    std::atomic<std::size_t> finished = 0;
    const auto call = [&]() -> awaitable<void> {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::minutes(5);
        for (std::uint64_t i = 0; i < rounds; ++i) {
            const auto number = next++;
            const auto key = make_key(number);
            const std::string digest(64, 'd');
            const auto claimed = co_await service.claim_key(team, key, digest, claimant, deadline);
            const auto& grant = std::get<key_granted>(*claimed);
            auto settlement = std::get<key_settled>(make_settlement(number));
            settlement.claim_number = grant.claim_number;
            const auto settle_status = co_await service.settle_key(settlement, deadline);
            if (!settle_status.ok()) {
                std::cout << "error=\"" << settle_status.message() << "\"" << std::endl;
            }
        }
        if (++finished == callers) {
            context.stop();
        }
    };
    const auto cpu_start = get_process_cpu_seconds();
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < callers; ++i) {
        spawn_task(context, "caller", call());
    }
    std::vector<std::thread> pool;
    for (unsigned i = 1; i < threads; ++i) {
        pool.emplace_back([&] { context.run(); });
    }
    context.run();
    for (auto& thread : pool) {
        thread.join();
    }
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
    const auto cpu = get_process_cpu_seconds() - cpu_start;
    const auto counters = service.get_counters();
    const auto ledger = store->get_ledger();
    const auto calls = [&](store_call kind) { return ledger.calls.sent.at(static_cast<std::size_t>(kind)); };
    const auto records = static_cast<double>(counters.records_written);
    std::cout << "part=service callers=" << callers << " flush_ms=" << options.flush_interval.count()
              << " records=" << counters.records_written
              << " records_per_s=" << static_cast<std::int64_t>(records / wall.count())
              << " cpu_us_per_record=" << cpu * 1e6 / records
              << " records_per_batch=" << records / static_cast<double>(counters.batches_written)
              << " bytes_per_record=" << static_cast<double>(counters.bytes_written) / records
              << " stored_bytes_per_record=" << static_cast<double>(ledger.bytes_written) / records
              << " writes_per_batch="
              << static_cast<double>(calls(store_call::compare_and_swap) + calls(store_call::remove)) /
                     static_cast<double>(counters.batches_written)
              << " reads_per_batch="
              << static_cast<double>(calls(store_call::get)) / static_cast<double>(counters.batches_written)
              << " snapshots=" << counters.snapshots_written << std::endl;
}

}  // namespace

int run_journal_bench(const std::vector<std::string>& arguments) {
    const auto is_wanted = [&](const std::string& part) {
        return arguments.empty() || std::find(arguments.begin(), arguments.end(), part) != arguments.end();
    };
    if (is_wanted("rules")) {
        for (const std::uint64_t keys : {1'000U, 10'000U, 50'000U, 200'000U}) {
            for (const std::size_t batch_records : {1U, 16U, 128U, 1'024U}) {
                measure_rules(keys, batch_records);
            }
        }
    }
    if (is_wanted("snapshot")) {
        for (const std::uint64_t keys : {1'000U, 10'000U, 50'000U, 200'000U}) {
            measure_snapshot(keys);
        }
    }
    if (is_wanted("service")) {
        for (const std::size_t callers : {1U, 16U, 128U, 1'024U}) {
            measure_service(callers);
        }
    }
    return 0;
}

}  // namespace jacinthvane
