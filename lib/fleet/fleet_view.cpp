#include "eelgrassbend/fleet/fleet_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassbend {

/// Time for which a digest is remembered, and how many at most; an echo comes within a second or
/// two, and a node that speaks for its group sends some hundred digests a second.
static constexpr std::chrono::seconds remembered_time{12};
static constexpr std::size_t remembered_digests = 8192;

/// Digests that can overtake one on its way; those of about a second.
static constexpr std::uint64_t most_overtaken = 256;

void sent_digests::add(std::uint64_t sequence, monotonic_time when)
{
    this->times[sequence] = when;
    while (when - this->times.begin()->second > remembered_time ||
           this->times.size() > remembered_digests) {
        this->times.erase(this->times.begin());
    }
}

std::optional<monotonic_time> sent_digests::time_of(std::uint64_t sequence) const
{
    const auto found = this->times.find(sequence);
    return found == this->times.end() ? std::nullopt : std::optional{found->second};
}

fleet_view::fleet_view(node_id self, availability_zone zone)
    : self(self), division(std::move(self), std::move(zone))
{
}

bool fleet_view::heard(const node_digest& digest, monotonic_time now)
{
    if (digest.node == this->self) {
        return false;
    }
    const auto found = this->known.find(digest.node);
    if (found != this->known.end()) {
        const auto& last = found->second.digest;
        const bool is_old =
            digest.incarnation < last.incarnation ||
            (digest.incarnation == last.incarnation && digest.sequence <= last.sequence);
        if (is_old) {
            return false;
        }
    }
    auto& entry = this->known[digest.node];
    entry = {digest, now};
    // What is worked into other models need not be kept twice.
    entry.digest.work.clear();
    entry.digest.admitted.clear();
    entry.digest.usage.clear();
    entry.digest.positions.clear();
    entry.digest.summary.reset();
    return true;
}

bool fleet_view::is_late(const node_digest& digest) const
{
    const auto found = this->known.find(digest.node);
    if (found == this->known.end()) {
        return false;
    }
    const auto& last = found->second.digest;
    return digest.incarnation == last.incarnation && digest.sequence < last.sequence &&
           last.sequence - digest.sequence < most_overtaken;
}

std::vector<const known_node*> fleet_view::alive_where(monotonic_time now, bool in_group) const
{
    std::vector<const known_node*> nodes;
    for (const auto& [id, node] : this->known) {
        if (now - node.heard < node_silence && this->is_in_group(node.digest) == in_group) {
            nodes.push_back(&node);
        }
    }
    return nodes;
}

std::vector<const known_node*> fleet_view::alive(monotonic_time now) const
{
    return this->alive_where(now, true);
}

std::vector<const known_node*> fleet_view::alive_elsewhere(monotonic_time now) const
{
    return this->alive_where(now, false);
}

// Nodes that disagree for a while both speak; what they say can be heard twice without harm.
bool fleet_view::is_representative(monotonic_time now) const
{
    const auto nodes = this->alive(now);
    return std::none_of(nodes.begin(), nodes.end(), [&](const known_node* node) {
        return !node->digest.is_leaving && node->digest.node < this->self;
    });
}

std::vector<network_address> fleet_view::receivers(monotonic_time now, bool with_silent) const
{
    std::set<network_address> addresses;
    for (const auto* node : this->alive(now)) {
        addresses.insert(node->digest.datagrams);
    }
    if (with_silent) {
        for (const auto& [id, record] : this->division.records()) {
            if (this->division.is_own(id, record.zone)) {
                addresses.insert(record.datagrams);
            }
        }
    }
    return {addresses.begin(), addresses.end()};
}

node_counts fleet_view::counts(monotonic_time now) const
{
    node_counts counted{1, 1};
    for (const auto& [id, node] : this->known) {
        if (!this->is_in_group(node.digest)) {
            continue;
        }
        const auto silent = now - node.heard;
        if (silent < node_silence) {
            ++counted.heard;
        }
        if (silent < node_silence || (silent < node_absence && !node.digest.is_leaving)) {
            ++counted.serving;
        }
    }
    return counted;
}

std::vector<network_address> fleet_view::ready_callers(monotonic_time now) const
{
    std::vector<network_address> addresses;
    for (const auto* node : this->alive(now)) {
        if (node->digest.is_ready && !node->digest.is_leaving) {
            addresses.push_back(node->digest.callers);
        }
    }
    return addresses;
}

} // namespace eelgrassbend
