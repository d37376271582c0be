#include "eelgrassbend/fleet/fleet_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassbend {

/// Retention of the send times of digests. An echo is received within a second or two, and the
/// representative of a group sends some hundred digests per second.
static constexpr std::chrono::seconds retention_time{12};
static constexpr std::size_t max_retained_digests = 8192;

/// Maximum number of digests that may overtake one in transit; those of about one second.
static constexpr std::uint64_t max_reordered_digests = 256;

void sent_digests::add(std::uint64_t sequence, monotonic_time when)
{
    this->times[sequence] = when;
    while (when - this->times.begin()->second > retention_time ||
           this->times.size() > max_retained_digests) {
        this->times.erase(this->times.begin());
    }
}

std::optional<monotonic_time> sent_digests::time_of(std::uint64_t sequence) const
{
    const auto found = this->times.find(sequence);
    return found == this->times.end() ? std::nullopt : std::optional{found->second};
}

fleet_view::fleet_view(node_id self, availability_zone zone, std::uint32_t host_memory_mb)
    : self(self), host_memory_mb(host_memory_mb), node_groups(std::move(self), std::move(zone))
{
}

// The node that reads the store and relays for a fleet of 68 was one of the smallest hosts, of 0.12
// cores and 10 Mbit/s, and applied changes more than 3 s late itself.
bool fleet_view::precedes(const node_digest& other) const
{
    if (other.host_memory_mb != this->host_memory_mb) {
        return other.host_memory_mb > this->host_memory_mb;
    }
    return other.node < this->self;
}

bool fleet_view::apply_digest(const node_digest& digest, monotonic_time now)
{
    if (digest.node == this->self) {
        return false;
    }
    const auto found = this->known_nodes.find(digest.node);
    if (found != this->known_nodes.end()) {
        const auto& last = found->second.digest;
        const bool is_old =
            digest.incarnation < last.incarnation ||
            (digest.incarnation == last.incarnation && digest.sequence <= last.sequence);
        if (is_old) {
            return false;
        }
    }
    auto& entry = this->known_nodes[digest.node];
    entry = {digest, now};
    // These parts are stored in other models.
    entry.digest.work.clear();
    entry.digest.admitted.clear();
    entry.digest.usage.clear();
    entry.digest.positions.clear();
    entry.digest.summary.reset();
    entry.digest.paces.clear();
    return true;
}

bool fleet_view::is_reordered(const node_digest& digest) const
{
    const auto found = this->known_nodes.find(digest.node);
    if (found == this->known_nodes.end()) {
        return false;
    }
    const auto& last = found->second.digest;
    return digest.incarnation == last.incarnation && digest.sequence < last.sequence &&
           last.sequence - digest.sequence < max_reordered_digests;
}

std::vector<const known_node*> fleet_view::filter_alive_nodes(monotonic_time now,
                                                              bool in_group) const
{
    std::vector<const known_node*> nodes;
    for (const auto& [id, node] : this->known_nodes) {
        if (now - node.received_at < node_report_timeout &&
            this->is_in_group(node.digest) == in_group) {
            nodes.push_back(&node);
        }
    }
    return nodes;
}

std::vector<const known_node*> fleet_view::alive_nodes(monotonic_time now) const
{
    return this->filter_alive_nodes(now, true);
}

std::vector<const known_node*> fleet_view::alive_remote_nodes(monotonic_time now) const
{
    return this->filter_alive_nodes(now, false);
}

// Two nodes may both act as representative while their views differ; receiving their summaries
// twice is harmless.
bool fleet_view::is_representative(monotonic_time now) const
{
    const auto nodes = this->alive_nodes(now);
    return std::none_of(nodes.begin(), nodes.end(), [&](const known_node* node) {
        return !node->digest.is_leaving && this->precedes(node->digest);
    });
}

std::vector<network_address> fleet_view::digest_receivers(monotonic_time now,
                                                          bool include_silent) const
{
    std::set<network_address> addresses;
    for (const auto* node : this->alive_nodes(now)) {
        addresses.insert(node->digest.datagrams);
    }
    if (include_silent) {
        for (const auto& [id, record] : this->node_groups.records()) {
            if (this->node_groups.is_in_own_group(id, record.zone)) {
                addresses.insert(record.datagrams);
            }
        }
    }
    return {addresses.begin(), addresses.end()};
}

node_counts fleet_view::count_nodes(monotonic_time now) const
{
    node_counts counts{1, 1};
    for (const auto& [id, node] : this->known_nodes) {
        if (!this->is_in_group(node.digest)) {
            continue;
        }
        const auto age = now - node.received_at;
        if (age < node_report_timeout) {
            ++counts.reporting_nodes;
        }
        if (age < node_report_timeout || (age < node_absence_timeout && !node.digest.is_leaving)) {
            ++counts.serving_nodes;
        }
    }
    return counts;
}

std::vector<network_address> fleet_view::ready_addresses(monotonic_time now) const
{
    std::vector<network_address> addresses;
    for (const auto* node : this->alive_nodes(now)) {
        if (node->digest.is_ready && !node->digest.is_leaving) {
            addresses.push_back(node->digest.callers);
        }
    }
    return addresses;
}

} // namespace eelgrassbend
