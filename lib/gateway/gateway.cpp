#include "eelgrassbend/gateway/gateway.h"

#include "eelgrassbend/gateway/endpoint_checker.h"
#include "eelgrassbend/placement/placer.h"
#include "eelgrassbend/placement/prompt_cache.h"
#include "eelgrassbend/quarantine/crash_detector.h"
#include "eelgrassbend/streams/store_stream_origins.h"
#include "eelgrassbend/support/byte_budget.h"
#include "eelgrassbend/support/callback_scope.h"

#include "declaration_observers.h"
#include "gateway_rollouts.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

using std::chrono::milliseconds;

/// Subtracted from the removed-key bound: a confirmation is as old as the call that returned it,
/// and a request takes time to arrive.
static constexpr milliseconds removed_key_margin{700};
/// Subtracted from the bound of a configuration change for the time that a request takes to arrive.
static constexpr milliseconds missing_route_margin{500};
/// Longest wait of a read of the operator topic, as a fraction of the time for which a confirmation
/// of the configuration holds.
static constexpr double configuration_wait_fraction = 0.15;
/// Age of a confirmation by another node after which this node reads the store itself, as a
/// fraction of the same time.
static constexpr double configuration_silence_fraction = 0.5;
/// Fractions of the draining bound. Endpoints write their records about once a second each and each
/// read has a cost, so reads are batched over the pause and do not wait for more.
static constexpr double endpoint_pause_fraction = 0.2;
static constexpr double endpoint_silence_fraction = 0.65;
/// Each read is relayed three times, so that the next one closes the gap left by a lost datagram.
static constexpr double endpoint_gap_fraction = 0.25;
/// Records of entry nodes change only when nodes join or leave, and a new node discovers the others
/// itself; these reads only recover missed changes.
static constexpr std::chrono::seconds node_read_wait{20};
static constexpr std::chrono::seconds node_read_pause{5};
/// Fraction of the draining bound for which an endpoint stays usable whose record was lost in a
/// store outage.
static constexpr double missing_endpoint_fraction = 0.6;
/// Time for which callers cache the directory; some of them cache it three times as long.
static constexpr std::chrono::seconds max_directory_time_to_live{2};
/// Requests run shortly after they are admitted, so quota windows are extended by this margin.
static constexpr milliseconds quota_window_margin{200};
/// Greatest age of an engine's report about itself.
static constexpr milliseconds max_report_age{350};
/// Queries sent to a draining engine for the time of its reclaim.
static constexpr int max_reclaim_queries = 2;
/// Memory for one buffered answer, and for all of them; part of the 160 MB of the smallest hosts.
/// Streams are forwarded event by event.
static constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
static constexpr std::size_t max_total_answer_bytes = 48 * 1024 * 1024;
/// Part of the host's memory for answers that are buffered until complete.
static constexpr std::size_t answer_memory_divisor = 8;
/// KV cache of an engine until a configuration sets it.
static constexpr std::int64_t default_engine_memory = 500'000;

static std::uint32_t host_memory_mb(const gateway_settings& settings)
{
    constexpr std::size_t bytes_per_mb = 1024 * 1024;
    return static_cast<std::uint32_t>(settings.limits.memory / bytes_per_mb);
}

static forward_settings make_forward_settings(const gateway_settings& settings)
{
    forward_settings derived;
    derived.configuration_staleness = std::max<duration>(
        settings.bounds.removed_key - removed_key_margin, settings.bounds.removed_key / 2);
    derived.missing_route_staleness = std::max<duration>(
        settings.bounds.configuration - missing_route_margin, settings.bounds.configuration / 2);
    return derived;
}

static duration missing_endpoint_timeout(const gateway_settings& settings)
{
    return part_of(missing_endpoint_fraction, settings.bounds.draining);
}

static follower_settings make_configuration_follower_settings(const gateway_settings& settings)
{
    const auto staleness = make_forward_settings(settings).configuration_staleness;
    follower_settings derived;
    derived.max_wait = part_of(configuration_wait_fraction, staleness);
    derived.relay_timeout = part_of(configuration_silence_fraction, staleness);
    return derived;
}

static follower_settings make_endpoint_follower_settings(const gateway_settings& settings)
{
    follower_settings derived;
    derived.max_wait = duration::zero();
    derived.pause = part_of(endpoint_pause_fraction, settings.bounds.draining);
    derived.relay_timeout = part_of(endpoint_silence_fraction, settings.bounds.draining);
    derived.gap_timeout = part_of(endpoint_gap_fraction, settings.bounds.draining);
    return derived;
}

