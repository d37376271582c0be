#include "eelgrassbend/gateway/node_presence.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace eelgrassbend {

/// Time between two digests; a node that is silent for several is taken out of the directory.
static constexpr std::chrono::milliseconds digest_interval_time{250};
/// Least time between two digests where the next one is urgent: for a few nodes, and for
/// each node that gets them, so that many nodes do not spend their time on them.
static constexpr std::chrono::milliseconds urgent_interval_time{40};
static constexpr std::chrono::milliseconds urgent_interval_per_node{5};
/// Digests go to so many nodes at a time; more at once overflow the link of a small machine.
static constexpr std::size_t nodes_at_once = 20;
/// Nodes that hear of usage beside the holder of the duties: those that would take over.
static constexpr std::size_t successors = 2;
/// Time between two datagrams with usage; a window is reported well after its end.
static constexpr std::chrono::milliseconds usage_interval_time{500};
static constexpr std::size_t windows_in_digest = 2;
/// Each so many rounds of digests goes to silent nodes too, so that they are heard when they come
/// back.
static constexpr std::uint64_t silent_every = 4;
/// With fewer nodes than this, one reads the store for all.
static constexpr std::size_t nodes_with_one_reader = 16;
/// Pause before the node's record is written again after a failure.
static constexpr std::chrono::milliseconds register_pause{500};

node_presence::node_presence(record_store& store, datagram_transport& datagrams, scheduler& time,
                             event_log& log, node_identity identity, fleet_view& fleet,
                             load_model& loads, fleet_quota& quotas, retry_budget& retries,
                             usage_board& usage)
    : store(store),
      datagrams(datagrams),
      time(time),
      log(log),
      identity(std::move(identity)),
      fleet(fleet),
      loads(loads),
      quotas(quotas),
      retries(retries),
      usage(usage)
{
    this->incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time.wall_now().time_since_epoch())
            .count());
}

node_presence::~node_presence()
{
    this->datagrams.set_receiver(nullptr);
    for (auto& pending : {this->timer, this->register_timer}) {
        if (pending) {
            this->time.cancel(*pending);
        }
    }
}

void node_presence::start(const duty_lease& holder, callbacks handlers)
{
    this->lease = &holder;
    this->others = std::move(handlers);
    this->datagrams.set_receiver(
        [this](const network_address&, const std::string& bytes) { this->receive(bytes); });
    this->register_node();
    this->tick();
}

void node_presence::register_node()
{
    const nlohmann::json record{{"ip", this->identity.datagrams.ip},
                                {"port", this->identity.datagrams.port}};
    this->store.append(topic(), {{log_offset{}, this->identity.node.value(), record.dump()}},
                       std::nullopt, this->scope.guard([this](const result<append_answer>& answer) {
                           if (answer) {
                               this->others.registered();
                               return;
                           }
                           this->log.write(log_level::warning, "register_failed",
                                           {{"error", answer.error().to_string()}});
                           this->register_timer = this->time.call_after(
                               register_pause, [this] { this->register_node(); });
                       }));
}

bool node_presence::record_written(const std::string& key, const std::string& value)
{
    const auto parsed = nlohmann::json::parse(value, nullptr, false);
    const bool is_valid = parsed.is_object() && parsed.contains("ip") && parsed.contains("port") &&
                          parsed["ip"].is_string() && parsed["port"].is_number_unsigned();
    if (!is_valid) {
        this->log.write(log_level::warning, "node_record_invalid", {{"node", key}});
        return true;
    }
    this->fleet.add_record(
        {node_id{key}, {parsed["ip"].get<std::string>(), parsed["port"].get<std::uint16_t>()}});
    return true;
}

void node_presence::record_removed(const std::string& key, bool /*after_gap*/)
{
    this->fleet.remove_record(node_id{key});
}

void node_presence::announce_leaving()
{
    this->is_leaving = true;
    this->send_digest();
    this->store.append(topic(), {{log_offset{}, this->identity.node.value(), std::nullopt}},
                       std::nullopt, this->scope.guard([this](const result<append_answer>& answer) {
                           // The record of a node that is gone does no harm: it is silent.
                           if (!answer) {
                               this->log.write(log_level::info, "deregister_failed",
                                               {{"error", answer.error().to_string()}});
                           }
                       }));
}

