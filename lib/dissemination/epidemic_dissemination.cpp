#include "eelgrassbend/dissemination/epidemic_dissemination.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>

namespace eelgrassbend {

using namespace std::chrono_literals;

// A message is neither sent nor accepted once this much time has passed since its publication.
static constexpr duration max_message_age = 60s;
// Exceeds the time for which a duplicate can still arrive after the first receipt of a message.
static constexpr duration seen_id_retention = 150s;
static constexpr std::size_t max_seen_ids = 16'384;
static constexpr std::size_t max_stored_messages = 256;
// A younger message may still be in transit to a peer that has not received it.
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
        this->on_member_changed(known);
    }
    members.on_change(
        this->scope.guard([this](const member& changed) { this->on_member_changed(changed); }));
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

void epidemic_dissemination::on_member_changed(const member& changed)
{
    if (changed.id == this->members.self().id) {
        return;
    }
    const auto key = stable_hash(changed.id.value());
    auto found = std::ranges::lower_bound(this->peers, key, {}, &peer::position);
    const auto is_known = found != this->peers.end() && found->id == changed.id;
    if (changed.state == member_state::dead) {
        if (is_known) {
            this->peers.erase(found);
        }
        return;
    }
    if (is_known) {
        found->address = changed.datagrams;
        return;
    }
    this->peers.insert(found, peer{key, changed.id, changed.datagrams});
}

void epidemic_dissemination::publish(const std::string& topic, const std::string& payload)
{
    const gossip_message message{this->random(), 0, topic, payload};
    const auto fits = payload.size() <= max_gossip_payload_bytes && topic.size() <= max_topic_bytes;
    if (!fits || !this->store_message(message)) {
        ++this->counts.dropped;
        return;
    }
    ++this->counts.published;
    this->forward(message, nullptr);
}

void epidemic_dissemination::receive(const network_address& from, const peer_message& message)
{
    if (const auto* gossip = std::get_if<gossip_message>(&message)) {
        this->receive_gossip(from, *gossip);
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
    if (this->seen_ids.contains(message.id)) {
        ++this->counts.duplicates;
        return;
    }
    if (message.age_ms > to_milliseconds(max_message_age) || !this->store_message(message)) {
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

// Drops the message if the bound of stored ids is reached: removing an id too early could deliver a
// message twice.
bool epidemic_dissemination::store_message(const gossip_message& message)
{
    if (this->seen_ids.size() >= max_seen_ids) {
        this->remove_expired();
    }
    if (this->seen_ids.size() >= max_seen_ids) {
        return false;
    }
    this->seen_ids.emplace(message.id, this->time.now());
    this->seen_ids_by_age.push_back(message.id);
    this->stored_messages.push_back({message, this->time.now(), this->time.wall_now()});
    if (this->stored_messages.size() > max_stored_messages) {
        this->stored_messages.pop_front();
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

// The monotonic clock may stop while the host is suspended, unlike the wall clock, so the larger of
// both differences is added to the age.
gossip_message epidemic_dissemination::with_current_age(const stored_message& stored) const
{
    const auto time_stored = std::max<duration>(this->time.now() - stored.received_monotonic,
                                                this->time.wall_now() - stored.received_wall);
    auto message = stored.message;
    message.age_ms += to_milliseconds(std::min<duration>(time_stored, 2 * max_message_age));
    return message;
}

void epidemic_dissemination::remove_expired()
{
    const auto now = this->time.now();
    while (!this->seen_ids_by_age.empty() &&
           this->seen_ids.at(this->seen_ids_by_age.front()) + seen_id_retention < now) {
        this->seen_ids.erase(this->seen_ids_by_age.front());
        this->seen_ids_by_age.pop_front();
    }
    std::erase_if(this->stored_messages, [&](const stored_message& stored) {
        return this->with_current_age(stored).age_ms > to_milliseconds(max_message_age);
    });
}

void epidemic_dissemination::schedule_repair()
{
    const auto period = this->options.repair_period;
    const auto jitter = duration{random_below(this->random, period.count() / 4)};
    this->timer = this->time.call_after(period - period / 8 + jitter, [this] {
        this->send_digests();
        if (this->running) {
            this->schedule_repair();
        }
    });
}

void epidemic_dissemination::send_digests()
{
    this->remove_expired();
    gossip_digest digest;
    for (auto stored = this->stored_messages.rbegin(); stored != this->stored_messages.rend();
         ++stored) {
        if (digest.ids.size() == max_gossip_ids) {
            break;
        }
        digest.ids.push_back(stored->message.id);
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
        if (!this->seen_ids.contains(id) && missing.ids.size() < max_gossip_ids) {
            missing.ids.push_back(id);
        }
    }
    if (!missing.ids.empty()) {
        this->channel.send(from, missing);
    }
    if (digest.ids.size() >= max_gossip_ids) {
        return; // the digest may be truncated, so the peer may have messages that it does not list
    }
    for (const auto& stored : this->stored_messages) {
        const auto message = this->with_current_age(stored);
        const auto is_missing = std::ranges::find(digest.ids, message.id) == digest.ids.end();
        const auto is_old_enough = message.age_ms >= to_milliseconds(min_repair_age);
        if (is_missing && is_old_enough && message.age_ms <= to_milliseconds(max_message_age)) {
            ++this->counts.repaired;
            this->channel.send(from, message);
        }
    }
}

void epidemic_dissemination::receive_request(const network_address& from,
                                             const gossip_request& request)
{
    for (const auto& stored : this->stored_messages) {
        const auto is_requested =
            std::ranges::find(request.ids, stored.message.id) != request.ids.end();
        if (is_requested) {
            ++this->counts.repaired;
            this->channel.send(from, this->with_current_age(stored));
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
    const auto selected = std::min(count, candidates.size());
    for (std::size_t index = 0; index < selected; ++index) {
        const auto other = index + random_below(this->random, candidates.size() - index);
        std::swap(candidates[index], candidates[other]);
    }
    candidates.resize(selected);
    return candidates;
}

} // namespace eelgrassbend