static follower_settings make_node_follower_settings()
{
    follower_settings derived;
    derived.max_wait = node_read_wait;
    derived.pause = node_read_pause;
    return derived;
}

static duty_lease_settings make_lease_settings(const gateway_settings& settings)
{
    duty_lease_settings derived;
    derived.node = settings.node;
    derived.lease_time = settings.bounds.lease;
    return derived;
}

static usage_reporter_settings make_usage_settings(const gateway_settings& settings)
{
    usage_reporter_settings derived;
    derived.report_deadline = settings.bounds.usage_due;
    derived.settle_time = std::min(derived.settle_time, derived.report_deadline / 4);
    return derived;
}

static origin_writer_settings make_origin_settings(const gateway_settings& settings)
{
    origin_writer_settings derived;
    derived.node = settings.node;
    derived.store_writes_per_second = settings.store_writes_per_second;
    return derived;
}

struct gateway::impl {
    impl(const gateway_dependencies& dependencies, const gateway_settings& node_settings);

    void start_presence(node_presence::predicate is_ready);
    void apply_table(std::shared_ptr<const route_table> table);
    void handle_endpoint_change(const endpoint_record& record, bool is_gone);
    [[nodiscard]] bool has_endpoint_at(const network_address& address) const;
    void query_reclaim_time(const endpoint_record& record, int queries);
    void handle_reclaim_time(endpoint_record record, int queries,
                             const result<std::optional<duration>>& answer);

    gateway_dependencies dependencies;
    gateway_settings settings;
    forward_settings forward;
    endpoint_table endpoints;
    endpoint_checker checks;
    load_model loads;
    prompt_cache cache;
    engine_cost_estimator costs;
    placer places;
    fleet_quota quotas;
    retry_budget retries;
    usage_tracker usage;
    demand_tracker demand;
    fleet_view fleet;
    byte_budget answer_memory;
    part_quarantine quarantine;
    crash_detector crashes;
    fleet_capacity capacity;
    admission_controller admission;
    stream_baselines baselines;
    store_stream_origins origins;
    std::unique_ptr<gateway_rollouts> rollouts; ///< null if there are none
    forward_services services;
    forward_handler front;
    node_presence presence;
    duty_lease lease;
    usage_reporter reporter;
    scaler scaling;
    slot_scaler slot_scaling;
    configuration_observer configurations;
    endpoint_observer endpoint_records;
    no_relay direct_reads;
    keyed_follower operators;
    keyed_follower endpoint_follower;
    keyed_follower nodes;
    table_handler on_table_change;
    capacity_check has_capacity = [] { return true; };
    bool is_stopping = false;
    callback_scope scope;
};

