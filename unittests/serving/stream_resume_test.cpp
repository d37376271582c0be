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

/// Two entry nodes that share everything but their streams.
struct two_nodes : serving_fixture {
    two_nodes()
    {
        this->introduce(this->members, "entry-2", 7002);
        this->introduce(this->other_members, "entry-1", 7001);
        this->other_streams.start();
        this->other_streams.on_running(
            [this](const request_id& request) { return this->other_door.give_up_stream(request); });
    }

    void introduce(fake_membership& to, const std::string& name, std::uint16_t port)
    {
        member peer;
        peer.id = node_id{name};
        peer.calls = {"127.0.0.1", port};
        to.set(peer);
    }

    /// Comes back with the last event that was seen, at the given node.
    std::shared_ptr<fake_exchange> come_back(front& door, const std::string& last_event,
                                             const std::string& key = "key-1",
                                             const std::string& body = chat)
    {
        auto answer = std::make_shared<fake_exchange>();
        door.handle({"POST",
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
    serving_services other_services{other_settings, time,   random,       log,       counters,
                                    bundles,        limits, routes,       endpoints, client,
                                    claims,         bills,  other_streams};
    front other_door{other_services, entries, status};
    std::shared_ptr<fake_exchange> first;
    std::string second_event;
};

static void finish(two_nodes& nodes, const fake_exchange& answer)
{
    engine_script{nodes.client.last()}.head().token(" d").last(4).complete();
    BOOST_TEST(answer.ended);
    BOOST_TEST(answer.body.find(":3\n") != std::string::npos);
    BOOST_TEST(answer.body.find(":2\n") == std::string::npos);
    BOOST_TEST(nodes.bills.confirmed.size() == 1);
    BOOST_TEST(nodes.bills.intended.back().answer_digest == sha256_hex("a b c d"));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_lost_its_connection_gets_the_rest_elsewhere, two_nodes)
{
    this->start_stream();
    this->first->gone();
    const auto answer = this->come_back(this->other_door, this->second_event);
    const auto resumed = nlohmann::json::parse(this->client.last().request.body);
    BOOST_TEST(resumed["resume"]["text"] == "a b c");
    BOOST_TEST(this->client.last().request.attempt.value().ends_with("/2"));
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(a_stream_whose_connection_went_silent_is_given_up_by_its_node, two_nodes)
{
    this->start_stream();
    const auto answer = this->come_back(this->other_door, this->second_event);
    BOOST_TEST(this->first->aborted);
    BOOST_TEST(this->door.active() == 0);
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(streams_of_a_stopping_node_go_on_after_it_is_gone, two_nodes)
{
    this->start_stream();
    this->door.hand_over_streams();
    BOOST_TEST(this->first->aborted);
    this->time.run_for(milliseconds{10});
    this->network.unreachable.insert({"127.0.0.1", 7001});
    const auto answer = this->come_back(this->other_door, this->second_event);
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(a_whole_answer_that_was_not_delivered_can_be_fetched_once, two_nodes)
{
    this->start_stream();
    this->first->deliverable = false;
    engine_script{this->client.last()}.token(" d").last(4).complete();
    BOOST_TEST(this->bills.confirmed.empty());
    const auto attempts = this->client.attempts.size();
    const auto answer = this->come_back(this->other_door, this->second_event);
    BOOST_TEST(this->client.attempts.size() == attempts);
    BOOST_TEST(answer->body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(answer->body.find(":3\n") != std::string::npos);
    BOOST_TEST(this->bills.confirmed.size() == 1);
    const auto again = this->come_back(this->door, this->second_event);
    BOOST_TEST(again->status == 404);
    BOOST_TEST(this->bills.confirmed.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(nobody_else_gets_a_stream, two_nodes)
{
    auto venue = this->bundles.rules->organisations.back();
    venue.services = {service_id{"draft-llm"}};
    this->bundles.rules->organisations.back() = venue;
    this->start_stream();
    this->first->gone();
    const auto stranger = this->come_back(this->other_door, this->second_event, "key-2");
    BOOST_TEST(stranger->status == 404);
    BOOST_TEST(stranger->body.find("content") == std::string::npos);
    const auto other_body =
        R"({"model":"draft","stream":true,"messages":[{"role":"u","content":"x"}]})";
    const auto confused =
        this->come_back(this->other_door, this->second_event, "key-1", other_body);
    BOOST_TEST(confused->status == 404);
    const auto answer = this->come_back(this->other_door, this->second_event);
    finish(*this, *answer);
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_nobody_holds_is_unknown_not_not_run, two_nodes)
{
    const auto made = make_uuid_v7(this->time.wall_now(), this->random);
    const auto answer = this->come_back(this->door, "entry-9-" + made + ":5");
    BOOST_TEST(answer->status == 404);
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "unknown");
    BOOST_TEST(this->come_back(this->door, "nonsense")->status == 400);
}

BOOST_FIXTURE_TEST_CASE(kept_streams_are_bounded_in_time_and_bytes, serving_fixture)
{
    stream_store store{this->time, this->peers, this->members, {seconds{60}, 4096}};
    for (int number = 0; number < 100; ++number) {
        stream_state state;
        state.request = request_id{"r" + std::to_string(number)};
        state.text = std::string(512, 'x');
        state.token_ends = {512};
        store.keep(state);
    }
    BOOST_TEST(store.size() > 0);
    BOOST_TEST(store.size() < 9);
    this->time.run_for(seconds{61});
    stream_state last;
    last.request = request_id{"last"};
    store.keep(last);
    BOOST_TEST(store.size() == 1);
}

BOOST_AUTO_TEST_CASE(stream_states_survive_the_codec_and_broken_ones_are_refused)
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
