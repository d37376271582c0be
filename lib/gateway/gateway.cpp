#include "eelgrassbend/gateway/gateway.h"

#include "eelgrassbend/placement/placer.h"
#include "eelgrassbend/placement/prompt_cache.h"
#include "eelgrassbend/support/byte_budget.h"
#include "eelgrassbend/support/callback_scope.h"

#include "declaration_observers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

using std::chrono::milliseconds;

/// A confirmation is as old as the call that brought it, and a request takes a while to get here.
static constexpr milliseconds removed_key_margin{700};
/// Reads of the operators' topic come back at least so often, to confirm the configuration, as a
/// part of the time for which a confirmation holds.
static constexpr double configuration_wait_part = 0.15;
/// Age of a confirmation by another node after which a node reads for itself, as such a part.
static constexpr double configuration_silence_part = 0.5;
/// Endpoints write their records about once a second each, and each read is paid for; reads gather
/// them for a part of the bound for leaving endpoints, and do not wait for more.
static constexpr double endpoint_pause_part = 0.2;
static constexpr double endpoint_silence_part = 0.65;
/// Each read is passed on three times, so that the next one closes the gap that a lost datagram
/// leaves.
static constexpr double endpoint_gap_part = 0.25;
/// Records of entry nodes change only when nodes come and go, and a new node finds the others by
/// itself; these reads only make good what was missed.
static constexpr std::chrono::seconds node_wait{20};
static constexpr std::chrono::seconds node_pause{5};
/// Part of the bound for leaving endpoints for which an endpoint counts whose record was lost in
/// a store outage.
static constexpr double missing_part = 0.6;
/// Callers ask again after this time, some of them after three times as long.
static constexpr std::chrono::seconds directory_time{2};
/// Requests run a little after they are admitted, so windows are held a little longer.
static constexpr milliseconds quota_window_margin{200};
/// What engines report of themselves is up to this old.
static constexpr milliseconds report_age{350};
/// How often an engine that drains is asked when it will be taken.
static constexpr int leaving_questions = 2;
/// Memory for an answer that is passed on once it is whole, and for all of them together; a part of
/// the smallest hosts' 160 MB. Streams are passed on event by event.
static constexpr std::size_t longest_answer = 16 * 1024 * 1024;
static constexpr std::size_t all_answers = 48 * 1024 * 1024;
/// KV cache of an engine until a configuration tells it.
static constexpr std::int64_t assumed_memory = 500'000;

static forward_settings forwarding(const gateway_settings& settings)
{
    forward_settings derived;
    derived.configuration_staleness = std::max<duration>(
        settings.bounds.removed_key - removed_key_margin, settings.bounds.removed_key / 2);
    return derived;
}

static duration missing_time(const gateway_settings& settings)
{
    return part_of(missing_part, settings.bounds.draining);
}

static follower_settings configuration_reading(const gateway_settings& settings)
{
    const auto staleness = forwarding(settings).configuration_staleness;
    follower_settings derived;
    derived.longest_wait = part_of(configuration_wait_part, staleness);
    derived.relay_silence = part_of(configuration_silence_part, staleness);
    return derived;
}

static follower_settings endpoint_reading(const gateway_settings& settings)
{
    follower_settings derived;
    derived.longest_wait = duration::zero();
    derived.pause = part_of(endpoint_pause_part, settings.bounds.draining);
    derived.relay_silence = part_of(endpoint_silence_part, settings.bounds.draining);
    derived.gap_patience = part_of(endpoint_gap_part, settings.bounds.draining);
    return derived;
}

static follower_settings node_reading()
{
    follower_settings derived;
    derived.longest_wait = node_wait;
    derived.pause = node_pause;
    return derived;
}

static duty_lease_settings lease_settings(const gateway_settings& settings)
{
    duty_lease_settings derived;
    derived.node = settings.node;
    derived.length = settings.bounds.lease;
    return derived;
}

static usage_reporter_settings usage_settings(const gateway_settings& settings)
{
    usage_reporter_settings derived;
    derived.due = settings.bounds.usage_due;
    derived.settle = std::min(derived.settle, derived.due / 4);
    return derived;
}

