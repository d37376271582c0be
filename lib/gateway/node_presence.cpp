#include "eelgrassbend/gateway/node_presence.h"

#include "eelgrassbend/quarantine/part_quarantine.h"
#include "eelgrassbend/rollout/rollout_evidence.h"
#include "eelgrassbend/rollout/rollout_table.h"
#include "eelgrassbend/streams/stream_baselines.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace eelgrassbend {

/// Interval between digests; a node that misses several is removed from the directory.
static constexpr std::chrono::milliseconds digest_interval{250};
/// Shortest interval before an urgent digest: the lower bound, and the time for each receiver,
/// which bounds the work in a large fleet.
static constexpr std::chrono::milliseconds min_urgent_interval{40};
static constexpr std::chrono::milliseconds urgent_interval_per_node{5};
/// Receivers of one batch of digests; more at once overflow the link of a small machine.
static constexpr std::size_t digest_batch_nodes = 20;
/// Nodes that receive usage besides the duty holder: those next in line for the duties.
static constexpr std::size_t duty_successors = 2;
/// Interval between datagrams with usage; a window is reported well after its end.
static constexpr std::chrono::milliseconds usage_interval{500};
static constexpr std::size_t usage_windows_per_digest = 2;
/// One in this many rounds of digests includes silent nodes, so that they receive digests again
/// when they return.
static constexpr std::uint64_t silent_node_digest_period = 4;
/// One in this many rounds of digests carries the full summary of the other groups.
static constexpr std::uint64_t full_summary_digest_period = 2;
/// Usage windows that are sent to the other groups in turn.
static constexpr std::size_t summary_usage_windows = 2;
/// Interval between datagrams with observations of roll-outs in a fleet of up to
/// `nodes_per_observation_round` nodes. It grows with the fleet, since all send to one node.
static constexpr std::chrono::milliseconds observation_interval{250};
static constexpr std::size_t nodes_per_observation_round = 80;
/// One in this many rounds of digests carries the grants of roll-outs that ended some time ago.
static constexpr std::uint64_t settled_grants_period = 8;
/// Routes whose totals fit a datagram.
static constexpr std::size_t routes_per_observation = 5;
/// Pause before the node's record is written again after a failure.
static constexpr std::chrono::milliseconds registration_retry_pause{500};

node_presence::node_presence(const presence_dependencies& dependencies, const fleet_models& models,
                             node_identity identity)
    : dependencies(dependencies),
      models(models),
      identity(std::move(identity)),
      groups(models, dependencies.random),
      positions(dependencies.datagrams, dependencies.time, models.fleet, *this),
      quarantines(dependencies.store, dependencies.time, dependencies.log, models.quarantine,
                  topic())
{
    this->incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                       dependencies.time.wall_now().time_since_epoch())
                                       .count());
}

node_presence::~node_presence()
{
    this->dependencies.datagrams.set_receiver(nullptr);
    for (auto& pending : {this->timer, this->register_timer}) {
        if (pending) {
            this->dependencies.time.cancel(*pending);
        }
    }
}

void node_presence::start(const duty_lease& new_lease, callbacks new_handlers)
{
    this->lease = &new_lease;
    this->handlers = std::move(new_handlers);
    this->positions.start(this->handlers.on_position);
    this->dependencies.datagrams.set_receiver(
        [this](const network_address&, const std::string& bytes) { this->receive(bytes); });
    this->register_node();
    this->tick();
}

std::string node_presence::own_record() const
{
    const nlohmann::json record{{"ip", this->identity.datagrams.ip},
                                {"port", this->identity.datagrams.port},
                                {"zone", this->identity.zone.value()}};
    return record.dump();
}

void node_presence::register_node()
{
    this->dependencies.store.append(
        topic(), {{log_offset{}, this->identity.node.value(), this->own_record()}}, std::nullopt,
        this->scope.guard([this](const result<append_answer>& answer) {
            if (!answer) {
                this->dependencies.log.write(log_level::warning, "register_failed",
                                             {{"error", answer.error().to_string()}});
                this->schedule_registration();
                return;
            }
            if (!std::exchange(this->is_registered, true)) {
                this->handlers.on_registered();
            }
        }));
}

