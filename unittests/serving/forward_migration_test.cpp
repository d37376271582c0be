#include "forward_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: word\n\n";
}

BOOST_FIXTURE_TEST_CASE(migrates_a_run_from_a_leaving_engine, leaving_fixture)
{
    const auto answer = this->send("/long/1");
    const auto first = this->endpoint();
    this->head();
    this->body(event(1) + event(2));
    this->announce(milliseconds{2500});
    BOOST_TEST(this->migrator.migrations.empty());
    this->time.run_for(milliseconds{1600});
    BOOST_REQUIRE(this->migrator.migrations.size() == 1U);
    this->body(event(3));
    this->migrator.migrations[0].done(stopped_run{"10.0.0.1:80/h", true});
    this->fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() != first);
    BOOST_TEST(this->sent_header("Memory-Source") == "10.0.0.1:80/h");
    BOOST_TEST(this->sent_header("Last-Event") == "3");
    this->head();
    this->body(event(4));
    this->complete();
    BOOST_TEST(answer->body == event(1) + event(2) + event(3) + event(4));
    BOOST_TEST(answer->header("Signature") == "p-" + first);
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(does_not_migrate_a_run_that_ends_in_time, leaving_fixture)
{
    const auto answer = this->send("/long/1");
    this->head();
    this->body(event(1));
    this->announce(milliseconds{2500});
    this->complete();
    this->time.run_for(seconds{5});
    BOOST_TEST(this->migrator.migrations.empty());
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(retries_a_migration_that_finds_no_run, leaving_fixture)
{
    this->send("/long/1");
    this->announce(milliseconds{1000});
    this->time.run_for(milliseconds{10});
    BOOST_REQUIRE(this->migrator.migrations.size() == 1U);
    this->migrator.migrations[0].done(make_error(errc::not_found, "move", "engine"));
    this->time.run_for(milliseconds{250});
    BOOST_TEST(this->migrator.migrations.size() == 2U);
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(resumes_a_run_at_its_engine_if_its_kv_cache_was_not_copied, leaving_fixture)
{
    this->send("/long/1");
    const auto first = this->endpoint();
    this->head();
    this->announce(milliseconds{500});
    this->time.run_for(milliseconds{10});
    this->migrator.migrations[0].done(stopped_run{"10.0.0.1:80/h", false});
    this->fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() == first);
    BOOST_TEST(this->sent_header("Last-Event") == "0");
}

BOOST_FIXTURE_TEST_CASE(aborts_a_stopped_run_whose_migration_fails, leaving_fixture)
{
    const auto answer = this->send("/long/1");
    this->head();
    this->body(event(1));
    this->announce(milliseconds{500});
    this->time.run_for(milliseconds{10});
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(!answer->aborted);
    this->migrator.migrations[0].done(make_error(errc::timed_out, "move", "engine"));
    BOOST_TEST(answer->aborted);
    BOOST_TEST(!answer->ended);
}

// A stream that had arrived whole was cut because its run could no longer be stopped.
BOOST_FIXTURE_TEST_CASE(delivers_a_run_that_ends_while_it_is_migrated, leaving_fixture)
{
    this->add_endpoint("draft", "draft-3");
    for (const bool is_close_delimited : {false, true}) {
        const auto known = this->migrator.migrations.size();
        const auto answer = this->send("/long/1");
        this->head(200, is_close_delimited ? header_list{{"Close-Delimited", "1"}} : header_list{});
        this->body(event(1));
        this->announce(milliseconds{500});
        this->time.run_for(milliseconds{10});
        BOOST_REQUIRE(this->migrator.migrations.size() == known + 1);
        this->body(event(2));
        this->complete();
        // Without framing, the stream may also have been stopped.
        BOOST_TEST(answer->ended == !is_close_delimited);
        this->migrator.migrations.back().done(make_error(errc::not_found, "move", "engine"));
        BOOST_TEST(answer->ended);
        BOOST_TEST(!answer->aborted);
        BOOST_TEST(answer->body == event(1) + event(2));
    }
}

BOOST_FIXTURE_TEST_CASE(aborts_a_stream_that_may_have_been_stopped, leaving_fixture)
{
    const auto answer = this->send("/long/1");
    this->head(200, {{"Close-Delimited", "1"}});
    this->body(event(1));
    this->announce(milliseconds{500});
    this->time.run_for(milliseconds{10});
    this->complete();
    this->migrator.migrations[0].done(make_error(errc::timed_out, "move", "engine"));
    BOOST_TEST(answer->aborted);
    BOOST_TEST(!answer->ended);
}

BOOST_FIXTURE_TEST_CASE(does_not_migrate_from_engines_without_migration_support, leaving_fixture)
{
    this->configuration.services.front().engine->can_migrate = false;
    this->apply();
    const auto answer = this->send("/long/1");
    this->head();
    this->body(event(1));
    this->announce(milliseconds{500});
    this->time.run_for(seconds{1});
    BOOST_TEST(this->migrator.migrations.empty());
    BOOST_TEST(this->client.attempts.size() == 1U);
    this->complete();
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(resumes_a_stream_elsewhere_without_migration_support, leaving_fixture)
{
    this->configuration.services.front().engine->can_migrate = false;
    this->apply();
    const auto answer = this->send("/short/1");
    const auto first = this->endpoint();
    this->head();
    this->body(event(1));
    this->announce(milliseconds{500});
    this->time.run_for(milliseconds{10});
    BOOST_TEST(this->migrator.migrations.empty());
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() != first);
    BOOST_TEST(this->sent_header("Last-Event") == "1");
    BOOST_TEST(!answer->aborted);
}

namespace {

/// Four engines, and a run that was stopped at one of them and copied to another.
struct moved_run_fixture : leaving_fixture {
    moved_run_fixture()
    {
        this->add_endpoint("draft", "draft-3");
        this->add_endpoint("draft", "draft-4");
    }

    /// Sends a request, stops its run after its second event and continues it at another engine.
    void move_run(const std::string& path)
    {
        this->answer = this->send(path);
        this->source = this->endpoint();
        this->head();
        this->body(event(1) + event(2));
        this->announce(milliseconds{500});
        this->stop_run(true);
        this->target = this->endpoint();
    }

    /// Completes the latest migration once it has been requested.
    void stop_run(bool is_copied)
    {
        const auto known = this->stopped_runs;
        for (int step = 0; step < 100 && this->migrator.migrations.size() == known; ++step) {
            this->time.run_for(milliseconds{10});
        }
        BOOST_REQUIRE(this->migrator.migrations.size() == known + 1);
        this->stopped_runs = known + 1;
        auto stopped = this->migrator.migrations.back();
        auto* observer = this->client.last().observer;
        stopped.done(
            stopped_run{stopped.source.to_string() + "/h" + std::to_string(known), is_copied});
        observer->on_failed(make_error(errc::truncated, "call", "endpoint"),
                            dispatch_state::maybe_sent);
    }

    void refuse_attempt() { this->head(503, {{"Not-Run", "1"}}); }

    /// Whether no attempt but the first one was sent as a new run.
    [[nodiscard]] bool has_run_once() const
    {
        for (std::size_t index = 1; index < this->client.attempts.size(); ++index) {
            const auto& headers = this->client.attempts[index]->request.headers;
            const auto has_source = std::any_of(headers.begin(), headers.end(), [](const auto& h) {
                return h.first == "Memory-Source" && !h.second.empty();
            });
            if (!has_source) {
                return false;
            }
        }
        return true;
    }

    std::shared_ptr<fake_exchange> answer;
    std::string source;
    std::string target;
    std::size_t stopped_runs = 0;
};

} // namespace

// A run that was moved ran anew when its new engine could not be reached.
BOOST_FIXTURE_TEST_CASE(a_moved_run_does_not_start_anew_if_its_new_engine_is_unreachable,
                        moved_run_fixture)
{
    this->move_run("/long/1");
    this->fail(dispatch_state::not_sent);
    BOOST_TEST(this->has_run_once());
    BOOST_TEST(this->endpoint() == this->source);
    BOOST_TEST(this->sent_header("Last-Event") == "2");
    this->head();
    this->body(event(3));
    this->complete();
    BOOST_TEST(this->answer->body == event(1) + event(2) + event(3));
    BOOST_TEST(this->answer->ended);
}

// A run that was moved ran anew when its new engine refused it and the route allows two attempts.
BOOST_FIXTURE_TEST_CASE(a_moved_run_does_not_start_anew_if_its_new_engine_refuses,
                        moved_run_fixture)
{
    this->configuration.routes[0].max_endpoints = 3;
    this->configuration.version = configuration_version{2};
    this->apply();
    this->move_run("/long/1");
    this->refuse_attempt();
    BOOST_TEST(this->has_run_once());
    BOOST_TEST(this->endpoint() == this->source);
}

BOOST_FIXTURE_TEST_CASE(aborts_a_moved_run_that_no_engine_can_continue, moved_run_fixture)
{
    this->configuration.routes[0].max_endpoints = 3;
    this->configuration.version = configuration_version{2};
    this->apply();
    for (const bool is_reachable : {true, false}) {
        this->move_run("/long/1");
        const auto sent = this->client.attempts.size();
        this->fail(dispatch_state::not_sent);
        if (is_reachable) {
            this->refuse_attempt();
        }
        else {
            this->fail(dispatch_state::not_sent);
        }
        BOOST_TEST(this->client.attempts.size() == sent + 1);
        BOOST_TEST(this->answer->aborted);
        BOOST_TEST(!this->answer->ended);
    }
}

// The connection may break after the new engine has taken the run over.
BOOST_FIXTURE_TEST_CASE(aborts_a_moved_run_that_its_new_engine_may_have_continued,
                        moved_run_fixture)
{
    this->move_run("/long/1");
    const auto sent = this->client.attempts.size();
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == sent);
    BOOST_TEST(this->answer->aborted);
}

