#include "forward_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(refuses_as_not_run_without_a_configuration)
{
    forward_fixture fixture;
    forward_handler unconfigured{fixture.services};
    auto answer = std::make_shared<fake_exchange>();
    unconfigured.handle({"GET", "/look/1", {{"Host", "shop.example"}, {"Id", "r"}}, ""}, answer);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(!answer->header("Retry-After").empty());
    BOOST_TEST(fixture.client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_unknown_routes_and_keys, forward_fixture)
{
    BOOST_TEST(this->send("/nowhere/")->status == 404);
    BOOST_TEST(this->send("/look/1", {}, "key-9")->status == 401);
    BOOST_TEST(this->send("/look/1", {}, "")->status == 401);
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(serves_public_routes_without_a_key, forward_fixture)
{
    this->configuration.routes[3].is_public = true;
    this->apply();
    this->send("/look/1", {}, "");
    BOOST_TEST(this->client.attempts.size() == 1U);
    BOOST_TEST(this->sent_header("Organisation").empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_a_removed_key_at_once, forward_fixture)
{
    this->configuration.version = configuration_version{2};
    this->configuration.organisations[0].keys = {"key-2"};
    this->apply();
    BOOST_TEST(this->send("/look/1")->status == 401);
}

// The store may have been unavailable while a key was removed.
BOOST_FIXTURE_TEST_CASE(refuses_keys_without_a_confirmed_configuration, forward_fixture)
{
    BOOST_TEST(this->handler.is_ready());
    this->time.run_for(this->settings.configuration_staleness);
    BOOST_TEST(!this->handler.is_ready());
    BOOST_TEST(this->send("/look/1")->status == 503);
    BOOST_TEST(this->client.attempts.empty());
    this->confirm();
    this->send("/look/1");
    BOOST_TEST(this->client.attempts.size() == 1U);
}

// A node that had missed a change of the configuration denied a route that the change had added.
// Callers do not retry after 404.
BOOST_FIXTURE_TEST_CASE(denies_a_route_only_by_a_recently_confirmed_configuration, forward_fixture)
{
    this->time.run_for(this->settings.missing_route_staleness);
    const auto refused = this->send("/nowhere/");
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(!refused->header("Retry-After").empty());
    this->confirm();
    BOOST_TEST(this->send("/nowhere/")->status == 404);
}

BOOST_FIXTURE_TEST_CASE(refuses_requests_over_quota_with_retry_after, forward_fixture)
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

BOOST_FIXTURE_TEST_CASE(refuses_new_requests_while_stopping, forward_fixture)
{
    const auto outstanding = this->send("/look/1");
    this->handler.stop_accepting();
    BOOST_TEST(this->send("/look/1")->status == 503);
    this->head();
    this->complete();
    BOOST_TEST(outstanding->status == 200);
    BOOST_TEST(this->handler.active_requests() == 0U);
}

// At the end of a planned stop the connections of unfinished requests were closed without an
// answer.
BOOST_FIXTURE_TEST_CASE(answers_all_requests_at_the_end_of_a_stop, forward_fixture)
{
    const auto order = this->send("/order/1");
    const auto lookup = this->send("/look/1");
    const auto stream = this->send("/short/1");
    const auto started = this->send("/long/1");
    this->head();
    this->body("id: 1\ndata: x\n\n");
    this->handler.end_requests();
    for (const auto& answer : {order, lookup, stream}) {
        BOOST_TEST(answer->status == 504);
        BOOST_TEST(answer->ended);
    }
    BOOST_TEST(started->aborted);
    BOOST_TEST(this->handler.active_requests() == 0U);
}

// A request that was never sent must be refused as not run, so that its caller can repeat it.
BOOST_FIXTURE_TEST_CASE(a_request_that_waits_for_an_endpoint_at_the_end_of_a_stop_has_not_run,
                        forward_fixture)
{
    auto waiting = this->send("/order/1");
    for (std::size_t sent = 1; this->client.attempts.size() == sent && sent < 100; ++sent) {
        waiting = this->send("/order/1");
    }
    BOOST_REQUIRE(!waiting->ended);
    this->handler.end_requests();
    BOOST_TEST(waiting->status == 503);
    BOOST_TEST(!waiting->header("Retry-After").empty());
}

// Such a request would be cut off at the end of the stop, and its caller must not repeat it.
BOOST_FIXTURE_TEST_CASE(refuses_requests_that_run_once_and_may_outlast_a_stop, forward_fixture)
{
    this->handler.begin_stop(this->time.now() + std::chrono::seconds{3});
    const auto refused = this->send("/order/1");
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(!refused->header("Retry-After").empty());
    BOOST_TEST(this->client.attempts.empty());
    this->send("/order/1", {{"Time-Left-Ms", "2000"}});
    BOOST_TEST(this->client.attempts.size() == 1U);
    this->send("/look/1");
    BOOST_TEST(this->client.attempts.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(counts_usage_once_per_request, forward_fixture)
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
