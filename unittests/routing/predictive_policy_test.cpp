#include "routing_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static constexpr duration usual_gap = std::chrono::milliseconds{25};
static constexpr duration slow_gap = std::chrono::milliseconds{150};

/// Completes one request at each endpoint at the usual token rate, so that latencies are known.
static void warm_up(routing_fixture& fixture, int endpoints)
{
    for (int number = 0; number < endpoints; ++number) {
        const auto attempt = fixture.dispatch("e" + std::to_string(number));
        fixture.stream(attempt, 40, usual_gap);
        fixture.router.on_ended(attempt, attempt_end::completed);
    }
}

BOOST_AUTO_TEST_CASE(work_sent_since_a_stale_report_counts)
{
    routing_fixture fixture("predictive", 2);
    // The report is older than the attempts that fill e0.
    fixture.clock.run_for(std::chrono::seconds{5});
    for (int count = 0; count < 12; ++count) {
        fixture.dispatch("e0");
    }
    fixture.report("e0", 0, 8, std::chrono::seconds{2});
    fixture.report("e1", 0, 8, std::chrono::seconds{2});
    BOOST_TEST((fixture.chosen_endpoints(100) == std::set<std::string>{"e1"}));
}

BOOST_AUTO_TEST_CASE(work_sent_since_the_measurement_is_added_to_a_report)
{
    routing_fixture fixture("predictive", 1);
    fixture.clock.run_for(std::chrono::seconds{5});
    for (int count = 0; count < 3; ++count) {
        fixture.dispatch("e0");
    }
    fixture.clock.run_for(std::chrono::seconds{1});
    // The report was measured two seconds ago, when four attempts of other nodes were running and
    // none of this node.
    fixture.report("e0", 4, 16, std::chrono::seconds{2});
    const auto decision = fixture.router.choose(make_request());
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision.value().candidates.front().load == 7.0);
}

BOOST_AUTO_TEST_CASE(own_work_is_not_counted_twice_by_a_report)
{
    routing_fixture fixture("predictive", 1);
    fixture.clock.run_for(std::chrono::seconds{5});
    for (int count = 0; count < 5; ++count) {
        fixture.dispatch("e0");
    }
    fixture.clock.run_for(std::chrono::seconds{1});
    fixture.report("e0", 5);
    const auto decision = fixture.router.choose(make_request());
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision.value().candidates.front().load == 5.0);
}

BOOST_AUTO_TEST_CASE(nodes_with_the_same_stale_view_spread_their_choices)
{
    std::map<std::string, int> counts;
    for (std::uint64_t node = 0; node < 60; ++node) {
        routing_fixture fixture("predictive", 6);
        seeded_random random(node);
        service_router router(fixture.clock, random, fixture.directory, fixture.bundles);
        const auto decision = router.choose(make_request());
        ++counts[decision.value().endpoint.value()];
    }
    // The mean is ten per endpoint.
    BOOST_TEST(counts.size() == 6U);
    for (const auto& [endpoint, count] : counts) {
        BOOST_TEST(count <= 25, endpoint);
    }
}

