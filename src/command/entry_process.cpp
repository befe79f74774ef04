#include "command/entry_process.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "command/state_dump.hpp"
#include "connection/fleet_config_codec.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// Limit for the writes of all journals of the fleet together; the store accepts several hundred per second.
constexpr std::int64_t journal_writes_per_second = 150;
constexpr std::chrono::milliseconds min_flush_interval{20};
constexpr std::int64_t link_burst_bytes = 256 << 10;

http_limits make_caller_limits(const settings& given) {
    http_limits limits;
    limits.max_body_bytes = static_cast<std::size_t>(given.limits.body_bytes);
    limits.max_connections = static_cast<std::size_t>(given.limits.caller_connections);
    limits.io_timeout = given.timeouts.caller_io;
    limits.idle_timeout = given.timeouts.caller_idle;
    return limits;
}

member make_own_entry(const settings& given, const process_id& self) {
    member own_entry;
    own_entry.process = self;
    own_entry.place = given.place;
    own_entry.caller_address = given.get_caller_address();
    own_entry.peer_address = given.get_peer_address();
    own_entry.membership_address = given.get_membership_address();
    return own_entry;
}

// Returns the size of the largest task that this process could accept now. Other members use it for routing.
resource_vector get_free_capacity(const free_summary& summary) {
    const auto free = summary.total - summary.committed;
    return {summary.largest_room_processors_milli, std::max<std::int64_t>(0, free.get_memory_mb()),
            std::max<std::int64_t>(0, free.get_accelerators()), std::max<std::int64_t>(0, free.get_slots())};
}

}  // namespace

entry_process::entry_process(asio::io_context& context, settings given, process_dependencies dependencies)
    : context_(context),
      settings_(std::move(given)),
      dependencies_(std::move(dependencies)),
      self_{settings_.vm, dependencies_.incarnation},
      placement_(dependencies_.seed),
      caller_server_(context, make_caller_limits(settings_),
                     [this](http_request request) { return callers_->handle(std::move(request)); }),
      metrics_server_(context, http_limits{}, [this](http_request) -> awaitable<http_response> {
          update_metrics();
          http_response response;
          response.headers["Content-Type"] = "text/plain; version=0.0.4";
          response.body = metrics_.write_text();
          co_return response;
      }) {
    make_services();
}

entry_process::~entry_process() = default;

void entry_process::make_services() {
    store_ = std::make_shared<store_client>(dependencies_.store);
    members_ = std::make_shared<member_table>(make_own_entry(settings_, self_), settings_.seeds,
                                              dependencies_.seed, std::chrono::steady_clock::now());
    region_budget_ = std::make_shared<link_budget>(settings_.limits.region_link_bytes_per_second,
                                                   link_burst_bytes, std::chrono::steady_clock::now());
    links_ = std::make_unique<peer_links>(context_, make_peer_options());
    peer_server_ = std::make_unique<peer_server>(context_, make_peer_options());
    member_socket_ = std::make_unique<member_socket>(context_, members_, dependencies_.keys);
    const auto call_peer = [this](std::string address, peer_request request, time_point deadline) {
        return links_->call(std::move(address), std::move(request), deadline);
    };
    config_ = std::make_unique<config_service>(context_, store_, members_, call_peer);
    shard_service_options shard_options;
    shard_options.self = self_;
    shard_options.shards = dependencies_.shards;
    shard_options.seed = dependencies_.seed;
    shard_options.call_timeout = settings_.timeouts.store_call;
    shards_ = std::make_unique<shard_service>(context_, *store_, shard_options);
    const auto choose = [this](const task_start& start, std::span<const placement_candidate> candidates) {
        return placement_.choose(start, candidates);
    };
    capacity_ = std::make_shared<capacity_service>(
        context_, make_capacity_settings(), *store_, vm_list_client(dependencies_.vm_list),
        upstream_client(dependencies_.upstreams), make_capacity_callbacks(),
        custom_chooser{placement_service::candidate_count, choose});
    locator_ = std::make_unique<task_locator>(capacity_, make_locator_hooks());
    request_options request_settings;
    request_settings.seed = dependencies_.seed;
    request_settings.admission.urgent_limit = static_cast<std::size_t>(settings_.limits.queued_requests);
    requests_ = std::make_unique<request_service>(context_, *shards_, make_hooks(), request_settings);
    job_options job_settings;
    job_settings.shards = dependencies_.shards;
    job_settings.seed = dependencies_.seed;
    jobs_ = std::make_unique<job_service>(context_, *shards_, make_hooks(), job_settings);
    runbooks_ =
        std::make_unique<runbook_service>(context_, *shards_, *jobs_, make_hooks(), dependencies_.shards);
    peer_handler::hooks peer_hooks;
    peer_hooks.fetch_config = [this](const fetch_config_request& request) {
        return config_->serve_fetch(request);
    };
    peer_hooks.record_leaving = [this](const announce_leaving_request& request) {
        for (const auto& upstream : request.upstreams) {
            capacity_->mark_leaving(upstream);
        }
    };
    peers_ = std::make_unique<peer_handler>(context_, *requests_, *jobs_, *locator_, capacity_, peer_hooks);
    caller_limits limits;
    limits.max_deadline_ms = settings_.timeouts.max_deadline.count();
    limits.default_urgent_deadline_ms = settings_.timeouts.default_deadline.count();
    callers_ = std::make_unique<caller_handler>(
        self_, *requests_, *jobs_, limits, static_cast<std::size_t>(settings_.limits.requests_in_progress),
        [this] { return get_readiness(); });
    config_->set_validator([](const config_bytes& offered) {
        const bool is_valid = std::holds_alternative<fleet_config_ptr>(decode_fleet_config(offered.bytes));
        return is_valid ? absl::OkStatus()
                        : make_error(error_kind::bad_configuration,
                                     "version " + std::to_string(offered.version) +
                                         " of the fleet configuration cannot be decoded");
    });
    config_->add_install_callback(
        [this](const std::shared_ptr<const config_bytes>& installed) { install_config(*installed); });
    peer_server_->set_handler([this](peer_request request) { return peers_->handle(std::move(request)); });
    member_socket_->set_round_callback([this] { refresh_own_entry(); });
    member_socket_->set_merge_callback([this](const member_merge& merge) { apply_member_changes(merge); });
}

