#include "claims_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static const claim_service::done_handler ignore_done = [](const result<void>&) {};

static recorded_outcome example_outcome()
{
    return {201, "application/json", R"({"order":17})", "d1"};
}

static const char* name_of(claim_state state)
{
    switch (state) {
    case claim_state::granted:
        return "granted";
    case claim_state::finished:
        return "finished";
    case claim_state::running:
        return "running";
    case claim_state::unknown:
        return "unknown";
    case claim_state::refused:
        return "refused";
    }
    return "?";
}

static std::string state_of(const claim_answer& answer)
{
    return name_of(answer.state);
}

BOOST_AUTO_TEST_CASE(one_of_many_nodes_gets_a_key)
{
    for (std::size_t count = 2; count <= 6; ++count) {
        claims_cluster cluster{count};
        const auto key = cluster.make_key();
        std::vector<std::shared_ptr<std::optional<claim_answer>>> answers;
        for (std::size_t node = 0; node < count; ++node) {
            answers.push_back(cluster.begin(node, key, "r" + std::to_string(node)));
        }
        cluster.run_for(seconds{2});
        std::size_t granted = 0;
        for (const auto& answer : answers) {
            granted += answer->value().state == claim_state::granted ? 1 : 0;
            BOOST_TEST((answer->value().state == claim_state::granted ||
                        answer->value().state == claim_state::running));
        }
        BOOST_TEST(granted == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_retry_of_a_finished_key_gets_the_outcome)
{
    claims_cluster cluster{3};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
    BOOST_TEST(!cluster.services[0]->dispatch_allowed(request_id{"a"}));
    bool recorded = false;
    cluster.services[0]->finish(request_id{"a"}, example_outcome(),
                                [&](const result<void>& done) { recorded = done.has_value(); });
    cluster.run_for(seconds{1});
    BOOST_TEST(recorded);
    for (std::size_t node = 0; node < 3; ++node) {
        const auto again = cluster.claim(node, key, "b" + std::to_string(node));
        BOOST_TEST(state_of(again) == "finished");
        BOOST_TEST(again.outcome.status == 201);
        BOOST_TEST(again.outcome.body == R"({"order":17})");
        BOOST_TEST(again.outcome.digest == "d1");
    }
}

BOOST_AUTO_TEST_CASE(the_same_key_in_another_scope_is_another_key)
{
    claims_cluster cluster{2};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    claim_answer other;
    cluster.services[1]->claim("gulf/shopfloor", key, request_id{"b"},
                               [&](claim_answer answer) { other = std::move(answer); });
    cluster.run_for(seconds{1});
    BOOST_TEST(state_of(other) == "granted");
}

BOOST_AUTO_TEST_CASE(a_released_key_is_free_and_a_dispatched_one_cannot_be_released)
{
    claims_cluster cluster{2};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    bool released = false;
    cluster.services[0]->release(request_id{"a"},
                                 [&](const result<void>& done) { released = done.has_value(); });
    BOOST_TEST(!cluster.services[0]->dispatch_allowed(request_id{"a"}));
    cluster.run_for(seconds{1});
    BOOST_TEST(released);
    BOOST_TEST(state_of(cluster.claim(1, key, "b")) == "granted");
    BOOST_TEST(cluster.services[1]->dispatch_allowed(request_id{"b"}));
    bool refused = false;
    cluster.services[1]->release(request_id{"b"},
                                 [&](const result<void>& done) { refused = !done.has_value(); });
    BOOST_TEST(refused);
    BOOST_TEST(state_of(cluster.claim(0, key, "c")) == "running");
    cluster.services[1]->not_dispatched(request_id{"b"});
    cluster.services[1]->release(request_id{"b"}, ignore_done);
    cluster.run_for(seconds{1});
    BOOST_TEST(state_of(cluster.claim(0, key, "d")) == "granted");
}

BOOST_AUTO_TEST_CASE(an_append_whose_answer_is_lost_is_settled_by_reading)
{
    claims_cluster cluster{1};
    const auto key = cluster.make_key();
    cluster.run_for(seconds{1});
    const auto before = cluster.world.log.appends();
    cluster.nodes[0]->client.faults.lose_answers = 1;
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    BOOST_TEST(cluster.world.log.appends() == before + 1);
}

BOOST_AUTO_TEST_CASE(an_append_that_was_lost_is_tried_again)
{
    claims_cluster cluster{1};
    const auto key = cluster.make_key();
    cluster.run_for(seconds{1});
    cluster.nodes[0]->client.faults.lose_requests = 1;
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    BOOST_TEST(state_of(cluster.claim(0, key, "b")) == "running");
}

BOOST_AUTO_TEST_CASE(a_claim_in_an_outage_is_refused_and_leaves_the_key_free)
{
    claims_cluster cluster{2};
    const auto key = cluster.make_key();
    cluster.world.log.outage = true;
    const auto refused = cluster.claim(0, key, "a");
    BOOST_TEST(state_of(refused) == "refused");
    BOOST_TEST(
        (refused.reason.code == errc::unavailable || refused.reason.code == errc::timed_out));
    BOOST_TEST(!cluster.services[0]->dispatch_allowed(request_id{"a"}));
    cluster.world.log.outage = false;
    cluster.run_for(seconds{3});
    BOOST_TEST(state_of(cluster.claim(1, key, "b")) == "granted");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_claim_that_was_appended_is_released_after_the_outage)
{
    claims_cluster cluster{2};
    cluster.run_for(seconds{1});
    const auto key = cluster.make_key();
    for (auto& node : cluster.nodes) {
        node->client.faults.lose_answers = 1;
    }
    const auto answer = cluster.begin(0, key, "a");
    cluster.run_for(milliseconds{100}); // appended, the answer is lost
    cluster.world.log.outage = true;
    cluster.run_for(seconds{4});
    BOOST_TEST(state_of(answer->value()) == "refused");
    cluster.world.log.outage = false;
    cluster.run_for(seconds{4});
    BOOST_TEST(state_of(cluster.claim(1, key, "b")) == "granted");
    BOOST_TEST(!cluster.services[0]->dispatch_allowed(request_id{"a"}));
}

BOOST_AUTO_TEST_CASE(an_append_that_takes_effect_after_its_release_does_not_block_the_key)
{
    claims_cluster cluster{1};
    cluster.run_for(seconds{1});
    const auto key = cluster.make_key();
    auto& faults = cluster.nodes[0]->client.faults;
    faults.latency = seconds{20};
    const auto answer = cluster.begin(0, key, "a");
    cluster.run_for(milliseconds{50});
    faults.latency = milliseconds{2};
    faults.rate_limited = true; // neither the claim nor its release goes in
    cluster.run_for(seconds{3});
    BOOST_TEST(state_of(answer->value()) == "refused");
    faults.rate_limited = false;
    cluster.run_for(seconds{12}); // the release goes in, then the first append
    BOOST_TEST(state_of(cluster.claim(0, key, "b")) == "granted");
}

BOOST_AUTO_TEST_CASE(a_pause_outlasts_the_grant)
{
    claims_cluster cluster{2};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    cluster.nodes[0]->timer.pause();
    cluster.run_for(seconds{60});
    BOOST_TEST(state_of(cluster.claim(1, key, "b")) == "running");
    cluster.nodes[0]->timer.resume();
    BOOST_TEST(!cluster.services[0]->dispatch_allowed(request_id{"a"}));
    cluster.services[0]->release(request_id{"a"}, ignore_done);
    cluster.run_for(seconds{1});
    BOOST_TEST(state_of(cluster.claim(1, key, "c")) == "granted");
}

BOOST_AUTO_TEST_CASE(a_pause_between_check_and_dispatch_lets_nobody_else_run)
{
    claims_cluster cluster{3};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
    cluster.nodes[0]->timer.pause();
    bury(cluster.nodes, 0);
    for (int round = 0; round < 20; ++round) {
        cluster.run_for(seconds{30});
        const auto other = cluster.claim(1, key, "b" + std::to_string(round));
        BOOST_TEST(state_of(other) == "unknown");
    }
    cluster.nodes[0]->timer.resume();
    cluster.services[0]->finish(request_id{"a"}, example_outcome(), ignore_done);
    cluster.run_for(seconds{1});
    BOOST_TEST(state_of(cluster.claim(2, key, "c")) == "finished");
}

BOOST_AUTO_TEST_CASE(the_key_of_a_dead_holder_is_unknown_and_never_granted)
{
    for (const bool dispatched : {false, true}) {
        claims_cluster cluster{3};
        const auto key = cluster.make_key();
        BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
        if (dispatched) {
            BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
        }
        cluster.kill(0);
        for (std::size_t node = 1; node < 3; ++node) {
            BOOST_TEST(state_of(cluster.claim(node, key, "b" + std::to_string(node))) == "unknown");
        }
    }
}

BOOST_AUTO_TEST_CASE(the_outcome_outlives_its_holder)
{
    claims_cluster cluster{3};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
    cluster.services[0]->finish(request_id{"a"}, example_outcome(), ignore_done);
    cluster.run_for(milliseconds{100});
    cluster.kill(0);
    BOOST_TEST(state_of(cluster.claim(1, key, "b")) == "finished");
    BOOST_TEST(state_of(cluster.claim(2, key, "c")) == "finished");
}

BOOST_AUTO_TEST_CASE(an_abandoned_request_and_an_overdue_one_are_unknown)
{
    claims_cluster cluster{2};
    const auto abandoned = cluster.make_key();
    const auto overdue = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, abandoned, "a")) == "granted");
    BOOST_TEST(state_of(cluster.claim(0, overdue, "b")) == "granted");
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"b"}));
    cluster.services[0]->abandon(request_id{"a"});
    cluster.run_for(seconds{1});
    BOOST_TEST(state_of(cluster.claim(1, abandoned, "c")) == "unknown");
    BOOST_TEST(state_of(cluster.claim(1, overdue, "d")) == "running");
    cluster.run_for(minutes{5});
    BOOST_TEST(state_of(cluster.claim(1, overdue, "e")) == "unknown");
}

