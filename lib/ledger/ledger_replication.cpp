#include "eelgrassbend/ledger/replicated_ledger.h"
#include "eelgrassbend/support/hash.h"

#include "ledger_replicas.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// The best of `names` first, as far as zones are left out at first that are taken already.
static std::vector<member> spread_over_zones(const std::vector<member>& ranked)
{
    std::vector<member> first;
    std::vector<member> rest;
    std::set<availability_zone> taken;
    for (const auto& candidate : ranked) {
        (taken.insert(candidate.zone).second ? first : rest).push_back(candidate);
    }
    first.insert(first.end(), rest.begin(), rest.end());
    return first;
}

void replicated_ledger::refresh_candidates()
{
    if (this->candidates_known) {
        return;
    }
    this->candidates_known = true;
    const auto& self = this->on.members.self();
    std::map<std::string, member> eligible;
    std::vector<std::string> names;
    for (const auto& peer : this->on.members.peers()) {
        if (peer.state == member_state::alive && peer.zone != self.zone) {
            names.push_back(peer.id.value());
            eligible.emplace(peer.id.value(), peer);
        }
    }
    std::vector<member> ranked;
    for (const auto& name : rendezvous(self.id.value(), names, names.size())) {
        ranked.push_back(eligible.at(name));
    }
    this->candidates = spread_over_zones(ranked);
}

// The same few peers for all lines of a node, so that lines of many requests share a call.
std::vector<member> replicated_ledger::choose_replicas()
{
    this->refresh_candidates();
    std::vector<member> chosen;
    for (const auto& candidate : this->candidates) {
        const auto penalty = this->penalties.find(candidate.id);
        const bool penalised =
            penalty != this->penalties.end() && penalty->second > this->on.timer.now();
        if (!penalised && chosen.size() < this->settings.replicas) {
            chosen.push_back(candidate);
        }
    }
    return chosen;
}

void replicated_ledger::replicate(const request_id& request, open_line& open)
{
    const auto targets = this->choose_replicas();
    for (const auto& target : targets) {
        const auto holder = open.holders.find(target.id);
        if (holder != open.holders.end() && holder->second >= open.stage) {
            continue;
        }
        auto& box = this->outboxes[target.id];
        box.address = target.calls;
        box.lines.insert(request);
        open.asked.insert(target.id);
        this->schedule_outbox(target.id, open.stage == line_stage::intended
                                             ? this->settings.intend_window
                                             : this->settings.confirm_window);
    }
    if (targets.size() < this->settings.replicas) {
        this->needy.insert(request);
        this->retry_needy();
    }
}

void replicated_ledger::schedule_outbox(const node_id& peer, duration window)
{
    auto& box = this->outboxes[peer];
    if (box.calling || (box.scheduled && window >= this->settings.confirm_window)) {
        return;
    }
    box.scheduled = true;
    this->on.timer.call_after(window, [this, peer] { this->send_outbox(peer); });
}

void replicated_ledger::send_outbox(const node_id& peer)
{
    auto& box = this->outboxes[peer];
    box.scheduled = false;
    if (box.calling) {
        return;
    }
    if (!box.lines.empty()) {
        this->send_lines(peer, box);
        return;
    }
    if (!box.drops.empty()) {
        this->send_drops(peer, box);
    }
}

void replicated_ledger::send_lines(const node_id& peer, outbox& box)
{
    ledger_store message{{this->on.members.self().id, this->session}, {}, {}};
    std::vector<std::pair<request_id, line_stage>> sent;
    while (!box.lines.empty() && sent.size() < this->settings.batch_lines) {
        const auto request = box.lines.extract(box.lines.begin()).value();
        const auto found = this->lines.find(request);
        if (found == this->lines.end()) {
            continue;
        }
        const auto stage = found->second.stage;
        auto& list = stage == line_stage::intended ? message.intended : message.confirmed;
        list.push_back(found->second.line);
        sent.emplace_back(request, stage);
    }
    if (sent.empty()) {
        return;
    }
    box.calling = true;
    auto bytes = encode_ledger_store(message);
    ++this->counts.peer_calls;
    this->counts.peer_bytes += bytes.size();
    this->on.peers.call(box.address, peer_method::ledger_store, std::move(bytes),
                        this->settings.call_timeout,
                        [this, peer, sent = std::move(sent)](const result<std::string>& answer) {
                            this->on_stored(peer, sent, answer);
                        });
}

