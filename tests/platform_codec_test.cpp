#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/escaping.h"
#include "connection/cell_records.hpp"
#include "platform/config_codec.hpp"
#include "platform/job_codec.hpp"
#include "platform/settings_codec.hpp"
#include "platform/store_codec.hpp"
#include "platform/upstream_codec.hpp"
#include "process/error_kind.hpp"
#include "version/queue_index.hpp"

using namespace jacinthvane;

namespace {

const std::string job_body =
    R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstMs":900,"DataRack":"r1-3"},)"
    R"({"Count":20,"Cpu":2000,"MemMb":1024,"After":[0],"SavesProgress":true,"MissBudget":1}]})";
const std::string entry_value =
    R"({"Service":"s","Addr":"10.0.0.9:8080","Zone":"z","State":"draining","RemainingMs":2500,"born":17,)"
    R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":0},"Labels":["a","r1-3"]})";
const std::string config_value =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Service":"s","MaxAttempts":3,"Stretch":1.5,)"
    R"("TargetLatencyMs":400,"Advice":{"DecideMs":5,"IntervalMs":1,"ValidMs":3000}}],)"
    R"("Services":[{"Name":"s","AdmissionCheck":true}],"Limits":{"MaxBodyBytes":1000}})";
const std::string poll_body =
    R"({"ClockMs":482113,"born":17,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41,12]],)"
    R"("Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const std::string settings_body =
    R"({"NodeId":"n","Ip":"10.0.0.1","Zone":"z","Region":"r","Listen":{"Front":"10.0.0.1:1","Ready":"10.0.0.1:2"},)"
    R"("PortRange":[7720,7735],"Limits":{"CpuShare":0.25,"Cores":1,"MemoryMb":160,"MaxFds":4100},"platform":{"Addr":"10.0.0.2:3","MinTtlMs":1000},)"
    R"("Bounds":{"MaxHoldMs":10000,"StopTimeoutMs":400,"GraceS":6}})";
const std::string changes_body =
    R"({"events":[{"Key":"k","Value":"bm9kZS0x","Rev":412,"CreatedAt":400},{"Key":"o","Rev":413,"Deleted":true}],"At":413})";

http_response make_response(int status, std::string body) {
    http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

// Passes the bytes to every decoder. The results do not matter, only that no decoder crashes.
void decode_everything(const std::string& bytes) {
    (void)platform::decode_job(bytes);
    (void)platform::decode_config(bytes);
    (void)platform::decode_settings(bytes);
    (void)platform::decode_upstream_entry("id", bytes);
    (void)platform::decode_advice(bytes);
    (void)platform::decode_poll_response(make_response(200, bytes));
    (void)platform::decode_order_response(make_response(409, bytes));
    (void)platform::decode_item(bytes);
    (void)platform::decode_page(bytes);
    (void)platform::decode_changes(bytes);
    (void)platform::decode_refused_transaction(bytes);
    (void)platform::decode_committed_revision(bytes);
    (void)platform::decode_lease(bytes);
    (void)decode_accepted_job(bytes);
    (void)decode_job_progress(bytes);
    (void)decode_cell_row(bytes);
    (void)decode_known_upstreams(bytes);
    (void)decode_run_locations(bytes);
    (void)decode_takeover_notes(bytes, time_point());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_codec)

BOOST_AUTO_TEST_CASE(reads_the_bound_of_evacuations_where_there_is_one) {
    const auto without = platform::decode_settings(settings_body);
    BOOST_REQUIRE(without.ok());
    BOOST_TEST(without->limits.evacuation_bound.count() == 0);
    auto body = settings_body;
    body.insert(body.find("\"MaxHoldMs\""), "\"EvacuateMs\":5000,");
    const auto with = platform::decode_settings(body);
    BOOST_REQUIRE(with.ok());
    BOOST_TEST(with->limits.evacuation_bound.count() == 5000);
}

// Guards against a request for an evacuation that is lost since its value is damaged.
BOOST_AUTO_TEST_CASE(an_unreadable_value_hides_no_evacuation) {
    for (const std::string value : {R"("%")", "{}", "7", R"("bm9")"}) {
        const auto items = R"([{"Key":"op/evacuate/z","Value":)" + value + R"(,"Rev":5}])";
        const auto page = platform::decode_page(R"({"items":)" + items + R"(,"At":9})");
        BOOST_REQUIRE(page.ok());
        BOOST_TEST(page->listing.items.size() == 1U);
        const auto changes = platform::decode_changes(R"({"events":)" + items + R"(,"At":9})");
        BOOST_REQUIRE(changes.ok());
        BOOST_TEST(changes->changes.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(reads_a_job) {
    const auto spec = platform::decode_job(job_body);
    BOOST_REQUIRE(spec.ok());
    BOOST_REQUIRE(spec->steps.size() == 2U);
    BOOST_TEST(spec->steps[0].task_count == 4U);
    BOOST_TEST(spec->steps[0].data_rack == "r1-3");
    BOOST_TEST((spec->steps[1].size == resource_vector(2000, 1024, 0, 0)));
    BOOST_TEST((spec->steps[1].after == std::vector<std::uint32_t>{0}));
    BOOST_TEST(spec->steps[1].saves_checkpoints);
    BOOST_TEST((spec->steps[1].disruption_budget == std::optional<std::uint32_t>(1)));
    BOOST_TEST((spec->steps[0].disruption_budget == std::nullopt));
}

// Guards against malformed jobs that are accepted, or refused without a message that names the error.
BOOST_AUTO_TEST_CASE(refuses_bad_jobs) {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"", "not a JSON object"},
        {"[1]", "not a JSON object"},
        {R"({"Spec":"x"})", "Steps"},
        {R"({"Spec":"x","Steps":[]})", "0 steps"},
        {R"({"Spec":7,"Steps":[{}]})", "Spec"},
        {R"({"Steps":[7]})", "not an object"},
        {R"({"Steps":[{"Count":0}]})", "Count"},
        {R"({"Steps":[{"Count":1.5}]})", "Count"},
        {R"({"Steps":[{"Cpu":-1}]})", "Cpu"},
        {R"({"Steps":[{"Cpu":99999999999999999999}]})", "Cpu"},
        {R"({"Steps":[{"After":[0]}]})", "not an earlier one"},
        {R"({"Steps":[{"After":["a"]}]})", "After"},
        {R"({"Steps":[{"Gang":"yes"}]})", "Gang"},
        {R"({"Steps":[{"Image":3}]})", "Image"},
        {R"({"Steps":[{}],"Times":3})", "occurrences"},
        {R"({"Spec":")" + std::string(max_payload_bytes + 1, 'x') + R"(","Steps":[{}]})", "Spec"},
    };
    for (const auto& [body, expected] : cases) {
        const auto spec = platform::decode_job(body);
        BOOST_REQUIRE_MESSAGE(!spec.ok(), body.substr(0, 80));
        BOOST_TEST((get_error_kind(spec.status()) == error_kind::bad_request));
        const std::string text(spec.status().message());
        BOOST_TEST_CONTEXT(text) {
            BOOST_TEST((text.find(expected) != std::string::npos));
        }
    }
}

BOOST_AUTO_TEST_CASE(reads_an_upstream_entry) {
    const auto entry = platform::decode_upstream_entry("u", entry_value);
    BOOST_REQUIRE(entry.ok());
    BOOST_TEST(entry->is_leaving);
    BOOST_TEST(entry->remaining_ms == 2500);
    BOOST_TEST(entry->boot_unix_ms == 17);
    BOOST_TEST(entry->get_rack() == "r1-3");
    BOOST_TEST((entry->capacity == resource_vector(16000, 32768, 0, 0)));
}

// Guards against using an upstream whose entry is malformed, for example because another program wrote it.
BOOST_AUTO_TEST_CASE(refuses_malformed_upstream_entries) {
    const std::vector<std::string> cases = {
        "",
        "\x01\x02",
        "{}",
        R"({"Service":"s"})",
        R"({"Service":"s","Addr":"a","Zone":"z","State":"sleeping","Capacity":{"Cpu":1,"MemMb":1},"Labels":[]})",
        R"({"Service":"s","Addr":"a","Zone":"z","State":"ready","Capacity":{"Cpu":"1","MemMb":1},"Labels":[]})",
        R"({"Service":1,"Addr":"a","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":1},"Labels":[]})"};
    for (const auto& value : cases) {
        BOOST_TEST(!platform::decode_upstream_entry("u", value).ok());
    }
}

// Guards against one odd entry of another writer that ends the processes which read the list, or that is
// used: very deep nesting, numbers that are too large for their field, and addresses that no connection can
// be made to.
BOOST_AUTO_TEST_CASE(refuses_odd_upstream_entries) {
    constexpr std::size_t depth = 200000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t i = 0; i < depth; ++i) {
        objects += "{\"a\":";
    }
    objects += "1" + std::string(depth, '}');
    // Small as text, and many times larger as a decoded tree.
    std::string many;
    for (std::size_t i = 0; i < depth; ++i) {
        many += "[],";
    }
    const auto replace = [](const std::string& old_text, const std::string& new_text) {
        auto value = entry_value;
        value.replace(value.find(old_text), old_text.size(), new_text);
        return value;
    };
    const std::vector<std::string> cases = {
        nested,
        objects,
        replace(R"("Labels")", R"("Other":[)" + many + R"([]],"Labels")"),
        replace(R"(["a","r1-3"])", nested),
        replace(R"("Labels")", R"("Other":)" + objects + R"(,"Labels")"),
        replace("2500", "1e30"),
        replace("2500", "99999999999999999999"),
        replace("2500", "-1"),
        replace("17", "1e300"),
        replace("17", "18446744073709551615"),
        replace("16000", "1e400"),
        replace("16000", "99999999999"),
        replace("10.0.0.9:8080", "10.0.0.9:99999"),
        replace("10.0.0.9:8080", "10.0.0.9:0"),
        replace("10.0.0.9:8080", "10.0.0.9:-1"),
        replace("10.0.0.9:8080", "10.0.0.9:80x"),
        replace("10.0.0.9:8080", "10.0.0.9:18446744073709551696"),
        replace("10.0.0.9:8080", "10.0.0.9"),
        replace("10.0.0.9:8080", "host:8080"),
        replace("10.0.0.9:8080", ""),
    };
    for (const auto& value : cases) {
        BOOST_TEST_CONTEXT(value.substr(0, 120)) {
            BOOST_TEST(!platform::decode_upstream_entry("u", value).ok());
        }
    }
    BOOST_TEST(platform::decode_upstream_entry("u", entry_value).ok());
}

// Guards against a list that cannot be read any more because of one entry in it: the others must hold.
BOOST_AUTO_TEST_CASE(reads_a_listing_that_contains_odd_values) {
    constexpr std::size_t depth = 100000;
    const std::string odd = absl::Base64Escape(std::string(depth, '['));
    const auto page = platform::decode_page(
        R"({"items":[{"Key":"servers/a","Value":")" + odd +
        R"(","Rev":1},{"Key":"servers/b","Value":"!","Rev":2},)" +
        R"({"Key":"servers/c","Value":"bm9kZS0x","Rev":3},{"Key":"servers/d","Value":7,"Rev":3},)" +
        R"({"Rev":4},7],"At":9,"MorePages":false})");
    BOOST_REQUIRE(page.ok());
    BOOST_REQUIRE(page->listing.items.size() == 2U);
    BOOST_TEST(page->listing.items[1].key == "servers/c");
    BOOST_TEST(page->listing.items[1].value == "node-1");
    const auto changes = platform::decode_changes(
        R"({"events":[{"Key":"servers/b","Value":"!","Rev":2},{"Key":"servers/c","Value":"bm9kZS0x","Rev":3}],"At":9})");
    BOOST_REQUIRE(changes.ok());
    BOOST_REQUIRE(changes->changes.size() == 1U);
    BOOST_TEST(changes->revision == 9U);
    const auto mistyped = platform::decode_page(R"({"items":[],"At":9,"MorePages":"yes"})");
    BOOST_TEST(!mistyped.ok());
}

