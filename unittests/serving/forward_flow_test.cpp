#include "forward_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

BOOST_FIXTURE_TEST_CASE(an_answer_is_passed_on_whole_with_its_signature, forward_fixture)
{
    const auto answer = this->send("/order/1");
    this->head(201);
    this->body("hel");
    BOOST_TEST(answer->status == 0);
    this->body("lo");
    this->complete();
    BOOST_TEST(answer->status == 201);
    BOOST_TEST(answer->body == "hello");
    BOOST_TEST(answer->header("Signature") == "p-" + this->endpoint());
    BOOST_TEST(this->door.active() == 0U);
}

BOOST_FIXTURE_TEST_CASE(the_time_left_is_handed_on, forward_fixture)
{
    this->send("/order/1", {{"Time-Left-Ms", "600"}});
    BOOST_TEST(this->sent_header("Time-Left-Ms") == "600");
    this->send("/order/1", {{"Time-Left-Ms", "60000"}});
    BOOST_TEST(this->sent_header("Time-Left-Ms") == "5000");
}

BOOST_FIXTURE_TEST_CASE(a_success_without_signature_or_for_another_request_is_no_success,
                        forward_fixture)
{
    const auto unsigned_answer = this->send("/order/1");
    this->client.last().observer->on_head(200, {{"Id", "r-1"}});
    BOOST_TEST(unsigned_answer->status == 502);
    const auto crossed = this->send("/order/1");
    this->client.last().observer->on_head(200, {{"Id", "r-99"}, {"Signature", "p"}});
    BOOST_TEST(crossed->status == 502);
}

BOOST_FIXTURE_TEST_CASE(a_non_idempotent_request_is_sent_once, forward_fixture)
{
    const auto answer = this->send("/order/1");
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(answer->header("Retry-After").empty());
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_was_surely_not_sent_goes_elsewhere, forward_fixture)
{
    this->send("/order/1");
    const auto first = this->endpoint();
    this->fail(dispatch_state::not_sent);
    BOOST_TEST(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() != first);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_by_the_only_endpoint_allowed_is_not_run, forward_fixture)
{
    const auto answer = this->send("/order/1");
    this->client.last().observer->on_head(503, {{"Not-Run", "1"}});
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(!answer->header("Retry-After").empty());
    BOOST_TEST(this->client.attempts.size() == 1U);
}

// Statuses that promise that a request did not run are the endpoint's to give only with its word.
BOOST_FIXTURE_TEST_CASE(a_promising_status_without_the_endpoints_word_is_not_passed_on,
                        forward_fixture)
{
    const auto answer = this->send("/order/1");
    this->head(503);
    BOOST_TEST(answer->status == 502);
}

BOOST_FIXTURE_TEST_CASE(an_idempotent_request_that_failed_runs_elsewhere, forward_fixture)
{
    const auto answer = this->send("/look/1");
    const auto first = this->endpoint();
    this->head(500);
    this->complete();
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() != first);
    this->head();
    this->body("found");
    this->complete();
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "found");
}

BOOST_FIXTURE_TEST_CASE(a_second_failure_is_passed_on, forward_fixture)
{
    const auto answer = this->send("/look/1");
    for (int attempt = 0; attempt < 2; ++attempt) {
        this->head(500);
        this->complete();
    }
    BOOST_TEST(this->client.attempts.size() == 2U);
    BOOST_TEST(answer->status == 500);
}

BOOST_FIXTURE_TEST_CASE(an_idempotent_request_leaves_a_silent_endpoint, forward_fixture)
{
    this->send("/look/1");
    this->time.run_for(this->settings.longest_first_byte_timeout);
    BOOST_TEST(this->client.attempts.size() == 2U);
    BOOST_TEST(this->client.attempts[0]->observer == nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_non_idempotent_request_waits_for_its_endpoint, forward_fixture)
{
    const auto answer = this->send("/order/1");
    this->time.run_for(seconds{4});
    BOOST_TEST(this->client.attempts.size() == 1U);
    BOOST_TEST(answer->status == 0);
    this->time.run_for(seconds{2});
    BOOST_TEST(answer->status == 504);
}

BOOST_FIXTURE_TEST_CASE(events_are_passed_on_whole_and_as_they_arrive, forward_fixture)
{
    const auto answer = this->send("/long/1");
    this->head();
    BOOST_TEST(answer->status == 0);
    this->body(event(1) + "id: 2\nda");
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == event(1));
    this->body("ta: x\n\n");
    BOOST_TEST(answer->body == event(1) + event(2));
    this->complete();
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(a_resumable_stream_goes_on_elsewhere_without_a_gap, forward_fixture)
{
    const auto answer = this->send("/short/1");
    const auto first = this->endpoint();
    this->head();
    this->body(event(1) + event(2) + "id: 3\nda");
    this->fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() != first);
    BOOST_TEST(this->sent_header("Last-Event") == "2");
    this->head();
    this->body(event(3));
    this->complete();
    BOOST_TEST(answer->body == event(1) + event(2) + event(3));
    BOOST_TEST(answer->header("Signature") == "p-" + first);
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_cannot_go_on_does_not_look_complete, forward_fixture)
{
    const auto answer = this->send("/long/1");
    this->head();
    this->body(event(1));
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(answer->aborted);
    BOOST_TEST(!answer->ended);
    const auto torn = this->send("/long/1");
    this->head();
    this->body(event(1) + "id: 2\nda");
    this->complete();
    BOOST_TEST(torn->aborted);
    BOOST_TEST(!torn->ended);
}