void node_presence::schedule_registration()
{
    if (this->register_timer) {
        return;
    }
    this->register_timer = this->dependencies.time.call_after(registration_retry_pause, [this] {
        this->register_timer.reset();
        if (!this->is_leaving) {
            this->register_node();
        }
    });
}

// The store may execute a write of a former process of this node after this one has registered. The
// other nodes would then not find this one.
void node_presence::handle_own_record_lost()
{
    if (this->is_leaving) {
        return;
    }
    this->dependencies.log.write(log_level::warning, "node_record_lost",
                                 {{"node", this->identity.node.value()}});
    this->schedule_registration();
}

bool node_presence::on_record_written(const std::string& key, const std::string& value)
{
    if (quarantine_records::is_own_key(key)) {
        this->quarantines.on_record_written(key, value);
        return true;
    }
    if (stream_baselines::is_own_key(key)) {
        this->models.baselines.on_record_written(key, value);
        return true;
    }
    if (key == this->identity.node.value() && value != this->own_record()) {
        this->handle_own_record_lost();
        return true;
    }
    const auto parsed = nlohmann::json::parse(value, nullptr, false);
    const bool is_valid = parsed.is_object() && parsed.contains("ip") && parsed.contains("port") &&
                          parsed.contains("zone") && parsed["ip"].is_string() &&
                          parsed["port"].is_number_unsigned() && parsed["zone"].is_string();
    if (!is_valid) {
        this->dependencies.log.write(log_level::warning, "node_record_invalid", {{"node", key}});
        return true;
    }
    this->models.fleet.add_record(
        {node_id{key},
         {parsed["ip"].get<std::string>(), parsed["port"].get<std::uint16_t>()},
         availability_zone{parsed["zone"].get<std::string>()}});
    return true;
}

void node_presence::on_record_removed(const std::string& key, bool /*after_gap*/)
{
    if (quarantine_records::is_own_key(key)) {
        this->quarantines.on_record_removed(key);
        return;
    }
    if (stream_baselines::is_own_key(key)) {
        this->models.baselines.on_record_removed(key);
        return;
    }
    if (key == this->identity.node.value()) {
        this->handle_own_record_lost();
        return;
    }
    this->models.fleet.remove_record(node_id{key});
}

void node_presence::on_caught_up(monotonic_time /*as_of*/)
{
    this->models.baselines.on_caught_up();
}

void node_presence::announce_leaving()
{
    this->is_leaving = true;
    this->send_digest();
    this->dependencies.store.append(
        topic(), {{log_offset{}, this->identity.node.value(), std::nullopt}}, std::nullopt,
        this->scope.guard([this](const result<append_answer>& answer) {
            // A leftover record is harmless: the node sends no digests.
            if (!answer) {
                this->dependencies.log.write(log_level::info, "deregister_failed",
                                             {{"error", answer.error().to_string()}});
            }
        }));
}

void node_presence::tick()
{
    const auto now = this->dependencies.time.now();
    const auto nodes = this->models.fleet.alive_nodes(now).size();
    this->digest_batches = nodes / (digest_batch_nodes + 1) + 1;
    const auto interval = digest_interval / this->digest_batches;
    const auto urgent_interval = std::clamp<duration>(urgent_interval_per_node * nodes,
                                                      min_urgent_interval, digest_interval);
    this->timer = this->dependencies.time.call_after(std::min<duration>(urgent_interval, interval),
                                                     [this] { this->tick(); });
    this->models.quarantine.update(now);
    const bool needs_digest =
        this->models.quotas.needs_digest() || this->models.loads.needs_digest() ||
        this->models.quarantine.needs_digest() ||
        (this->relays_grants() && this->models.rollouts->table.needs_digest());
    this->send_observations();
    if (now < this->next_digest && !needs_digest) {
        return;
    }
    this->next_digest = now + interval;
    this->send_digest();
    this->models.baselines.update();
    if (const auto token = this->lease->token()) {
        this->models.baselines.synchronize(*token);
    }
    if (now >= this->next_usage) {
        this->next_usage = now + usage_interval;
        this->send_usage();
    }
    if (now >= this->next_summary) {
        this->next_summary = now + digest_interval;
        this->groups.update(now);
        if (this->positions.is_reader() && this->handlers.can_read_store()) {
            this->quarantines.synchronize();
        }
        if (this->groups.should_send_summaries(now)) {
            this->send_group_summary();
        }
    }
    for (const auto& [node, known] : this->models.fleet.nodes()) {
        if (now - known.received_at >= node_report_timeout ||
            !this->models.fleet.is_in_group(known.digest)) {
            this->models.loads.forget_peer(node);
        }
    }
}

