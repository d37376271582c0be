#include "engine_script.h"
#include "serving_fakes.h"

#include "eelgrassbend/support/uuid.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static const std::string chat =
    R"({"model":"draft","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"lay out"}]})";

/// Two entry nodes that share all dependencies except their stream stores.
struct two_node_fixture : serving_fixture {
    two_node_fixture()
    {
        this->add_peer(this->members, "entry-2", 7002);
        this->add_peer(this->other_members, "entry-1", 7001);
        this->other_streams.start();
        this->other_streams.set_running_stream_handler([this](const request_id& request) {
            return this->other_handler.release_stream(request);
        });
    }

    void add_peer(fake_membership& to, const std::string& name, std::uint16_t port)
    {
        member peer;
        peer.id = node_id{name};
        peer.calls = {"127.0.0.1", port};
        to.set(peer);
    }

    /// Reconnects to the given node with the id of the last received event.
    std::shared_ptr<fake_exchange> reconnect(entry_handler& handler, const std::string& last_event,
                                             const std::string& key = "key-1",
                                             const std::string& body = chat)
    {
        auto answer = std::make_shared<fake_exchange>();
        handler.handle({"POST",
                        "/v1/chat/completions",
                        {{"Authorization", "Bearer " + key}, {"Last-Event-ID", last_event}},
                        body},
                       answer);
        this->time.run_for(milliseconds{10});
        return answer;
    }

    /// Starts a stream at entry-1 that has emitted "a b c".
    void start_stream()
    {
        this->first = this->send("POST", "/v1/chat/completions", chat);
        engine_script{this->client.last()}.head().token("a").token(" b").token(" c");
        const auto id = this->first->header("Eelgrassbend-Request");
        this->second_event = id + ":2";
    }

    serving_settings other_settings{node_id{"entry-2"}};
    fake_peer_rpc other_peers{network, time, {"127.0.0.1", 7002}};
    fake_membership other_members{{node_id{"entry-2"}}};
    stream_store other_streams{time, other_peers, other_members, {}};
    serving_services other_services{
        other_settings, time,      random, log,    counters,     bundles,       limits,
        routes,         endpoints, client, claims, usage_ledger, other_streams, hedges};
    entry_handler other_handler{other_services, entries, status};
    std::shared_ptr<fake_exchange> first;
    std::string second_event;
};

static void finish(two_node_fixture& nodes, const fake_exchange& answer)
{
    engine_script{nodes.client.last()}.head().token(" d").last(4).complete();
    BOOST_TEST(answer.ended);
    BOOST_TEST(answer.body.find(":3\n") != std::string::npos);
    BOOST_TEST(answer.body.find(":2\n") == std::string::npos);
    BOOST_TEST(nodes.usage_ledger.confirmed.size() == 1);
    BOOST_TEST(nodes.usage_ledger.intended.back().answer_digest == sha256_hex("a b c d"));
}