gateway::impl::impl(const gateway_dependencies& dependencies, const gateway_settings& node_settings)
    : dependencies(dependencies),
      settings(node_settings),
      forward(make_forward_settings(node_settings)),
      endpoints(missing_endpoint_timeout(node_settings)),
      checks({dependencies.client, dependencies.protocol, endpoints, dependencies.time,
              dependencies.random, dependencies.log, dependencies.counters},
             {}),
      cache(default_engine_memory),
      places(endpoints, loads, cache, costs, dependencies.random, node_settings.zone),
      quotas(node_settings.bounds.quota_window + quota_window_margin),
      retries(node_settings.bounds.retries),
      usage(node_settings.bounds.usage_window),
      fleet(node_settings.node, node_settings.zone, host_memory_mb(node_settings)),
      answer_memory(
          std::min(max_answer_bytes, node_settings.limits.memory / answer_memory_divisor),
          std::min(max_total_answer_bytes, node_settings.limits.memory / answer_memory_divisor)),
      quarantine(dependencies.log, dependencies.counters, node_settings.node),
      crashes(dependencies.probes, quarantine, dependencies.time, dependencies.log,
              dependencies.counters),
      capacity(endpoints, loads, quotas),
      admission(capacity, dependencies.random),
      baselines(dependencies.store, dependencies.time, dependencies.log, endpoints,
                node_presence::topic()),
      origins(
          dependencies.store, dependencies.time, dependencies.log, dependencies.counters, baselines,
          [this] { return this->loads.node_count(); }, make_origin_settings(node_settings)),
      rollouts(make_gateway_rollouts(dependencies, node_settings, endpoints, loads)),
      services{forward,
               dependencies.time,
               dependencies.random,
               dependencies.log,
               dependencies.counters,
               dependencies.protocol,
               dependencies.client,
               endpoints,
               loads,
               cache,
               places,
               quotas,
               retries,
               usage,
               dependencies.mover,
               answer_memory,
               demand,
               quarantine,
               crashes,
               costs,
               admission,
               origins,
               rollouts ? &rollouts->models().table : nullptr},
      front(services),
      presence(
          {dependencies.store, dependencies.datagrams, dependencies.time, dependencies.random,
           dependencies.log},
          {fleet, loads, endpoints, quotas, retries, usage, demand, quarantine, baselines,
           rollouts ? &rollouts->models() : nullptr},
          {node_settings.node, node_settings.zone, node_settings.callers, node_settings.datagrams}),
      lease(dependencies.store, dependencies.time, dependencies.log, presence,
            make_lease_settings(node_settings)),
      reporter(dependencies.store, dependencies.time, dependencies.log, lease, usage,
               dependencies.duties, make_usage_settings(node_settings)),
      scaling(dependencies.time, dependencies.log, lease, endpoints, demand, dependencies.duties),
      slot_scaling(dependencies.time, dependencies.log, dependencies.counters, lease, endpoints,
                   demand, costs, dependencies.duties),
      configurations(
          dependencies.declared, dependencies.log,
          [this](std::shared_ptr<const route_table> table) { this->apply_table(std::move(table)); },
          [this](monotonic_time as_of) { this->front.handle_configuration_confirmed(as_of); },
          rollouts.get()),
      endpoint_records(dependencies.declared, dependencies.log, dependencies.time, endpoints),
      operators(dependencies.store, dependencies.time, dependencies.random, dependencies.log,
                dependencies.counters, presence.relay(), dependencies.declared.operator_topic(),
                make_configuration_follower_settings(node_settings), configurations),
      endpoint_follower(dependencies.store, dependencies.time, dependencies.random,
                        dependencies.log, dependencies.counters, presence.relay(),
                        dependencies.declared.endpoint_topic(),
                        make_endpoint_follower_settings(node_settings), endpoint_records),
      nodes(dependencies.store, dependencies.time, dependencies.random, dependencies.log,
            dependencies.counters, direct_reads, node_presence::topic(),
            make_node_follower_settings(), presence)
{
}

void gateway::impl::start_presence(node_presence::predicate is_ready)
{
    node_presence::callbacks handlers;
    handlers.is_ready = std::move(is_ready);
    handlers.can_read_store = [this] {
        return !this->operators.is_failing() && !this->endpoint_follower.is_failing();
    };
    handlers.on_position = [this](const topic_position& position,
                                  std::optional<monotonic_time> as_of) {
        for (auto* follower : {&this->operators, &this->endpoint_follower}) {
            if (follower->followed_topic().name == position.topic) {
                follower->handle_position(position, as_of);
            }
        }
    };
    // Started after registration: of two nodes, the one that registers later finds the record of
    // the other.
    handlers.on_registered = [this] { this->nodes.start(); };
    this->presence.start(this->lease, std::move(handlers));
}

void gateway::impl::apply_table(std::shared_ptr<const route_table> table)
{
    this->front.set_route_table(table);
    this->checks.set_table(table);
    this->scaling.set_table(table);
    this->baselines.set_table(table);
    this->slot_scaling.set_table(table);
    if (this->on_table_change) {
        this->on_table_change(*table);
    }
}

void gateway::impl::handle_endpoint_change(const endpoint_record& record, bool is_gone)
{
    this->dependencies.log.write(log_level::info, "endpoint_changed",
                                 {
                                     {"endpoint", record.id.value()},
                                     {"service", record.service.value()},
                                     {"zone", record.zone.value()},
                                     {"state", is_gone              ? "gone"
                                               : record.is_draining ? "draining"
                                                                    : "ready"},
                                     {"reclaimable", record.is_reclaimable},
                                 });
    if (is_gone) {
        this->loads.paces().forget(record.id);
    }
    else {
        this->loads.paces().set_incarnation(record.id, record.started);
    }
    if (record.is_draining && !is_gone) {
        this->query_reclaim_time(record, 0);
    }
    if (!record.is_draining || is_gone) {
        this->loads.forget(record.id);
        this->cache.forget(record.id);
    }
    if (is_gone && !this->has_endpoint_at(record.address)) {
        this->dependencies.client.forget(record.address);
    }
}

