#include "eelgrassbend/gateway/node_presence.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
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
/// Each so many rounds of digests the group hears of the other groups.
static constexpr std::uint64_t summary_every = 2;
/// Windows of usage that the other groups hear of in turn.
static constexpr std::size_t told_windows = 2;
/// Pause before the node's record is written again after a failure.
static constexpr std::chrono::milliseconds register_pause{500};

node_presence::node_presence(const gateway_links& links, const fleet_models& models,
                             node_identity identity)
    : links(links),
      models(models),
      identity(std::move(identity)),
      groups(models, links.random),
      positions(links.datagrams, links.time, models.fleet, *this, this->identity.node)
{
    this->incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                       links.time.wall_now().time_since_epoch())
                                       .count());
}

node_presence::~node_presence()
{
    this->links.datagrams.set_receiver(nullptr);
    for (auto& pending : {this->timer, this->register_timer}) {
        if (pending) {
            this->links.time.cancel(*pending);
        }
    }
}

void node_presence::start(const duty_lease& holder, callbacks handlers)
{
    this->lease = &holder;
    this->others = std::move(handlers);
    this->positions.start(this->others.heard);
    this->links.datagrams.set_receiver(
        [this](const network_address&, const std::string& bytes) { this->receive(bytes); });
    this->register_node();
    this->tick();
}

void node_presence::register_node()
{
    const nlohmann::json record{{"ip", this->identity.datagrams.ip},
                                {"port", this->identity.datagrams.port},
                                {"zone", this->identity.zone.value()}};
    this->links.store.append(
        topic(), {{log_offset{}, this->identity.node.value(), record.dump()}}, std::nullopt,
        this->scope.guard([this](const result<append_answer>& answer) {
            if (answer) {
                this->others.registered();
                return;
            }
            this->links.log.write(log_level::warning, "register_failed",
                                  {{"error", answer.error().to_string()}});
            this->register_timer =
                this->links.time.call_after(register_pause, [this] { this->register_node(); });
        }));
}

bool node_presence::record_written(const std::string& key, const std::string& value)
{
    const auto parsed = nlohmann::json::parse(value, nullptr, false);
    const bool is_valid = parsed.is_object() && parsed.contains("ip") && parsed.contains("port") &&
                          parsed.contains("zone") && parsed["ip"].is_string() &&
                          parsed["port"].is_number_unsigned() && parsed["zone"].is_string();
    if (!is_valid) {
        this->links.log.write(log_level::warning, "node_record_invalid", {{"node", key}});
        return true;
    }
    this->models.fleet.add_record(
        {node_id{key},
         {parsed["ip"].get<std::string>(), parsed["port"].get<std::uint16_t>()},
         availability_zone{parsed["zone"].get<std::string>()}});
    return true;
}

void node_presence::record_removed(const std::string& key, bool /*after_gap*/)
{
    this->models.fleet.remove_record(node_id{key});
}

void node_presence::announce_leaving()
{
    this->is_leaving = true;
    this->send_digest();
    this->links.store.append(topic(), {{log_offset{}, this->identity.node.value(), std::nullopt}},
                             std::nullopt,
                             this->scope.guard([this](const result<append_answer>& answer) {
                                 // The record of a node that is gone does no harm: it is silent.
                                 if (!answer) {
                                     this->links.log.write(log_level::info, "deregister_failed",
                                                           {{"error", answer.error().to_string()}});
                                 }
                             }));
}