BOOST_AUTO_TEST_CASE(digests_of_peers_count_before_any_report)
{
    routing_fixture fixture("predictive", 2);
    fixture.chosen_endpoints(1);
    const load_digest digest{node_id{"peer"}, {{endpoint_id{"e0"}, 9, 0, false}}};
    fixture.router.apply_digest(decode_load_digest(encode(digest)).value());
    BOOST_TEST((fixture.chosen_endpoints(100) == std::set<std::string>{"e1"}));
    fixture.clock.run_for(std::chrono::seconds{6});
    fixture.report("e1", 0);
    BOOST_TEST(fixture.chosen_endpoints(100).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_slow_endpoint_is_avoided_before_any_report_and_probed_later)
{
    routing_fixture fixture("predictive", 3);
    warm_up(fixture, 3);
    const auto attempt = fixture.dispatch("e1");
    fixture.stream(attempt, 10, usual_gap);
    fixture.clock.run_for(slow_gap);
    BOOST_TEST((fixture.chosen_endpoints(100) == std::set<std::string>{"e0", "e2"}));

    int tried = 0;
    for (int second = 0; second < 30; ++second) {
        fixture.clock.run_for(std::chrono::seconds{1});
        tried += fixture.chosen_endpoints(20).contains("e1") ? 1 : 0;
    }
    BOOST_TEST(tried >= 1);
    BOOST_TEST(tried <= 4);
    fixture.stream(attempt, 30, usual_gap);
    BOOST_TEST(fixture.chosen_endpoints(100).contains("e1"));
}

BOOST_AUTO_TEST_CASE(observed_latency_overrides_a_false_report)
{
    routing_fixture fixture("predictive", 3);
    warm_up(fixture, 3);
    load_report fast_report;
    fast_report.slots = 8;
    fast_report.running = 1;
    fast_report.tokens_per_second = 40.0;
    const auto slow = fixture.dispatch("e1");
    fixture.stream(slow, 20, slow_gap);
    BOOST_TEST(fixture.router.is_suspected(endpoint_id{"e1"}));
    fast_report.measured_at = fixture.clock.wall_now();
    fixture.router.report_load(endpoint_id{"e1"}, fast_report);
    BOOST_TEST((fixture.chosen_endpoints(100) == std::set<std::string>{"e0", "e2"}));

    // The opposite case: reported as slow, measured as normal.
    load_report slow_report = fast_report;
    slow_report.tokens_per_second = 1.0;
    const auto good = fixture.dispatch("e2");
    fixture.stream(good, 20, usual_gap);
    fixture.router.report_load(endpoint_id{"e2"}, slow_report);
    BOOST_TEST(fixture.chosen_endpoints(100).contains("e2"));
}

BOOST_AUTO_TEST_CASE(long_work_leaves_a_share_of_the_slots_to_quick_work)
{
    routing_fixture fixture("predictive", 1);
    fixture.report("e0", 6);
    const auto refused = fixture.router.choose(make_request(request_class::long_running));
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST(refused.error().code == make_error_code(errc::rate_limited));
    BOOST_TEST(fixture.router.choose(make_request(request_class::quick)).has_value());
}

BOOST_AUTO_TEST_CASE(long_work_does_not_starve)
{
    routing_fixture fixture("predictive", 1);
    bool admitted = false;
    // Quick requests take every slot they can get; one long request is routed each second.
    std::set<attempt_id> running;
    for (int second = 0; second < 20 && !admitted; ++second) {
        fixture.clock.run_for(std::chrono::seconds{1});
        if (running.size() > 6) {
            fixture.router.on_ended(*running.begin(), attempt_end::completed);
            running.erase(running.begin());
        }
        while (fixture.router.choose(make_request(request_class::quick))) {
            running.insert(fixture.dispatch("e0", make_request(request_class::quick)));
        }
        admitted = fixture.router.choose(make_request(request_class::long_running)).has_value();
    }
    BOOST_TEST(admitted);
}

BOOST_AUTO_TEST_CASE(the_cheaper_endpoint_is_selected_while_it_meets_the_target)
{
    routing_fixture fixture("predictive", 0);
    auto declared = make_bundle("predictive");
    declared.host_prices = {
        {availability_zone{"arusha-a"}, machine_class{"small"}, true, money{300'000}},
        {availability_zone{"moshi-b"}, machine_class{"small"}, true, money{600'000}}};
    fixture.bundles.set(declared);
    auto expensive = make_endpoint("dear");
    expensive.zone = availability_zone{"moshi-b"};
    fixture.directory.set(expensive);
    fixture.directory.set(make_endpoint("cheap"));
    BOOST_TEST((fixture.chosen_endpoints(50) == std::set<std::string>{"cheap"}));
    fixture.report("cheap", 8);
    fixture.report("dear", 0);
    BOOST_TEST((fixture.chosen_endpoints(50) == std::set<std::string>{"dear"}));
}

BOOST_AUTO_TEST_CASE(a_low_priority_is_shed_before_the_service_is_full)
{
    routing_fixture fixture("predictive", 1);
    auto declared = make_bundle("predictive");
    declared.organisations.resize(2);
    declared.organisations[1].priority = 9;
    fixture.bundles.set(declared);
    fixture.report("e0", 15, 16);
    auto request = make_request(request_class::quick);
    const auto refused = fixture.router.choose(request);
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST(refused.error().code == make_error_code(errc::rate_limited));
    request.priority = 9;
    BOOST_TEST(fixture.router.choose(request).has_value());
}

BOOST_AUTO_TEST_CASE(late_progress_of_a_cancelled_hedge_changes_no_state)
{
    routing_fixture fixture("predictive", 2);
    const auto loser = fixture.dispatch("e0");
    const auto winner = fixture.dispatch("e1");
    fixture.stream(winner, 5, usual_gap);
    fixture.router.on_ended(loser, attempt_end::cancelled);
    const auto before = fixture.router.make_digest(node_id{"self"});
    // Late events of the cancelled attempt must change neither load nor latencies.
    fixture.router.on_progress(loser, token_count{1});
    fixture.router.on_usage(loser, token_count{100}, token_count{0});
    fixture.router.on_ended(loser, attempt_end::completed);
    BOOST_TEST((fixture.router.make_digest(node_id{"self"}).endpoints == before.endpoints));
    fixture.router.on_ended(winner, attempt_end::completed);
    BOOST_TEST(fixture.router.make_digest(node_id{"self"}).endpoints.empty());
}

} // namespace eelgrassbend
