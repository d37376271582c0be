#include "forward_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: word\n\n";
}

/// A model service with two endpoints of one software version and two of another.
struct two_versions_fixture : forward_fixture {
    two_versions_fixture()
    {
        for (const auto& [id, version] : {std::pair{"draft-1", "v1"}, std::pair{"draft-2", "v2"},
                                          std::pair{"draft-3", "v1"}, std::pair{"draft-4", "v2"}}) {
            this->write(id, version);
        }
        for (auto& route : this->configuration.routes) {
            route.max_endpoints = std::max(route.max_endpoints, 4);
        }
        this->apply();
    }

    void write(const std::string& id, const std::string& version, bool is_draining = false)
    {
        endpoint_record record;
        record.id = endpoint_id{id};
        record.service = service_id{"draft"};
        record.address = {"10.0.0." + id.substr(id.size() - 1), 80};
        record.slots = 4;
        record.version = software_version{version};
        record.is_draining = is_draining;
        this->endpoints.put(record, this->time.now());
    }

    [[nodiscard]] std::string version()
    {
        return this->endpoints.find(endpoint_id{this->endpoint()})->record.version.value();
    }

    /// All endpoints of the version leave.
    void drain(const std::string& leaving)
    {
        for (const char* id : {"draft-1", "draft-2", "draft-3", "draft-4"}) {
            if (this->endpoints.find(endpoint_id{id})->record.version.value() == leaving) {
                this->write(id, leaving, true);
            }
        }
    }
};

BOOST_FIXTURE_TEST_CASE(a_stream_is_not_resumed_at_another_version, two_versions_fixture)
{
    for (int stream = 0; stream < 8; ++stream) {
        const auto answer = this->send("/short/1");
        const auto began = this->version();
        const auto first = this->endpoint();
        this->head();
        this->body(event(1));
        const auto attempts = this->client.attempts.size();
        this->fail(dispatch_state::maybe_sent);
        BOOST_REQUIRE(this->client.attempts.size() == attempts + 1);
        BOOST_TEST(this->version() == began);
        BOOST_TEST(this->endpoint() != first);
        this->head();
        this->body(event(2));
        this->complete();
        BOOST_TEST(answer->ended);
    }
}

BOOST_FIXTURE_TEST_CASE(a_stream_without_events_may_start_again_at_another_version,
                        two_versions_fixture)
{
    this->send("/short/1");
    const auto began = this->version();
    this->head();
    this->drain(began);
    this->fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->version() != began);
}