BOOST_FIXTURE_TEST_CASE(resumes_a_disconnected_stream_at_another_node, two_node_fixture)
{
    this->start_stream();
    this->first->disconnect_handler();
    const auto answer = this->reconnect(this->other_handler, this->second_event);
    const auto resumed = nlohmann::json::parse(this->client.last().request.body);
    BOOST_TEST(resumed["resume"]["text"] == "a b c");
    BOOST_TEST(this->client.last().request.attempt.value().ends_with("/2"));
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(node_releases_a_running_stream_to_another_node, two_node_fixture)
{
    this->start_stream();
    const auto answer = this->reconnect(this->other_handler, this->second_event);
    BOOST_TEST(this->first->aborted);
    BOOST_TEST(this->handler.active_requests() == 0);
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(resumes_streams_after_their_node_has_stopped, two_node_fixture)
{
    this->start_stream();
    this->handler.hand_over_streams();
    BOOST_TEST(this->first->aborted);
    this->time.run_for(milliseconds{10});
    this->network.unreachable.insert({"127.0.0.1", 7001});
    const auto answer = this->reconnect(this->other_handler, this->second_event);
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(fetches_an_undelivered_answer_once, two_node_fixture)
{
    this->start_stream();
    this->first->deliverable = false;
    engine_script{this->client.last()}.token(" d").last(4).complete();
    BOOST_TEST(this->usage_ledger.confirmed.empty());
    const auto attempts = this->client.attempts.size();
    const auto answer = this->reconnect(this->other_handler, this->second_event);
    BOOST_TEST(this->client.attempts.size() == attempts);
    BOOST_TEST(answer->body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(answer->body.find(":3\n") != std::string::npos);
    BOOST_TEST(this->usage_ledger.confirmed.size() == 1);
    const auto again = this->reconnect(this->handler, this->second_event);
    BOOST_TEST(again->status == 404);
    BOOST_TEST(this->usage_ledger.confirmed.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(resumed_stream_waits_for_an_endpoint, two_node_fixture)
{
    this->start_stream();
    this->first->disconnect_handler();
    const auto endpoints = std::exchange(this->routes.order, {});
    const auto answer = this->reconnect(this->other_handler, this->second_event);
    this->time.run_for(seconds{5});
    BOOST_TEST(!answer->aborted);
    this->routes.order = endpoints;
    this->time.run_for(seconds{3});
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(resumed_stream_without_endpoint_ends_as_unknown, two_node_fixture)
{
    this->start_stream();
    this->first->disconnect_handler();
    this->routes.order.clear();
    const auto answer = this->reconnect(this->other_handler, this->second_event);
    this->time.run_for(seconds{61});
    BOOST_TEST(answer->aborted);
    BOOST_TEST(answer->body.find("not-run") == std::string::npos);
    BOOST_TEST(answer->body.find("unknown") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_stream_of_another_caller_or_request, two_node_fixture)
{
    auto venue = this->bundles.rules->organisations.back();
    venue.services = {service_id{"draft-llm"}};
    this->bundles.rules->organisations.back() = venue;
    this->start_stream();
    this->first->disconnect_handler();
    const auto other_caller = this->reconnect(this->other_handler, this->second_event, "key-2");
    BOOST_TEST(other_caller->status == 404);
    BOOST_TEST(other_caller->body.find("content") == std::string::npos);
    const auto other_body =
        R"({"model":"draft","stream":true,"messages":[{"role":"u","content":"x"}]})";
    const auto other_request =
        this->reconnect(this->other_handler, this->second_event, "key-1", other_body);
    BOOST_TEST(other_request->status == 404);
    const auto answer = this->reconnect(this->other_handler, this->second_event);
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(reports_unknown_for_a_stream_that_no_node_holds, two_node_fixture)
{
    const auto unique = make_uuid_v7(this->time.wall_now(), this->random);
    const auto answer = this->reconnect(this->handler, "entry-9-" + unique + ":5");
    BOOST_TEST(answer->status == 404);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "unknown");
    BOOST_TEST(this->reconnect(this->handler, "nonsense")->status == 400);
}

BOOST_FIXTURE_TEST_CASE(bounds_stored_streams_in_time_and_bytes, serving_fixture)
{
    stream_store store{this->time, this->peers, this->members, {seconds{60}, 4096}};
    for (int number = 0; number < 100; ++number) {
        stream_state state;
        state.request = request_id{"r" + std::to_string(number)};
        state.text = std::string(512, 'x');
        state.token_ends = {512};
        store.insert(state);
    }
    BOOST_TEST(store.size() > 0);
    BOOST_TEST(store.size() < 9);
    this->time.run_for(seconds{61});
    stream_state last;
    last.request = request_id{"last"};
    store.insert(last);
    BOOST_TEST(store.size() == 1);
}

BOOST_AUTO_TEST_CASE(round_trips_stream_states_and_rejects_malformed_ones)
{
    stream_state state;
    state.request = request_id{"entry-1-x"};
    state.text = "a b";
    state.token_ends = {1, 3};
    state.attempts = 2;
    const auto bytes = encode_stream_state(state);
    const auto read = decode_stream_state(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().text == "a b");
    BOOST_TEST(read.value().token_ends.size() == 2);
    state.token_ends = {3, 1};
    BOOST_TEST(!decode_stream_state(encode_stream_state(state)).has_value());
    BOOST_TEST(!decode_stream_state("garbage").has_value());
    seeded_random random{3};
    for (int round = 0; round < 2000; ++round) {
        auto mutated = bytes;
        mutated[random_below(random, mutated.size())] = static_cast<char>(random());
        static_cast<void>(decode_stream_state(mutated));
        static_cast<void>(decode_stream_fetch_answer(mutated));
    }
}

} // namespace eelgrassbend