BOOST_AUTO_TEST_CASE(reads_a_configuration) {
    const auto config = platform::decode_config(config_value);
    BOOST_REQUIRE(config.ok());
    BOOST_TEST(config->version == 7U);
    const queue_index queues(std::make_shared<const dispatch_config>(*config));
    const auto* queue = queues.find_route("h", "/p/0123456789abcdef");
    BOOST_REQUIRE(queue != nullptr);
    BOOST_TEST(queue->rules.stretch_permille == 1500);
    BOOST_TEST(queue->rules.max_attempts == 3U);
    BOOST_TEST((queue->advice == std::optional<advice_settings>({5, 1, 3000})));
    BOOST_TEST((config->services == std::vector<service_settings>{{"s", true, false}}));
    BOOST_TEST((queues.find_route("other", "/p/x") == nullptr));
}

BOOST_AUTO_TEST_CASE(reads_lists_of_runs) {
    const auto decoded_response = platform::decode_poll_response(make_response(200, poll_body));
    BOOST_REQUIRE((decoded_response.result == order_result::accepted));
    BOOST_REQUIRE(decoded_response.report.running.size() == 1U);
    BOOST_TEST(decoded_response.report.running[0].load == 12);
    BOOST_TEST(decoded_response.report.running[0].task.index == 17U);
    BOOST_REQUIRE(decoded_response.report.ended.size() == 1U);
    BOOST_TEST((decoded_response.report.ended[0].how == run_end::done));
}