node_digest node_presence::make_digest()
{
    node_digest digest;
    digest.node = this->identity.node;
    digest.incarnation = this->incarnation;
    digest.sequence = ++this->sequence;
    digest.is_leaving = this->is_leaving;
    digest.is_ready = this->accepts_callers();
    digest.reads_store = this->handlers.can_read_store();
    digest.callers = this->identity.callers;
    digest.datagrams = this->identity.datagrams;
    digest.zone = this->identity.zone;
    digest.host_memory_mb = this->models.fleet.own_host_memory_mb();
    digest.duty_token = this->lease->token();
    this->sent_times.add(digest.sequence, this->dependencies.time.now());
    return digest;
}

void node_presence::send_digest()
{
    auto digest = this->make_digest();
    digest.carries_load = true;
    digest.work = this->models.loads.own_work();
    digest.demand = this->models.demand.own_totals();
    digest.paces =
        this->models.loads.paces().totals_for_digest(this->digest_count / this->digest_batches);
    digest.slot_demand = this->models.demand.slots().own_totals();
    digest.admitted = this->models.quotas.totals_for_digest();
    digest.leaving_endpoints =
        this->models.endpoints.draining_to_report(this->dependencies.time.now());
    const bool is_representative =
        this->groups.should_send_summaries(this->dependencies.time.now());
    digest.crashes =
        this->models.quarantine.report(is_representative, this->dependencies.time.now());
    const bool has_new_grants =
        this->relays_grants() && this->models.rollouts->table.needs_digest();
    if (this->relays_grants()) {
        digest.grants = this->models.rollouts->table.grants(this->dependencies.time.now(),
                                                            this->sends_settled_grants());
        this->models.rollouts->table.on_digest_sent();
    }
    this->models.quotas.on_digest_sent();
    this->models.loads.on_digest_sent();
    this->models.quarantine.on_digest_sent();
    ++this->digest_count;
    const bool include_silent =
        this->is_leaving ||
        this->digest_count / this->digest_batches % silent_node_digest_period == 0;
    const auto receivers =
        this->models.fleet.digest_receivers(this->dependencies.time.now(), include_silent);
    std::vector<network_address> chosen;
    for (std::size_t index = 0; index < receivers.size(); ++index) {
        if (this->is_leaving ||
            index % this->digest_batches == this->digest_count % this->digest_batches) {
            chosen.push_back(receivers[index]);
        }
    }
    this->send(digest, chosen);
    if (is_representative) {
        this->send_remote_summary(chosen);
    }
    if (is_representative && has_new_grants) {
        this->send_grants(this->groups.representative_addresses(this->dependencies.time.now()));
    }
}

bool node_presence::relays_grants() const
{
    return this->models.rollouts != nullptr &&
           (this->lease->token() ||
            this->groups.should_send_summaries(this->dependencies.time.now()));
}

bool node_presence::sends_settled_grants() const
{
    return this->digest_count / this->digest_batches % settled_grants_period == 0;
}

void node_presence::send_grants(const std::vector<network_address>& receivers)
{
    if (this->models.rollouts == nullptr) {
        return;
    }
    auto grants = this->models.rollouts->table.grants(this->dependencies.time.now(),
                                                      this->sends_settled_grants());
    if (grants.empty()) {
        return;
    }
    auto digest = this->make_digest();
    digest.grants = std::move(grants);
    this->send(digest, receivers);
}

