#include "eelgrassbend/membership/swim_membership.h"

#include "member_table.h"
#include "update_queue.h"
#include "version_exchange.h"

#include <algorithm>
#include <cmath>

namespace eelgrassbend {

using namespace std::chrono_literals;

static constexpr std::size_t message_base_bytes = 96;
static constexpr std::size_t version_sample_bytes = 10;
static constexpr std::size_t bucket_bytes = 5;
// Maximum number of datagrams that answer a digest.
static constexpr std::size_t max_sync_datagrams = 4;
// A leaving node notifies `leaving_fanout` nodes directly; each node that receives the update
// forwards it to `forward_fanout` nodes.
static constexpr std::size_t leaving_fanout = 8;
static constexpr std::size_t forward_fanout = 4;
static constexpr std::size_t max_relayed_probes = 64;
// A process that has run for less than this is assumed to have taken its name over from another
// process, so it refutes a record with a later start time instead of stopping.
static constexpr duration takeover_age = 60s;
// A relayed suspicion lasts longer, since normally the node that probed declares the death.
static constexpr int relayed_suspicion_factor = 2;

void swim_membership::receive(const network_address& from, const swim_message& message)
{
    if (!this->running) {
        return;
    }
    const auto members_before = this->table->live_count();
    this->apply_sender(message.sender);
    for (const auto& update : message.updates) {
        this->apply(update);
    }
    for (const auto& sample : message.versions) {
        const auto* id = this->versions->find(sample.key);
        auto* entry = id == nullptr ? nullptr : this->table->find(*id);
        if (entry != nullptr && sample.version > entry->record.bundle) {
            entry->record.bundle = sample.version;
            this->versions->mark_changed(entry->record);
            this->notify(entry->record);
        }
    }
    const auto is_joining = this->time.now() < this->joining_until;
    if (is_joining && this->table->live_count() > members_before) {
        this->catch_up_rounds = std::max(this->catch_up_rounds, 2U);
    }
    if (this->running) {
        this->handle_body(from, message);
    }
}

void swim_membership::apply_sender(const member& sender)
{
    this->apply(sender);
    auto* entry = this->table->find(sender.id);
    if (entry == nullptr || entry->record.incarnation != sender.incarnation) {
        return;
    }
    if (entry->record.state == member_state::leaving) {
        entry->suspected_until.reset();
        entry->is_suspected_locally = false;
    }
    if (sender.bundle > entry->record.bundle) {
        entry->record.bundle = sender.bundle;
        this->versions->mark_changed(entry->record);
        this->notify(entry->record);
    }
}

// Returns the record that the member `id` has to refute; empty if it is neither suspect nor dead.
std::vector<member> swim_membership::suspicion_of(const node_id& id) const
{
    const auto* entry = this->table->find(id);
    if (entry == nullptr) {
        return {};
    }
    const auto state = entry->record.state;
    if (state != member_state::suspect && state != member_state::dead) {
        return {};
    }
    return {entry->record};
}

void swim_membership::handle_body(const network_address& from, const swim_message& message)
{
    const auto& sender = message.sender.id;
    if (const auto* received_probe = std::get_if<probe>(&message.body)) {
        this->send(from, probe_ack{received_probe->nonce}, this->suspicion_of(sender));
        return;
    }
    if (const auto* digest = std::get_if<table_digest>(&message.body)) {
        this->handle_digest(from, *digest);
    }
    if (const auto* received_ack = std::get_if<probe_ack>(&message.body)) {
        this->handle_ack(received_ack->nonce, sender);
    }
    if (const auto* request = std::get_if<probe_request>(&message.body)) {
        this->handle_probe_request(from, *request);
    }
    if (const auto* received_relayed_ack = std::get_if<relayed_ack>(&message.body)) {
        this->handle_ack(received_relayed_ack->nonce, received_relayed_ack->target);
    }
    const auto suspicion = this->suspicion_of(sender);
    if (!suspicion.empty() && this->try_consume_extra_datagram()) {
        this->send(from, no_body{}, suspicion);
    }
}

void swim_membership::handle_ack(std::uint64_t nonce, const node_id& sender)
{
    if (this->outstanding && this->outstanding->nonce == nonce &&
        this->outstanding->target == sender) {
        this->outstanding.reset();
        return;
    }
    const auto found = std::ranges::find(this->relayed, nonce, &relayed_probe::own_nonce);
    if (found != this->relayed.end()) {
        this->send(found->origin, relayed_ack{found->nonce, sender});
        this->relayed.erase(found);
    }
}

void swim_membership::handle_probe_request(const network_address& from,
                                           const probe_request& request)
{
    if (this->relayed.size() >= max_relayed_probes) {
        return;
    }
    const auto expires_at = this->time.now() + this->options.probe_period;
    this->relayed.push_back({this->random(), request.nonce, from, expires_at});
    this->send(request.address, probe{this->relayed.back().own_nonce});
}

void swim_membership::handle_digest(const network_address& from, const table_digest& digest)
{
    const auto mine = this->table->digest(this->own);
    if (mine == digest.buckets) {
        return;
    }
    if (!digest.is_answer) {
        this->send(from, table_digest{mine, true});
    }
    this->send_records(from, this->table->records_in_differing_buckets(mine, digest.buckets));
}

void swim_membership::send_records(const network_address& to, const std::vector<member>& records)
{
    auto shuffled = records;
    std::ranges::shuffle(shuffled, this->random);
    const auto budget = max_message_bytes - message_base_bytes - encoded_member_bytes(this->own);
    auto next = shuffled.begin();
    for (std::size_t count = 0; count < max_sync_datagrams && next != shuffled.end(); ++count) {
        swim_message message{this->own, no_body{}, {}, {}};
        std::size_t used = 0;
        while (next != shuffled.end() && used + encoded_member_bytes(*next) <= budget) {
            used += encoded_member_bytes(*next);
            message.updates.push_back(*next++);
        }
        if (message.updates.empty() || !this->try_consume_extra_datagram()) {
            return;
        }
        this->channel.send(to, message);
    }
}

bool swim_membership::apply(const member& update)
{
    if (update.id == this->own.id) {
        this->apply_to_self(update);
        return false;
    }
    if (!this->table->supersedes(update)) {
        return false;
    }
    const auto* before = this->table->find(update.id);
    const auto was_leaving = before != nullptr && before->record.state == member_state::leaving;
    const auto is_new = before == nullptr || before->record.state == member_state::dead;
    if (before != nullptr) {
        this->versions->remove(before->record);
    }
    auto& entry = this->table->store(update, this->time.now());
    if (update.state == member_state::suspect) {
        entry.suspected_until =
            this->time.now() + relayed_suspicion_factor * this->suspicion_time();
    }
    if (update.state != member_state::dead) {
        this->versions->add(entry.record);
    }
    if (is_new && update.state != member_state::dead) {
        const auto position = random_below(this->random, this->probe_order.size() + 1);
        this->probe_order.insert(this->probe_order.begin() + static_cast<std::ptrdiff_t>(position),
                                 update.id);
    }
    const auto changed = entry.record;
    this->enqueue_update(changed);
    if (changed.state == member_state::leaving && !was_leaving) {
        this->send_update_now(changed, forward_fanout);
    }
    this->notify(changed);
    return true;
}

// Another process may use the name of this node: a newer one at another address takes over, and
// records of an older one are ignored.
void swim_membership::apply_to_self(const member& update)
{
    const auto is_same = update.incarnation == this->own.incarnation;
    if (update.incarnation < this->own.incarnation ||
        (is_same && update.state <= this->own.state)) {
        return;
    }
    const auto is_newer =
        incarnation_start(update.incarnation) > incarnation_start(this->own.incarnation);
    const auto has_other_address = update.datagrams != this->own.datagrams;
    if (is_newer && has_other_address && this->time.now() - this->started > takeover_age) {
        this->superseded = true;
        this->own.state = member_state::dead;
        this->stop();
        this->notify(this->own);
        return;
    }
    ++this->counts.refutations;
    this->raise_incarnation(update.incarnation);
    this->send_update_now(this->own, forward_fanout);
}

void swim_membership::raise_incarnation(std::uint64_t above)
{
    this->own.incarnation = std::max(this->own.incarnation, above) + 1;
}

void swim_membership::announce_leaving()
{
    if (this->own.state != member_state::alive) {
        return;
    }
    this->own.state = member_state::leaving;
    this->raise_incarnation(this->own.incarnation);
    this->send_update_now(this->own, leaving_fanout);
    this->notify(this->own);
}

void swim_membership::suspect(const node_id& id)
{
    auto* entry = this->table->find(id);
    if (entry == nullptr || entry->record.state == member_state::dead) {
        return;
    }
    ++this->counts.suspicions;
    const auto deadline = this->time.now() + this->suspicion_time();
    entry->suspected_until = std::min(entry->suspected_until.value_or(deadline), deadline);
    entry->is_suspected_locally = true;
    if (entry->record.state != member_state::alive) {
        return;
    }
    entry->record.state = member_state::suspect;
    const auto changed = entry->record;
    this->enqueue_update(changed);
    this->send(changed.datagrams, no_body{}, {changed});
    this->notify(changed);
}

void swim_membership::declare_dead(const node_id& id)
{
    ++this->counts.declared_dead;
    auto dead_record = this->table->find(id)->record;
    dead_record.state = member_state::dead;
    this->apply(dead_record);
}

// Only for records of other members: each message carries the own record anyway.
void swim_membership::enqueue_update(const member& update)
{
    this->updates->push(update);
}

void swim_membership::send_update_now(const member& update, std::size_t fanout)
{
    for (const auto& peer : this->random_peers(fanout, update.id)) {
        if (!this->try_consume_extra_datagram()) {
            return;
        }
        this->send(peer.datagrams, no_body{}, {update});
    }
}

static std::size_t body_bytes(const decltype(swim_message::body)& content)
{
    const auto* digest = std::get_if<table_digest>(&content);
    return digest == nullptr ? 0 : digest->buckets.size() * bucket_bytes;
}

void swim_membership::send(const network_address& to, body content,
                           const std::vector<member>& first)
{
    swim_message message{this->own, std::move(content), {}, {}};
    for (const auto key : this->versions->sample_keys(this->random)) {
        const auto* id = this->versions->find(key);
        const auto* entry = id == nullptr ? nullptr : this->table->find(*id);
        if (entry != nullptr) {
            message.versions.push_back({key, entry->record.bundle});
        }
    }
    std::size_t used = message_base_bytes + encoded_member_bytes(this->own) +
                       body_bytes(message.body) + message.versions.size() * version_sample_bytes;
    for (const auto& record : first) {
        if (record.id != this->own.id) {
            used += encoded_member_bytes(record);
            message.updates.push_back(record);
        }
    }
    const auto size_logarithm = std::log2(static_cast<double>(this->table->live_count() + 2));
    const auto limit =
        static_cast<std::uint32_t>(std::ceil(this->options.retransmit_factor * size_logarithm));
    const auto budget = max_message_bytes - std::min(used, max_message_bytes);
    for (auto& update : this->updates->take(budget, limit)) {
        message.updates.push_back(std::move(update));
    }
    this->channel.send(to, message);
}

} // namespace eelgrassbend
