#include "ledger_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using request_set = std::set<std::string>;

BOOST_AUTO_TEST_CASE(a_confirmed_line_is_billed_and_an_open_one_is_not)
{
    ledger_cluster cluster{4};
    for (const auto* request : {"a", "b", "c"}) {
        BOOST_TEST(cluster.intend(0, request));
    }
    BOOST_TEST((cluster.ledgers[1]->held() + cluster.ledgers[2]->held()) == 6U);
    BOOST_TEST(cluster.ledgers[3]->held() == 0U); // the same zone
    cluster.confirm(0, "a");
    cluster.ledgers[0]->cancel(request_id{"b"});
    cluster.run_for(seconds{5});
    BOOST_TEST((cluster.billed() == request_set{"a"}));
    BOOST_TEST((cluster.ledgers[1]->held() + cluster.ledgers[2]->held()) == 2U);
}

/// Kills the origin some time after the intent or the confirmation of one line.
static request_set billed_after_death(bool confirmed, duration when)
{
    ledger_cluster cluster{4};
    if (!confirmed) {
        cluster.begin(0, "a");
    }
    else {
        cluster.intend(0, "a");
        cluster.confirm(0, "a");
    }
    cluster.run_for(when);
    cluster.kill(0);
    cluster.run_for(seconds{60});
    BOOST_TEST((cluster.ledgers[1]->held() + cluster.ledgers[2]->held()) == 0U);
    BOOST_TEST(cluster.fold().contradicting() == 0U);
    return cluster.billed();
}

