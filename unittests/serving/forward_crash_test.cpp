#include "forward_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrassbend {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct crash_fixture : forward_fixture {
    /// Each character of `parts` is a part of the prompt.
    std::shared_ptr<fake_exchange> send_prompt(const std::string& path, const std::string& parts)
    {
        return this->send(path, {{"Parts", parts}});
    }

    void lose_attempt()
    {
        this->client.last().observer->on_failed(
            make_error(errc::truncated, "call endpoint", this->endpoint()),
            dispatch_state::maybe_sent);
        this->probes.answer_all(reachability::refused);
        this->time.run_for(seconds{1});
        this->quarantine.update(this->time.now());
    }

    void quarantine_part_d()
    {
        for (const char* own : {"1", "2", "3"}) {
            this->send_prompt("/long/1", std::string{"ad"} + own);
            this->head();
            this->lose_attempt();
            this->send_prompt("/long/1", std::string{"a"} + own);
            this->head();
            this->body("id: 1\ndata: x\n\n");
            this->complete();
        }
        this->time.run_for(seconds{1});
        this->quarantine.update(this->time.now());
        this->confirm();
    }

    void answer_with_event()
    {
        this->head();
        this->body("id: 1\ndata: x\n\n");
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(refuses_a_prompt_that_crashed_endpoints_as_not_run, crash_fixture)
{
    this->quarantine_part_d();
    const auto sent = this->client.attempts.size();
    const auto refused = this->send_prompt("/long/1", "ad4");
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(!refused->header("Retry-After").empty());
    BOOST_TEST(this->client.attempts.size() == sent);
    const auto served = this->send_prompt("/long/1", "a4");
    this->head();
    this->body("id: 1\ndata: x\n\n");
    this->complete();
    BOOST_TEST(served->ended);
}

BOOST_FIXTURE_TEST_CASE(examines_only_attempts_that_were_lost_without_a_confirmed_answer,
                        crash_fixture)
{
    this->send_prompt("/long/1", "ab1");
    this->answer_with_event();
    this->time.run_for(answer_confirmation_time);
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->probes.pending.empty());
    this->send_prompt("/long/1", "ab1");
    this->answer_with_event();
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->probes.pending.size() == 1U);
    this->probes.answer_all(reachability::accepting);
    this->send_prompt("/long/1", "ab1");
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->probes.pending.size() == 1U);
}

// The end of the connection ends such an answer, so a crash looks like a complete one.
BOOST_FIXTURE_TEST_CASE(examines_the_end_of_close_delimited_answers_with_unproven_parts,
                        crash_fixture)
{
    const auto answer = this->send_prompt("/long/1", "ab1");
    this->head(200, {{"Close-Delimited", "1"}});
    this->body("id: 1\ndata: x\n\n");
    this->complete();
    BOOST_TEST(answer->ended);
    BOOST_TEST(this->probes.pending.size() == 1U);
    this->probes.answer_all(reachability::accepting);
    this->time.run_for(answer_confirmation_time);
    this->send_prompt("/long/1", "ab2");
    this->head(200, {{"Close-Delimited", "1"}});
    this->body("id: 1\ndata: x\n\n");
    this->complete();
    BOOST_TEST(this->probes.pending.empty());
}

// A stream whose parts have no recent answer may have crashed the engine; others are resumed.
BOOST_FIXTURE_TEST_CASE(resumes_a_stream_lost_after_its_first_event, crash_fixture)
{
    const auto unproven = this->send_prompt("/short/1", "ab1");
    this->answer_with_event();
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == 2U);
    BOOST_TEST(this->sent_header("Last-Event") == "1");
    BOOST_TEST(!unproven->aborted);
}

// A request that crashes endpoints would otherwise take down as many as its route allows.
BOOST_FIXTURE_TEST_CASE(sends_a_request_to_two_endpoints_at_most_if_both_are_lost, crash_fixture)
{
    this->configuration.routes[1].max_endpoints = 4;
    for (const char* id : {"draft-3", "draft-4"}) {
        this->add_endpoint("draft", id);
    }
    this->configuration.version = configuration_version{2};
    this->apply();
    const auto answer = this->send_prompt("/short/1", "ad1");
    for (int lost = 0; lost < 2; ++lost) {
        this->fail(dispatch_state::maybe_sent);
        BOOST_TEST(this->client.attempts.size() == 2U);
    }
    BOOST_TEST(answer->status == 502);
}

BOOST_FIXTURE_TEST_CASE(repeats_a_stream_lost_at_its_start_only_if_its_parts_were_answered,
                        crash_fixture)
{
    const auto suspected = this->send_prompt("/short/1", "ad1");
    this->head();
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == 1U);
    BOOST_TEST(suspected->status == 502);
    this->send_prompt("/short/1", "a2");
    this->answer_with_event();
    this->complete();
    this->time.run_for(answer_confirmation_time);
    this->send_prompt("/short/1", "a3");
    this->head();
    this->fail(dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == 4U);
}

// A request that is still queued at its endpoint would crash it later.
BOOST_FIXTURE_TEST_CASE(cancels_unanswered_requests_when_their_parts_are_quarantined, crash_fixture)
{
    const auto queued = this->send_prompt("/long/1", "ad1");
    const auto attempt = this->client.attempts.back();
    const auto other = this->send_prompt("/long/1", "a3");
    const auto other_attempt = this->client.attempts.back();
    this->quarantine.on_started([this] { this->handler.handle_quarantine_started(); });
    this->quarantine.apply(
        {{}, {}, {{shared_part_keys(service_id{"draft"}, {{'d', 1}, {0, 1}}), 0, seconds{0}}}},
        this->time.now());
    BOOST_TEST(attempt->observer == nullptr);
    BOOST_TEST(queued->status == 502);
    BOOST_TEST(other_attempt->observer != nullptr);
    BOOST_TEST(other->status == 0);
}

BOOST_FIXTURE_TEST_CASE(does_not_repeat_a_request_whose_parts_are_in_quarantine, crash_fixture)
{
    const auto waiting = this->send_prompt("/short/1", "ad0");
    auto* observer = this->client.last().observer;
    this->quarantine.apply(
        {{}, {}, {{shared_part_keys(service_id{"draft"}, {{'d', 1}, {0, 1}}), 0, seconds{0}}}},
        this->time.now());
    const auto sent = this->client.attempts.size();
    observer->on_failed(make_error(errc::truncated, "call", "endpoint"),
                        dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == sent);
    BOOST_TEST(waiting->status == 502);
}

} // namespace eelgrassbend