capacity_settings entry_process::make_capacity_settings() const {
    capacity_settings result;
    result.process = self_;
    result.place = settings_.place;
    result.term.lease_time = settings_.timeouts.term_lease;
    result.renew_interval = settings_.timeouts.term_renewal;
    result.vm_list_interval = settings_.timeouts.vm_list_interval;
    result.task_lease = settings_.timeouts.task_lease;
    result.task_renew_interval = settings_.timeouts.task_lease / 3;
    result.store_timeout = settings_.timeouts.store_call;
    result.call_timeout = settings_.timeouts.upstream_call;
    result.startup_jitter = dependencies_.startup_jitter;
    result.random_seed = dependencies_.seed;
    return result;
}

capacity_callbacks entry_process::make_capacity_callbacks() {
    capacity_callbacks callbacks;
    callbacks.on_task_end = [this](const task_end& end) {
        const auto now = std::chrono::steady_clock::now();
        const auto reply = make_task_reply(end.upstream, end.task, end.generation, end.known_state, now);
        task_report_request report;
        report.job = job_id(end.task.get());
        report.upstream = end.upstream;
        report.task = end.task;
        report.generation = end.generation;
        report.state = reply.state;
        report.checkpoint = reply.checkpoint;
        jobs_->report(report);
        const auto status = reply.state == work_state::failed
                                ? make_error(error_kind::upstream_failed, "the task failed")
                                : absl::OkStatus();
        placement_.note_end(end.task, end.generation, status);
    };
    callbacks.on_usage = [this](const usage_report& report) { placement_.note_usage(report); };
    callbacks.on_room = [this] { requests_->notify_capacity(); };
    callbacks.on_leaving = [this](const upstream_id& upstream) {
        LOG(INFO) << "event=upstream_leaving upstream=" << upstream.get();
        leaving_report report;
        report.upstream = upstream;
        report.version = members_->get_own()->heartbeat + 1;
        members_->report_leaving(report);
    };
    return callbacks;
}

process_hooks entry_process::make_hooks() {
    process_hooks hooks;
    hooks.self = self_;
    hooks.place = settings_.place;
    hooks.is_live = [this](const process_id& process) {
        return process == self_ || members_->get_state(process) != member_state::gone;
    };
    hooks.get_peers = [this] { return get_routes(); };
    hooks.find_remote_shard_owner = [this](std::size_t shard) -> std::optional<route_target> {
        const auto owner =
            members_->get_shard_owner(static_cast<std::uint32_t>(shard), settings_.store_region);
        if (!owner || *owner == self_) {
            return std::nullopt;
        }
        for (const auto& entry : members_->get_live()) {
            if (entry->process == *owner) {
                return make_route(*entry);
            }
        }
        return std::nullopt;
    };
    hooks.call_peer = [this](std::string address, peer_request request, time_point deadline) {
        return links_->call(std::move(address), std::move(request), deadline);
    };
    hooks.run_urgent = [this](task_start start) { return run_urgent(std::move(start)); };
    hooks.reserve_batch = [this](const task_start& start) { return capacity_->reserve_batch(start); };
    hooks.start_reserved = [this](task_start start, upstream_id upstream) {
        return capacity_->start_reserved(std::move(start), std::move(upstream));
    };
    hooks.cancel_reservation = [this](const task_start& start, const upstream_id& upstream) {
        capacity_->cancel_reservation(start.spec.task, start.generation, upstream);
    };
    hooks.query_task = [this](query_task_request request) { return locator_->query(std::move(request)); };
    hooks.stop_task = [this](stop_task_request request) { return locator_->stop(std::move(request)); };
    hooks.would_ever_fit = [this](const resource_vector& size) { return capacity_->would_ever_fit(size); };
    hooks.observer = dependencies_.observer;
    return hooks;
}

