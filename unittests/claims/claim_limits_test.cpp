#include "claims_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(keys_out_of_their_time_are_refused_without_an_append)
{
    claims_cluster cluster{1};
    cluster.run_for(seconds{1});
    const auto appends = cluster.world.log.appends();
    const auto old = cluster.claim(0, cluster.make_key(minutes{16}), "a");
    const auto future = cluster.claim(0, cluster.make_key(-seconds{30}), "b");
    const auto malformed = cluster.claim(0, idempotency_key{"order-17"}, "c");
    for (const auto& answer : {old, future, malformed}) {
        BOOST_TEST((answer.state == claim_state::refused));
        BOOST_TEST((answer.reason.code == errc::invalid_argument));
    }
    BOOST_TEST(cluster.world.log.appends() == appends);
}

// The log's clock decides, not the clocks of nodes: one that is slow grants no key too old.
BOOST_AUTO_TEST_CASE(a_slow_clock_grants_no_key_that_is_too_old)
{
    claims_cluster cluster{1};
    cluster.nodes[0]->timer.wall_offset = -minutes{30};
    const auto answer = cluster.claim(0, cluster.make_key(minutes{20}), "a");
    BOOST_TEST((answer.state == claim_state::refused));
}

BOOST_AUTO_TEST_CASE(a_node_that_misses_records_of_a_key_refuses_it)
{
    claims_cluster cluster{2};
    cluster.run_for(seconds{30});
    const auto key = cluster.make_key();
    BOOST_TEST((cluster.claim(0, key, "a").state == claim_state::granted));
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
    for (std::uint32_t number = 0; number < 2; ++number) {
        cluster.world.log.truncate(claim_stream(number), log_offset{1'000});
    }
    // A node that starts afresh has no memory of what the log no longer holds.
    auto fresh = std::make_unique<fake_node>(cluster.world, make_fake_member(9, 3));
    log_claim_service service{claims_cluster::fast_settings(),
                              {fresh->timer, cluster.world.random, fresh->log, fresh->peers,
                               fresh->members, fresh->events}};
    service.start();
    claim_answer answer;
    service.claim("lodges/order-desk", key, request_id{"b"},
                  [&](claim_answer given) { answer = std::move(given); });
    cluster.run_for(seconds{2});
    BOOST_TEST((answer.state == claim_state::refused));
    BOOST_TEST((answer.reason.code == errc::stale));
    cluster.run_for(seconds{20});
    claim_answer young;
    service.claim("lodges/order-desk", cluster.make_key(), request_id{"c"},
                  [&](claim_answer given) { young = std::move(given); });
    cluster.run_for(seconds{2});
    BOOST_TEST((young.state == claim_state::granted));
}

BOOST_AUTO_TEST_CASE(markers_keep_a_quiet_stream_usable_for_a_node_that_starts)
{
    auto settings = claims_cluster::fast_settings();
    settings.log_retention = hours{1};
    claims_cluster cluster{2, 1, settings};
    cluster.world.log.retention = hours{1};
    for (int round = 0; round < 8; ++round) { // records in both streams that will expire
        cluster.claim(0, cluster.make_key(), "early" + std::to_string(round));
    }
    cluster.run_for(hours{5});
    auto fresh = std::make_unique<fake_node>(cluster.world, make_fake_member(9, 3));
    log_claim_service service{settings,
                              {fresh->timer, cluster.world.random, fresh->log, fresh->peers,
                               fresh->members, fresh->events}};
    for (int round = 0; round < 8; ++round) {
        claim_answer answer;
        service.claim("lodges/order-desk", cluster.make_key(minutes{14}),
                      request_id{std::to_string(round)},
                      [&](claim_answer given) { answer = std::move(given); });
        cluster.run_for(seconds{2});
        BOOST_TEST((answer.state == claim_state::granted));
    }
}

BOOST_AUTO_TEST_CASE(claims_of_many_requests_share_appends_and_reads)
{
    auto settings = claims_cluster::fast_settings();
    settings.partitions = 1;
    claims_cluster cluster{8, 1, settings};
    cluster.run_for(seconds{1});
    const auto appends = cluster.world.log.appends();
    std::vector<std::shared_ptr<std::optional<claim_answer>>> answers;
    for (int round = 0; round < 100; ++round) {
        for (std::size_t node = 0; node < 8; ++node) {
            answers.push_back(cluster.begin(node, cluster.make_key(),
                                            std::to_string(round) + "-" + std::to_string(node)));
        }
        cluster.run_for(milliseconds{10});
    }
    cluster.run_for(seconds{2});
    for (const auto& answer : answers) {
        BOOST_TEST((answer->value().state == claim_state::granted));
    }
    // One second of claims, and an append of the owner at most each 25 ms.
    BOOST_TEST(cluster.world.log.appends() - appends <= 42U);
}

BOOST_AUTO_TEST_CASE(partitions_are_spread_over_the_nodes)
{
    auto settings = claims_cluster::fast_settings();
    settings.partitions = 16;
    for (const std::size_t count : {5, 16, 40}) {
        claims_cluster cluster{count, 1, settings};
        for (int round = 0; round < 200; ++round) {
            cluster.begin(round % count, cluster.make_key(), std::to_string(round));
        }
        cluster.run_for(seconds{2});
        std::size_t owners = 0;
        for (const auto& each : cluster.services) {
            owners += each->statistics().appends > 0 ? 1 : 0;
        }
        BOOST_TEST(owners == std::min<std::size_t>(count, 16));
    }
}

BOOST_AUTO_TEST_CASE(claims_beyond_the_queue_are_refused_at_once)
{
    auto settings = claims_cluster::fast_settings();
    settings.partitions = 1;
    settings.queued_records = 100;
    claims_cluster cluster{1, 1, settings};
    cluster.world.log.outage = true;
    std::size_t refused = 0;
    for (int number = 0; number < 150; ++number) {
        const auto answer = cluster.begin(0, cluster.make_key(), std::to_string(number));
        refused += answer->has_value() ? 1 : 0;
    }
    BOOST_TEST(refused >= 50U);
    cluster.run_for(seconds{3});
    BOOST_TEST(cluster.services[0]->statistics().refused == 150U);
}

BOOST_AUTO_TEST_CASE(a_peer_with_other_partitions_is_refused)
{
    auto settings = claims_cluster::fast_settings();
    claims_cluster cluster{1, 1, settings};
    auto other = std::make_unique<fake_node>(cluster.world, make_fake_member(9, 3));
    other->members.set(cluster.nodes[0]->members.self());
    settings.partitions = 7;
    log_claim_service service{settings,
                              {other->timer, cluster.world.random, other->log, other->peers,
                               other->members, other->events}};
    for (int round = 0; round < 20; ++round) {
        service.claim("lodges", cluster.make_key(), request_id{std::to_string(round)},
                      [](const claim_answer&) {});
    }
    cluster.run_for(seconds{3});
    BOOST_TEST(service.statistics().owner_calls > 0U);
    BOOST_TEST(service.statistics().owner_failures == service.statistics().owner_calls);
}

BOOST_AUTO_TEST_CASE(settings_that_contradict_each_other_are_refused)
{
    claim_settings settings;
    BOOST_TEST(check_claim_settings(settings).has_value());
    settings.table.max_key_age = minutes{50};
    BOOST_TEST(!check_claim_settings(settings).has_value());
    settings = claim_settings{};
    settings.grant_limit = settings.claim_timeout;
    BOOST_TEST(!check_claim_settings(settings).has_value());
    settings = claim_settings{};
    settings.partitions = 0;
    BOOST_TEST(!check_claim_settings(settings).has_value());
}

} // namespace eelgrassbend