// Sent to the holder directly, also in another group: sums of a group would arrive two rounds
// later, and a bad version has to be noticed soon.
void node_presence::send_observations()
{
    const auto now = this->dependencies.time.now();
    if (this->models.rollouts == nullptr || now < this->next_observations || this->lease->token()) {
        return;
    }
    const auto rounds = this->models.loads.node_count() / nodes_per_observation_round + 1;
    this->next_observations = now + observation_interval * rounds;
    const auto observations = this->models.rollouts->table.observations();
    if (observations.empty()) {
        return;
    }
    auto holder = this->group_duty_holder();
    if (!holder) {
        holder = this->groups.remote_duty_holder(now);
    }
    if (!holder) {
        return;
    }
    for (const auto& observed : observations) {
        auto next = observed.totals.begin();
        while (next != observed.totals.end()) {
            auto digest = this->make_digest();
            digest.observations = {{observed.service, observed.order, {}}};
            auto& totals = digest.observations.front().totals;
            for (; next != observed.totals.end() && totals.size() < routes_per_observation;
                 ++next) {
                totals.insert(*next);
            }
            this->send(digest, {*holder});
        }
    }
}

void node_presence::apply_rollouts(const node_digest& digest)
{
    if (this->models.rollouts == nullptr) {
        return;
    }
    for (const auto& grant : digest.grants) {
        this->models.rollouts->table.apply_grant(grant, this->dependencies.time.now());
    }
    for (const auto& observed : digest.observations) {
        this->models.rollouts->evidence.apply(digest.node, digest.incarnation, observed);
    }
}

// Units admitted by other groups are sent each time, since quotas depend on them; the rest less
// often.
void node_presence::send_remote_summary(const std::vector<network_address>& receivers)
{
    auto summary = this->groups.remote_summary(this->dependencies.time.now());
    if (this->digest_count / this->digest_batches % full_summary_digest_period != 0) {
        summary.work.reset();
        summary.ready.clear();
    }
    this->send_summary(summary, receivers);
}

void node_presence::send_summary(const group_summary& summary,
                                 const std::vector<network_address>& receivers)
{
    for (auto& part : split_summary(summary)) {
        auto digest = this->make_digest();
        digest.summary = std::move(part);
        this->send(digest, receivers);
    }
}

// Each summary to the other representatives carries the load, and a further digest one window of
// usage.
void node_presence::send_group_summary()
{
    const auto now = this->dependencies.time.now();
    const auto ready =
        this->accepts_callers() ? std::optional{this->identity.callers} : std::nullopt;
    const auto summary = this->groups.own_summary(now, this->group_duty_holder(), ready);
    auto receivers = this->groups.representative_addresses(now);
    this->send_summary(summary, receivers);
    this->send_crash_report(receivers);
    this->send_grants(receivers);
    const auto windows = this->models.usage.group_counts();
    if (windows.empty()) {
        return;
    }
    if (const auto holder = this->groups.remote_duty_holder(now)) {
        receivers.push_back(*holder);
    }
    auto digest = this->make_digest();
    digest.summary.emplace();
    digest.summary->group = summary.group;
    digest.summary->reporting_nodes = summary.reporting_nodes;
    digest.summary->serving_nodes = summary.serving_nodes;
    digest.summary->duty_holder = summary.duty_holder;
    const auto position_from_end =
        std::min(windows.size(), 1 + ++this->summary_rounds % summary_usage_windows);
    digest.summary->usage.insert(
        *std::prev(windows.end(), static_cast<std::ptrdiff_t>(position_from_end)));
    this->send(digest, receivers);
}

void node_presence::send_crash_report(const std::vector<network_address>& receivers)
{
    auto report = this->models.quarantine.report(true, this->dependencies.time.now());
    if (report.is_empty()) {
        return;
    }
    auto digest = this->make_digest();
    digest.crashes = std::move(report);
    this->send(digest, receivers);
}

