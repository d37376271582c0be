#include "eelgrassbend/routing/decision_json.h"
#include "eelgrassbend/routing/hedge_policy.h"
#include "routing_fixture.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace eelgrassbend {

static route_decision make_decision()
{
    route_decision decision;
    decision.endpoint = endpoint_id{"e1"};
    return decision;
}

BOOST_AUTO_TEST_CASE(hedges_stay_within_the_budget_of_the_service)
{
    const fakes::fixed_bundle bundles(make_bundle("predictive"));
    budgeted_hedge_policy hedges(bundles);
    int started = 0;
    for (int request = 0; request < 1000; ++request) {
        BOOST_TEST(hedges.delay(make_request(), make_decision()).has_value());
        started += hedges.try_acquire(draft_service) ? 1 : 0;
    }
    // A tenth of the requests, plus the initial balance of one.
    BOOST_TEST(started >= 99);
    BOOST_TEST(started <= 101);
}

BOOST_AUTO_TEST_CASE(requests_that_are_not_idempotent_are_never_hedged)
{
    const fakes::fixed_bundle bundles(make_bundle("predictive"));
    budgeted_hedge_policy hedges(bundles);
    auto request = make_request();
    request.idempotent = false;
    BOOST_TEST(!hedges.delay(request, make_decision()).has_value());
}

BOOST_AUTO_TEST_CASE(the_hedge_delay_follows_the_p99_first_token_time)
{
    const fakes::fixed_bundle bundles(make_bundle("predictive"));
    budgeted_hedge_policy hedges(bundles);
    for (int sample = 0; sample < 2000; ++sample) {
        hedges.on_first_token(draft_service, request_class::normal,
                              std::chrono::milliseconds{100 + sample % 100});
    }
    const auto delay = hedges.delay(make_request(), make_decision());
    BOOST_REQUIRE(delay.has_value());
    BOOST_TEST((*delay > std::chrono::milliseconds{150}));
    BOOST_TEST((*delay < std::chrono::milliseconds{250}));
}

BOOST_AUTO_TEST_CASE(a_decision_is_logged_with_the_inputs_of_its_candidates)
{
    routing_fixture fixture("predictive");
    fixture.report("e0", 3);
    const auto decision = fixture.router.choose(make_request());
    const auto fields = to_json(make_request(), decision.value());
    BOOST_TEST(fields["policy"] == "predictive");
    BOOST_TEST(fields["bundle"] == 3);
    BOOST_TEST(fields["considered"] == 4);
    BOOST_TEST(fields["candidates"].size() == 4U);
    BOOST_TEST(fields["candidates"][0]["endpoint"] == fields["endpoint"]);
    for (const auto* input :
         {"first_token_ms", "token_ms", "cost", "load", "slots", "prompt_work"}) {
        BOOST_TEST(fields["candidates"][0].contains(input), input);
    }
}

} // namespace eelgrassbend