void node_presence::tick()
{
    const auto now = this->time.now();
    const auto nodes = this->fleet.alive(now).size();
    this->turns = nodes / (nodes_at_once + 1) + 1;
    const auto interval = digest_interval_time / this->turns;
    const auto shortest = std::clamp<duration>(urgent_interval_per_node * nodes,
                                               urgent_interval_time, digest_interval_time);
    this->timer =
        this->time.call_after(std::min<duration>(shortest, interval), [this] { this->tick(); });
    const bool needs_digest = this->quotas.needs_digest() || this->loads.needs_digest();
    if (now < this->next_digest && !needs_digest) {
        return;
    }
    this->next_digest = now + interval;
    this->send_digest();
    if (now >= this->next_usage) {
        this->next_usage = now + usage_interval_time;
        this->send_usage();
    }
    this->quotas.set_heard_share(this->fleet.heard_share(now), now);
    this->retries.set_node_count(nodes + 1);
    for (const auto& [node, known] : this->fleet.all()) {
        if (now - known.heard >= node_silence) {
            this->loads.forget_peer(node);
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
    digest.is_ready = !this->is_leaving && this->others.is_ready();
    digest.reads_store = this->others.reads_store();
    digest.callers = this->identity.callers;
    digest.datagrams = this->identity.datagrams;
    digest.zone = this->identity.zone;
    digest.duty_token = this->lease->token();
    return digest;
}

void node_presence::send_digest()
{
    auto digest = this->make_digest();
    digest.carries_load = true;
    digest.work = this->loads.own_work();
    digest.admitted = this->quotas.admitted();
    this->quotas.digest_sent();
    this->loads.digest_sent();
    ++this->digest_count;
    const bool with_silent =
        this->is_leaving || this->digest_count / this->turns % silent_every == 0;
    const auto receivers = this->fleet.receivers(this->time.now(), with_silent);
    std::vector<network_address> chosen;
    for (std::size_t index = 0; index < receivers.size(); ++index) {
        if (this->is_leaving || index % this->turns == this->digest_count % this->turns) {
            chosen.push_back(receivers[index]);
        }
    }
    this->send(digest, chosen);
}

// Usage has datagrams of its own, since with many organisations it leaves no room for the load. The
// two newest windows and the two before take turns.
void node_presence::send_usage()
{
    auto digest = this->make_digest();
    digest.usage = this->usage.own();
    const bool is_newest = ++this->usage_turn % 2 == 1;
    while (digest.usage.size() > windows_in_digest) {
        digest.usage.erase(is_newest ? digest.usage.begin() : std::prev(digest.usage.end()));
    }
    std::vector<network_address> chosen;
    std::size_t before = 0;
    for (const auto* node : this->fleet.alive(this->time.now())) {
        if (node->digest.duty_token || before++ < successors) {
            chosen.push_back(node->digest.datagrams);
        }
    }
    this->send(digest, chosen);
}

void node_presence::send(const node_digest& digest, const std::vector<network_address>& receivers)
{
    const auto bytes = encode_digest(digest);
    this->sent.add(digest.sequence, this->time.now());
    for (const auto& address : receivers) {
        this->datagrams.send(address, bytes);
    }
}

void node_presence::receive(const std::string& bytes)
{
    const auto digest = decode_digest(bytes);
    if (!digest) {
        this->log.write(log_level::warning, "digest_invalid",
                        {{"error", digest.error().to_string()}});
        return;
    }
    const auto now = this->time.now();
    const auto& told = digest.value();
    if (!this->fleet.heard(told, now)) {
        return;
    }
    if (told.carries_load) {
        this->loads.peer_work(told.node, told.work);
        this->quotas.heard(told.node, told.incarnation, told.admitted, now);
    }
    this->usage.heard(told.node, told.incarnation, told.usage);
    this->take_positions(told);
}

// How old a position is shows from the echo: the other node sent it after it had heard that digest
// of this node. The time of its arrival says nothing if this process was paused meanwhile.
void node_presence::take_positions(const node_digest& told)
{
    std::optional<monotonic_time> sent_at;
    if (told.echo && told.echo->incarnation == this->incarnation) {
        sent_at = this->sent.time_of(told.echo->sequence);
    }
    for (const auto& position : told.positions) {
        std::optional<monotonic_time> as_of;
        if (sent_at) {
            as_of = *sent_at - position.age;
        }
        this->others.heard(position, as_of);
    }
}

// Few nodes have one reader for all of them; with many, each zone has its own.
bool node_presence::is_in_group(const known_node& other) const
{
    return this->fleet.alive(this->time.now()).size() < nodes_with_one_reader ||
           other.digest.zone == this->identity.zone;
}

bool node_presence::is_reader() const
{
    for (const auto* node : this->fleet.alive(this->time.now())) {
        const auto& told = node->digest;
        if (told.reads_store && !told.is_leaving && told.node < this->identity.node &&
            this->is_in_group(*node)) {
            return false;
        }
    }
    return true;
}

void node_presence::pass_on(const std::vector<topic_position>& positions)
{
    for (const auto* node : this->fleet.alive(this->time.now())) {
        if (!this->is_in_group(*node)) {
            continue;
        }
        for (const auto& position : positions) {
            auto digest = this->make_digest();
            digest.echo = digest_number{node->digest.incarnation, node->digest.sequence};
            digest.positions = {position};
            this->datagrams.send(node->digest.datagrams, encode_digest(digest));
        }
    }
}

bool node_presence::other_holder_heard() const
{
    for (const auto* node : this->fleet.alive(this->time.now())) {
        if (node->digest.duty_token) {
            return true;
        }
    }
    return false;
}

std::size_t node_presence::rank() const
{
    std::size_t before = 0;
    for (const auto* node : this->fleet.alive(this->time.now())) {
        if (!node->digest.is_leaving && node->digest.node < this->identity.node) {
            ++before;
        }
    }
    return before;
}

} // namespace eelgrassbend