BOOST_AUTO_TEST_CASE(two_owners_of_a_partition_at_once_are_safe)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        claims_cluster cluster{6, seed};
        for (std::size_t node = 0; node < 6; ++node) {
            for (std::size_t other = 0; other < 6; ++other) {
                auto hidden = cluster.nodes[other]->members.self();
                hidden.state = member_state::dead;
                if (node % 2 != other % 2) {
                    cluster.nodes[node]->members.set(hidden);
                }
            }
        }
        const auto key = cluster.make_key();
        std::vector<std::shared_ptr<std::optional<claim_answer>>> answers;
        for (std::size_t node = 0; node < 6; ++node) {
            answers.push_back(cluster.begin(node, key, "r" + std::to_string(node)));
        }
        cluster.run_for(seconds{2});
        BOOST_TEST(std::count_if(answers.begin(), answers.end(), [](const auto& answer) {
                       return answer->value().state == claim_state::granted;
                   }) == 1);
    }
}

BOOST_AUTO_TEST_CASE(an_unreachable_owner_is_gone_around)
{
    claims_cluster cluster{4};
    for (std::size_t node = 1; node < 4; ++node) {
        cluster.world.network.unreachable.insert(cluster.nodes[node]->members.self().calls);
    }
    for (int round = 0; round < 8; ++round) {
        const auto name = std::to_string(round);
        BOOST_TEST(state_of(cluster.claim(0, cluster.make_key(), name)) == "granted");
    }
    BOOST_TEST(cluster.services[0]->statistics().appends >= 8U);
}