struct gateway::parts {
    parts(const gateway_needs& needs, const gateway_settings& node_settings);

    void start_presence(node_presence::readiness is_ready);
    void take_table(std::shared_ptr<const route_table> table);
    void endpoint_changed(const endpoint_record& record, bool is_gone);
    void endpoint_leaving(const endpoint_record& record, int asked);
    void leaving_answered(endpoint_record record, int asked,
                          const result<std::optional<duration>>& answer);

    gateway_needs needs;
    gateway_settings settings;
    forward_settings forward;
    endpoint_table endpoints;
    load_model loads;
    prompt_cache cache;
    placer places;
    fleet_quota quotas;
    retry_budget retries;
    usage_board usage;
    demand_tracker demand;
    fleet_view fleet;
    byte_budget answer_memory;
    forward_services services;
    forward_handler front;
    node_presence presence;
    duty_lease lease;
    usage_reporter reporter;
    scaler scaling;
    configuration_observer configurations;
    endpoint_observer endpoint_records;
    no_relay own_reads;
    keyed_follower operators;
    keyed_follower endpoint_follower;
    keyed_follower nodes;
    table_observer on_table;
    bool is_stopping = false;
    callback_scope scope;
};

gateway::parts::parts(const gateway_needs& outside, const gateway_settings& node_settings)
    : needs(outside),
      settings(node_settings),
      forward(forwarding(node_settings)),
      endpoints(missing_time(node_settings)),
      cache(assumed_memory),
      places(endpoints, loads, cache, needs.random, node_settings.zone),
      quotas(node_settings.bounds.quota_window + quota_window_margin),
      retries(node_settings.bounds.retries),
      usage(node_settings.bounds.usage_window),
      fleet(node_settings.node, node_settings.zone),
      answer_memory(longest_answer, all_answers),
      services{forward,        needs.time,   needs.random, needs.log, needs.counters,
               needs.protocol, needs.client, endpoints,    loads,     cache,
               places,         quotas,       retries,      usage,     needs.mover,
               answer_memory,  demand},
      front(services),
      presence(
          {needs.store, needs.datagrams, needs.time, needs.random, needs.log},
          {fleet, loads, endpoints, quotas, retries, usage, demand},
          {node_settings.node, node_settings.zone, node_settings.callers, node_settings.datagrams}),
      lease(needs.store, needs.time, needs.log, presence, lease_settings(node_settings)),
      reporter(needs.store, needs.time, needs.log, lease, usage, needs.duties,
               usage_settings(node_settings)),
      scaling(needs.time, needs.log, lease, endpoints, demand, needs.duties),
      configurations(
          needs.declared, needs.log,
          [this](std::shared_ptr<const route_table> table) { this->take_table(std::move(table)); },
          [this](monotonic_time as_of) { this->front.handle_configuration_confirmed(as_of); }),
      endpoint_records(needs.declared, needs.log, needs.time, endpoints),
      operators(needs.store, needs.time, needs.random, needs.log, presence.relay(),
                needs.declared.operators(), configuration_reading(node_settings), configurations),
      endpoint_follower(needs.store, needs.time, needs.random, needs.log, presence.relay(),
                        needs.declared.endpoints(), endpoint_reading(node_settings),
                        endpoint_records),
      nodes(needs.store, needs.time, needs.random, needs.log, own_reads, node_presence::topic(),
            node_reading(), presence)
{
}

void gateway::parts::start_presence(node_presence::readiness is_ready)
{
    node_presence::callbacks others;
    others.is_ready = std::move(is_ready);
    others.reads_store = [this] {
        return !this->operators.is_failing() && !this->endpoint_follower.is_failing();
    };
    others.heard = [this](const topic_position& position, std::optional<monotonic_time> as_of) {
        for (auto* follower : {&this->operators, &this->endpoint_follower}) {
            if (follower->followed().name == position.topic) {
                follower->heard(position, as_of);
            }
        }
    };
    // Of two nodes, the one that registers later finds the record of the other.
    others.registered = [this] { this->nodes.start(); };
    this->presence.start(this->lease, std::move(others));
}

