#include "eelgrassbend/membership/swim_membership.h"

#include "member_table.h"
#include "update_queue.h"
#include "version_exchange.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace eelgrassbend {

using namespace std::chrono_literals;

// Ticks of a probe period: probe, repeat, two ticks with indirect probes as well, wait.
static constexpr std::uint32_t ticks_per_period = 5;
static constexpr std::uint32_t indirect_phase = 2;
static constexpr std::uint32_t last_phase = ticks_per_period - 1;
// Delay of a tick, in probe periods, from which the node is considered to have been paused.
static constexpr int pause_periods = 1;
// A relayed suspicion lasts longer, since normally the node that probed declares the death.
static constexpr int relayed_suspicion_factor = 2;
// After a start or a pause, a node exchanges digests until it receives no new members.
static constexpr duration catch_up_time = 10s;
static constexpr std::uint32_t catch_up_rounds_at_start = 10;
// A node with a relayed suspicion probes the suspect itself in the last periods before the timeout.
static constexpr int suspect_probe_periods = 4;
// When a partition heals, all nodes have many updates to send. Beside the probes, the budget for
// them is one datagram per tick, with bursts of this size; the other updates are piggybacked on
// probes.
static constexpr std::uint32_t max_extra_datagrams = 8;
// Probes of suspects that a node sends in a probe period.
static constexpr std::size_t max_suspect_probes = 8;
static constexpr std::size_t unknown_hosts_per_fetch = 3;
static constexpr double min_size_logarithm = 4.0;

swim_membership::swim_membership(member self, swim_options options, peer_channel& channel,
                                 scheduler& time, random_source& random, host_list& hosts)
    : own(std::move(self)),
      options(options),
      channel(channel),
      time(time),
      random(random),
      hosts(hosts),
      table(std::make_unique<member_table>()),
      updates(std::make_unique<update_queue>()),
      versions(std::make_unique<version_exchange>()),
      extra_datagrams(max_extra_datagrams)
{
    const auto since_epoch = this->time.wall_now().time_since_epoch();
    const auto start = static_cast<std::uint64_t>(whole_milliseconds(since_epoch));
    this->own.incarnation = start << refutation_bits;
    this->own.state = member_state::alive;
    this->channel.on_swim([this](const network_address& from, const swim_message& message) {
        this->receive(from, message);
    });
}

swim_membership::~swim_membership()
{
    this->stop();
    this->channel.on_swim({});
}

void swim_membership::start()
{
    this->running = true;
    this->started = this->time.now();
    this->last_tick = this->started;
    this->next_sync = this->started + this->options.sync_period;
    this->catch_up_rounds = catch_up_rounds_at_start;
    this->joining_until = this->started + catch_up_time;
    this->fetch_host_list();
    this->next_host_list = this->started + this->options.probe_period;
    this->schedule_tick();
}

void swim_membership::stop()
{
    this->running = false;
    this->time.cancel(this->timer);
}

void swim_membership::set_bundle_version(bundle_version version)
{
    this->own.bundle = version;
}

std::vector<member> swim_membership::peers() const
{
    return this->table->live();
}

std::size_t swim_membership::table_size() const
{
    return this->table->size();
}

std::size_t swim_membership::pending_updates() const
{
    return this->updates->size();
}

void swim_membership::on_change(std::function<void(const member&)> observer)
{
    this->observers.push_back(std::move(observer));
}

void swim_membership::notify(const member& changed)
{
    for (const auto& observer : this->observers) {
        observer(changed);
    }
}

// log2 of the cluster size, with a lower bound for small clusters.
static double size_logarithm(std::size_t live_members)
{
    const auto members = static_cast<double>(live_members + 1);
    return std::max(std::log2(members), min_size_logarithm);
}

duration swim_membership::suspicion_time() const
{
    const auto periods = this->options.suspicion_factor * size_logarithm(this->table->live_count());
    return part_of(periods, this->options.probe_period);
}