BOOST_AUTO_TEST_CASE(an_origin_killed_before_confirmation_bills_nothing)
{
    for (const auto when : {0, 3, 6, 7, 8, 20, 2'000}) {
        BOOST_TEST(billed_after_death(false, milliseconds{when}).empty());
    }
}

BOOST_AUTO_TEST_CASE(an_origin_killed_after_its_confirmation_was_replicated_bills_once)
{
    for (const auto when : {0, 20, 40}) {
        BOOST_TEST(billed_after_death(true, milliseconds{when}).empty());
    }
    for (const auto when : {60, 100, 240, 251, 253, 400, 2'000}) {
        BOOST_TEST((billed_after_death(true, milliseconds{when}) == request_set{"a"}));
    }
}

BOOST_AUTO_TEST_CASE(an_append_whose_answer_is_lost_bills_once)
{
    ledger_cluster cluster{3};
    BOOST_TEST(cluster.intend(0, "a"));
    cluster.confirm(0, "a");
    cluster.nodes[0]->client.faults.lose_answers = 2;
    cluster.run_for(seconds{10});
    const auto folded = cluster.fold();
    BOOST_TEST(folded.lines().size() == 1U);
    BOOST_TEST(folded.repeated() == 2U);
    BOOST_TEST(cluster.ledgers[0]->waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(lines_wait_through_an_outage)
{
    ledger_cluster cluster{3};
    cluster.world.log.outage = true;
    for (int number = 0; number < 100; ++number) {
        const auto request = "r" + std::to_string(number);
        BOOST_TEST(cluster.intend(0, request));
        cluster.confirm(0, request);
    }
    cluster.run_for(minutes{5});
    BOOST_TEST(cluster.ledgers[0]->waiting() == 100U);
    cluster.world.log.outage = false;
    cluster.run_for(seconds{10});
    BOOST_TEST((cluster.billed() == cluster.delivered));
    BOOST_TEST(cluster.ledgers[0]->waiting() == 0U);
    BOOST_TEST(cluster.fold().repeated() == 0U);
}

BOOST_AUTO_TEST_CASE(at_the_bound_new_work_is_refused_and_old_work_is_billed)
{
    ledger_settings settings;
    settings.open_lines = 100;
    ledger_cluster cluster{3, 1, settings};
    cluster.world.log.outage = true;
    std::size_t intended = 0;
    for (int number = 0; number < 120; ++number) {
        const auto request = "r" + std::to_string(number);
        BOOST_TEST(cluster.ledgers[0]->accepts_work() == (intended < 90));
        if (cluster.intend(0, request)) {
            ++intended;
            cluster.confirm(0, request);
        }
    }
    BOOST_TEST(intended == 100U);
    cluster.world.log.outage = false;
    cluster.run_for(seconds{20});
    BOOST_TEST(cluster.ledgers[0]->accepts_work());
    BOOST_TEST(cluster.intend(0, "later"));
    BOOST_TEST((cluster.billed() == cluster.delivered));
}

static std::size_t lines_within(std::size_t bytes)
{
    ledger_settings settings;
    settings.open_bytes = bytes;
    ledger_cluster cluster{3, 1, settings};
    cluster.world.log.outage = true;
    std::size_t intended = 0;
    for (int number = 100; number < 400; ++number) {
        intended += cluster.intend(0, "r" + std::to_string(number)) ? 1 : 0;
    }
    return intended;
}

BOOST_AUTO_TEST_CASE(the_bound_holds_for_bytes_too)
{
    const auto lines = lines_within(20'000);
    BOOST_TEST(lines > 0U);
    BOOST_TEST(lines < 300U);
    BOOST_TEST(lines_within(40'000) >= 2 * lines - 1);
    BOOST_TEST(lines_within(40'000) <= 2 * lines);
}

BOOST_AUTO_TEST_CASE(a_flush_appends_everything_at_once)
{
    ledger_cluster cluster{3};
    for (int number = 0; number < 50; ++number) {
        const auto request = "r" + std::to_string(number);
        cluster.begin(0, request);
        cluster.run_for(milliseconds{20});
        cluster.confirm(0, request);
    }
    bool flushed = false;
    cluster.ledgers[0]->flush([&](const result<void>& done) {
        flushed = done.has_value();
        cluster.kill(0);
    });
    cluster.run_for(milliseconds{100});
    BOOST_TEST(flushed);
    BOOST_TEST((cluster.billed() == cluster.delivered));
}

BOOST_AUTO_TEST_CASE(a_flush_during_an_outage_hands_lines_to_replicas)
{
    ledger_cluster cluster{4};
    cluster.world.log.outage = true;
    for (int number = 0; number < 50; ++number) {
        const auto request = "r" + std::to_string(number);
        cluster.intend(0, request);
        cluster.confirm(0, request);
    }
    bool flushed = false;
    cluster.ledgers[0]->flush([&](const result<void>& done) {
        flushed = done.has_value();
        cluster.kill(0);
    });
    cluster.run_for(seconds{6});
    BOOST_TEST(flushed);
    cluster.run_for(minutes{3});
    BOOST_TEST(cluster.billed().empty());
    cluster.world.log.outage = false;
    cluster.run_for(seconds{20});
    BOOST_TEST((cluster.billed() == cluster.delivered));
}

BOOST_AUTO_TEST_CASE(a_flush_that_can_go_nowhere_says_how_many_lines_are_left)
{
    ledger_cluster cluster{3};
    BOOST_TEST(cluster.intend(0, "a"));
    cluster.world.log.outage = true;
    cluster.world.network.loss = 1.0;
    cluster.confirm(0, "a");
    std::string failure;
    cluster.ledgers[0]->flush([&](const result<void>& done) { failure = done.error().detail; });
    cluster.run_for(seconds{6});
    BOOST_TEST(failure == "1 lines are held by no peer");
}

BOOST_AUTO_TEST_CASE(a_line_gets_a_new_replica_when_one_dies)
{
    ledger_cluster cluster{6};
    cluster.world.log.outage = true;
    BOOST_TEST(cluster.intend(0, "a"));
    cluster.confirm(0, "a");
    cluster.run_for(seconds{1});
    for (int deaths = 0; deaths < 2; ++deaths) { // both first replicas, one after the other
        for (std::size_t node = 1; node < 6; ++node) {
            if (cluster.ledgers[node]->held() > 0 && !cluster.nodes[node]->timer.killed()) {
                cluster.kill(node);
                cluster.run_for(seconds{5});
                break;
            }
        }
    }
    cluster.kill(0);
    cluster.run_for(seconds{5});
    cluster.world.log.outage = false;
    cluster.run_for(seconds{30});
    BOOST_TEST((cluster.billed() == request_set{"a"}));
}

BOOST_AUTO_TEST_CASE(an_intent_goes_around_peers_that_do_not_answer)
{
    ledger_cluster cluster{9};
    BOOST_TEST(cluster.intend(0, "first"));
    std::size_t paused = 0;
    for (std::size_t node = 1; node < 9; ++node) {
        if (cluster.ledgers[node]->held() > 0) {
            cluster.nodes[node]->timer.pause();
            ++paused;
        }
    }
    BOOST_TEST(paused == 2U);
    const auto done = cluster.begin(0, "a");
    cluster.run_for(milliseconds{350}); // one call timeout and a second call
    BOOST_TEST(done->value_or(false));
    const auto next = cluster.begin(0, "b");
    cluster.run_for(milliseconds{50});
    BOOST_TEST(next->value_or(false));
}

BOOST_AUTO_TEST_CASE(an_intent_without_a_replica_fails_in_a_bounded_time)
{
    ledger_cluster cluster{3, 1, {}, 1}; // all in one zone
    const auto done = cluster.begin(0, "a");
    cluster.run_for(milliseconds{1'001});
    BOOST_TEST((done->has_value() && !done->value()));
    cluster.confirm(0, "a");
    cluster.run_for(seconds{5});
    BOOST_TEST(cluster.billed().empty());
}

BOOST_AUTO_TEST_CASE(a_process_that_restarts_under_its_name_loses_no_line)
{
    ledger_cluster cluster{3};
    cluster.world.log.outage = true;
    BOOST_TEST(cluster.intend(0, "a"));
    cluster.confirm(0, "a");
    cluster.run_for(seconds{1});
    cluster.nodes[0]->timer.kill();
    auto self = cluster.nodes[0]->members.self();
    fake_node again{cluster.world, self};
    again.members.set(cluster.nodes[1]->members.self());
    again.members.set(cluster.nodes[2]->members.self());
    const auto restarted = cluster.make_ledger(again);
    restarted->start();
    cluster.world.log.outage = false;
    restarted->intend(ledger_cluster::make_line("b"), [](const result<void>&) {});
    cluster.run_for(seconds{5});
    BOOST_TEST((cluster.billed() == request_set{"a"}));
}

BOOST_AUTO_TEST_CASE(an_origin_wrongly_believed_dead_bills_once_and_goes_on)
{
    ledger_cluster cluster{3};
    cluster.world.log.outage = true;
    BOOST_TEST(cluster.intend(0, "a"));
    BOOST_TEST(cluster.intend(0, "b"));
    cluster.confirm(0, "a");
    cluster.run_for(seconds{1});
    bury(cluster.nodes, 0);
    cluster.world.log.outage = false;
    cluster.run_for(seconds{5});
    cluster.confirm(0, "b");
    cluster.run_for(seconds{5});
    BOOST_TEST((cluster.billed() == cluster.delivered));
    BOOST_TEST(cluster.fold().contradicting() == 0U);
}

BOOST_AUTO_TEST_CASE(a_lost_drop_is_settled_by_the_replica)
{
    ledger_cluster cluster{3};
    cluster.world.log.outage = true;
    BOOST_TEST(cluster.intend(0, "a"));
    cluster.confirm(0, "a");
    cluster.run_for(seconds{1});
    cluster.world.network.loss = 1.0; // the origin can reach neither peers nor the log
    cluster.nodes[0]->client.faults.cut_off = true;
    cluster.world.log.outage = false;
    cluster.run_for(minutes{11});
    BOOST_TEST((cluster.billed() == request_set{"a"}));
    BOOST_TEST((cluster.ledgers[1]->held() + cluster.ledgers[2]->held()) == 0U);
}

BOOST_AUTO_TEST_CASE(appends_of_many_nodes_stay_under_the_common_rate)
{
    constexpr std::size_t count = 60;
    ledger_settings settings;
    settings.appends_per_second = 20.0;
    ledger_cluster cluster{count, 1, settings};
    cluster.run_for(seconds{1});
    for (int round = 0; round < 100; ++round) { // 600 lines a second
        for (std::size_t node = 0; node < count; ++node) {
            cluster.begin(node, std::to_string(node) + "-" + std::to_string(round));
        }
        cluster.run_for(milliseconds{100});
        for (std::size_t node = 0; node < count; ++node) {
            cluster.confirm(node, std::to_string(node) + "-" + std::to_string(round));
        }
    }
    BOOST_TEST(cluster.world.log.appends() <= 200 + count);
    cluster.run_for(seconds{10});
    BOOST_TEST((cluster.billed() == cluster.delivered));
}

} // namespace eelgrassbend