// Guards against treating a list with an unreadable row as complete: the run of that row would count as
// ended.
BOOST_AUTO_TEST_CASE(refuses_lists_with_unreadable_rows) {
    for (const auto* body :
         {R"({"ClockMs":1,"Running":[["x",1,"",1]],"Ended":[]})", R"({"ClockMs":1,"Running":[]})",
          R"({"ClockMs":1,"Running":[],"Ended":[[1,"a.0.0.0",1,"vanished",""]]})",
          R"({"ClockMs":1,"Running":[[["a.0.0.0"],1,"",1]],"Ended":[]})",
          R"({"ClockMs":1,"Running":[{"a.0.0.0":1}],"Ended":[]})",
          R"({"ClockMs":1,"Running":[7],"Ended":[]})", R"({"ClockMs":1,"Running":{},"Ended":[]})",
          R"([[["a.0.0.0",1,"",1]]])", "7", "", R"({"ClockMs":1,"Running":[["a.0.0.0",-1,"",1]],"Ended":[]})",
          R"({"Other":{"Running":[],"Ended":[]},"ClockMs":1})",
          R"({"ClockMs":1,"Running":[["a.0.0.0",1,"",1]],"Ended":[])"}) {
        const auto decoded_response = platform::decode_poll_response(make_response(200, body));
        BOOST_TEST((decoded_response.result == order_result::unknown));
    }
}