BOOST_FIXTURE_TEST_CASE(moves_a_run_again_that_continues_at_its_leaving_engine, moved_run_fixture)
{
    this->move_run("/long/1");
    const auto unreachable = this->target;
    this->fail(dispatch_state::not_sent);
    this->head();
    this->stop_run(true);
    BOOST_TEST(this->endpoint() != this->source);
    BOOST_TEST(this->endpoint() != unreachable);
    BOOST_TEST(this->sent_header("Memory-Source").ends_with("/h1"));
    BOOST_TEST(this->has_run_once());
    this->head();
    this->body(event(3));
    this->complete();
    BOOST_TEST(this->answer->body == event(1) + event(2) + event(3));
}

// Only a connection that cannot be opened shows that the new engine has not taken the run over.
BOOST_FIXTURE_TEST_CASE(continues_a_moved_run_on_a_new_connection, moved_run_fixture)
{
    this->move_run("/long/1");
    BOOST_TEST(this->client.last().request.needs_new_connection);
    BOOST_TEST(!this->client.last().request.falls_back_to_pooled);
    this->fail(dispatch_state::not_sent);
    BOOST_TEST(this->endpoint() == this->source);
    BOOST_TEST(this->client.last().request.needs_new_connection);
    BOOST_TEST(this->client.last().request.falls_back_to_pooled);
}

