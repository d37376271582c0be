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

BOOST_FIXTURE_TEST_CASE(bills_a_streamed_answer_after_delivery, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    BOOST_REQUIRE(this->client.attempts.size() == 1);
    engine_script{this->client.last()}.head().token("a").token(" b").last(2).complete();
    const read_stream stream{answer->body};
    BOOST_TEST(stream.text == "a b");
    BOOST_TEST(stream.ids_in_order);
    BOOST_TEST(stream.done);
    BOOST_REQUIRE(this->usage_ledger.intended.size() == 1);
    const auto& line = this->usage_ledger.intended.front();
    BOOST_TEST(line.price.value() == 10 + 100 + 4);
    BOOST_TEST(line.answer_digest == sha256_hex("a b"));
    BOOST_TEST(this->usage_ledger.confirmed.size() == 1);
    BOOST_TEST(this->limits.open.empty());
    BOOST_TEST(this->routes.open.empty());
    BOOST_TEST(this->handler.active_requests() == 0);
    BOOST_TEST(this->log.count("route") == 1);
}

BOOST_FIXTURE_TEST_CASE(does_not_bill_an_undelivered_answer, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    answer->deliverable = false;
    engine_script{this->client.last()}.head().token("a").last(1).complete();
    BOOST_TEST(this->usage_ledger.confirmed.empty());
    BOOST_TEST(this->usage_ledger.cancelled.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(resumes_after_an_endpoint_failure_without_lost_or_duplicate_tokens,
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
    BOOST_TEST(this->usage_ledger.confirmed.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(retries_an_answer_without_its_end, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    engine_script{this->client.last()}.head().token("a").complete();
    BOOST_TEST(!answer->ended);
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    engine_script{this->client.last()}.head().token(" b").last(2).complete();
    BOOST_TEST(nlohmann::json::parse(answer->body)["choices"][0]["message"]["content"] == "a b");
}

BOOST_FIXTURE_TEST_CASE(retries_an_answer_with_missing_tokens, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    engine_script{this->client.last()}.head().token("a").last(2).complete();
    BOOST_TEST(!answer->ended);
    BOOST_TEST(this->client.attempts.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(drops_events_of_another_attempt, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script{this->client.last()}.head().token("a").token_of("other/1", " secret");
    BOOST_TEST(answer->body.find("secret") == std::string::npos);
    BOOST_TEST(this->client.attempts.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(drops_events_of_a_cancelled_attempt, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    auto& first = this->client.last();
    engine_script{first}.head().token("a").fail(dispatch_state::maybe_sent);
    BOOST_TEST(first.observer == nullptr);
    engine_script{first}.token(" late");
    BOOST_TEST(answer->body.find("late") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(migrates_a_request_before_its_endpoint_leaves, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script{this->client.last()}.head().token("a");
    auto leaving = this->endpoints.list.front();
    leaving.state = endpoint_state::leaving;
    leaving.taken_at = this->time.wall_now() + seconds{5};
    this->handler.handle_endpoint_changed(leaving);
    this->time.run_for(seconds{3});
    BOOST_TEST(this->client.attempts.size() == 1);
    this->time.run_for(seconds{2});
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    BOOST_TEST(this->client.last().address.port == 9002);
    engine_script{this->client.last()}.head().token(" b").last(2).complete();
    BOOST_TEST(read_stream{answer->body}.text == "a b");
}

BOOST_FIXTURE_TEST_CASE(accepted_request_waits_without_endpoints, serving_fixture)
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

BOOST_FIXTURE_TEST_CASE(refuses_as_not_run_without_an_available_endpoint, serving_fixture)
{
    this->routes.order.clear();
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(answer->header("Retry-After") == "3");
    BOOST_TEST(this->limits.open.empty());
    BOOST_TEST(this->usage_ledger.intended.empty());
}

BOOST_FIXTURE_TEST_CASE(requests_the_model_of_the_service_from_the_engine, serving_fixture)
{
    this->send("POST", "/v1/chat/completions",
               R"({"model":"draft-llm","messages":[{"role":"user","content":"x"}]})");
    const auto body = nlohmann::json::parse(this->client.last().request.body);
    BOOST_TEST(body["model"] == "draft");
}

BOOST_FIXTURE_TEST_CASE(retries_until_the_deadline_when_every_engine_refuses, serving_fixture)
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

BOOST_FIXTURE_TEST_CASE(reports_a_service_without_endpoints_as_unavailable, serving_fixture)
{
    this->routes.has_no_endpoints = true;
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(!answer->header("Retry-After").empty());
}

BOOST_FIXTURE_TEST_CASE(reports_unknown_after_the_deadline, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", whole);
    engine_script{this->client.last()}.head().token("a");
    this->time.run_for(seconds{61});
    BOOST_TEST(answer->status == 504);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "unknown");
    BOOST_TEST(this->client.last().observer == nullptr);
    BOOST_TEST(this->usage_ledger.intended.empty());
}

BOOST_FIXTURE_TEST_CASE(cancels_the_attempt_when_the_stream_caller_disconnects, serving_fixture)
{
    const auto answer = this->send("POST", "/v1/chat/completions", streamed);
    engine_script{this->client.last()}.head().token("a");
    answer->disconnect_handler();
    BOOST_TEST(this->client.last().observer == nullptr);
    BOOST_TEST(this->handler.active_requests() == 0);
    BOOST_TEST(this->limits.open.empty());
    BOOST_TEST(this->usage_ledger.intended.empty());
}

} // namespace eelgrassbend