BOOST_AUTO_TEST_CASE(reads_responses_to_orders) {
    const std::vector<std::tuple<int, std::string, order_result>> cases = {
        {200, R"({"ClockMs":5})", order_result::accepted},
        {409, R"({"ClockMs":5,"Reason":"fence"})", order_result::refused_token},
        {409, R"({"ClockMs":5,"Reason":"old"})", order_result::refused_outdated},
        {409, R"({"ClockMs":5,"Reason":"late"})", order_result::refused_late},
        {409, R"({"ClockMs":5,"Reason":"room"})", order_result::refused_room},
        {409, R"({"ClockMs":5,"Reason":"ticket"})", order_result::refused_ticket},
        {421, "", order_result::refused_other_incarnation},
        {429, "", order_result::refused_busy},
        {503, "", order_result::refused_busy},
        {400, "", order_result::refused_invalid},
        {500, "", order_result::unknown}};
    for (const auto& [status, body, expected] : cases) {
        BOOST_TEST((platform::decode_order_response(make_response(status, body)).result == expected));
    }
}

BOOST_AUTO_TEST_CASE(reads_settings) {
    const auto settings = platform::decode_settings(settings_body);
    BOOST_REQUIRE(settings.ok());
    BOOST_TEST(settings->processors_milli == 250);
    BOOST_TEST(settings->memory_mb == 160);
    BOOST_TEST(settings->max_descriptors == 4100);
    BOOST_TEST((settings->limits.stop_timeout == std::chrono::milliseconds(400)));
    // The file allows a longer lease. A shorter one lets the tasks of an unresponsive upstream restart
    // sooner.
    BOOST_TEST((settings->limits.max_lease == std::chrono::milliseconds(6000)));
    BOOST_TEST((settings->limits.max_accepted_lease == std::chrono::milliseconds(10000)));
    BOOST_TEST(!platform::decode_settings("{}").ok());
    BOOST_TEST(!platform::decode_settings("no json").ok());
}