BOOST_AUTO_TEST_CASE(an_outage_while_the_outcome_is_recorded_only_delays_it)
{
    claims_cluster cluster{2};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
    cluster.world.log.outage = true;
    errc code{};
    cluster.services[0]->finish(request_id{"a"}, example_outcome(), [&](const result<void>& done) {
        code = static_cast<errc>(done.error().code.value());
    });
    cluster.run_for(seconds{6});
    BOOST_TEST((code == errc::timed_out));
    BOOST_TEST(state_of(cluster.claim(1, key, "b")) == "refused");
    cluster.world.log.outage = false;
    cluster.run_for(seconds{6});
    BOOST_TEST(state_of(cluster.claim(1, key, "c")) == "finished");
}

BOOST_AUTO_TEST_CASE(a_planned_stop_waits_for_outcomes)
{
    claims_cluster cluster{2};
    const auto key = cluster.make_key();
    BOOST_TEST(state_of(cluster.claim(0, key, "a")) == "granted");
    BOOST_TEST(cluster.services[0]->dispatch_allowed(request_id{"a"}));
    cluster.services[0]->finish(request_id{"a"}, example_outcome(), ignore_done);
    bool stopped = false;
    cluster.services[0]->stop([&] {
        stopped = true;
        cluster.kill(0);
    });
    BOOST_TEST(state_of(cluster.claim(0, cluster.make_key(), "late")) == "refused");
    cluster.run_for(seconds{6});
    BOOST_TEST(stopped);
    BOOST_TEST(state_of(cluster.claim(1, key, "b")) == "finished");
}

} // namespace eelgrassbend
