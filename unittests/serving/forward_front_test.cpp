#include "forward_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(a_node_without_a_configuration_refuses_as_not_run)
{
    forward_fixture whole;
    forward_front bare{whole.services};
    auto answer = std::make_shared<fake_exchange>();
    bare.handle({"GET", "/look/1", {{"Host", "shop.example"}, {"Id", "r"}}, ""}, answer);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(!answer->header("Retry-After").empty());
    BOOST_TEST(whole.client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(unknown_routes_and_keys_are_refused, forward_fixture)
{
    BOOST_TEST(this->send("/nowhere/")->status == 404);
    BOOST_TEST(this->send("/look/1", {}, "key-9")->status == 401);
    BOOST_TEST(this->send("/look/1", {}, "")->status == 401);
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(public_routes_need_no_key, forward_fixture)
{
    this->configuration.routes[3].is_public = true;
    this->apply();
    this->send("/look/1", {}, "");
    BOOST_TEST(this->client.attempts.size() == 1U);
    BOOST_TEST(this->sent_header("Organisation").empty());
}

BOOST_FIXTURE_TEST_CASE(a_removed_key_is_refused_at_once, forward_fixture)
{
    this->configuration.version = configuration_version{2};
    this->configuration.organisations[0].keys = {"key-2"};
    this->apply();
    BOOST_TEST(this->send("/look/1")->status == 401);
}

// The store may have been away while a key was removed.
BOOST_FIXTURE_TEST_CASE(keys_are_not_trusted_without_a_confirmed_configuration, forward_fixture)
{
    BOOST_TEST(this->door.is_ready());
    this->time.run_for(this->settings.configuration_staleness);
    BOOST_TEST(!this->door.is_ready());
    BOOST_TEST(this->send("/look/1")->status == 503);
    BOOST_TEST(this->client.attempts.empty());
    this->confirm();
    this->send("/look/1");
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_quota_is_refused_with_the_time_to_come_back, forward_fixture)
{
    this->configuration.organisations[0].rate = 100.0;
    this->configuration.organisations[0].burst = 200.0;
    this->configuration.organisations[0].counts_tokens = true;
    this->apply();
    this->send("/long/1", {{"Tokens", "85"}});
    BOOST_TEST(this->client.attempts.size() == 1U);
    const auto refused = this->send("/long/1", {{"Tokens", "85"}});
    BOOST_TEST(refused->status == 429);
    BOOST_TEST(!refused->header("Retry-After").empty());
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_stopping_node_refuses_what_comes_late, forward_fixture)
{
    const auto under_way = this->send("/look/1");
    this->door.stop_taking();
    BOOST_TEST(this->send("/look/1")->status == 503);
    this->head();
    this->complete();
    BOOST_TEST(under_way->status == 200);
    BOOST_TEST(this->door.active() == 0U);
}

BOOST_FIXTURE_TEST_CASE(usage_counts_each_request_that_began_once, forward_fixture)
{
    this->send("/look/1");
    this->head(500);
    this->complete();
    this->head();
    this->complete();
    std::uint64_t counted = 0;
    for (const auto& [window, counts] : this->usage.own_counts()) {
        counted += counts.at(organisation_id{"lodge"});
    }
    BOOST_TEST(counted == 1U);
}

} // namespace eelgrassbend
