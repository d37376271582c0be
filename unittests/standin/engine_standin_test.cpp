#include "http_probe.h"

#include "eelgrassbend/engine_model/prompt.h"
#include "eelgrassbend/standin/engine_standin.h"
#include "eelgrassbend/support/hash.h"

#include <boost/test/unit_test.hpp>

#include <sstream>
#include <vector>

namespace eelgrassbend::standin {

using nlohmann::json;
using std::chrono::milliseconds;

static engine_standin_settings fast_settings(endpoint_mode mode)
{
    engine_standin_settings settings;
    settings.name = "e1";
    settings.service = "draft-llm";
    settings.mode = mode;
    settings.engine.initial_model = model_id{"draft"};
    settings.engine.step_base = milliseconds{2};
    settings.engine.load_report_lag = milliseconds{20};
    settings.engine.cache_event_delay = milliseconds{20};
    settings.engine.weight_bytes = 1000;
    return settings;
}

namespace {

/// A stand-in that runs on a thread of its own.
struct running_standin {
    explicit running_standin(endpoint_mode mode, std::uint32_t slots = 16)
        : standin(
              [&] {
                  auto settings = fast_settings(mode);
                  settings.engine.slots = slots;
                  return settings;
              }(),
              loop),
          port(standin.port()),
          thread(loop)
    {
    }

    probe_answer complete(const json& body, const std::string& attempt)
    {
        return exchange(port, "POST", "/v1/chat/completions", body.dump(),
                        {{"X-Request-Id", "r1"}, {"X-Attempt-Id", attempt}});
    }

    void set_faults(const json& faults)
    {
        BOOST_TEST(exchange(port, "POST", "/admin/faults", faults.dump()).status == 200);
    }

    std::vector<json> executions()
    {
        std::vector<json> entries;
        std::istringstream lines{exchange(port, "GET", "/admin/executions").body};
        for (std::string line; std::getline(lines, line);) {
            entries.push_back(json::parse(line));
        }
        return entries;
    }

    event_loop loop;
    engine_standin standin;
    std::uint16_t port;
    loop_thread thread;
};

struct parsed_stream {
    std::string text;
    json last;
    bool done = false;
};

} // namespace

static parsed_stream parse_stream(const std::string& body, const std::string& attempt)
{
    parsed_stream parsed;
    std::istringstream lines{body};
    for (std::string line; std::getline(lines, line);) {
        if (line.empty()) {
            continue;
        }
        const auto data = line.substr(std::string{"data: "}.size());
        if (data == "[DONE]") {
            parsed.done = true;
            continue;
        }
        parsed.last = json::parse(data);
        BOOST_TEST(parsed.last.at("id") == attempt);
        parsed.text += parsed.last.at("choices").at(0).at("delta").value("content", "");
    }
    return parsed;
}

static json chat(const std::string& text, int max_tokens)
{
    return {{"model", "draft"},
            {"messages", json::array({{{"role", "user"}, {"content", text}}})},
            {"max_tokens", max_tokens},
            {"stream", true}};
}

static std::string expected_text(const std::string& text, int max_tokens)
{
    const auto seed = make_prompt("user: " + text + "\n").seed;
    return answer_text(seed, std::min<std::int64_t>(max_tokens, answer_length(seed).value()));
}

BOOST_AUTO_TEST_CASE(a_streamed_answer_is_whole_and_recorded)
{
    running_standin test{endpoint_mode::model};
    const auto answer = test.complete(chat("two badges", 8), "r1/1");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.field("X-Attempt-Id") == "r1/1");
    const auto parsed = parse_stream(answer.body, "r1/1");
    BOOST_TEST(parsed.done);
    BOOST_TEST(parsed.text == expected_text("two badges", 8));
    BOOST_TEST(parsed.last.at("usage").at("completion_tokens") == 8);
    BOOST_TEST(parsed.last.at("usage").at("prompt_tokens") == 4);
    const auto entry = test.executions().at(0);
    BOOST_TEST(entry.at("whole") == true);
    BOOST_TEST(entry.at("request") == "r1");
    BOOST_TEST(entry.at("digest") == sha256_hex(parsed.text));
    auto unstreamed = chat("two badges", 8);
    unstreamed["stream"] = false;
    const auto content = test.complete(unstreamed, "r1/2").json().at("choices").at(0);
    BOOST_TEST(content.at("message").at("content") == parsed.text);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_goes_on_with_the_next_token)
{
    running_standin test{endpoint_mode::model};
    auto body = chat("three badges", 8);
    const auto whole = parse_stream(test.complete(body, "a").body, "a").text;
    const auto start = answer_text(make_prompt("user: three badges\n").seed, 3);
    body["resume"] = {{"text", start}, {"tokens", 3}};
    const auto rest = parse_stream(test.complete(body, "b").body, "b");
    BOOST_TEST(start + rest.text == whole);
    BOOST_TEST(rest.last.at("usage").at("completion_tokens") == 8);
    BOOST_TEST(test.executions().at(1).at("digest") == sha256_hex(whole));
    BOOST_TEST(test.executions().at(1).at("resumed_tokens") == 3);
}