bool gateway::impl::has_endpoint_at(const network_address& address) const
{
    const auto& all = this->endpoints.all();
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& entry) { return entry.second.record.address == address; });
}

// An engine that the platform reclaims reports its time of reclaim only when queried.
void gateway::impl::query_reclaim_time(const endpoint_record& record, int queries)
{
    if (!this->front.has_requests_at(record.id)) {
        return;
    }
    if (record.reclaim_in || !record.is_reclaimable) {
        this->front.handle_endpoint_leaving(record);
        return;
    }
    this->dependencies.mover.request_leave_time(
        record.address,
        this->scope.guard([this, record, queries](const result<std::optional<duration>>& answer) {
            this->handle_reclaim_time(record, queries + 1, answer);
        }));
}

// An engine's report may be older than the reclaim notice, so the query is repeated. An engine that
// does not answer may be reclaimed at any moment.
void gateway::impl::handle_reclaim_time(endpoint_record record, int queries,
                                        const result<std::optional<duration>>& answer)
{
    record.reclaim_in = answer ? answer.value() : duration::zero();
    this->dependencies.log.write(
        log_level::info, "endpoint_leaving",
        {{"endpoint", record.id.value()},
         {"leaves_in_ms", record.reclaim_in ? whole_milliseconds(*record.reclaim_in) : -1},
         {"error", answer ? std::string{} : answer.error().to_string()}});
    if (record.reclaim_in) {
        this->front.handle_endpoint_leaving(record);
        return;
    }
    if (queries < max_reclaim_queries) {
        this->dependencies.time.call_after(max_report_age,
                                           this->scope.guard([this, record, queries] {
                                               this->query_reclaim_time(record, queries);
                                           }));
    }
}

gateway::gateway(const gateway_dependencies& dependencies, const gateway_settings& settings)
    : state(std::make_unique<impl>(dependencies, settings))
{
    this->state->quarantine.on_started([this] { this->state->front.handle_quarantine_started(); });
    this->state->endpoints.on_change([this](const endpoint_record& record, bool is_gone) {
        this->state->handle_endpoint_change(record, is_gone);
    });
    this->state->endpoints.on_unchecked(
        [this](const endpoint_record& record) { this->state->checks.request_check(record); });
}

gateway::~gateway() = default;

void gateway::start()
{
    this->state->operators.start();
    this->state->endpoint_follower.start();
    this->state->start_presence([this] { return this->is_ready(); });
    if (this->state->settings.cloud) {
        this->state->lease.start();
        this->state->reporter.start();
        this->state->scaling.start();
        this->state->slot_scaling.start(
            [this] { return this->state->endpoint_follower.fresh_as_of(); });
    }
    if (this->state->rollouts) {
        this->state->rollouts->start(this->state->lease);
    }
}

void gateway::on_table_change(table_handler handler)
{
    this->state->on_table_change = std::move(handler);
}

void gateway::set_capacity_check(capacity_check check)
{
    this->state->has_capacity = std::move(check);
}

void gateway::begin_stop(monotonic_time end)
{
    this->state->is_stopping = true;
    this->state->front.begin_stop(end);
    this->state->lease.resign();
    this->state->presence.announce_leaving();
}

void gateway::stop_accepting()
{
    this->state->front.stop_accepting();
}

void gateway::end_requests()
{
    this->state->front.end_requests();
}

bool gateway::is_ready() const
{
    return !this->state->is_stopping && this->state->front.is_ready() &&
           this->state->has_capacity();
}

std::vector<network_address> gateway::ready_addresses() const
{
    auto addresses = this->state->fleet.ready_addresses(this->state->dependencies.time.now());
    const auto remote = this->state->presence.remote_ready_addresses();
    addresses.insert(addresses.end(), remote.begin(), remote.end());
    if (this->is_ready() || addresses.empty()) {
        addresses.push_back(this->state->settings.callers);
    }
    // An answer may have capacity for only a part of them.
    std::shuffle(addresses.begin(), addresses.end(), this->state->dependencies.random);
    return addresses;
}

duration gateway::directory_time_to_live() const
{
    return std::min<duration>(max_directory_time_to_live,
                              this->state->settings.bounds.directory_time_to_live);
}

http_handler& gateway::request_handler()
{
    return this->state->front;
}

std::size_t gateway::active_requests() const
{
    return this->state->front.active_requests();
}

} // namespace eelgrassbend
