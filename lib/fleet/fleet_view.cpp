#include "eelgrassbend/fleet/fleet_view.h"

#include <set>

namespace eelgrassbend {

/// Digests that are remembered; at the highest rate these are some seconds.
static constexpr std::size_t remembered_digests = 128;

void sent_digests::add(std::uint64_t sequence, monotonic_time when)
{
    this->times[sequence] = when;
    if (this->times.size() > remembered_digests) {
        this->times.erase(this->times.begin());
    }
}

std::optional<monotonic_time> sent_digests::time_of(std::uint64_t sequence) const
{
    const auto found = this->times.find(sequence);
    return found == this->times.end() ? std::nullopt : std::optional{found->second};
}

void fleet_view::add_record(const node_record& record)
{
    if (record.node != this->self) {
        this->records[record.node] = record;
    }
}

void fleet_view::remove_record(const node_id& node)
{
    this->records.erase(node);
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
    this->known[digest.node] = {digest, now};
    return true;
}

std::vector<const known_node*> fleet_view::alive(monotonic_time now) const
{
    std::vector<const known_node*> nodes;
    for (const auto& [id, node] : this->known) {
        if (now - node.heard < node_silence) {
            nodes.push_back(&node);
        }
    }
    return nodes;
}

std::vector<network_address> fleet_view::receivers(monotonic_time now, bool with_silent) const
{
    std::set<network_address> addresses;
    for (const auto& [id, node] : this->known) {
        if (now - node.heard < node_silence) {
            addresses.insert(node.digest.datagrams);
        }
    }
    if (with_silent) {
        for (const auto& [id, record] : this->records) {
            addresses.insert(record.datagrams);
        }
    }
    return {addresses.begin(), addresses.end()};
}

double fleet_view::heard_share(monotonic_time now) const
{
    double heard = 1.0;
    double serving = 1.0;
    for (const auto& [id, node] : this->known) {
        const auto silent = now - node.heard;
        if (silent < node_silence) {
            heard += 1.0;
        }
        if (silent < node_silence || (silent < node_absence && !node.digest.is_leaving)) {
            serving += 1.0;
        }
    }
    return heard / serving;
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
