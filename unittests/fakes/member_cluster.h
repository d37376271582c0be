#ifndef EELGRASSBEND_UNITTESTS_FAKES_MEMBER_CLUSTER_H
#define EELGRASSBEND_UNITTESTS_FAKES_MEMBER_CLUSTER_H

#include "eelgrassbend/membership/swim_membership.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_datagrams.h"
#include "fakes/fake_host_list.h"
#include "fakes/pausable_scheduler.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// One node: transport, authentication and membership.
struct member_node {
    member_node(virtual_scheduler& clock, fake_network& network, random_source& random,
                const peer_key_ring& keys, host_list& hosts, const member& place,
                const swim_options& options)
        : time(clock),
          transport(network, place.datagrams),
          authenticator(keys, time, random),
          channel(transport, authenticator, place.datagrams),
          swim(place, options, channel, time, random, hosts)
    {
    }

    pausable_scheduler time;
    fake_datagrams transport;
    frame_authenticator authenticator;
    peer_channel channel;
    swim_membership swim;

    [[nodiscard]] std::optional<member> sees(const node_id& id) const
    {
        for (const auto& peer : this->swim.peers()) {
            if (peer.id == id) {
                return peer;
            }
        }
        return std::nullopt;
    }
};

/// Several nodes in one process under virtual time; half of them in each region.
class member_cluster {
public:
    member_cluster(std::size_t size, std::uint64_t seed, const swim_options& options = {})
        : options(options), random(seed), network(time, random)
    {
        this->keys.replace({{peer_key_id{1}, "a secret for the tests"}}, peer_key_id{1}).value();
        for (std::size_t index = 0; index < size; ++index) {
            this->hosts.entries.push_back(host_of(place_of(index)));
            this->add(place_of(index));
        }
    }

    static member place_of(std::size_t index)
    {
        const auto ip =
            "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
        const auto number = std::to_string(index);
        const auto* region = index % 2 == 0 ? "north" : "south";
        return {node_id{"entry-" + number},
                0,
                member_state::alive,
                region_name{region},
                availability_zone{std::string{region} + "-" + std::to_string(index % 10 / 2)},
                {ip, 8080},
                {ip, 8081},
                {ip, 8082},
                bundle_version{1}};
    }

    static host_entry host_of(const member& place)
    {
        host_entry entry;
        entry.name = host_name{place.id.value()};
        entry.role = host_role::entry;
        entry.region = place.region;
        entry.zone = place.zone;
        entry.address = place.datagrams;
        return entry;
    }

    member_node& add(const member& place)
    {
        this->nodes.push_back(std::make_unique<member_node>(this->time, this->network, this->random,
                                                            this->keys, this->hosts, place,
                                                            this->options));
        return *this->nodes.back();
    }

    void start()
    {
        for (auto& node : this->nodes) {
            node->swim.start();
        }
    }

    /// The process ends without a word.
    void kill(std::size_t index) { this->nodes[index].reset(); }

    [[nodiscard]] std::size_t running() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->nodes, [](const auto& node) { return node != nullptr; }));
    }

    /// Whether each running node sees each other one in `state`, and no dead one.
    [[nodiscard]] bool agrees(member_state state = member_state::alive) const
    {
        return std::ranges::all_of(this->nodes, [&](const auto& node) {
            if (!node) {
                return true;
            }
            const auto peers = node->swim.peers();
            return peers.size() + 1 == this->running() &&
                   std::ranges::all_of(peers,
                                       [&](const member& peer) { return peer.state == state; });
        });
    }

    /// Runs until `done`, at most `limit`; answers the time taken, or nothing.
    std::optional<duration> run_until(const std::function<bool()>& done, duration limit)
    {
        static constexpr duration step = std::chrono::milliseconds{50};
        const auto start = this->time.now();
        while (!done()) {
            if (this->time.now() - start >= limit) {
                return std::nullopt;
            }
            this->time.run_for(step);
        }
        return this->time.now() - start;
    }

    swim_options options;
    virtual_scheduler time;
    seeded_random random;
    fake_network network;
    fake_host_list hosts;
    peer_key_ring keys;
    std::vector<std::unique_ptr<member_node>> nodes;
};

} // namespace eelgrassbend::fakes

#endif