locator_hooks entry_process::make_locator_hooks() {
    locator_hooks hooks;
    hooks.self = self_;
    hooks.find_address = [this](const process_id& process) {
        for (const auto& entry : members_->get_live()) {
            if (entry->process == process) {
                return entry->peer_address;
            }
        }
        return std::string();
    };
    hooks.get_addresses = [this](const failure_domain_id& failure_domain) {
        std::vector<std::string> result;
        for (const auto& entry : members_->get_live()) {
            if (entry->place.failure_domain == failure_domain && entry->process != self_) {
                result.push_back(entry->peer_address);
            }
        }
        return result;
    };
    hooks.call_peer = [this](std::string address, peer_request request, time_point deadline) {
        return links_->call(std::move(address), std::move(request), deadline);
    };
    return hooks;
}

peer_options entry_process::make_peer_options() {
    peer_options options;
    options.keys = dependencies_.keys;
    options.region = settings_.place.region;
    options.connect_timeout = settings_.timeouts.peer_connect;
    options.max_calls_in_progress = static_cast<std::size_t>(settings_.limits.peer_calls_in_progress);
    options.get_budget = [this](const region_id& region) {
        return region == settings_.place.region ? nullptr : region_budget_;
    };
    return options;
}

absl::Status entry_process::start() {
    const auto& listen = settings_.listen;
    for (const auto& status :
         {peer_server_->listen(listen.peers), member_socket_->listen(listen.membership),
          caller_server_.listen(listen.callers), metrics_server_.listen(listen.metrics)}) {
        if (!status.ok()) {
            return status;
        }
    }
    member_socket_->start();
    config_->start();
    capacity_->start();
    requests_->start();
    jobs_->start();
    runbooks_->start();
    members_->set_state(member_state::live);
    LOG(INFO) << "event=process_started process=" << self_.to_string()
              << " failure_domain=" << settings_.place.failure_domain.get();
    return absl::OkStatus();
}

awaitable<bool> entry_process::stop_gracefully(time_point deadline) {
    is_shutting_down_ = true;
    reach(dependencies_.observer, work_step::shut_down);
    LOG(INFO) << "event=shutdown_started process=" << self_.to_string();
    members_->set_state(member_state::leaving);
    // The load balancer and the peers keep sending requests until they have detected the state change.
    co_await wait_until(
        std::min(deadline, std::chrono::steady_clock::now() + settings_.timeouts.balancer_grace));
    caller_server_.stop_accepting();
    bool is_clean = co_await caller_server_.drain(deadline);
    runbooks_->stop();
    reach(dependencies_.observer, work_step::hand_over);
    const bool is_handed_over = co_await capacity_->hand_over(deadline);
    const bool is_claim_resolved = co_await requests_->drain(deadline);
    const bool is_job_step_done = co_await jobs_->drain(deadline);
    jobs_->stop();
    const bool is_journal_written = co_await shards_->drain(deadline);
    peer_server_->stop_accepting();
    const bool is_peer_served = co_await peer_server_->drain(deadline);
    is_clean = is_clean && is_claim_resolved && is_job_step_done && is_journal_written && is_peer_served;
    LOG(INFO) << "event=shutdown_finished process=" << self_.to_string() << " handed_over=" << is_handed_over
              << " clean=" << is_clean;
    co_await member_socket_->leave();
    abandon();
    co_return is_clean;
}

void entry_process::abandon() {
    requests_->stop();
    runbooks_->stop();
    jobs_->stop();
    capacity_->stop_loops();
    shards_->stop();
    config_->stop();
    member_socket_->stop();
    caller_server_.stop_accepting();
    metrics_server_.stop_accepting();
    peer_server_->close();
    links_->close();
}

readiness entry_process::get_readiness() const {
    if (is_shutting_down_) {
        return readiness::shutting_down;
    }
    const bool has_capacity = capacity_->is_open() || members_->get_live().size() > 1;
    return config_->is_ready() && has_capacity ? readiness::ready : readiness::not_ready;
}

fleet_config_ptr entry_process::get_fleet_config() const {
    std::lock_guard lock(config_mutex_);
    return fleet_config_;
}

