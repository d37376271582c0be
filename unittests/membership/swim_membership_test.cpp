#include "fakes/member_cluster.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using namespace std::chrono_literals;
using fakes::member_cluster;

// Target: a change is in force on all nodes within 17 s.
static constexpr duration change_bound = 17s;

static bool no_node_sees(const member_cluster& cluster, const node_id& id)
{
    return std::ranges::none_of(cluster.nodes, [&](const auto& node) {
        return node && node->swim.self().id != id && node->sees(id);
    });
}

static bool all_see(const member_cluster& cluster, const node_id& id, member_state state)
{
    return std::ranges::all_of(cluster.nodes, [&](const auto& node) {
        if (!node || node->swim.self().id == id) {
            return true;
        }
        const auto seen = node->sees(id);
        return seen && seen->state == state;
    });
}

static void run_until_converged(member_cluster& cluster)
{
    cluster.start();
    const auto elapsed = cluster.run_until([&] { return cluster.agrees(); }, change_bound);
    BOOST_TEST_REQUIRE(elapsed.has_value());
}

BOOST_AUTO_TEST_CASE(nodes_join_from_a_host_list_with_dead_entries)
{
    member_cluster cluster{8, 1};
    for (std::size_t index = 100; index < 130; ++index) {
        cluster.hosts.entries.push_back(member_cluster::host_of(member_cluster::place_of(index)));
    }
    cluster.start();
    const auto elapsed = cluster.run_until([&] { return cluster.agrees(); }, 30s);
    BOOST_TEST(elapsed.has_value());
    const auto seen = cluster.nodes[0]->sees(node_id{"entry-3"});
    BOOST_TEST(seen->zone.value() == "south-1");
    BOOST_TEST(seen->calls.to_string() == "10.0.0.4:8082");
}

BOOST_AUTO_TEST_CASE(a_node_missing_from_the_host_list_joins_through_its_peers)
{
    member_cluster cluster{8, 2};
    run_until_converged(cluster);
    cluster.add(member_cluster::place_of(50)).swim.start();
    cluster.hosts.down = true;
    const auto elapsed = cluster.run_until([&] { return cluster.agrees(); }, change_bound);
    BOOST_TEST(elapsed.has_value());
}

BOOST_AUTO_TEST_CASE(nodes_that_start_at_once_converge_within_seconds)
{
    member_cluster cluster{128, 3};
    cluster.start();
    BOOST_TEST(cluster.run_until([&] { return cluster.agrees(); }, 5s).has_value());
}

BOOST_AUTO_TEST_CASE(traffic_stays_bounded_after_a_partition_heals)
{
    // Target: at most 22 KB of control traffic a second for each node, measured as a mean over 3 s.
    static constexpr std::uint64_t bytes_per_second = 22'000;
    static constexpr std::uint64_t seconds = 3;
    member_cluster cluster{128, 4};
    run_until_converged(cluster);
    cluster.network.set_filter([](const network_address& from, const network_address& to) {
        return from.ip.back() % 2 == to.ip.back() % 2;
    });
    cluster.time.run_for(120s);
    cluster.network.set_filter({});
    const auto mean_bytes = [&] {
        std::uint64_t sum = 0;
        for (const auto& node : cluster.nodes) {
            const auto& counters = node->channel.counters();
            sum += counters.sent_bytes + counters.received_bytes;
        }
        return sum / cluster.nodes.size();
    };
    for (int window = 0; window < 5; ++window) {
        const auto before = mean_bytes();
        cluster.time.run_for(std::chrono::seconds{seconds});
        BOOST_TEST(mean_bytes() - before <= seconds * bytes_per_second);
    }
}

BOOST_AUTO_TEST_CASE(a_failure_is_detected_by_all_nodes_within_the_bound)
{
    for (const std::size_t size : {8, 32}) {
        member_cluster cluster{size, size};
        run_until_converged(cluster);
        cluster.kill(3);
        const auto elapsed = cluster.run_until(
            [&] { return no_node_sees(cluster, node_id{"entry-3"}); }, change_bound);
        BOOST_TEST(elapsed.has_value());
        BOOST_TEST(cluster.agrees());
    }
}

