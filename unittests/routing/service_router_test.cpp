#include "routing_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static const std::vector<std::string> all_policies{"random", "round_robin", "least_outstanding",
                                                   "two_choices", "predictive"};

BOOST_AUTO_TEST_CASE(every_policy_is_chosen_by_name_and_uses_all_equal_endpoints)
{
    for (const auto& policy : all_policies) {
        routing_fixture fixture(policy);
        BOOST_TEST(fixture.chosen_endpoints(100).size() == 4U, policy);
        const auto decision = fixture.router.choose(make_request());
        BOOST_TEST(decision.value().policy == policy);
        BOOST_TEST(decision.value().version.value() == 3U);
    }
}

BOOST_AUTO_TEST_CASE(leaving_endpoints_are_never_chosen)
{
    for (const auto& policy : all_policies) {
        routing_fixture fixture(policy);
        fixture.chosen_endpoints(10);
        fixture.directory.set(make_endpoint("e1", endpoint_state::leaving));
        fixture.directory.set(make_endpoint("e2", endpoint_state::gone));
        BOOST_TEST((fixture.chosen_endpoints(200) == std::set<std::string>{"e0", "e3"}), policy);
    }
}

BOOST_AUTO_TEST_CASE(excluded_endpoints_are_never_chosen)
{
    for (const auto& policy : all_policies) {
        routing_fixture fixture(policy);
        auto request = make_request();
        request.excluded = {endpoint_id{"e0"}, endpoint_id{"e1"}, endpoint_id{"e3"}};
        BOOST_TEST((fixture.chosen_endpoints(200, request) == std::set<std::string>{"e2"}), policy);
        request.excluded.emplace_back("e2");
        const auto refused = fixture.router.choose(request);
        BOOST_REQUIRE(refused.has_error());
        BOOST_TEST(refused.error().code == make_error_code(errc::unavailable), policy);
    }
}

BOOST_AUTO_TEST_CASE(a_service_without_endpoints_is_not_found)
{
    routing_fixture fixture("predictive", 0);
    const auto refused = fixture.router.choose(make_request());
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST(refused.error().code == make_error_code(errc::not_found));
}

} // namespace eelgrassbend
