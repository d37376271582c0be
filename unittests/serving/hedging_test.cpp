#include "engine_script.h"
#include "serving_fakes.h"

#include "eelgrassbend/support/uuid.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;

struct hedging_fixture : serving_fixture {
    std::shared_ptr<fake_exchange> hedge()
    {
        this->hedges.budget = 1;
        auto answer = this->begin();
        BOOST_REQUIRE(this->client.attempts.size() == 2);
        return answer;
    }

    std::shared_ptr<fake_exchange> begin()
    {
        auto answer = this->send(
            "POST", "/v1/chat/completions",
            R"({"model":"draft","stream":true,"messages":[{"role":"user","content":"x"}]})");
        this->time.run_for(milliseconds{200});
        return answer;
    }

    /// Completes attempt `number` and checks that events of attempt `late` are dropped.
    void check_winner(const fake_exchange& answer, std::size_t number, std::size_t late)
    {
        auto& winner = *this->client.attempts[number];
        auto& loser = *this->client.attempts[late];
        engine_script{winner}.head().token("a");
        BOOST_TEST(loser.observer == nullptr);
        BOOST_TEST(this->routes.open.size() == 1);
        engine_script{loser}.token("late").last(1).complete();
        engine_script{winner}.token(" b").last(2).complete();
        const read_stream stream{answer.body};
        BOOST_TEST(stream.text == "a b");
        BOOST_TEST(stream.ids_in_order);
        BOOST_TEST(stream.done);
        BOOST_REQUIRE(this->usage_ledger.intended.size() == 1);
        BOOST_TEST(this->usage_ledger.intended.front().attempt.value() ==
                   winner.request.attempt.value());
        BOOST_TEST(this->usage_ledger.confirmed.size() == 1);
        BOOST_TEST(this->routes.open.empty());
        BOOST_TEST(this->handler.active_requests() == 0);
    }
};

BOOST_FIXTURE_TEST_CASE(hedge_that_emits_first_wins, hedging_fixture)
{
    const auto answer = this->hedge();
    const auto& attempts = this->client.attempts;
    BOOST_TEST(attempts[0]->request.attempt.value() != attempts[1]->request.attempt.value());
    BOOST_TEST(attempts[1]->address.port == 9002);
    BOOST_TEST(this->log.count("hedge") == 1);
    this->check_winner(*answer, 1, 0);
}

BOOST_FIXTURE_TEST_CASE(first_attempt_wins_over_a_slower_hedge, hedging_fixture)
{
    const auto answer = this->hedge();
    this->check_winner(*answer, 0, 1);
}

BOOST_FIXTURE_TEST_CASE(hedge_continues_when_the_first_attempt_fails, hedging_fixture)
{
    const auto answer = this->hedge();
    engine_script{*this->client.attempts[0]}.fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == 2);
    this->check_winner(*answer, 1, 0);
}

BOOST_FIXTURE_TEST_CASE(failed_hedge_does_not_affect_the_first_attempt, hedging_fixture)
{
    const auto answer = this->hedge();
    engine_script{*this->client.attempts[1]}.fail(dispatch_state::maybe_sent);
    this->check_winner(*answer, 0, 1);
}

BOOST_FIXTURE_TEST_CASE(hedge_with_events_of_another_attempt_never_wins, hedging_fixture)
{
    const auto answer = this->hedge();
    engine_script{*this->client.attempts[1]}.head().token_of("other/1", "secret");
    this->check_winner(*answer, 0, 1);
}

BOOST_FIXTURE_TEST_CASE(does_not_hedge_without_budget, hedging_fixture)
{
    this->begin();
    BOOST_TEST(this->client.attempts.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(does_not_hedge_plain_orders, hedging_fixture)
{
    this->hedges.budget = 1;
    this->send("POST", "/services/order-desk/orders", "{}",
               {{"Idempotency-Key", make_uuid_v7(this->time.wall_now(), this->random)}});
    this->time.run_for(milliseconds{200});
    BOOST_TEST(this->client.attempts.size() == 1);
}

} // namespace eelgrassbend