void gateway::parts::take_table(std::shared_ptr<const route_table> table)
{
    this->front.set_route_table(table);
    this->scaling.set_table(table);
    if (this->on_table) {
        this->on_table(*table);
    }
}

void gateway::parts::endpoint_changed(const endpoint_record& record, bool is_gone)
{
    this->needs.log.write(log_level::info, "endpoint_changed",
                          {
                              {"endpoint", record.id.value()},
                              {"service", record.service.value()},
                              {"zone", record.zone.value()},
                              {"state", is_gone              ? "gone"
                                        : record.is_draining ? "draining"
                                                             : "ready"},
                              {"reclaimable", record.is_reclaimable},
                          });
    if (record.is_draining && !is_gone) {
        this->endpoint_leaving(record, 0);
    }
    if (!record.is_draining || is_gone) {
        this->loads.forget(record.id);
        this->cache.forget(record.id);
    }
}

// An engine that the platform takes back says when, if it is asked.
void gateway::parts::endpoint_leaving(const endpoint_record& record, int asked)
{
    if (!this->front.has_requests_at(record.id)) {
        return;
    }
    if (record.reclaim_in || !record.is_reclaimable) {
        this->front.handle_endpoint_leaving(record);
        return;
    }
    this->needs.mover.request_leave_time(
        record.address,
        this->scope.guard([this, record, asked](const result<std::optional<duration>>& answer) {
            this->leaving_answered(record, asked + 1, answer);
        }));
}

// An engine's report is a little old: the first one may come from before the notice. One that does
// not answer may be taken at any moment.
void gateway::parts::leaving_answered(endpoint_record record, int asked,
                                      const result<std::optional<duration>>& answer)
{
    record.reclaim_in = answer ? answer.value() : duration::zero();
    this->needs.log.write(
        log_level::info, "endpoint_leaving",
        {{"endpoint", record.id.value()},
         {"leaves_in_ms", record.reclaim_in ? whole_milliseconds(*record.reclaim_in) : -1},
         {"error", answer ? std::string{} : answer.error().to_string()}});
    if (record.reclaim_in) {
        this->front.handle_endpoint_leaving(record);
        return;
    }
    if (asked < leaving_questions) {
        this->needs.time.call_after(report_age, this->scope.guard([this, record, asked] {
            this->endpoint_leaving(record, asked);
        }));
    }
}

gateway::gateway(const gateway_needs& needs, const gateway_settings& settings)
    : held(std::make_unique<parts>(needs, settings))
{
    this->held->endpoints.on_change([this](const endpoint_record& record, bool is_gone) {
        this->held->endpoint_changed(record, is_gone);
    });
}

gateway::~gateway() = default;

void gateway::start()
{
    this->held->operators.start();
    this->held->endpoint_follower.start();
    this->held->start_presence([this] { return this->is_ready(); });
    if (this->held->settings.cloud) {
        this->held->lease.start();
        this->held->reporter.start();
        this->held->scaling.start();
    }
}

void gateway::on_table(table_observer handler)
{
    this->held->on_table = std::move(handler);
}

void gateway::begin_stop()
{
    this->held->is_stopping = true;
    this->held->lease.resign();
    this->held->presence.announce_leaving();
}

void gateway::stop_taking()
{
    this->held->front.stop_accepting();
}

bool gateway::is_ready() const
{
    return !this->held->is_stopping && this->held->front.is_ready();
}

std::vector<network_address> gateway::callers() const
{
    auto addresses = this->held->fleet.ready_callers(this->held->needs.time.now());
    const auto elsewhere = this->held->presence.ready_elsewhere();
    addresses.insert(addresses.end(), elsewhere.begin(), elsewhere.end());
    if (this->is_ready() || addresses.empty()) {
        addresses.push_back(this->held->settings.callers);
    }
    // An answer may have room for a part of them only.
    std::shuffle(addresses.begin(), addresses.end(), this->held->needs.random);
    return addresses;
}

duration gateway::directory_time_to_live() const
{
    return std::min<duration>(directory_time, this->held->settings.bounds.directory_time_to_live);
}

http_handler& gateway::door()
{
    return this->held->front;
}

std::size_t gateway::active() const
{
    return this->held->front.active_requests();
}

} // namespace eelgrassbend
