#include "ledger_replicas.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace eelgrassbend {

static constexpr duration sweep_interval = std::chrono::seconds{5};

ledger_replicas::ledger_replicas(const ledger_settings& settings,
                                 const ledger_dependencies& dependencies, adopt_handler adopt)
    : settings(settings), on(dependencies), adopt_line(std::move(adopt))
{
}

void ledger_replicas::start()
{
    this->on.peers.serve(peer_method::ledger_store,
                         [this](const std::string& bytes, const peer_rpc::answer_handler& answer) {
                             answer(this->store(bytes));
                         });
    this->on.peers.serve(peer_method::ledger_drop,
                         [this](const std::string& bytes, const peer_rpc::answer_handler& answer) {
                             answer(this->drop(bytes));
                         });
    this->on.members.on_change([this](const member& changed) {
        if (changed.state == member_state::dead) {
            this->bury(changed.id);
        }
    });
    this->sweep();
}

result<std::string> ledger_replicas::store(const std::string& bytes)
{
    auto message = decode_ledger_store(bytes);
    if (!message) {
        return message.error();
    }
    const auto more = message.value().intended.size() + message.value().confirmed.size();
    if (this->stopped || this->held_lines + more > this->settings.held_lines ||
        this->held_bytes > this->settings.held_bytes) {
        return make_error(errc::unavailable, "keep ledger lines", {}, "no room");
    }
    this->bury_older_sessions(message.value().origin);
    auto& origin = this->origins[message.value().origin];
    for (auto& line : message.value().intended) {
        this->keep(origin, std::move(line), false);
    }
    for (auto& line : message.value().confirmed) {
        this->keep(origin, std::move(line), true);
    }
    // An origin that was believed dead goes on; its later lines are kept as any others.
    origin.dead = false;
    return std::string{};
}

void ledger_replicas::keep(held_origin& origin, ledger_line line, bool confirmed)
{
    const auto request = line.request;
    const auto size = size_of(line);
    const auto [position, added] = origin.lines.try_emplace(
        request, held_line{std::move(line), confirmed, this->on.timer.now()});
    if (added) {
        ++this->held_lines;
        this->held_bytes += size;
        return;
    }
    if (confirmed && !position->second.confirmed) {
        position->second.confirmed = true;
        position->second.since = this->on.timer.now();
    }
}

// A process that was restarted under its old name knows nothing of its former lines.
void ledger_replicas::bury_older_sessions(const ledger_origin& origin)
{
    for (auto& [other, held] : this->origins) {
        if (other.node == origin.node && other.session != origin.session) {
            held.dead = true;
            this->adopt(held);
        }
    }
}

void ledger_replicas::bury(const node_id& node)
{
    for (auto& [origin, held] : this->origins) {
        if (origin.node == node) {
            held.dead = true;
            this->adopt(held);
        }
    }
}

// Only the origin knows whether a line that it merely intended was delivered, so such lines are
// never billed. Several replicas may append the same confirmed line; the fold bills it once.
void ledger_replicas::adopt(held_origin& origin)
{
    std::vector<request_id> settled;
    for (const auto& [request, held] : origin.lines) {
        if (!held.confirmed || this->adopt_line(held.line)) {
            settled.push_back(request);
        }
    }
    for (const auto& request : settled) {
        this->forget(origin, request);
    }
}

void ledger_replicas::forget(held_origin& origin, const request_id& request)
{
    const auto found = origin.lines.find(request);
    if (found == origin.lines.end()) {
        return;
    }
    --this->held_lines;
    this->held_bytes -= size_of(found->second.line);
    origin.lines.erase(found);
}

result<std::string> ledger_replicas::drop(const std::string& bytes)
{
    const auto message = decode_ledger_drop(bytes);
    if (!message) {
        return message.error();
    }
    const auto found = this->origins.find(message.value().origin);
    if (found != this->origins.end()) {
        for (const auto& request : message.value().requests) {
            this->forget(found->second, request);
        }
    }
    return std::string{};
}

bool ledger_replicas::is_known(const node_id& node) const
{
    const auto peers = this->on.members.peers();
    return std::any_of(peers.begin(), peers.end(),
                       [&](const member& peer) { return peer.id == node; });
}

void ledger_replicas::sweep()
{
    const auto now = this->on.timer.now();
    for (auto& [origin, held] : this->origins) {
        if (this->is_known(origin.node)) {
            this->missing_since.erase(origin.node);
        }
        else if (now - this->missing_since.try_emplace(origin.node, now).first->second >=
                 this->settings.missing_grace) {
            held.dead = true;
        }
        this->sweep(held);
    }
    std::erase_if(this->origins, [](const auto& entry) { return entry.second.lines.empty(); });
    std::erase_if(this->missing_since, [this](const auto& entry) {
        return std::none_of(this->origins.begin(), this->origins.end(),
                            [&](const auto& origin) { return origin.first.node == entry.first; });
    });
    this->on.timer.call_after(sweep_interval, [this] { this->sweep(); });
}

/// Settles the lines of a dead origin, and of a living one those held for too long: their drop
/// was lost, or the origin cannot reach the log.
void ledger_replicas::sweep(held_origin& origin)
{
    if (origin.dead) {
        this->adopt(origin);
        return;
    }
    const auto oldest = this->on.timer.now() - this->settings.held_limit;
    std::vector<request_id> settled;
    for (const auto& [request, held] : origin.lines) {
        if (held.since < oldest && (!held.confirmed || this->adopt_line(held.line))) {
            settled.push_back(request);
        }
    }
    for (const auto& request : settled) {
        this->forget(origin, request);
    }
}

} // namespace eelgrassbend