void replicated_ledger::on_stored(const node_id& peer,
                                  const std::vector<std::pair<request_id, line_stage>>& sent,
                                  const result<std::string>& answer)
{
    this->outboxes[peer].calling = false;
    if (!answer) {
        this->penalise(peer, answer.error());
    }
    for (const auto& [request, stage] : sent) {
        const auto found = this->lines.find(request);
        if (found == this->lines.end()) {
            continue;
        }
        auto& open = found->second;
        if (!answer) {
            this->replicate(request, open);
            continue;
        }
        open.holders[peer] = std::max(open.holders[peer], stage);
        this->settle_intent(open);
    }
    const auto& box = this->outboxes[peer];
    if (!box.lines.empty() || !box.drops.empty()) {
        this->schedule_outbox(peer, box.lines.empty() ? this->settings.drop_window
                                                      : this->settings.intend_window);
    }
}

void replicated_ledger::send_drops(const node_id& peer, outbox& box)
{
    ledger_drop message{{this->on.members.self().id, this->session}, {}};
    message.requests.assign(box.drops.begin(), box.drops.end());
    box.calling = true;
    auto bytes = encode_ledger_drop(message);
    ++this->counts.peer_calls;
    this->counts.peer_bytes += bytes.size();
    this->on.peers.call(
        box.address, peer_method::ledger_drop, std::move(bytes), this->settings.call_timeout,
        [this, peer, sent = std::move(message.requests)](const result<std::string>& answer) {
            this->on_dropped(peer, sent, answer);
        });
}

void replicated_ledger::on_dropped(const node_id& peer, const std::vector<request_id>& sent,
                                   const result<std::string>& answer)
{
    auto& box = this->outboxes[peer];
    box.calling = false;
    // A drop that is lost for good costs a second record, which the fold passes over.
    const bool forget = box.drops.size() > this->settings.open_lines;
    if (answer || forget) {
        for (const auto& request : sent) {
            box.drops.erase(request);
        }
    }
    if (!answer) {
        this->penalise(peer, answer.error());
    }
    if (!box.lines.empty() || !box.drops.empty()) {
        this->schedule_outbox(peer, box.lines.empty() ? this->settings.drop_window
                                                      : this->settings.intend_window);
    }
}

void replicated_ledger::penalise(const node_id& peer, const error& failure)
{
    ++this->counts.peer_failures;
    this->penalties[peer] = this->on.timer.now() + this->settings.peer_penalty;
    this->on.events.write(log_level::warning, "ledger_replica_failed",
                          {{"replica", peer.value()}, {"error", failure.to_string()}});
}

// A line whose replica is gone gets another one, so that it outlives the next loss as well.
void replicated_ledger::on_member_change(const member& changed)
{
    this->candidates_known = false;
    if (changed.state != member_state::dead && changed.state != member_state::leaving) {
        return;
    }
    if (changed.state == member_state::dead) {
        this->outboxes.erase(changed.id);
        this->penalties.erase(changed.id);
    }
    for (auto& [request, open] : this->lines) {
        const bool lost = open.holders.erase(changed.id) > 0;
        if (changed.state == member_state::dead) {
            open.asked.erase(changed.id);
        }
        if (lost || open.intent) {
            this->replicate(request, open);
        }
    }
}

void replicated_ledger::retry_needy()
{
    if (this->needy_scheduled || this->needy.empty()) {
        return;
    }
    this->needy_scheduled = true;
    this->on.timer.call_after(this->settings.retry_delay, [this] {
        this->needy_scheduled = false;
        const auto retried = std::exchange(this->needy, {});
        for (const auto& request : retried) {
            if (const auto found = this->lines.find(request); found != this->lines.end()) {
                this->replicate(request, found->second);
            }
        }
    });
}

} // namespace eelgrassbend