BOOST_AUTO_TEST_CASE(reads_changes_of_the_store) {
    const auto changes = platform::decode_changes(changes_body);
    BOOST_REQUIRE(changes.ok());
    BOOST_REQUIRE(changes->changes.size() == 2U);
    BOOST_TEST(changes->changes[0].item.value == "node-1");
    BOOST_TEST(changes->changes[1].is_removed);
    BOOST_TEST(changes->revision == 413U);
}

// Guards against fields of stored records that are lost in encoding or decoding.
BOOST_AUTO_TEST_CASE(reads_back_its_records) {
    accepted_job job;
    job.rules.queue = "q";
    job.spec = *platform::decode_job(job_body);
    job.accepted_unix_ms = 5;
    const auto read = decode_accepted_job(encode_record(job));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST((*read == job));
    job_progress progress;
    progress.queue = "q";
    progress.state = job_phase::running;
    progress.steps = {{0, 1, {1, 2}, {{3, {4, 5}, "saved"}}, false}};
    const auto read_progress = decode_job_progress(encode_record(progress));
    BOOST_REQUIRE(read_progress.ok());
    BOOST_TEST((*read_progress == progress));
    takeover_notes notes{true, {{upstream_id("u1"), 3}}, 2, {}, std::nullopt};
    const auto now = std::chrono::steady_clock::now();
    const auto read_earlier_notes = decode_takeover_notes(encode_record(notes, now), now);
    BOOST_REQUIRE(read_earlier_notes.ok());
    BOOST_TEST((*read_earlier_notes == notes));
    notes.foreign_leases = {{upstream_id("u2"), now + std::chrono::milliseconds(700)}};
    const auto read_notes = decode_takeover_notes(encode_record(notes, now), now);
    BOOST_REQUIRE(read_notes.ok());
    BOOST_TEST((*read_notes == notes));
}

// Guards against decoders that crash on malformed input, which would end the process.
BOOST_AUTO_TEST_CASE(survives_any_bytes) {
    accepted_job job;
    job.spec = *platform::decode_job(job_body);
    const std::vector<std::string> seeds = {job_body,      entry_value,  config_value,      poll_body,
                                            settings_body, changes_body, encode_record(job)};
    const std::vector<std::string> tokens = {"null", "-1", "1e999", "\"\"",
                                             "[]",   "{}", "true",  "99999999999999999999"};
    std::mt19937_64 generator(20261204);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = seeds[generator() % seeds.size()];
        for (auto changes = generator() % 4; changes > 0 && !bytes.empty(); --changes) {
            const auto at = generator() % bytes.size();
            switch (generator() % 4) {
                case 0:
                    bytes[at] = static_cast<char>(generator());
                    break;
                case 1:
                    bytes.resize(at);
                    break;
                case 2:
                    bytes.erase(at, 1 + generator() % 5);
                    break;
                default:
                    bytes.insert(at, tokens[generator() % tokens.size()]);
            }
        }
        decode_everything(bytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()
