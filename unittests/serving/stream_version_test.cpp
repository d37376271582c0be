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

} // namespace eelgrassbend
