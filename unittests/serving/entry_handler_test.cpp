#include "serving_fakes.h"

#include "eelgrassbend/support/uuid.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static const std::string chat = R"({"model":"draft","messages":[{"role":"user","content":"x"}]})";

struct plain_fixture : serving_fixture {
    std::shared_ptr<fake_exchange> order()
    {
        const auto key = make_uuid_v7(this->time.wall_now(), this->random);
        return this->send("POST", "/services/order-desk/orders?ms=5", "{}",
                          {{"Idempotency-Key", key}});
    }

    void answer_order(int status, const std::string& body)
    {
        auto* observer = this->client.last().observer;
        observer->on_head(status, {{"Content-Type", "application/json"}});
        observer->on_body(body);
        observer->on_completed();
    }
};

BOOST_FIXTURE_TEST_CASE(refuses_a_wrong_key_with_401_and_a_forbidden_service_with_403,
                        serving_fixture)
{
    const auto unknown = this->send("POST", "/v1/chat/completions", chat, {}, "nobody");
    BOOST_TEST(unknown->status == 401);
    BOOST_TEST(unknown->header("Eelgrassbend-Outcome") == "not-run");
    const auto forbidden = this->send("POST", "/v1/chat/completions", chat, {}, "key-2");
    BOOST_TEST(forbidden->status == 403);
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_malformed_input_with_4xx, serving_fixture)
{
    const auto status_of = [this](const std::string& body) {
        return this->send("POST", "/v1/chat/completions", body)->status;
    };
    BOOST_TEST(status_of("{") == 400);
    BOOST_TEST(status_of(R"({"model":"draft"})") == 400);
    BOOST_TEST(status_of(R"({"model":"draft","messages":[{"role":1,"content":"x"}]})") == 400);
    BOOST_TEST(
        status_of(R"({"model":"draft","max_tokens":0,"messages":[{"role":"u","content":"x"}]})") ==
        400);
    BOOST_TEST(status_of(R"({"model":"none","messages":[{"role":"u","content":"x"}]})") == 404);
    BOOST_TEST(this->send("GET", "/v1/chat/completions", "")->status == 405);
    BOOST_TEST(this->send("GET", "/nowhere", "")->status == 404);
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_requests_over_a_limit_with_retry_after, serving_fixture)
{
    this->limits.refuse = true;
    const auto answer = this->send("POST", "/v1/chat/completions", chat);
    BOOST_TEST(answer->status == 429);
    BOOST_TEST(answer->header("Retry-After") == "2");
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_new_requests_as_not_run_while_the_ledger_is_full, plain_fixture)
{
    const auto running = this->order();
    this->usage_ledger.has_capacity = false;
    const auto completion = this->send("POST", "/v1/chat/completions", chat);
    for (const auto& answer : {completion, this->order()}) {
        BOOST_TEST(answer->status == 503);
        BOOST_TEST(answer->header("Retry-After") == "1");
        BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    }
    BOOST_TEST(this->client.attempts.size() == 1);
    BOOST_TEST(this->limits.open.size() == 1);
    this->answer_order(201, "{}");
    BOOST_TEST(running->status == 201);
    BOOST_TEST(this->usage_ledger.confirmed.size() == 1);
    this->usage_ledger.has_capacity = true;
    this->send("POST", "/v1/chat/completions", chat);
    BOOST_TEST(this->client.attempts.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(refuses_as_not_run_with_a_stale_bundle, serving_fixture)
{
    this->bundles.is_fresh = false;
    const auto answer = this->send("POST", "/v1/chat/completions", chat);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(!answer->header("Retry-After").empty());
}

BOOST_FIXTURE_TEST_CASE(refuses_as_not_run_when_not_ready, serving_fixture)
{
    this->status.reason = "no bundle is known";
    BOOST_TEST(this->send("GET", "/readyz", "")->status == 503);
    const auto answer = this->send("POST", "/v1/chat/completions", chat);
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
}

BOOST_FIXTURE_TEST_CASE(serves_requests_but_reports_not_ready_while_stopping, serving_fixture)
{
    this->status.has_stop_begun = true;
    BOOST_TEST(this->send("GET", "/readyz", "")->status == 503);
    this->send("POST", "/v1/chat/completions", chat);
    BOOST_TEST(this->client.attempts.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(claims_runs_records_and_bills_an_order, plain_fixture)
{
    const auto answer = this->order();
    BOOST_REQUIRE(this->client.attempts.size() == 1);
    BOOST_TEST(this->client.last().request.needs_new_connection);
    BOOST_TEST(this->client.last().request.target == "/orders?ms=5");
    this->answer_order(201, "{\"booking\":1}");
    BOOST_TEST(answer->status == 201);
    BOOST_TEST(answer->body == "{\"booking\":1}");
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "ran");
    BOOST_REQUIRE(this->claims.finished.size() == 1);
    BOOST_TEST(this->claims.finished.front().body == "{\"booking\":1}");
    BOOST_TEST(this->usage_ledger.confirmed.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(refuses_an_order_without_an_idempotency_key, plain_fixture)
{
    const auto answer = this->send("POST", "/services/order-desk/orders", "{}");
    BOOST_TEST(answer->status == 400);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(this->client.attempts.empty());
}

BOOST_FIXTURE_TEST_CASE(does_not_retry_an_order_that_may_have_run, plain_fixture)
{
    const auto answer = this->order();
    this->client.last().observer->on_failed(make_error(errc::truncated, "call endpoint", "e1"),
                                            dispatch_state::maybe_sent);
    BOOST_TEST(this->client.attempts.size() == 1);
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "unknown");
    BOOST_TEST(this->claims.abandoned == 1);
    BOOST_TEST(this->claims.released == 0);
}

BOOST_FIXTURE_TEST_CASE(retries_an_order_that_was_not_sent_at_another_endpoint, plain_fixture)
{
    const auto answer = this->order();
    this->client.last().observer->on_failed(make_error(errc::unavailable, "call endpoint", "e1"),
                                            dispatch_state::not_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    this->answer_order(201, "{}");
    BOOST_TEST(answer->status == 201);
    BOOST_TEST(this->claims.finished.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(releases_the_claim_of_an_order_that_reaches_no_endpoint, plain_fixture)
{
    const auto answer = this->order();
    this->routes.order.clear();
    this->client.last().observer->on_failed(make_error(errc::unavailable, "call endpoint", "e1"),
                                            dispatch_state::not_sent);
    this->time.run_for(std::chrono::seconds{11});
    BOOST_TEST(answer->status == 504);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(this->claims.released == 1);
    BOOST_TEST(this->claims.abandoned == 0);
}

BOOST_FIXTURE_TEST_CASE(does_not_dispatch_under_an_expired_claim, plain_fixture)
{
    this->claims.allowed = false;
    const auto answer = this->order();
    BOOST_TEST(this->client.attempts.empty());
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(this->claims.released == 1);
}

BOOST_FIXTURE_TEST_CASE(replays_the_recorded_answer_of_a_finished_key_without_billing,
                        plain_fixture)
{
    this->claims.answer = {
        claim_state::finished, {201, "application/json", "{\"booking\":1}", "d"}, {}};
    const auto answer = this->order();
    BOOST_TEST(this->client.attempts.empty());
    BOOST_TEST(answer->status == 201);
    BOOST_TEST(answer->body == "{\"booking\":1}");
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "ran");
    BOOST_TEST(this->usage_ledger.intended.empty());
}

BOOST_FIXTURE_TEST_CASE(reports_unknown_for_a_key_whose_holder_was_lost, plain_fixture)
{
    this->claims.answer.state = claim_state::unknown;
    const auto answer = this->order();
    BOOST_TEST(this->client.attempts.empty());
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "unknown");
}

BOOST_FIXTURE_TEST_CASE(retries_a_repeatable_request, plain_fixture)
{
    const auto answer = this->send("GET", "/services/order-desk/orders/7", "");
    this->client.last().observer->on_failed(make_error(errc::truncated, "call endpoint", "e1"),
                                            dispatch_state::maybe_sent);
    BOOST_REQUIRE(this->client.attempts.size() == 2);
    this->answer_order(200, "{}");
    BOOST_TEST(answer->status == 200);
}

BOOST_FIXTURE_TEST_CASE(forwards_a_server_error_without_billing, plain_fixture)
{
    const auto answer = this->order();
    this->answer_order(500, "broken");
    BOOST_TEST(answer->status == 500);
    BOOST_TEST(this->usage_ledger.intended.empty());
    BOOST_TEST(this->claims.finished.size() == 1);
    BOOST_TEST(this->handler.active_requests() == 0);
    BOOST_TEST(this->routes.open.empty());
}

BOOST_FIXTURE_TEST_CASE(lists_entries_with_address_weight_and_time_to_live, serving_fixture)
{
    const auto answer = this->send("GET", "/v1/entries?organisation=lodge&service=draft-llm", "");
    const auto body = nlohmann::json::parse(answer->body);
    BOOST_TEST(body["entries"][0]["address"] == "127.0.0.1:8080");
    BOOST_TEST(body["entries"][0]["weight"] == 1);
    BOOST_TEST(body["time_to_live_ms"] == 2000);
}

} // namespace eelgrassbend
