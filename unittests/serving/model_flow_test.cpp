#include "engine_script.h"
#include "serving_fakes.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static const std::string streamed =
    R"({"model":"draft","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"lay out a badge"}]})";
static const std::string whole =
    R"({"model":"draft","max_tokens":50,"messages":[{"role":"user","content":"lay out a badge"}]})";

BOOST_FIXTURE_TEST_CASE(a_streamed_answer_is_billed_once_it_is_delivered, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    BOOST_REQUIRE(this->client.attempts.size() == 1);
    engine_script{this->client.last()}.head().token("a").token(" b").last(2).complete();
    const read_stream stream{answer->body};
    BOOST_TEST(stream.text == "a b");
    BOOST_TEST(stream.ids_in_order);
    BOOST_TEST(stream.done);
    BOOST_REQUIRE(this->bills.intended.size() == 1);
    const auto& line = this->bills.intended.front();
    BOOST_TEST(line.price.value() == 10 + 100 + 4);
    BOOST_TEST(line.answer_digest == sha256_hex("a b"));
    BOOST_TEST(this->bills.confirmed.size() == 1);
    BOOST_TEST(this->limits.open.empty());
    BOOST_TEST(this->routes.open.empty());
    BOOST_TEST(this->door.active() == 0);
    BOOST_TEST(this->log.count("route") == 1);
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_is_not_delivered_is_not_billed, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    answer->deliverable = false;
    engine_script{this->client.last()}.head().token("a").last(1).complete();
    BOOST_TEST(this->bills.confirmed.empty());
    BOOST_TEST(this->bills.cancelled.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_dead_endpoint_is_replaced_and_no_token_is_lost_or_doubled,
                        serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script first{this->client.last()};
    first.head().token("a").token(" b");
    first.fail(dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    BOOST_TEST(this->client.last().address.port == 9002);
    const auto resumed = nlohmann::json::parse(this->client.last().request.body);
    BOOST_TEST(resumed["resume"]["text"] == "a b");
    BOOST_TEST(resumed["resume"]["tokens"] == 2);
    engine_script{this->client.last()}.head().token(" c").last(3).complete();
    const read_stream stream{answer->body};
    BOOST_TEST(stream.text == "a b c");
    BOOST_TEST(stream.ids_in_order);
    BOOST_TEST(this->bills.confirmed.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_its_end_is_never_passed_off_as_whole, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    engine_script{this->client.last()}.head().token("a").complete();
    BOOST_TEST(!answer->ended);
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    engine_script{this->client.last()}.head().token(" b").last(2).complete();
    BOOST_TEST(nlohmann::json::parse(answer->body)["choices"][0]["message"]["content"] == "a b");
}

BOOST_FIXTURE_TEST_CASE(an_answer_with_missing_tokens_is_not_whole, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    engine_script{this->client.last()}.head().token("a").last(2).complete();
    BOOST_TEST(!answer->ended);
    BOOST_TEST(this->client.attempts.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(an_event_of_another_attempt_never_reaches_the_caller, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script{this->client.last()}.head().token("a").token_of("other/1", " secret");
    BOOST_TEST(answer->body.find("secret") == std::string::npos);
    BOOST_TEST(this->client.attempts.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(what_a_late_attempt_says_is_dropped, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    auto& first = this->client.last();
    engine_script{first}.head().token("a").fail(dispatch_state::maybe_sent);
    BOOST_TEST(first.observer == nullptr);
    engine_script{first}.token(" late");
    BOOST_TEST(answer->body.find("late") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(work_on_a_leaving_endpoint_moves_before_it_is_taken, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script{this->client.last()}.head().token("a");
    auto leaving = this->endpoints.list.front();
    leaving.state = endpoint_state::leaving;
    leaving.taken_at = this->time.wall_now() + seconds{5};
    this->door.endpoint_changed(leaving);
    this->time.run_for(seconds{3});
    BOOST_TEST(this->client.attempts.size() == 1);
    this->time.run_for(seconds{2});
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    BOOST_TEST(this->client.last().address.port == 9002);
    engine_script{this->client.last()}.head().token(" b").last(2).complete();
    BOOST_TEST(read_stream{answer->body}.text == "a b");
}

BOOST_FIXTURE_TEST_CASE(an_accepted_request_waits_when_no_endpoint_is_left, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script first{this->client.last()};
    first.head().token("a");
    const auto endpoints = std::exchange(this->routes.order, {});
    first.fail(dispatch_state::maybe_sent);
    this->time.run_for(seconds{5});
    BOOST_TEST(!answer->ended);
    this->routes.order = endpoints;
    this->time.run_for(seconds{1});
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    engine_script{this->client.last()}.head().token(" b").last(2).complete();
    BOOST_TEST(read_stream{answer->body}.text == "a b");
}

BOOST_FIXTURE_TEST_CASE(a_request_that_finds_no_endpoint_is_refused_as_not_run, serving_fixture)
{
    this->routes.order.clear();
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(answer->header("Retry-After") == "3");
    BOOST_TEST(this->limits.open.empty());
    BOOST_TEST(this->bills.intended.empty());
}

BOOST_FIXTURE_TEST_CASE(an_engine_is_asked_for_the_model_of_the_service, serving_fixture)
{
    this->send("POST", "/v1/chat/completions",
               R"({"model":"draft-llm","messages":[{"role":"user","content":"x"}]})");
    const auto body = nlohmann::json::parse(this->client.last().request.body);
    BOOST_TEST(body["model"] == "draft");
}

BOOST_FIXTURE_TEST_CASE(a_request_that_every_engine_refuses_is_tried_until_its_deadline,
                        serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    for (int step = 0; step < 59; ++step) {
        for (auto& attempt : std::vector{this->client.attempts}) {
            if (attempt->observer != nullptr) {
                attempt->observer->on_head(503, {});
            }
        }
        this->time.run_for(seconds{1});
        BOOST_TEST(!answer->ended);
    }
    BOOST_TEST(this->client.attempts.size() > 10);
    BOOST_TEST(this->client.attempts.size() < 150);
    this->time.run_for(seconds{2});
    BOOST_TEST(answer->status == 504);
}

BOOST_FIXTURE_TEST_CASE(a_service_without_endpoints_is_unavailable_not_unknown_to_callers,
                        serving_fixture)
{
    this->routes.nothing_known = true;
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(!answer->header("Retry-After").empty());
}

BOOST_FIXTURE_TEST_CASE(after_its_deadline_a_request_ends_as_unknown, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    engine_script{this->client.last()}.head().token("a");
    this->time.run_for(seconds{61});
    BOOST_TEST(answer->status == 504);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "unknown");
    BOOST_TEST(this->client.last().observer == nullptr);
    BOOST_TEST(this->bills.intended.empty());
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_goes_away_ends_its_attempt, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script{this->client.last()}.head().token("a");
    answer->gone();
    BOOST_TEST(this->client.last().observer == nullptr);
    BOOST_TEST(this->door.active() == 0);
    BOOST_TEST(this->limits.open.empty());
    BOOST_TEST(this->bills.intended.empty());
}

} // namespace eelgrassbend