// Usage has datagrams of its own, since with many organisations it leaves no capacity for the load.
// The two newest windows alternate with the two before.
void node_presence::send_usage()
{
    auto digest = this->make_digest();
    digest.usage = this->models.usage.own_counts();
    const bool is_newest = ++this->usage_rounds % 2 == 1;
    while (digest.usage.size() > usage_windows_per_digest) {
        digest.usage.erase(is_newest ? digest.usage.begin() : std::prev(digest.usage.end()));
    }
    std::vector<network_address> chosen;
    std::size_t preceding = 0;
    for (const auto* node : this->models.fleet.alive_nodes(this->dependencies.time.now())) {
        if (node->digest.duty_token || preceding++ < duty_successors) {
            chosen.push_back(node->digest.datagrams);
        }
    }
    this->send(digest, chosen);
}

void node_presence::send(const node_digest& digest, const std::vector<network_address>& receivers)
{
    const auto bytes = encode_digest(digest);
    for (const auto& address : receivers) {
        this->dependencies.datagrams.send(address, bytes);
    }
}

void node_presence::receive(const std::string& bytes)
{
    const auto decoded = decode_digest(bytes);
    if (!decoded) {
        this->dependencies.log.write(log_level::warning, "digest_invalid",
                                     {{"error", decoded.error().to_string()}});
        return;
    }
    const auto now = this->dependencies.time.now();
    const auto& digest = decoded.value();
    this->highest_duty_token =
        std::max(this->highest_duty_token, digest.duty_token.value_or(fencing_token{}));
    this->apply_rollouts(digest);
    if (!digest.observations.empty() && !this->models.fleet.is_in_group(digest)) {
        return; // its sender does not represent its group
    }
    const bool is_newest = this->models.fleet.apply_digest(digest, now);
    if (!is_newest && !this->models.fleet.is_reordered(digest)) {
        return;
    }
    if (this->models.fleet.is_in_group(digest)) {
        if (digest.carries_load && is_newest) {
            this->models.loads.set_peer_work(digest.node, digest.work);
            this->models.quotas.record_peer_totals(digest.node, digest.incarnation, digest.admitted,
                                                   now);
            this->models.demand.record_peer_totals(digest.node, digest.incarnation, digest.demand);
            this->models.loads.paces().record_peer_totals(digest.node, digest.incarnation,
                                                          digest.paces, now);
            this->models.demand.slots().record_peer_totals(digest.node, digest.incarnation,
                                                           digest.slot_demand);
        }
        this->models.usage.record_peer_counts(digest.node, digest.incarnation, digest.usage);
    }
    for (const auto& leaving : digest.leaving_endpoints) {
        this->models.endpoints.mark_draining_from_peer(leaving, now);
    }
    if (!digest.crashes.is_empty()) {
        this->models.quarantine.apply(digest.crashes, now);
    }
    this->groups.handle_digest(digest, now);
    std::optional<monotonic_time> sent_at;
    if (digest.echo && digest.echo->incarnation == this->incarnation) {
        sent_at = this->sent_times.time_of(digest.echo->sequence);
    }
    this->positions.handle_digest(digest, sent_at);
}

bool node_presence::accepts_callers() const
{
    return !this->is_leaving && this->handlers.is_ready();
}

std::vector<network_address> node_presence::remote_ready_addresses() const
{
    return this->groups.remote_ready_addresses(this->dependencies.time.now());
}

std::optional<network_address> node_presence::group_duty_holder() const
{
    if (this->lease->token()) {
        return this->identity.datagrams;
    }
    for (const auto* node : this->models.fleet.alive_nodes(this->dependencies.time.now())) {
        if (node->digest.duty_token) {
            return node->digest.datagrams;
        }
    }
    return std::nullopt;
}

bool node_presence::has_other_holder() const
{
    const auto holder = this->group_duty_holder();
    return (holder && *holder != this->identity.datagrams) ||
           this->groups.remote_duty_holder(this->dependencies.time.now()).has_value();
}

// The first nodes of all groups rank before the second ones.
std::size_t node_presence::rank() const
{
    std::size_t preceding = 0;
    for (const auto* node : this->models.fleet.alive_nodes(this->dependencies.time.now())) {
        if (!node->digest.is_leaving && this->models.fleet.precedes(node->digest)) {
            ++preceding;
        }
    }
    const auto& division = this->models.fleet.groups();
    return preceding * division.group_count() + division.own_group_index();
}

} // namespace eelgrassbend