void entry_process::install_config(const config_bytes& installed) {
    reach(dependencies_.observer, work_step::apply);
    const auto decoded = decode_fleet_config(installed.bytes);
    const auto* config = std::get_if<fleet_config_ptr>(&decoded);
    if (config == nullptr) {
        return;
    }
    {
        std::lock_guard lock(config_mutex_);
        fleet_config_ = *config;
    }
    members_->set_config_version(installed.version);
    metrics_.set_config_version(installed.version);
    LOG(INFO) << "event=config_installed version=" << installed.version;
    for (const auto& vm : capacity_->get_vms()) {
        const upstream_id upstream(vm.vm.get());
        if (find_drain(**config, upstream, vm.rack, vm.failure_domain) != nullptr) {
            capacity_->mark_leaving(upstream);
        }
    }
}

void entry_process::refresh_own_entry() {
    member_capacity capacity;
    capacity.free = get_free_capacity(capacity_->get_free_summary());
    capacity.queue_length = static_cast<std::uint32_t>(requests_->get_queue_length(task_class::urgent));
    members_->set_load(capacity, {});
    update_flush_interval();
    const auto processes = static_cast<std::int64_t>(std::max<std::size_t>(1, members_->get_live().size()));
    region_budget_->set_rate(
        std::min(settings_.limits.region_link_bytes_per_second, link_budget::get_share(processes)),
        std::chrono::steady_clock::now());
}

void entry_process::apply_member_changes(const member_merge& merge) {
    for (const auto& report : merge.leaving) {
        if (report.is_leaving) {
            capacity_->mark_leaving(report.upstream);
        }
    }
    config_->notify_members_changed();
}

// Sets the flush interval so that the journals of the whole fleet stay within the store's write rate. Each
// process uses an equal share, divided among the shards that it owns.
void entry_process::update_flush_interval() {
    std::int64_t owned_shards = 0;
    for (std::size_t shard = 0; shard < dependencies_.shards; ++shard) {
        const auto owner =
            members_->get_shard_owner(static_cast<std::uint32_t>(shard), settings_.store_region);
        owned_shards += !owner || *owner == self_ ? 1 : 0;
    }
    const auto members = static_cast<std::int64_t>(std::max<std::size_t>(1, members_->get_live().size()));
    const std::chrono::milliseconds interval(1000 * std::max<std::int64_t>(1, owned_shards) * members /
                                             journal_writes_per_second);
    shards_->set_flush_interval(std::max(min_flush_interval, interval));
}

void entry_process::update_metrics() {
    metrics_.set_ready(get_readiness() == readiness::ready);
    metrics_.set_queued(task_class::urgent, requests_->get_queue_length(task_class::urgent));
    metrics_.set_queued(task_class::batch, jobs_->get_driven());
    std::map<std::string_view, std::uint64_t> states;
    for (const auto& view : members_->get_others()) {
        ++states[get_state_name(view.state)];
    }
    for (const auto state : {member_state::joining, member_state::live, member_state::suspect,
                             member_state::leaving, member_state::gone}) {
        metrics_.set_members(get_state_name(state), states[get_state_name(state)]);
    }
}

awaitable<absl::StatusOr<task_response>> entry_process::run_urgent(task_start start) {
    const auto task = start.spec.task;
    const auto generation = start.generation;
    auto result = co_await capacity_->run_urgent(std::move(start));
    placement_.note_end(task, generation, result.status());
    co_return result;
}

std::vector<route_target> entry_process::get_routes() const {
    std::vector<route_target> result;
    for (const auto& entry : members_->get_live()) {
        if (entry->process != self_ && entry->state == member_state::live) {
            result.push_back(make_route(*entry));
        }
    }
    return result;
}

route_target entry_process::make_route(const member& entry) const {
    return {.process = entry.process,
            .place = entry.place,
            .peer_address = entry.peer_address,
            .largest_room = entry.capacity.free};
}

std::string entry_process::dump_state() const {
    return write_state_dump({.self = self_,
                             .place = settings_.place,
                             .is_ready = get_readiness() == readiness::ready,
                             .config_version = config_->get_current() ? config_->get_current()->version : 0,
                             .capacity = capacity_->get_state(),
                             .shards = shards_->get_state(),
                             .members = members_->get_others(),
                             .links = links_->get_counts(),
                             .requests = requests_->get_counters(),
                             .jobs = jobs_->get_counters(),
                             .open_claims = requests_->get_open_claims(),
                             .queued_urgent = requests_->get_queue_length(task_class::urgent),
                             .driven_jobs = jobs_->get_driven(),
                             .unsent_reports = jobs_->get_unsent_reports()});
}

}  // namespace jacinthvane