BOOST_AUTO_TEST_CASE(a_leaving_node_is_announced_at_once_and_stays_leaving)
{
    member_cluster cluster{32, 5};
    run_until_converged(cluster);
    const node_id leaving_id{"entry-7"};
    cluster.nodes[7]->swim.announce_leaving();
    cluster.time.run_for(100ms);
    const auto informed = std::ranges::count_if(cluster.nodes, [&](const auto& node) {
        const auto seen = node->sees(leaving_id);
        return seen && seen->state == member_state::leaving;
    });
    BOOST_TEST(informed >= 25);
    const auto elapsed =
        cluster.run_until([&] { return all_see(cluster, leaving_id, member_state::leaving); }, 1s);
    BOOST_TEST(elapsed.has_value());
    cluster.time.run_for(60s);
    BOOST_TEST(all_see(cluster, leaving_id, member_state::leaving));
    cluster.kill(7);
    BOOST_TEST(cluster.run_until([&] { return no_node_sees(cluster, leaving_id); }, change_bound)
                   .has_value());
}

BOOST_AUTO_TEST_CASE(a_false_suspicion_is_refuted)
{
    member_cluster cluster{8, 6};
    run_until_converged(cluster);
    const auto cut_off = member_cluster::place_of(2).datagrams;
    cluster.network.set_filter([&](const network_address& from, const network_address& to) {
        return from != cut_off && to != cut_off;
    });
    const auto suspected = cluster.run_until(
        [&] {
            const auto seen = cluster.nodes[0]->sees(node_id{"entry-2"});
            return seen->state == member_state::suspect;
        },
        6s);
    BOOST_TEST_REQUIRE(suspected.has_value());
    cluster.network.set_filter({});
    BOOST_TEST(cluster.run_until([&] { return cluster.agrees(); }, change_bound).has_value());
    std::uint64_t dead = 0;
    for (const auto& node : cluster.nodes) {
        dead += node->swim.counters().declared_dead;
    }
    BOOST_TEST(dead == 0);
    BOOST_TEST(cluster.nodes[2]->swim.counters().refutations > 0);
}

BOOST_AUTO_TEST_CASE(a_resumed_node_declares_no_other_node_dead)
{
    member_cluster cluster{16, 7};
    run_until_converged(cluster);
    const node_id paused_id{"entry-4"};
    auto& node = *cluster.nodes[4];
    const auto address = node.swim.self().datagrams;
    cluster.network.set_filter([&](const network_address& from, const network_address& to) {
        return from != address && to != address;
    });
    // Long enough to suspect other nodes, too short to declare one dead.
    cluster.time.run_for(4s);
    BOOST_TEST(node.swim.counters().suspicions > 0);
    node.time.pause();
    cluster.time.run_for(180s);
    BOOST_TEST(no_node_sees(cluster, paused_id));
    cluster.network.set_filter({});
    std::uint64_t reported_dead = 0;
    for (const auto& other : cluster.nodes) {
        other->swim.on_change([&](const member& changed) {
            reported_dead += changed.state == member_state::dead ? 1 : 0;
        });
    }
    node.time.resume();
    BOOST_TEST(cluster.run_until([&] { return cluster.agrees(); }, change_bound).has_value());
    BOOST_TEST(node.swim.counters().pauses == 1);
    BOOST_TEST(reported_dead == 0);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_replaces_the_record_of_its_name)
{
    member_cluster cluster{8, 8};
    run_until_converged(cluster);
    const auto before = cluster.nodes[0]->sees(node_id{"entry-5"})->incarnation;
    cluster.nodes[5]->swim.set_bundle_version(bundle_version{9});
    cluster.time.run_for(20s);
    cluster.kill(5);
    auto place = member_cluster::place_of(5);
    place.datagrams.ip = "10.9.9.9";
    cluster.add(place).swim.start();
    const auto elapsed = cluster.run_until(
        [&] {
            return std::ranges::all_of(cluster.nodes, [&](const auto& node) {
                if (!node || node->swim.self().id == place.id) {
                    return true;
                }
                const auto seen = node->sees(place.id);
                return seen && seen->datagrams == place.datagrams && seen->incarnation > before &&
                       seen->bundle == bundle_version{1};
            });
        },
        change_bound);
    BOOST_TEST(elapsed.has_value());
    cluster.time.run_for(30s);
    BOOST_TEST(cluster.agrees());
}