BOOST_FIXTURE_TEST_CASE(a_stream_whose_version_has_left_is_broken_off_at_once, two_versions_fixture)
{
    const auto answer = this->send("/short/1");
    this->head();
    this->body(event(1));
    this->drain(this->version());
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == 1U);
    BOOST_TEST(answer->aborted);
    BOOST_TEST(this->log.count("stream_version_gone") == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_waiting_stream_is_broken_off_once_its_version_has_left,
                        two_versions_fixture)
{
    const auto answer = this->send("/short/1");
    const auto began = this->version();
    this->head();
    this->body(event(1));
    for (const char* id : {"draft-1", "draft-2", "draft-3", "draft-4"}) {
        this->endpoints.pause_work(endpoint_id{id}, this->time.now() + seconds{4},
                                   this->time.now());
    }
    this->fail(dispatch_state::maybe_sent);
    this->time.run_for(seconds{1});
    BOOST_TEST(!answer->aborted);
    this->drain(began);
    this->time.run_for(milliseconds{50});
    BOOST_TEST(answer->aborted);
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_run_does_not_move_to_another_version, two_versions_fixture)
{
    for (const bool has_event : {true, false}) {
        const auto answer = this->send("/long/1");
        const auto began = this->version();
        const auto first = this->endpoint();
        this->head();
        if (has_event) {
            this->body(event(1));
        }
        auto leaving = this->endpoints.find(endpoint_id{first})->record;
        leaving.is_draining = true;
        leaving.reclaim_in = milliseconds{500};
        this->endpoints.put(leaving, this->time.now());
        this->handler.handle_endpoint_leaving(leaving);
        this->time.run_for(milliseconds{10});
        BOOST_REQUIRE(!this->migrator.migrations.empty());
        const auto target = this->migrator.migrations.back().target;
        const auto id = "draft-" + target.ip.substr(target.ip.size() - 1);
        BOOST_TEST(this->endpoints.find(endpoint_id{id})->record.version.value() == began);
        BOOST_TEST(id != first);
        this->migrator.migrations.back().done(make_error(errc::not_found, "move", "engine"));
        this->write(first, began);
        this->complete();
    }
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_goes_on_at_the_version_that_began_it, two_versions_fixture)
{
    for (const char* began : {"v1", "v2", "v1", "v2"}) {
        this->origins.origins[request_id{"s"}] = software_version{began};
        const auto answer = this->send("/short/1", {{"Last-Event", "3"}, {"Resumes", "s"}});
        BOOST_TEST(this->version() == began);
        this->head();
        this->body(event(4));
        const auto first = this->endpoint();
        this->fail(dispatch_state::maybe_sent);
        BOOST_TEST(this->version() == began);
        BOOST_TEST(this->endpoint() != first);
        this->head();
        this->body(event(5));
        this->complete();
        BOOST_TEST(answer->body == event(4) + event(5));
    }
    BOOST_TEST(this->origins.recorded.empty());
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_of_unknown_origin_is_refused_as_not_run,
                        two_versions_fixture)
{
    for (const header_list& headers : {header_list{{"Last-Event", "3"}, {"Resumes", "unknown"}},
                                       header_list{{"Last-Event", "3"}}}) {
        const auto answer = this->send("/short/1", headers);
        BOOST_TEST(answer->status == 503);
        BOOST_TEST(answer->ended);
        BOOST_TEST(!answer->header("Retry-After").empty());
    }
    BOOST_TEST(this->client.attempts.empty());
    this->write("draft-2", "v1");
    this->write("draft-4", "v1");
    this->send("/short/1", {{"Last-Event", "3"}});
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_whose_version_has_left_is_refused_at_once,
                        two_versions_fixture)
{
    this->origins.origins[request_id{"s"}] = software_version{"v1"};
    this->drain("v1");
    const auto answer = this->send("/short/1", {{"Last-Event", "3"}, {"Resumes", "s"}});
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(a_caller_may_leave_while_the_origin_is_searched, two_versions_fixture)
{
    this->origins.is_held = true;
    const auto left = this->send("/short/1", {{"Last-Event", "3"}, {"Resumes", "s"}});
    left->disconnect_handler();
    this->origins.origins[request_id{"s"}] = software_version{"v1"};
    const auto late = this->send("/short/1", {{"Last-Event", "3"}, {"Resumes", "s"}});
    this->time.run_for(seconds{6});
    BOOST_TEST(late->status == 503);
    this->origins.release();
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(the_first_event_waits_until_the_origin_is_recorded, two_versions_fixture)
{
    this->origins.is_held = true;
    const auto answer = this->send("/short/1");
    BOOST_REQUIRE(this->origins.recorded.size() == 1U);
    BOOST_TEST(this->origins.recorded[0].second.value() == this->version());
    this->head();
    this->body(event(1) + event(2));
    BOOST_TEST(answer->status == 0);
    this->origins.release();
    BOOST_TEST(answer->body == event(1) + event(2));
    this->body(event(3));
    BOOST_TEST(answer->body == event(1) + event(2) + event(3));
    this->complete();
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_ends_before_its_origin_is_recorded_is_delivered_whole,
                        two_versions_fixture)
{
    this->origins.is_held = true;
    const auto answer = this->send("/short/1");
    this->head();
    this->body(event(1));
    this->complete();
    BOOST_TEST(!answer->ended);
    this->origins.release();
    BOOST_TEST(answer->body == event(1));
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(a_stream_with_held_events_is_resumed_after_them, two_versions_fixture)
{
    this->origins.is_held = true;
    const auto answer = this->send("/short/1");
    const auto began = this->version();
    this->head();
    this->body(event(1) + event(2));
    this->fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->version() == began);
    BOOST_TEST(this->sent_header("Last-Event") == "2");
    BOOST_TEST(this->origins.recorded.size() == 1U);
    this->head();
    this->body(event(3));
    this->origins.release();
    this->complete();
    BOOST_TEST(answer->body == event(1) + event(2) + event(3));
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_fails_with_held_events_is_not_reported_as_not_run,
                        two_versions_fixture)
{
    this->origins.is_held = true;
    const auto answer = this->send("/short/1");
    this->head();
    this->body(event(1));
    this->drain(this->version());
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(answer->ended);
    this->origins.release();
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(answer->body.empty());
}

BOOST_FIXTURE_TEST_CASE(a_run_that_starts_again_waits_for_its_own_record, two_versions_fixture)
{
    this->origins.is_held = true;
    const auto answer = this->send("/short/1");
    const auto began = this->version();
    this->drain(began);
    this->fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->origins.recorded.size() == 2U);
    BOOST_TEST(this->origins.recorded[1].second.value() != began);
    this->head();
    this->body(event(1));
    this->origins.release();
    BOOST_TEST(answer->body == event(1));
}

BOOST_FIXTURE_TEST_CASE(streams_begin_at_the_preferred_version_if_it_has_room, two_versions_fixture)
{
    this->origins.preferred = software_version{"v2"};
    for (int stream = 0; stream < 4; ++stream) {
        this->send("/short/1");
        BOOST_TEST(this->version() == "v2");
    }
    this->drain("v2");
    this->send("/short/1");
    BOOST_TEST(this->version() == "v1");
}

BOOST_FIXTURE_TEST_CASE(requests_that_cannot_be_resumed_are_not_recorded, two_versions_fixture)
{
    this->send("/long/1");
    this->send("/look/1");
    this->send("/order/1");
    BOOST_TEST(this->client.attempts.size() == 3U);
    BOOST_TEST(this->origins.recorded.empty());
}

} // namespace eelgrassbend