void swim_membership::schedule_tick()
{
    const auto tick_length = this->options.probe_period / ticks_per_period;
    // Jitter prevents the nodes of a cluster from synchronizing.
    const auto jitter = duration{random_below(this->random, tick_length.count() / 8)};
    this->timer =
        this->time.call_after(tick_length - tick_length / 16 + jitter, [this] { this->tick(); });
}

void swim_membership::tick()
{
    this->detect_pause();
    this->last_tick = this->time.now();
    this->extra_datagrams = std::min(this->extra_datagrams + 1, max_extra_datagrams);
    this->run_probe_phase();
    this->run_periodic_contacts();
    this->phase = (this->phase + 1) % ticks_per_period;
    if (this->running) {
        this->schedule_tick();
    }
}

// After a pause, missing acks are no evidence of failures, so pending suspicions restart.
void swim_membership::detect_pause()
{
    const auto now = this->time.now();
    if (now - this->last_tick < (pause_periods + 1) * this->options.probe_period) {
        return;
    }
    ++this->counts.pauses;
    this->outstanding.reset();
    this->phase = 0;
    this->catch_up_rounds = catch_up_rounds_at_start;
    this->joining_until = now + catch_up_time;
    this->next_host_list = now;
    for (auto& [id, entry] : this->table->all()) {
        if (entry.suspected_until) {
            entry.suspected_until = now + relayed_suspicion_factor * this->suspicion_time();
        }
    }
}

void swim_membership::run_probe_phase()
{
    if (this->phase == 0) {
        this->finish_probe();
        this->expire_suspicions();
        this->probe_suspects();
        this->remove_expired();
        this->begin_probe();
    }
    if (this->phase > 0 && this->phase < last_phase) {
        this->probe_directly();
    }
    if (this->phase >= indirect_phase && this->phase < last_phase) {
        this->probe_indirectly();
    }
}

// The budget does not apply while the node catches up: when all nodes start at once, it would only
// delay them.
bool swim_membership::try_consume_extra_datagram()
{
    if (this->time.now() < this->joining_until) {
        return true;
    }
    if (this->extra_datagrams == 0) {
        return false;
    }
    --this->extra_datagrams;
    return true;
}

void swim_membership::finish_probe()
{
    if (!this->outstanding) {
        return;
    }
    const auto target = this->outstanding->target;
    this->outstanding.reset();
    this->suspect(target);
}

std::optional<node_id> swim_membership::next_target()
{
    if (this->probe_order.empty()) {
        for (const auto& peer : this->table->live()) {
            this->probe_order.push_back(peer.id);
        }
        std::ranges::shuffle(this->probe_order, this->random);
    }
    while (!this->probe_order.empty()) {
        auto candidate = this->probe_order.back();
        this->probe_order.pop_back();
        const auto* entry = this->table->find(candidate);
        if (entry != nullptr && entry->record.state != member_state::dead) {
            return candidate;
        }
    }
    return std::nullopt;
}

void swim_membership::begin_probe()
{
    const auto target = this->next_target();
    if (!target) {
        return;
    }
    this->outstanding = outstanding_probe{*target, this->random()};
    this->probe_directly();
}

void swim_membership::probe_directly()
{
    if (!this->outstanding) {
        return;
    }
    const auto* entry = this->table->find(this->outstanding->target);
    if (entry == nullptr) {
        this->outstanding.reset();
        return;
    }
    this->send(entry->record.datagrams, probe{this->outstanding->nonce},
               this->suspicion_of(entry->record.id));
}

void swim_membership::probe_indirectly()
{
    if (!this->outstanding) {
        return;
    }
    const auto* entry = this->table->find(this->outstanding->target);
    const probe_request request{this->outstanding->nonce, entry->record.id,
                                entry->record.datagrams};
    for (const auto& helper : this->random_peers(this->options.indirect_probes, request.target)) {
        this->send(helper.datagrams, request);
    }
}