BOOST_AUTO_TEST_CASE(closing_the_connection_or_asking_cancels_an_attempt)
{
    running_standin test{endpoint_mode::model};
    test.set_faults({{"slowdown", 50.0}});
    {
        http_probe closed{test.port};
        closed.send("POST", "/v1/chat/completions", chat("a", 8).dump(), {{"X-Attempt-Id", "a"}});
        closed.receive_until("data:", milliseconds{2000});
    }
    BOOST_TEST(eventually([&] { return test.executions().at(0).at("cancelled") == true; }));
    http_probe asked{test.port};
    asked.send("POST", "/v1/chat/completions", chat("b", 8).dump(), {{"X-Attempt-Id", "b"}});
    asked.receive_until("data:", milliseconds{2000});
    const auto cancelled = exchange(test.port, "POST", "/v1/cancel", R"({"attempt":"b"})");
    BOOST_TEST(cancelled.json().at("cancelled") == true);
    const auto rest = asked.receive_until("[DONE]", milliseconds{2000});
    BOOST_TEST(rest.find("[DONE]") == std::string::npos);
    BOOST_TEST(test.executions().at(1).at("cancelled") == true);
    BOOST_TEST(test.executions().at(1).at("whole") == false);
}

BOOST_AUTO_TEST_CASE(faults_refuse_truncate_and_silence)
{
    running_standin test{endpoint_mode::model};
    test.set_faults({{"refuse", true}});
    const auto refused = test.complete(chat("a", 8), "a");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(!refused.field("Retry-After").empty());
    BOOST_TEST(test.executions().empty());
    test.set_faults({{"refuse", false}, {"truncate_after_tokens", 3}});
    const auto cut = test.complete(chat("b", 8), "b");
    BOOST_TEST(!cut.whole);
    BOOST_TEST(!parse_stream(cut.body, "b").done);
    BOOST_TEST(test.executions().at(0).at("whole") == false);
    test.set_faults({{"truncate_after_tokens", -1}, {"slowdown", 20.0}});
    http_probe silent{test.port};
    silent.send("POST", "/v1/chat/completions", chat("c", 8).dump(), {{"X-Attempt-Id", "c"}});
    silent.receive_until("data:", milliseconds{2000});
    test.set_faults({{"silent", true}, {"slowdown", 1.0}});
    const auto fresh = test.complete(chat("c", 8), "c2");
    BOOST_TEST(parse_stream(fresh.body, "c2").done);
    BOOST_TEST(eventually([&] { return test.executions().at(1).at("ended_ms").is_number(); }));
    BOOST_TEST(silent.receive_until("[DONE]", milliseconds{200}).find("[DONE]") ==
               std::string::npos);
    BOOST_TEST(test.executions().at(1).at("whole") == false);
}

