#include "eelgrassbend/support/hash.h"

#include "fakes/dissemination_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace eelgrassbend {

using namespace std::chrono_literals;
using fakes::dissemination_cluster;
using fakes::overlay;

// Target: a change is in force on all nodes within 17 s.
static constexpr duration change_bound = 17s;
static constexpr std::array overlays{overlay::gossip, overlay::ring};

static void run_until_converged(dissemination_cluster& cluster)
{
    cluster.start_all();
    BOOST_TEST_REQUIRE(
        cluster.run_until([&] { return cluster.agrees(); }, change_bound).has_value());
}

static void publish(dissemination_cluster& cluster, std::size_t index, const std::string& payload)
{
    cluster.dissemination_nodes[index]->service->publish("bundle", payload);
}

BOOST_AUTO_TEST_CASE(a_message_reaches_all_nodes_within_a_second_without_loss)
{
    for (const auto kind : overlays) {
        dissemination_cluster cluster{32, 1, kind, {4, 2, 3600s}};
        run_until_converged(cluster);
        publish(cluster, 5, "change");
        cluster.time.run_for(1s);
        // Without repair, gossip may miss some nodes; the ring must reach all of them.
        BOOST_TEST(cluster.reached("change") >= (kind == overlay::ring ? 31 : 28));
        BOOST_TEST(!cluster.delivered_twice());
        BOOST_TEST(cluster.dissemination_nodes[5]->delivery_counts.empty());
    }
}

BOOST_AUTO_TEST_CASE(messages_reach_all_live_nodes_within_the_bound_under_loss)
{
    for (const auto kind : overlays) {
        dissemination_cluster cluster{48, 2, kind};
        run_until_converged(cluster);
        cluster.network.set_loss(0.3);
        // Kills every fourth node; the failure detector has not yet detected it.
        for (std::size_t index = 1; index < 48; index += 4) {
            cluster.stop_node(index);
        }
        for (int round = 0; round < 10; ++round) {
            publish(cluster, static_cast<std::size_t>(round) * 4, std::to_string(round));
            cluster.time.run_for(500ms);
        }
        const auto elapsed = cluster.run_until(
            [&] {
                for (int round = 0; round < 10; ++round) {
                    if (cluster.reached(std::to_string(round)) != 35) {
                        return false;
                    }
                }
                return true;
            },
            change_bound - 5s);
        BOOST_TEST(elapsed.has_value(), "overlay " << static_cast<int>(kind));
        BOOST_TEST(!cluster.delivered_twice());
    }
}

BOOST_AUTO_TEST_CASE(a_reconnected_node_receives_missed_messages_once)
{
    for (const auto kind : overlays) {
        dissemination_cluster cluster{8, 3, kind};
        run_until_converged(cluster);
        const auto cut_off = cluster.place_of(3).datagrams;
        cluster.network.set_filter([&](const network_address& from, const network_address& to) {
            return from != cut_off && to != cut_off;
        });
        publish(cluster, 0, "missed");
        cluster.time.run_for(3s);
        BOOST_TEST(cluster.reached("missed") == 6);
        cluster.network.set_filter({});
        cluster.time.run_for(change_bound);
        BOOST_TEST(cluster.reached("missed") == 7);
        cluster.time.run_for(300s);
        BOOST_TEST(!cluster.delivered_twice());
    }
}

// Returns the indices of the nodes in ring order.
static std::vector<std::size_t> ring_order(std::size_t size)
{
    std::vector<std::size_t> order(size);
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(order, {}, [](std::size_t index) {
        return stable_hash(fakes::member_cluster::place_of(index).id.value());
    });
    return order;
}

BOOST_AUTO_TEST_CASE(a_node_between_dead_ring_neighbours_is_reached_before_they_are_detected)
{
    const auto order = ring_order(32);
    dissemination_cluster cluster{32, 7, overlay::ring, {4, 0, 1s}};
    run_until_converged(cluster);
    cluster.stop_node(order[10]);
    cluster.stop_node(order[12]);
    publish(cluster, order[20], "change");
    const auto reached = cluster.run_until([&] { return cluster.reached("change") == 29; }, 5s);
    BOOST_TEST(reached.has_value());
}

BOOST_AUTO_TEST_CASE(an_expired_message_is_dropped)
{
    dissemination_cluster cluster{2, 4, overlay::gossip};
    run_until_converged(cluster);
    cluster.nodes[0]->channel.send(cluster.place_of(1).datagrams,
                                   gossip_message{1, 61'000, "bundle", "old"});
    cluster.time.run_for(1s);
    BOOST_TEST(cluster.reached("old") == 0);
    BOOST_TEST(cluster.dissemination_nodes[1]->service->counters().dropped == 1);
}

BOOST_AUTO_TEST_CASE(an_oversized_message_is_not_sent)
{
    dissemination_cluster cluster{2, 5, overlay::ring};
    run_until_converged(cluster);
    publish(cluster, 0, std::string(901, 'x'));
    publish(cluster, 0, std::string(900, 'x'));
    cluster.time.run_for(1s);
    BOOST_TEST(cluster.reached(std::string(900, 'x')) == 1);
    BOOST_TEST(cluster.dissemination_nodes[0]->service->counters().dropped == 1);
    BOOST_TEST(cluster.nodes[0]->transport.largest_sent() <= 1'200);
}

BOOST_AUTO_TEST_CASE(an_hour_of_messages_leaves_memory_bounded)
{
    for (const auto kind : overlays) {
        dissemination_cluster cluster{8, 6, kind};
        run_until_converged(cluster);
        // Ten times the target rate of 8,900 changes a day.
        for (int round = 0; round < 3'600; ++round) {
            publish(cluster, static_cast<std::size_t>(round) % 8, std::to_string(round));
            cluster.time.run_for(1s);
        }
        for (const auto& each : cluster.dissemination_nodes) {
            BOOST_TEST(each->service->seen_count() <= 160);
            BOOST_TEST(each->service->stored_count() <= 64);
        }
        BOOST_TEST(!cluster.delivered_twice());
        BOOST_TEST(cluster.reached("3500") == 7);
    }
}

} // namespace eelgrassbend
