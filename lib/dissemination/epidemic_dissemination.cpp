#include "eelgrassbend/dissemination/epidemic_dissemination.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>

namespace eelgrassbend {

using namespace std::chrono_literals;

// A message is neither sent nor taken after this time from its publication.
static constexpr duration max_age = 60s;
// Longer than a message can still arrive after its first receipt.
static constexpr duration remember_time = 150s;
static constexpr std::size_t max_remembered = 16'384;
static constexpr std::size_t max_kept = 256;
// A younger message may still be on its way to a peer that lacks it.
static constexpr duration min_repair_age = 1s;

static std::uint32_t to_milliseconds(duration span)
{
    return static_cast<std::uint32_t>(whole_milliseconds(span));
}

epidemic_dissemination::epidemic_dissemination(dissemination_options options, membership& members,
                                               peer_channel& channel, scheduler& time,
                                               random_source& random)
    : options(options),
      members(members),
      channel(channel),
      time(time),
      random(random),
      position(stable_hash(members.self().id.value()))
{
    for (const auto& known : members.peers()) {
        this->member_changed(known);
    }
    members.on_change(
        this->scope.guard([this](const member& changed) { this->member_changed(changed); }));
    channel.on_gossip([this](const network_address& from, const peer_message& message) {
        this->receive(from, message);
    });
}

epidemic_dissemination::~epidemic_dissemination()
{
    this->stop();
    this->channel.on_gossip({});
}

void epidemic_dissemination::start()
{
    this->running = true;
    this->schedule_repair();
}

void epidemic_dissemination::stop()
{
    this->running = false;
    this->time.cancel(this->timer);
}

void epidemic_dissemination::subscribe(const std::string& topic, handler receiver)
{
    this->handlers[topic] = std::move(receiver);
}

void epidemic_dissemination::member_changed(const member& changed)
{
    if (changed.id == this->members.self().id) {
        return;
    }
    const auto at = stable_hash(changed.id.value());
    auto found = std::ranges::lower_bound(this->peers, at, {}, &peer::position);
    const auto known = found != this->peers.end() && found->id == changed.id;
    if (changed.state == member_state::dead) {
        if (known) {
            this->peers.erase(found);
        }
        return;
    }
    if (known) {
        found->address = changed.datagrams;
        return;
    }
    this->peers.insert(found, peer{at, changed.id, changed.datagrams});
}

void epidemic_dissemination::publish(const std::string& topic, const std::string& payload)
{
    const gossip_message message{this->random(), 0, topic, payload};
    const auto fits = payload.size() <= max_gossip_payload_bytes && topic.size() <= max_topic_bytes;
    if (!fits || !this->remember(message)) {
        ++this->counts.dropped;
        return;
    }
    ++this->counts.published;
    this->forward(message, nullptr);
}

void epidemic_dissemination::receive(const network_address& from, const peer_message& message)
{
    if (const auto* published = std::get_if<gossip_message>(&message)) {
        this->receive_gossip(from, *published);
    }
    if (const auto* digest = std::get_if<gossip_digest>(&message)) {
        this->receive_digest(from, *digest);
    }
    if (const auto* request = std::get_if<gossip_request>(&message)) {
        this->receive_request(from, *request);
    }
}

void epidemic_dissemination::receive_gossip(const network_address& from,
                                            const gossip_message& message)
{
    if (this->seen.contains(message.id)) {
        ++this->counts.duplicates;
        return;
    }
    if (message.age_ms > to_milliseconds(max_age) || !this->remember(message)) {
        ++this->counts.dropped;
        return;
    }
    ++this->counts.delivered;
    this->forward(message, &from);
    const auto found = this->handlers.find(message.topic);
    if (found != this->handlers.end()) {
        found->second(message.payload);
    }
}

// Rather drops a message than forgets an id too early and delivers twice.
bool epidemic_dissemination::remember(const gossip_message& message)
{
    if (this->seen.size() >= max_remembered) {
        this->expire();
    }
    if (this->seen.size() >= max_remembered) {
        return false;
    }
    this->seen.emplace(message.id, this->time.now());
    this->seen_order.push_back(message.id);
    this->store.push_back({message, this->time.now(), this->time.wall_now()});
    if (this->store.size() > max_kept) {
        this->store.pop_front();
    }
    return true;
}

void epidemic_dissemination::forward(const gossip_message& message, const network_address* source)
{
    for (const auto& target : this->forward_targets(source)) {
        ++this->counts.forwarded;
        this->channel.send(target, message);
    }
}

// The monotonic clock may stand still while a host is suspended; the wall clock does not.
gossip_message epidemic_dissemination::aged(const kept_message& kept) const
{
    const auto here = std::max<duration>(this->time.now() - kept.received,
                                         this->time.wall_now() - kept.received_at);
    auto message = kept.message;
    message.age_ms += to_milliseconds(std::min<duration>(here, 2 * max_age));
    return message;
}

void epidemic_dissemination::expire()
{
    const auto now = this->time.now();
    while (!this->seen_order.empty() &&
           this->seen.at(this->seen_order.front()) + remember_time < now) {
        this->seen.erase(this->seen_order.front());
        this->seen_order.pop_front();
    }
    std::erase_if(this->store, [&](const kept_message& kept) {
        return this->aged(kept).age_ms > to_milliseconds(max_age);
    });
}

void epidemic_dissemination::schedule_repair()
{
    const auto period = this->options.repair_period;
    const auto jitter = duration{random_below(this->random, period.count() / 4)};
    this->timer = this->time.call_after(period - period / 8 + jitter, [this] {
        this->repair();
        if (this->running) {
            this->schedule_repair();
        }
    });
}

void epidemic_dissemination::repair()
{
    this->expire();
    gossip_digest digest;
    for (auto kept = this->store.rbegin(); kept != this->store.rend(); ++kept) {
        if (digest.ids.size() == max_gossip_ids) {
            break;
        }
        digest.ids.push_back(kept->message.id);
    }
    for (const auto& target : this->repair_targets()) {
        this->channel.send(target, digest);
    }
}

void epidemic_dissemination::receive_digest(const network_address& from,
                                            const gossip_digest& digest)
{
    gossip_request missing;
    for (const auto id : digest.ids) {
        if (!this->seen.contains(id) && missing.ids.size() < max_gossip_ids) {
            missing.ids.push_back(id);
        }
    }
    if (!missing.ids.empty()) {
        this->channel.send(from, missing);
    }
    if (digest.ids.size() >= max_gossip_ids) {
        return; // it was cut: what it does not name may be known there
    }
    for (const auto& kept : this->store) {
        const auto message = this->aged(kept);
        const auto lacks = std::ranges::find(digest.ids, message.id) == digest.ids.end();
        const auto old_enough = message.age_ms >= to_milliseconds(min_repair_age);
        if (lacks && old_enough && message.age_ms <= to_milliseconds(max_age)) {
            ++this->counts.repaired;
            this->channel.send(from, message);
        }
    }
}

void epidemic_dissemination::receive_request(const network_address& from,
                                             const gossip_request& request)
{
    for (const auto& kept : this->store) {
        const auto wanted = std::ranges::find(request.ids, kept.message.id) != request.ids.end();
        if (wanted) {
            ++this->counts.repaired;
            this->channel.send(from, this->aged(kept));
        }
    }
}

std::vector<network_address>
epidemic_dissemination::random_targets(std::size_t count,
                                       const std::vector<network_address>& except)
{
    std::vector<network_address> candidates;
    candidates.reserve(this->peers.size());
    for (const auto& known : this->peers) {
        if (std::ranges::find(except, known.address) == except.end()) {
            candidates.push_back(known.address);
        }
    }
    const auto chosen = std::min(count, candidates.size());
    for (std::size_t index = 0; index < chosen; ++index) {
        const auto other = index + random_below(this->random, candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    candidates.resize(chosen);
    return candidates;
}

} // namespace eelgrassbend