// Nothing had been forwarded of the run, so its end without an event is no whole answer.
BOOST_FIXTURE_TEST_CASE(a_moved_run_that_ends_without_any_event_is_not_complete, moved_run_fixture)
{
    const auto waiting = this->send("/long/1");
    this->head();
    this->announce(milliseconds{500});
    this->stop_run(true);
    this->head();
    this->complete();
    BOOST_TEST(waiting->status == 502);
}

BOOST_FIXTURE_TEST_CASE(resumes_a_repeatable_stream_that_no_engine_can_continue, moved_run_fixture)
{
    this->configuration.routes[1].max_endpoints = 3;
    this->configuration.version = configuration_version{2};
    this->apply();
    this->move_run("/short/1");
    this->fail(dispatch_state::not_sent);
    this->refuse_attempt();
    BOOST_TEST(this->sent_header("Memory-Source").empty());
    BOOST_TEST(this->sent_header("Last-Event") == "2");
    BOOST_TEST(this->endpoint() != this->source);
    BOOST_TEST(!this->answer->aborted);
}

// A run without an answer was stopped, so the request was answered as not run though it had begun.
BOOST_FIXTURE_TEST_CASE(a_run_stopped_before_its_answer_is_not_reported_as_not_run,
                        moved_run_fixture)
{
    const auto waiting = this->send("/long/1");
    this->announce(milliseconds{500});
    this->stop_run(true);
    this->fail(dispatch_state::not_sent);
    this->fail(dispatch_state::not_sent);
    BOOST_TEST(this->has_run_once());
    BOOST_TEST(waiting->status == 502);
}

} // namespace eelgrassbend