BOOST_AUTO_TEST_CASE(a_resumed_process_whose_name_was_taken_stops)
{
    member_cluster cluster{8, 9};
    run_until_converged(cluster);
    cluster.time.run_for(60s);
    cluster.nodes[5]->time.pause();
    cluster.time.run_for(30s);
    auto place = member_cluster::place_of(5);
    place.datagrams.ip = "10.9.9.9";
    cluster.add(place).swim.start();
    cluster.time.run_for(30s);
    cluster.nodes[5]->time.resume();
    cluster.time.run_for(30s);
    BOOST_TEST(cluster.nodes[5]->swim.is_superseded());
    BOOST_TEST(!cluster.nodes[8]->swim.is_superseded());
    BOOST_TEST((cluster.nodes[0]->sees(place.id)->datagrams == place.datagrams));
}

BOOST_AUTO_TEST_CASE(regions_merge_after_a_partition_heals)
{
    // 900 s exceeds the retention of dead members; then only the host list provides the addresses.
    for (const auto partition_duration : {180s, 900s}) {
        member_cluster cluster{16, 10};
        run_until_converged(cluster);
        const auto region = [](const network_address& address) { return address.ip.back() % 2; };
        cluster.network.set_filter([&](const network_address& from, const network_address& to) {
            return region(from) == region(to);
        });
        cluster.time.run_for(partition_duration);
        for (const auto& node : cluster.nodes) {
            BOOST_TEST(node->swim.peers().size() == 7);
        }
        cluster.network.set_filter({});
        const auto elapsed = cluster.run_until([&] { return cluster.agrees(); }, 40s);
        BOOST_TEST(elapsed.has_value());
    }
}

BOOST_AUTO_TEST_CASE(packet_loss_of_30_percent_declares_no_node_dead)
{
    member_cluster cluster{32, 11};
    run_until_converged(cluster);
    cluster.network.set_loss(0.3);
    cluster.time.run_for(600s);
    std::uint64_t dead = 0;
    for (const auto& node : cluster.nodes) {
        dead += node->swim.counters().declared_dead;
    }
    BOOST_TEST(dead == 0);
    cluster.kill(1);
    const auto elapsed =
        cluster.run_until([&] { return no_node_sees(cluster, node_id{"entry-1"}); }, change_bound);
    BOOST_TEST(elapsed.has_value());
}

BOOST_AUTO_TEST_CASE(bundle_versions_spread_without_an_incarnation)
{
    member_cluster cluster{32, 12};
    run_until_converged(cluster);
    const auto before = cluster.nodes[0]->sees(node_id{"entry-9"})->incarnation;
    cluster.nodes[9]->swim.set_bundle_version(bundle_version{42});
    const auto elapsed = cluster.run_until(
        [&] {
            return std::ranges::all_of(cluster.nodes, [](const auto& node) {
                const auto seen = node->sees(node_id{"entry-9"});
                return !seen || seen->bundle == bundle_version{42};
            });
        },
        change_bound);
    BOOST_TEST(elapsed.has_value());
    BOOST_TEST(cluster.nodes[0]->sees(node_id{"entry-9"})->incarnation == before);
}

