#include "connection/config_records.hpp"

#include <cstddef>

#include "connection/record_archive.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_queues = 1000000;
constexpr std::size_t max_services = 10000;

}  // namespace

// cereal finds these functions by argument-dependent lookup.

template <class Archive>
void serialize(Archive& archive, advice_settings& advice) {
    archive(advice.decide_ms, advice.interval_ms, advice.valid_ms);
}

template <class Archive>
void serialize(Archive& archive, queue_settings& queue) {
    archive(queue.rules, queue.host, queue.prefix, queue.advice);
}

template <class Archive>
void serialize(Archive& archive, queue_key& key) {
    archive(key.name, key.host, key.prefix);
}

template <class Archive>
void serialize(Archive& archive, service_settings& service) {
    archive(service.name, service.enforces_capacity, service.is_standby);
}

template <class Archive>
void serialize(Archive& archive, request_limits& limits) {
    archive(limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_ms, limits.idle_timeout_ms);
}

template <class Archive>
void serialize(Archive&, config_unchanged&) {}

template <class Archive>
void serialize(Archive& archive, config_delta& delta) {
    archive(delta.base_version, delta.version);
    serialize_list(archive, delta.changed_queues, max_queues);
    serialize_list(archive, delta.removed_queues, max_queues);
    serialize_list(archive, delta.services, max_services);
    archive(delta.limits);
}

template <class Archive>
void serialize(Archive& archive, dispatch_config& config) {
    archive(config.version);
    serialize_list(archive, config.queues, max_queues);
    serialize_list(archive, config.services, max_services);
    archive(config.limits);
}

template <class Archive>
void serialize(Archive& archive, config_report& report) {
    archive(report.update, report.revision, report.confirmation, report.age_ms, report.held_ms,
            report.is_source_alive);
}

namespace {

// Whether the lists are in the order that apply_delta and later deltas rely on.
struct order_check {
    bool operator()(const config_unchanged&) const { return true; }
    bool operator()(const config_delta& delta) const {
        return is_sorted(delta.changed_queues) && is_sorted(delta.removed_queues);
    }
    bool operator()(const dispatch_config& config) const { return is_sorted(config.queues); }
};

}  // namespace

std::string encode_record(const config_report& report) {
    return encode_with_format(report);
}

absl::StatusOr<config_report> decode_config_report(std::string_view bytes) {
    constexpr auto what = "report of a configuration";
    auto report = decode_with_format<config_report>(bytes, what);
    if (report.ok() && !std::visit(order_check(), report->update)) {
        return make_error(error_kind::bad_request, std::string("the ") + what + " is not sorted");
    }
    return report;
}

}  // namespace jacinthvane