BOOST_FIXTURE_TEST_CASE(a_stream_whose_resumption_fails_breaks_off, forward_fixture)
{
    const auto answer = this->send("/short/1");
    this->head();
    this->body(event(1));
    this->fail(dispatch_state::maybe_sent);
    this->head(500);
    this->complete();
    BOOST_TEST(answer->aborted);
    BOOST_TEST(answer->status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_ends_the_attempt, forward_fixture)
{
    const auto answer = this->send("/long/1");
    this->head();
    answer->gone();
    BOOST_TEST(this->client.attempts[0]->observer == nullptr);
    BOOST_TEST(this->door.active() == 0U);
    BOOST_TEST((this->loads.own_work().empty()));
}

BOOST_FIXTURE_TEST_CASE(full_endpoints_are_refused_early_and_as_not_run, forward_fixture)
{
    for (int index = 0; index < 10; ++index) {
        this->send("/order/1");
    }
    const auto refused = this->send("/order/1");
    this->time.run_for(milliseconds{60});
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(!refused->header("Retry-After").empty());
    BOOST_TEST(this->client.attempts.size() == 10U);
}

BOOST_FIXTURE_TEST_CASE(a_waiting_request_takes_the_place_that_gets_free, forward_fixture)
{
    for (int index = 0; index < 10; ++index) {
        this->send("/order/1");
    }
    const auto waiting = this->send("/order/1");
    this->head();
    this->complete();
    this->time.run_for(milliseconds{30});
    BOOST_TEST(this->client.attempts.size() == 11U);
    BOOST_TEST(waiting->status == 0);
}

BOOST_FIXTURE_TEST_CASE(a_service_without_endpoints_is_refused_at_once, forward_fixture)
{
    for (const char* id : {"desk-1", "desk-2"}) {
        this->endpoints.remove(endpoint_id{id}, this->time.now(), false);
    }
    BOOST_TEST(this->send("/order/1")->status == 503);
}

namespace {

struct leaving_fixture : forward_fixture {
    /// The endpoint of the newest attempt will be taken.
    void announce(duration leaves_in)
    {
        auto leaving = this->endpoints.find(endpoint_id{this->endpoint()})->record;
        leaving.is_draining = true;
        this->endpoints.put(leaving, this->time.now());
        leaving.reclaim_in = leaves_in;
        this->door.endpoint_leaving(leaving);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_run_moves_off_an_engine_that_is_taken, leaving_fixture)
{
    const auto answer = this->send("/long/1");
    const auto first = this->endpoint();
    this->head();
    this->body(event(1) + event(2));
    this->announce(milliseconds{2500});
    BOOST_TEST(this->mover.moves.empty());
    this->time.run_for(milliseconds{1600});
    BOOST_REQUIRE(this->mover.moves.size() == 1U);
    this->body(event(3));
    this->mover.moves[0].done(stopped_run{"10.0.0.1:80/h", true});
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

BOOST_FIXTURE_TEST_CASE(a_run_that_ends_in_time_does_not_move, leaving_fixture)
{
    const auto answer = this->send("/long/1");
    this->head();
    this->body(event(1));
    this->announce(milliseconds{2500});
    this->complete();
    this->time.run_for(seconds{5});
    BOOST_TEST(this->mover.moves.empty());
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(a_move_that_finds_no_run_is_tried_again, leaving_fixture)
{
    this->send("/long/1");
    this->announce(milliseconds{1000});
    this->time.run_for(milliseconds{10});
    BOOST_REQUIRE(this->mover.moves.size() == 1U);
    this->mover.moves[0].done(make_error(errc::not_found, "move", "engine"));
    this->time.run_for(milliseconds{250});
    BOOST_TEST(this->mover.moves.size() == 2U);
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_run_without_room_elsewhere_goes_on_where_it_stopped, leaving_fixture)
{
    this->send("/long/1");
    const auto first = this->endpoint();
    this->head();
    this->announce(milliseconds{500});
    this->time.run_for(milliseconds{10});
    this->mover.moves[0].done(stopped_run{"10.0.0.1:80/h", false});
    this->fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() == first);
    BOOST_TEST(this->sent_header("Last-Event") == "0");
}

BOOST_FIXTURE_TEST_CASE(a_failed_move_of_a_run_that_stopped_does_not_look_complete, leaving_fixture)
{
    const auto answer = this->send("/long/1");
    this->head();
    this->body(event(1));
    this->announce(milliseconds{500});
    this->time.run_for(milliseconds{10});
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(!answer->aborted);
    this->mover.moves[0].done(make_error(errc::timed_out, "move", "engine"));
    BOOST_TEST(answer->aborted);
    BOOST_TEST(!answer->ended);
}

BOOST_FIXTURE_TEST_CASE(engines_that_cannot_move_runs_are_not_asked_to, leaving_fixture)
{
    this->configuration.services.front().engine->can_migrate = false;
    this->apply();
    const auto answer = this->send("/long/1");
    this->head();
    this->body(event(1));
    this->announce(milliseconds{500});
    this->time.run_for(seconds{1});
    BOOST_TEST(this->mover.moves.empty());
    BOOST_TEST(this->client.attempts.size() == 1U);
    this->complete();
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(a_resumable_stream_goes_on_elsewhere_where_runs_cannot_move,
                        leaving_fixture)
{
    this->configuration.services.front().engine->can_migrate = false;
    this->apply();
    const auto answer = this->send("/short/1");
    const auto first = this->endpoint();
    this->head();
    this->body(event(1));
    this->announce(milliseconds{500});
    this->time.run_for(milliseconds{10});
    BOOST_TEST(this->mover.moves.empty());
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->endpoint() != first);
    BOOST_TEST(this->sent_header("Last-Event") == "1");
    BOOST_TEST(!answer->aborted);
}

} // namespace eelgrassbend