void swim_membership::expire_suspicions()
{
    const auto now = this->time.now();
    std::vector<node_id> expired;
    for (const auto& [id, entry] : this->table->all()) {
        if (entry.suspected_until && *entry.suspected_until <= now) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        this->declare_dead(id);
    }
}

// Under heavy packet loss the first suspicion or its refutation may be lost, so suspects are probed
// again.
void swim_membership::probe_suspects()
{
    const auto soon = this->time.now() + suspect_probe_periods * this->options.probe_period;
    std::vector<member> suspects;
    for (const auto& [id, entry] : this->table->all()) {
        const auto due = entry.is_suspected_locally || entry.suspected_until <= soon;
        if (entry.suspected_until && due && suspects.size() < max_suspect_probes) {
            suspects.push_back(entry.record);
        }
    }
    for (const auto& suspect : suspects) {
        this->send(suspect.datagrams, probe{this->random()}, this->suspicion_of(suspect.id));
    }
}

void swim_membership::remove_expired()
{
    const auto now = this->time.now();
    this->table->remove_dead_before(now - this->options.dead_retention);
    std::erase_if(this->relayed, [&](const relayed_probe& item) { return item.expires_at < now; });
}

void swim_membership::run_periodic_contacts()
{
    const auto now = this->time.now();
    if (now >= this->next_sync || this->catch_up_rounds > 0) {
        this->catch_up_rounds -= std::min(this->catch_up_rounds, 1U);
        this->next_sync = now + this->options.sync_period;
        for (const auto& peer : this->random_peers(1, this->own.id)) {
            this->synchronise_with(peer.datagrams);
        }
    }
    if (now < this->next_host_list) {
        return;
    }
    const auto is_alone = this->table->live_count() == 0;
    this->next_host_list =
        now + (is_alone ? this->options.probe_period : this->options.host_list_period);
    this->fetch_host_list();
    this->contact_dead_member();
}

void swim_membership::synchronise_with(const network_address& address)
{
    this->send(address, table_digest{this->table->digest(this->own), false});
}

void swim_membership::fetch_host_list()
{
    this->hosts.fetch(this->scope.guard([this](const result<std::vector<host_entry>>& answer) {
        if (!this->running) {
            return;
        }
        if (!answer) {
            ++this->counts.host_list_errors;
            return;
        }
        this->contact_unknown_hosts(answer.value());
    }));
}

// The host list lags, so an entry is only an address to contact; a host becomes a member when it
// answers.
void swim_membership::contact_unknown_hosts(const std::vector<host_entry>& entries)
{
    std::set<network_address> known{this->own.datagrams};
    for (const auto& peer : this->table->live()) {
        known.insert(peer.datagrams);
    }
    std::vector<network_address> unknown;
    for (const auto& entry : entries) {
        const auto port =
            static_cast<std::uint16_t>(entry.address.port + this->options.datagram_port_offset);
        network_address address{entry.address.ip, port};
        if (entry.role == host_role::entry && entry.state == host_state::live &&
            !known.contains(address)) {
            unknown.push_back(std::move(address));
        }
    }
    std::ranges::shuffle(unknown, this->random);
    unknown.resize(std::min(unknown.size(), unknown_hosts_per_fetch));
    for (const auto& address : unknown) {
        this->synchronise_with(address);
    }
}

// During a partition, nodes on the other side are declared dead. Contacting them merges both sides
// once the partition heals.
void swim_membership::contact_dead_member()
{
    const auto dead = this->table->dead();
    if (!dead.empty()) {
        this->synchronise_with(dead[random_below(this->random, dead.size())].datagrams);
    }
}

std::vector<member> swim_membership::random_peers(std::size_t count, const node_id& except) const
{
    auto candidates = this->table->live();
    std::erase_if(candidates, [&](const member& peer) { return peer.id == except; });
    for (std::size_t index = 0; index < std::min(count, candidates.size()); ++index) {
        const auto other = index + random_below(this->random, candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

} // namespace eelgrassbend