BOOST_AUTO_TEST_CASE(orders_cache_events_and_exports_go_over_http)
{
    running_standin test{endpoint_mode::model};
    const auto order = [&](int token, const std::string& model) {
        const json body{{"fencing_token", token}, {"order", "load"}, {"model", model}};
        return exchange(test.port, "POST", "/v1/orders", body.dump()).status;
    };
    BOOST_TEST(order(4, "next") == 200);
    BOOST_TEST(order(3, "older") == 409);
    const auto state = exchange(test.port, "GET", "/v1/state").json();
    BOOST_TEST(state.at("models").size() == 2U);
    BOOST_TEST(state.at("highest_fencing_token") == 4);
    std::string prompt;
    for (int index = 0; index < 40; ++index) {
        prompt += "badge ";
    }
    test.complete(chat(prompt, 8), "a");
    json page;
    BOOST_TEST(eventually([&] {
        page = exchange(test.port, "GET", "/v1/cache-events?from=1").json();
        return !page.at("events").empty();
    }));
    BOOST_TEST(page.at("events").at(0).at("kind") == "stored");
    BOOST_TEST(page.at("events").at(0).at("blocks").at(0).get<std::string>().size() == 16U);
    const auto exported = exchange(test.port, "POST", "/v1/kv/export", R"({"attempt":"a"})");
    BOOST_TEST(exported.status == 200);
    running_standin other{endpoint_mode::model};
    const auto imported = exchange(other.port, "POST", "/v1/kv/import", exported.body);
    BOOST_TEST(imported.json().at("tokens").get<int>() >= 32);
    other.complete(chat(prompt, 8), "b");
    BOOST_TEST(other.executions().at(0).at("cached_tokens").get<int>() >= 32);
    BOOST_TEST(exchange(test.port, "GET", "/v1/load").json().at("slots") == 16);
}

BOOST_AUTO_TEST_CASE(malformed_requests_are_refused_and_nothing_runs)
{
    running_standin test{endpoint_mode::model};
    const std::string path = "/v1/chat/completions";
    BOOST_TEST(exchange(test.port, "POST", path, "{").status == 400);
    BOOST_TEST(exchange(test.port, "POST", path, R"({"messages":[{"role":1}]})").status == 400);
    auto unknown = chat("a", 8);
    unknown["model"] = "other";
    BOOST_TEST(test.complete(unknown, "a").status == 404);
    BOOST_TEST(exchange(test.port, "POST", "/admin/faults", R"({"slowdown":0})").status == 400);
    BOOST_TEST(exchange(test.port, "GET", "/none").status == 404);
    BOOST_TEST(test.executions().empty());
}

BOOST_AUTO_TEST_CASE(a_plain_service_counts_its_calls)
{
    running_standin test{endpoint_mode::plain, 1};
    http_probe probe{test.port};
    probe.send("POST", "/orders/new?ms=1", "one lanyard",
               {{"X-Attempt-Id", "a"}, {"Idempotency-Key", "k1"}});
    const auto first = probe.receive();
    BOOST_TEST(first.field("X-Attempt-Id") == "a");
    BOOST_TEST(first.json().at("execution") == 1);
    BOOST_TEST(first.json().at("request_digest") == sha256_hex("one lanyard"));
    probe.send("PUT", "/orders/2", "", {{"X-Simulate-Ms", "1"}});
    BOOST_TEST(probe.receive().json().at("booking") == "e1-2");
    const auto entry = test.executions().at(0);
    BOOST_TEST(entry.at("idempotency_key") == "k1");
    BOOST_TEST(entry.at("digest") == sha256_hex(first.body));
    BOOST_TEST(entry.at("whole") == true);
    BOOST_TEST(exchange(test.port, "GET", "/orders?bytes=12000000").whole);
    test.set_faults({{"truncate_after_tokens", 5}});
    BOOST_TEST(!exchange(test.port, "GET", "/orders").whole);
    BOOST_TEST(test.executions().at(3).at("whole") == false);
}

BOOST_AUTO_TEST_CASE(a_running_call_of_a_plain_service_outlives_its_connection)
{
    running_standin test{endpoint_mode::plain, 1};
    {
        http_probe running{test.port};
        running.send("POST", "/orders?ms=300", "");
        BOOST_TEST(eventually([&] { return test.executions().size() == 1U; }));
        http_probe waiting{test.port};
        waiting.send("POST", "/orders?ms=300", "");
        BOOST_TEST(eventually(
            [&] { return exchange(test.port, "GET", "/v1/load").json().at("queued") == 1; }));
    }
    BOOST_TEST(eventually([&] { return test.executions().at(0).at("ended_ms").is_number(); }));
    BOOST_TEST(test.executions().at(0).at("whole") == false);
    BOOST_TEST(test.executions().size() == 1U);
}

} // namespace eelgrassbend::standin