void node_presence::tick()
{
    const auto now = this->links.time.now();
    const auto nodes = this->models.fleet.alive(now).size();
    this->turns = nodes / (nodes_at_once + 1) + 1;
    const auto interval = digest_interval_time / this->turns;
    const auto shortest = std::clamp<duration>(urgent_interval_per_node * nodes,
                                               urgent_interval_time, digest_interval_time);
    this->timer = this->links.time.call_after(std::min<duration>(shortest, interval),
                                              [this] { this->tick(); });
    const bool needs_digest =
        this->models.quotas.needs_digest() || this->models.loads.needs_digest();
    if (now < this->next_digest && !needs_digest) {
        return;
    }
    this->next_digest = now + interval;
    this->send_digest();
    if (now >= this->next_usage) {
        this->next_usage = now + usage_interval_time;
        this->send_usage();
    }
    if (now >= this->next_summary) {
        this->next_summary = now + digest_interval_time;
        this->groups.update(now);
        if (this->groups.speaks(now)) {
            this->speak_for_group();
        }
    }
    for (const auto& [node, known] : this->models.fleet.all()) {
        if (now - known.heard >= node_silence || !this->models.fleet.is_in_group(known.digest)) {
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
    digest.is_ready = this->takes_callers();
    digest.reads_store = this->others.reads_store();
    digest.callers = this->identity.callers;
    digest.datagrams = this->identity.datagrams;
    digest.zone = this->identity.zone;
    digest.duty_token = this->lease->token();
    this->sent.add(digest.sequence, this->links.time.now());
    return digest;
}

void node_presence::send_digest()
{
    auto digest = this->make_digest();
    digest.carries_load = true;
    digest.work = this->models.loads.own_work();
    digest.demand = this->models.demand.own_totals();
    digest.admitted = this->models.quotas.for_digest();
    digest.leaving = this->models.endpoints.draining_to_report(this->links.time.now());
    this->models.quotas.digest_sent();
    this->models.loads.on_digest_sent();
    ++this->digest_count;
    const bool with_silent =
        this->is_leaving || this->digest_count / this->turns % silent_every == 0;
    const auto receivers = this->models.fleet.receivers(this->links.time.now(), with_silent);
    std::vector<network_address> chosen;
    for (std::size_t index = 0; index < receivers.size(); ++index) {
        if (this->is_leaving || index % this->turns == this->digest_count % this->turns) {
            chosen.push_back(receivers[index]);
        }
    }
    this->send(digest, chosen);
    if (this->groups.speaks(this->links.time.now())) {
        this->tell_group(chosen);
    }
}

// Units admitted elsewhere are told each time, since quotas depend on them; the rest less often.
void node_presence::tell_group(const std::vector<network_address>& receivers)
{
    auto summary = this->groups.summary_elsewhere(this->links.time.now());
    if (this->digest_count / this->turns % summary_every != 0) {
        summary.work.reset();
        summary.ready.clear();
    }
    this->send_summary(summary, receivers);
}

void node_presence::send_summary(const group_summary& whole,
                                 const std::vector<network_address>& receivers)
{
    for (auto& part : split_summary(whole)) {
        auto digest = this->make_digest();
        digest.summary = std::move(part);
        this->send(digest, receivers);
    }
}

// The other representatives hear of the load each time, and of one window of usage with it.
void node_presence::speak_for_group()
{
    const auto now = this->links.time.now();
    const auto ready = this->takes_callers() ? std::optional{this->identity.callers} : std::nullopt;
    const auto summary = this->groups.own_summary(now, this->holder_in_group(), ready);
    auto receivers = this->groups.representatives(now);
    this->send_summary(summary, receivers);
    const auto windows = this->models.usage.group_counts();
    if (windows.empty()) {
        return;
    }
    if (const auto holder = this->groups.holder_elsewhere(now)) {
        receivers.push_back(*holder);
    }
    auto digest = this->make_digest();
    digest.summary.emplace();
    digest.summary->group = summary.group;
    digest.summary->heard = summary.heard;
    digest.summary->serving = summary.serving;
    digest.summary->duty_holder = summary.duty_holder;
    const auto back = std::min(windows.size(), 1 + ++this->summary_turn % told_windows);
    digest.summary->usage.insert(*std::prev(windows.end(), static_cast<std::ptrdiff_t>(back)));
    this->send(digest, receivers);
}

// Usage has datagrams of its own, since with many organisations it leaves no room for the load. The
// two newest windows and the two before take turns.
void node_presence::send_usage()
{
    auto digest = this->make_digest();
    digest.usage = this->models.usage.own();
    const bool is_newest = ++this->usage_turn % 2 == 1;
    while (digest.usage.size() > windows_in_digest) {
        digest.usage.erase(is_newest ? digest.usage.begin() : std::prev(digest.usage.end()));
    }
    std::vector<network_address> chosen;
    std::size_t before = 0;
    for (const auto* node : this->models.fleet.alive(this->links.time.now())) {
        if (node->digest.duty_token || before++ < successors) {
            chosen.push_back(node->digest.datagrams);
        }
    }
    this->send(digest, chosen);
}

void node_presence::send(const node_digest& digest, const std::vector<network_address>& receivers)
{
    const auto bytes = encode_digest(digest);
    for (const auto& address : receivers) {
        this->links.datagrams.send(address, bytes);
    }
}

void node_presence::receive(const std::string& bytes)
{
    const auto digest = decode_digest(bytes);
    if (!digest) {
        this->links.log.write(log_level::warning, "digest_invalid",
                              {{"error", digest.error().to_string()}});
        return;
    }
    const auto now = this->links.time.now();
    const auto& told = digest.value();
    const bool is_newest = this->models.fleet.heard(told, now);
    if (!is_newest && !this->models.fleet.is_late(told)) {
        return;
    }
    if (this->models.fleet.is_in_group(told)) {
        if (told.carries_load && is_newest) {
            this->models.loads.set_peer_work(told.node, told.work);
            this->models.quotas.heard(told.node, told.incarnation, told.admitted, now);
            this->models.demand.record_peer_totals(told.node, told.incarnation, told.demand);
        }
        this->models.usage.heard(told.node, told.incarnation, told.usage);
    }
    for (const auto& leaving : told.leaving) {
        this->models.endpoints.mark_draining_from_peer(leaving, now);
    }
    this->groups.heard(told, now);
    std::optional<monotonic_time> sent_at;
    if (told.echo && told.echo->incarnation == this->incarnation) {
        sent_at = this->sent.time_of(told.echo->sequence);
    }
    this->positions.heard(told, sent_at);
}

bool node_presence::takes_callers() const
{
    return !this->is_leaving && this->others.is_ready();
}

std::vector<network_address> node_presence::ready_elsewhere() const
{
    return this->groups.ready_elsewhere(this->links.time.now());
}

std::optional<network_address> node_presence::holder_in_group() const
{
    if (this->lease->token()) {
        return this->identity.datagrams;
    }
    for (const auto* node : this->models.fleet.alive(this->links.time.now())) {
        if (node->digest.duty_token) {
            return node->digest.datagrams;
        }
    }
    return std::nullopt;
}

bool node_presence::other_holder_heard() const
{
    const auto holder = this->holder_in_group();
    return (holder && *holder != this->identity.datagrams) ||
           this->groups.holder_elsewhere(this->links.time.now()).has_value();
}

// The first nodes of all groups come before the second ones.
std::size_t node_presence::rank() const
{
    std::size_t before = 0;
    for (const auto* node : this->models.fleet.alive(this->links.time.now())) {
        if (!node->digest.is_leaving && node->digest.node < this->identity.node) {
            ++before;
        }
    }
    const auto& division = this->models.fleet.groups();
    return before * division.group_count() + division.own_place();
}

} // namespace eelgrassbend