BOOST_AUTO_TEST_CASE(keys_rotate_in_a_running_cluster)
{
    member_cluster cluster{8, 13};
    run_until_converged(cluster);
    const peer_key old_key{peer_key_id{1}, "a secret for the tests"};
    const peer_key new_key{peer_key_id{2}, "another secret of length"};
    cluster.keys.replace({old_key, new_key}, old_key.id).value();
    cluster.time.run_for(20s);
    cluster.keys.replace({old_key, new_key}, new_key.id).value();
    cluster.time.run_for(20s);
    cluster.keys.replace({new_key}, new_key.id).value();
    cluster.time.run_for(20s);
    BOOST_TEST(cluster.agrees());
    for (const auto& node : cluster.nodes) {
        BOOST_TEST(node->swim.counters().suspicions == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_node_with_a_wrong_key_does_not_join)
{
    member_cluster cluster{8, 14};
    run_until_converged(cluster);
    peer_key_ring wrong_keys;
    wrong_keys.replace({{peer_key_id{1}, "the wrong secret, though long"}}, peer_key_id{1}).value();
    fakes::member_node outsider{cluster.time,   cluster.network, cluster.random,
                                wrong_keys,     cluster.hosts,   member_cluster::place_of(70),
                                cluster.options};
    outsider.swim.start();
    cluster.time.run_for(30s);
    BOOST_TEST(outsider.swim.peers().empty());
    BOOST_TEST(no_node_sees(cluster, node_id{"entry-70"}));
    BOOST_TEST(cluster.nodes[0]->channel.counters().unauthenticated > 0);
}

BOOST_AUTO_TEST_CASE(replayed_datagrams_change_nothing)
{
    member_cluster cluster{8, 15};
    run_until_converged(cluster);

    struct record {
        network_address from;
        network_address to;
        std::string bytes;
    };

    // Replays the datagrams that node 3 sent before it was killed, for 30 s.
    std::vector<record> recorded;
    cluster.network.set_tap(
        [&](const network_address& from, const network_address& to, const std::string& bytes) {
            if (from == member_cluster::place_of(3).datagrams && recorded.size() < 500) {
                recorded.push_back({from, to, bytes});
            }
        });
    cluster.time.run_for(20s);
    cluster.kill(3);
    cluster.network.set_tap({});
    for (int round = 0; round < 30; ++round) {
        for (const auto& item : recorded) {
            cluster.network.carry(item.from, item.to, item.bytes);
        }
        cluster.time.run_for(1s);
    }
    BOOST_TEST(recorded.size() > 10);
    BOOST_TEST(cluster.nodes[0]->channel.counters().replayed > 0);
    BOOST_TEST(no_node_sees(cluster, node_id{"entry-3"}));
}

BOOST_AUTO_TEST_CASE(an_hour_of_churn_leaves_tables_bounded)
{
    swim_options options;
    member_cluster cluster{16, 16, options};
    run_until_converged(cluster);
    static constexpr std::size_t restarts = 240;
    for (std::size_t round = 0; round < restarts; ++round) {
        const auto index = 4 + round % 12;
        cluster.kill(index);
        cluster.time.run_for(5s);
        const auto place = member_cluster::place_of(100 + round);
        cluster.hosts.entries[index] = member_cluster::host_of(place);
        cluster.add(place).swim.start();
        std::swap(cluster.nodes[index], cluster.nodes.back());
        cluster.nodes.pop_back();
        cluster.time.run_for(10s);
    }
    // 15 live peers, the peers that died in the last ten minutes (one every 15 s), and a margin.
    for (const auto& node : cluster.nodes) {
        BOOST_TEST(node->swim.table_size() <= 15 + 40 + 4);
        BOOST_TEST(node->transport.largest_sent() <= 1'200);
        BOOST_TEST(node->channel.counters().oversized == 0);
    }
    cluster.time.run_for(60s);
    for (const auto& node : cluster.nodes) {
        BOOST_TEST(node->swim.peers().size() == 15);
        BOOST_TEST(node->swim.pending_updates() == 0);
    }
}

} // namespace eelgrassbend
