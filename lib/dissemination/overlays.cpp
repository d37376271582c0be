#include "eelgrassbend/dissemination/epidemic_dissemination.h"

#include <algorithm>

namespace eelgrassbend {

// Number of rounds in a cycle of digest targets: random peer, predecessor, random peer, successor.
static constexpr std::uint32_t repair_cycle = 4;

std::vector<network_address> gossip_dissemination::forward_targets(const network_address* source)
{
    std::vector<network_address> except;
    if (source != nullptr) {
        except.push_back(*source);
    }
    return this->random_targets(this->options.fanout, except);
}

std::vector<network_address> gossip_dissemination::repair_targets()
{
    return this->random_targets(1, {});
}

// Returns the successor and the predecessor; a single address if both are the same node.
std::vector<network_address> ring_dissemination::neighbours() const
{
    const auto& peers = this->sorted_peers();
    if (peers.empty()) {
        return {};
    }
    auto next = std::ranges::upper_bound(peers, this->own_position(), {}, &peer::position);
    const auto& successor = next == peers.end() ? peers.front() : *next;
    const auto& predecessor = next == peers.begin() ? peers.back() : *std::prev(next);
    if (successor.address == predecessor.address) {
        return {successor.address};
    }
    return {successor.address, predecessor.address};
}

std::vector<network_address> ring_dissemination::forward_targets(const network_address* source)
{
    auto targets = this->neighbours();
    auto except = targets;
    if (source != nullptr) {
        std::erase(targets, *source);
        except.push_back(*source);
    }
    const auto shortcuts = this->random_targets(this->options.shortcuts, except);
    targets.insert(targets.end(), shortcuts.begin(), shortcuts.end());
    return targets;
}

// Every second digest goes to a random peer: if several consecutive nodes of the ring die, the ring
// is broken until the failure detector has detected all of them.
std::vector<network_address> ring_dissemination::repair_targets()
{
    const auto adjacent = this->neighbours();
    if (adjacent.empty()) {
        return {};
    }
    this->repair_round = (this->repair_round + 1) % repair_cycle;
    if (this->repair_round % 2 == 1) {
        return this->random_targets(1, {});
    }
    return {this->repair_round == 0 ? adjacent.front() : adjacent.back()};
}

} // namespace eelgrassbend
