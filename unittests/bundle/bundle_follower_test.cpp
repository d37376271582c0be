#include "follower_world.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// In which a bundle must be in force everywhere.
static constexpr duration in_force_target = seconds{17};

BOOST_AUTO_TEST_CASE(a_bundle_is_in_force_everywhere_within_the_target)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        follower_world world{8, seed};
        world.rumours.loss = 1.0; // each node has only its own reads
        world.run(seconds{20});
        world.publish(1, 0);
        world.run(in_force_target);
        BOOST_TEST(world.all_have(1));
        BOOST_TEST(world.nodes[3]->events.count("bundle_in_force") == 1U);
    }
}

BOOST_AUTO_TEST_CASE(hints_bring_a_bundle_sooner_and_fit_a_datagram)
{
    follower_world world{30};
    world.run(seconds{20});
    world.publish(1, 0);
    world.run(milliseconds{1'500});
    BOOST_TEST(world.all_have(1));
    BOOST_TEST(world.rumours.longest > 0U);
    BOOST_TEST(world.rumours.longest <= 900U);
}

BOOST_AUTO_TEST_CASE(two_operators_race_and_every_node_gives_one_verdict)
{
    follower_world world{6};
    world.publish(1, 0);
    world.run(seconds{20});
    world.publish(2, 1, "left");
    world.publish(2, 1, "right");
    world.publish(3, 1, "late");
    world.run(seconds{20});
    BOOST_TEST(world.all_have(2));
    for (const auto& node : world.nodes) {
        BOOST_TEST(node->follower.current()->services[0].id.value() == "service-left");
        BOOST_TEST(node->events.count("bundle_rejected") == 2U);
    }
    BOOST_TEST(world.one_verdict());
}

BOOST_AUTO_TEST_CASE(a_node_paused_over_two_roll_outs_refuses_until_it_has_caught_up)
{
    follower_world world{4};
    world.publish(1, 0);
    world.run(seconds{20});
    auto& paused = *world.nodes[2];
    paused.base.timer.pause();
    world.publish(2, 1);
    world.run(seconds{30});
    world.publish(3, 2);
    world.run(seconds{30});
    BOOST_TEST(paused.version() == 1U);
    // Asked in the first instant after waking, before any timer or answer.
    BOOST_TEST(!paused.follower.fresh());
    paused.base.timer.resume();
    bool served_old = false;
    for (int step = 0; step < 10'000 && !paused.follower.fresh(); ++step) {
        world.run(milliseconds{1});
        served_old = served_old || (paused.follower.fresh() && paused.version() != 3);
    }
    BOOST_TEST(!served_old);
    BOOST_TEST(world.all_have(3));
}

BOOST_AUTO_TEST_CASE(a_read_sent_before_a_pause_proves_nothing_after_it)
{
    follower_world world{1};
    world.run(seconds{20});
    auto& node = *world.nodes[0];
    node.base.client.faults.latency = milliseconds{1'500};
    world.run(seconds{4}); // a read is under way at most moments
    node.base.timer.pause();
    world.run(seconds{30});
    world.publish(1, 0);
    node.base.timer.resume();
    for (int step = 0; step < 5'000; ++step) {
        world.run(milliseconds{1});
        BOOST_REQUIRE((!node.follower.fresh() || node.version() == 1));
    }
    BOOST_TEST(node.follower.fresh());
}

BOOST_AUTO_TEST_CASE(a_node_starts_during_an_outage_with_the_bundle_of_a_peer)
{
    follower_world world{3};
    world.publish(1, 0);
    world.publish(1, 0, "b");
    world.run(seconds{20});
    world.shared.log.outage = true;
    world.run(minutes{10});
    BOOST_TEST(world.all_have(1)); // the log itself says that nothing can change
    auto& late = world.add();
    BOOST_TEST(!late.follower.fresh());
    world.run(seconds{10});
    BOOST_TEST(world.all_have(1));
    world.shared.log.outage = false;
    world.publish(2, 1);
    world.run(seconds{20});
    BOOST_TEST(world.all_have(2));
    BOOST_TEST(world.one_verdict());
}

BOOST_AUTO_TEST_CASE(a_peer_gives_its_state_where_it_has_no_records_left)
{
    follower_world world;
    world.options.kept_records = 1;
    world.add();
    world.add();
    world.publish(1, 0);
    world.publish(2, 1);
    world.publish(2, 1, "loser");
    world.run(seconds{10});
    world.shared.log.outage = true;
    auto& late = world.add();
    world.run(seconds{10});
    BOOST_TEST(world.all_have(2));
    world.shared.log.outage = false;
    world.publish(3, 2);
    world.run(seconds{20});
    BOOST_TEST(late.version() == 3U);
    BOOST_TEST(world.one_verdict());
}

BOOST_AUTO_TEST_CASE(in_an_outage_a_node_that_hears_no_recent_peer_refuses)
{
    follower_world world{2};
    world.publish(1, 0);
    world.run(seconds{20});
    auto& node = *world.nodes[0];
    auto& blind = *world.nodes[1];
    // The other node answers, but its own view is old.
    blind.base.client.faults.cut_off = true;
    world.shared.network.unreachable.insert(node.base.members.self().calls);
    world.run(seconds{30});
    BOOST_TEST(node.follower.fresh());
    BOOST_TEST(!blind.follower.fresh());
    world.shared.log.outage = true;
    world.run(seconds{30});
    BOOST_TEST(!node.follower.fresh());
    // Nor is a node heard that does not answer.
    world.shared.log.outage = false;
    world.run(seconds{10});
    BOOST_TEST(node.follower.fresh());
    world.shared.network.unreachable.insert(blind.base.members.self().calls);
    world.shared.log.outage = true;
    world.run(seconds{30});
    BOOST_TEST(!node.follower.fresh());
}

BOOST_AUTO_TEST_CASE(a_node_that_wakes_in_an_outage_asks_a_peer_first)
{
    follower_world world{3};
    world.publish(1, 0);
    world.run(seconds{20});
    auto& paused = *world.nodes[0];
    paused.base.timer.pause();
    world.publish(2, 1);
    world.run(seconds{20});
    world.shared.log.outage = true;
    world.run(seconds{20});
    paused.base.timer.resume();
    for (int step = 0; step < 10'000; ++step) {
        world.run(milliseconds{1});
        BOOST_REQUIRE((!paused.follower.fresh() || paused.version() == 2));
    }
    BOOST_TEST(world.all_have(2));
}

BOOST_AUTO_TEST_CASE(a_node_cut_off_from_log_and_peers_refuses_and_recovers)
{
    follower_world world{3};
    world.publish(1, 0);
    world.run(seconds{20});
    auto& alone = *world.nodes[1];
    alone.base.client.faults.cut_off = true;
    const auto reads = alone.base.client.reads;
    world.run(minutes{1});
    BOOST_TEST(alone.follower.fresh()); // its peers still read the log
    for (const auto& node : world.nodes) {
        world.shared.network.unreachable.insert(node->base.members.self().calls);
    }
    world.run(seconds{17});
    BOOST_TEST(!alone.follower.fresh());
    BOOST_TEST(world.nodes[0]->follower.fresh());
    // Backed off: at most one read in the shortest jittered backoff.
    BOOST_TEST(alone.base.client.reads - reads < 30U);
    alone.base.client.faults.cut_off = false;
    world.run(seconds{10});
    BOOST_TEST(world.all_have(1));
}

BOOST_AUTO_TEST_CASE(retention_never_leaves_the_stream_without_the_version_in_force)
{
    follower_world world;
    world.options.retention = hours{1};
    world.shared.log.retention = hours{1};
    for (int count = 0; count < 6; ++count) {
        world.add();
    }
    world.publish(1, 0);
    world.publish(4, 0, "loser");
    world.run(hours{5});
    const auto appends = world.shared.log.appends();
    BOOST_TEST(appends >= 8U); // two bundles, and a checkpoint in every part of the retention
    BOOST_TEST(appends <= 40U);
    auto& late = world.add();
    for (const auto& node : world.nodes) {
        world.shared.network.unreachable.insert(node->base.members.self().calls);
    }
    world.run(seconds{5});
    BOOST_TEST(late.version() == 1U);
    BOOST_TEST(world.all_have(1));
}

BOOST_AUTO_TEST_CASE(few_nodes_renew_the_checkpoint_also_on_a_slow_log)
{
    follower_world world;
    world.options.retention = hours{1};
    for (int count = 0; count < 30; ++count) {
        world.add().base.client.faults.latency = milliseconds{1'500};
    }
    world.publish(1, 0);
    world.run(minutes{40});
    const auto checkpoints = world.shared.log.appends() - 1;
    BOOST_TEST(checkpoints >= 1U);
    BOOST_TEST(checkpoints <= 5U);
}

BOOST_AUTO_TEST_CASE(a_truncated_stream_never_brings_up_a_rejected_record)
{
    follower_world world{2};
    world.publish(1, 0);
    world.run(seconds{10});
    // The state before version 2, appended by a node that was paused for long.
    bundle_fold slow{world.signers};
    slow.apply(world.shared.log.read(stream_name{bundle_stream}, log_offset{0}, 1).records[0]);
    world.publish(2, 1, "winner");
    world.publish(2, 1, "loser");
    world.publish(3, 2, "next");
    world.run(seconds{10});
    world.append({record_id{"late"}, encode_record(slow.checkpoint())});
    world.publish(7, 1, "second-loser");
    world.run(seconds{10});
    world.shared.log.truncate(stream_name{bundle_stream}, log_offset{2});
    for (const auto& node : world.nodes) {
        world.shared.network.unreachable.insert(node->base.members.self().calls);
    }
    auto& late = world.add();
    for (int step = 0; step < 300; ++step) {
        world.run(milliseconds{100});
        BOOST_REQUIRE((!late.follower.fresh() || late.version() == 3));
    }
    // The others saw that no checkpoint was left and appended one.
    BOOST_TEST(world.all_have(3));
    BOOST_TEST(world.one_verdict());
}

BOOST_AUTO_TEST_CASE(a_node_without_any_source_stays_stale)
{
    follower_world world;
    world.publish(1, 0);
    world.publish(2, 1);
    world.shared.log.truncate(stream_name{bundle_stream}, log_offset{1});
    auto& node = world.add();
    world.run(minutes{1});
    BOOST_TEST(node.version() == 0U);
    BOOST_TEST(!node.follower.fresh());
    BOOST_TEST(node.events.count("bundle_read_failed") == 1U);
}

BOOST_AUTO_TEST_CASE(a_version_of_an_unknown_schema_stops_new_work)
{
    follower_world world{2};
    world.publish(1, 0);
    world.run(seconds{10});
    auto sealed = make_signed_bundle(test_bundle(2, 1, world.signers));
    sealed.header.text.replace(sealed.header.text.find("\"schema\":1"), 10, "\"schema\":9");
    add_signature(sealed, test_key(1)).value();
    world.append(test_record(sealed));
    world.run(seconds{10});
    auto& late = world.add();
    world.run(seconds{10});
    for (const auto& node : world.nodes) {
        BOOST_TEST(!node->follower.fresh());
        BOOST_TEST(node->version() == 1U);
    }
    BOOST_TEST(late.follower.next_offset().value() == 1U);
}

} // namespace eelgrassbend
