#include "eelgrassbend/discovery/sharded_entry_directory.h"

#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace eelgrassbend {

namespace {

/// Up to this number of live nodes, every shard contains all of them.
constexpr std::size_t max_unsharded_nodes = 8;
constexpr std::size_t nodes_per_shard = 8;
/// Number of nodes in a shard that receive most callers, so that requests with the same prefix
/// reach the same nodes.
constexpr std::size_t preferred_nodes = 2;
constexpr std::uint32_t preferred_weight = 12;
constexpr std::uint32_t other_weight = 1;
constexpr std::size_t watchers_per_endpoint = 3;

struct ranked_member {
    std::uint64_t rank = 0;
    member node;
};

} // namespace

std::size_t shard_size(std::size_t nodes)
{
    return nodes <= max_unsharded_nodes ? nodes : nodes_per_shard;
}

/// Sorts members by their rendezvous rank for `key`, highest first.
static std::vector<ranked_member> rank_members(const std::string& key, std::vector<member> nodes)
{
    const auto seed = stable_hash(key);
    std::vector<ranked_member> order;
    order.reserve(nodes.size());
    for (auto& node : nodes) {
        const auto rank = stable_hash(node.id.value(), seed);
        order.push_back({rank, std::move(node)});
    }
    std::ranges::sort(order, std::ranges::greater{}, &ranked_member::rank);
    return order;
}

/// Selects `count` members in order, each from the zone with the fewest selected so far, so that
/// the loss of a zone does not remove a whole shard.
static std::vector<member> select_across_zones(std::vector<ranked_member> order, std::size_t count)
{
    std::vector<member> chosen;
    std::map<availability_zone, std::size_t> used;
    while (chosen.size() < count && !order.empty()) {
        const auto next = std::ranges::min_element(
            order, {}, [&](const ranked_member& each) { return used[each.node.zone]; });
        ++used[next->node.zone];
        chosen.push_back(std::move(next->node));
        order.erase(next);
    }
    return chosen;
}

entry_answer sharded_entry_directory::entries(const organisation_id& organisation,
                                              const service_id& service) const
{
    auto nodes = this->live_members();
    const auto count = shard_size(nodes.size());
    // The shard depends on the organisation only, so that its limits are shared by the same nodes;
    // the service determines which nodes of the shard are preferred.
    const auto shard =
        select_across_zones(rank_members(organisation.value(), std::move(nodes)), count);
    const auto key = organisation.value() + "\n" + service.value();
    const auto order = select_across_zones(rank_members(key, shard), shard.size());
    entry_answer answer;
    answer.time_to_live = this->time_to_live;
    for (const auto& node : order) {
        const bool is_preferred = answer.entries.size() < preferred_nodes;
        answer.entries.push_back(
            {node.id, node.callers, node.zone, is_preferred ? preferred_weight : other_weight});
    }
    return answer;
}

std::vector<node_id> sharded_entry_directory::shard_peers(const organisation_id& organisation) const
{
    auto nodes = this->live_members();
    const auto count = shard_size(nodes.size());
    std::vector<node_id> peers;
    for (const auto& node :
         select_across_zones(rank_members(organisation.value(), std::move(nodes)), count)) {
        if (node.id != this->members.self().id) {
            peers.push_back(node.id);
        }
    }
    return peers;
}

std::vector<node_id> sharded_entry_directory::endpoint_watchers(const endpoint_id& endpoint,
                                                                const availability_zone& zone) const
{
    auto order = rank_members(endpoint.value(), this->live_members());
    // If the zone of the endpoint fails, watchers in other zones still detect it.
    std::ranges::sort(order, std::ranges::greater{}, [&](const ranked_member& each) {
        return std::pair{each.node.zone != zone, each.rank};
    });
    std::vector<node_id> watchers;
    for (const auto& each : order) {
        if (watchers.size() == watchers_per_endpoint) {
            break;
        }
        watchers.push_back(each.node.id);
    }
    return watchers;
}

std::vector<member> sharded_entry_directory::live_members() const
{
    auto nodes = this->members.peers();
    nodes.push_back(this->members.self());
    std::erase_if(nodes, [](const member& each) { return each.state != member_state::alive; });
    const auto& region = this->members.self().region;
    const auto is_in_other_region = [&](const member& each) { return each.region != region; };
    if (!std::ranges::all_of(nodes, is_in_other_region)) {
        std::erase_if(nodes, is_in_other_region);
    }
    return nodes;
}

nlohmann::json to_json(const entry_answer& answer)
{
    auto entries = nlohmann::json::array();
    for (const auto& entry : answer.entries) {
        entries.push_back({{"node", entry.node.value()},
                           {"address", entry.address.to_string()},
                           {"zone", entry.zone.value()},
                           {"weight", entry.weight}});
    }
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(answer.time_to_live);
    return {{"entries", entries}, {"time_to_live_ms", span.count()}};
}

} // namespace eelgrassbend
