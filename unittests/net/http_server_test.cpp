#include "loopback.h"

#include "eelgrassbend/net/http_server.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

namespace {

/// Keeps the exchanges for the test to answer.
class keeping_handler : public http_handler {
public:
    void handle(http_request request, std::shared_ptr<exchange> answer) override
    {
        this->requests.push_back(std::move(request));
        this->answers.push_back(std::move(answer));
    }

    std::vector<http_request> requests;
    std::vector<std::shared_ptr<exchange>> answers;
};

struct server_fixture {
    server_fixture()
    {
        this->limits.header_bytes = 2048;
        this->limits.body_bytes = 4096;
        this->limits.read_time = std::chrono::milliseconds{200};
        this->limits.connections = 3;
        this->server.emplace(this->context, this->limits, this->handler);
        this->port = this->server->listen({"127.0.0.1", 0}).value().port;
    }

    raw_client connect() { return {this->context, this->port}; }

    bool wait_for_requests(std::size_t count)
    {
        return run_until(this->context, [&] { return this->handler.requests.size() >= count; });
    }

    boost::asio::io_context context{1};
    http_limits limits;
    keeping_handler handler;
    std::optional<http_server> server;
    std::uint16_t port = 0;
};

} // namespace

static const std::string get_request = "GET /x?a=b%20c HTTP/1.1\r\nHost: h\r\n\r\n";

BOOST_FIXTURE_TEST_CASE(a_request_is_answered_and_delivery_is_told, server_fixture)
{
    auto client = this->connect();
    client.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    BOOST_TEST(this->handler.requests[0].path() == "/x");
    BOOST_TEST(this->handler.requests[0].query("a") == "b c");
    bool delivered = false;
    this->handler.answers[0]->respond(
        200, {}, "hello", [&](const result<void>& done) { delivered = done.has_value(); });
    const auto text =
        client.receive([](const std::string& seen) { return seen.ends_with("hello"); });
    BOOST_TEST(text.starts_with("HTTP/1.1 200 OK"));
    BOOST_TEST(run_until(this->context, [&] { return delivered; }));
    BOOST_TEST(this->server->active() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_connection_serves_several_requests, server_fixture)
{
    auto client = this->connect();
    for (std::size_t number = 1; number <= 3; ++number) {
        client.send(get_request);
        BOOST_REQUIRE(this->wait_for_requests(number));
        this->handler.answers.back()->respond(200, {}, "n" + std::to_string(number), nullptr);
        const auto text = "n" + std::to_string(number);
        client.receive([&](const std::string& seen) { return seen.ends_with(text); });
    }
    BOOST_TEST(client.received.ends_with("n3"));
}

BOOST_FIXTURE_TEST_CASE(a_streamed_answer_ends_properly_or_visibly_not, server_fixture)
{
    auto whole = this->connect();
    whole.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    this->handler.answers[0]->start(200, {});
    this->handler.answers[0]->send("abc");
    this->handler.answers[0]->finish("d", nullptr);
    const auto text =
        whole.receive([](const std::string& seen) { return seen.ends_with("0\r\n\r\n"); });
    BOOST_TEST(text.find("3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n") != std::string::npos);

    auto cut = this->connect();
    cut.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(2));
    this->handler.answers[1]->start(200, {});
    this->handler.answers[1]->send("abc");
    cut.receive([](const std::string& seen) { return seen.ends_with("abc\r\n"); });
    this->handler.answers[1]->abort();
    BOOST_TEST(cut.receive_all().find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(cut.ended);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_goes_away_is_noticed, server_fixture)
{
    auto client = this->connect();
    client.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    bool gone = false;
    this->handler.answers[0]->on_caller_disconnected([&] { gone = true; });
    client.close();
    BOOST_TEST(run_until(this->context, [&] { return gone; }));
    bool delivered = true;
    this->handler.answers[0]->respond(
        200, {}, "late", [&](const result<void>& done) { delivered = done.has_value(); });
    BOOST_TEST(!delivered);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_closes_after_the_last_byte_has_the_answer, server_fixture)
{
    for (int round = 0; round < 20; ++round) {
        auto client = this->connect();
        client.send(get_request);
        BOOST_REQUIRE(this->wait_for_requests(this->handler.answers.size() + 1));
        std::optional<bool> delivered;
        this->handler.answers.back()->respond(
            200, {}, std::string(3000, 'x'),
            [&](const result<void>& done) { delivered = done.has_value(); });
        constexpr std::size_t body_bytes = 3000;
        BOOST_REQUIRE(client.receive_exactly(body_bytes + 1));
        while (!client.received.ends_with(std::string(body_bytes, 'x'))) {
            BOOST_REQUIRE(client.receive_exactly(client.received.size() + 1));
        }
        client.close();
        BOOST_REQUIRE(run_until(this->context, [&] { return delivered.has_value(); }));
        BOOST_TEST(*delivered);
    }
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_resets_has_no_answer, server_fixture)
{
    for (int round = 0; round < 20; ++round) {
        auto client = this->connect();
        client.send(get_request);
        BOOST_REQUIRE(this->wait_for_requests(this->handler.answers.size() + 1));
        std::optional<bool> delivered;
        client.reset();
        this->handler.answers.back()->respond(
            200, {}, std::string(3000, 'x'),
            [&](const result<void>& done) { delivered = done.has_value(); });
        BOOST_REQUIRE(run_until(this->context, [&] { return delivered.has_value(); }));
        BOOST_TEST(!*delivered);
    }
}

BOOST_FIXTURE_TEST_CASE(oversized_and_malformed_input_gets_its_4xx, server_fixture)
{
    auto big_head = this->connect();
    big_head.send("GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
    BOOST_TEST(big_head.receive_all().starts_with("HTTP/1.1 431"));
    auto big_body = this->connect();
    big_body.send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(5000, 'x'));
    BOOST_TEST(big_body.receive_all().starts_with("HTTP/1.1 413"));
    auto garbage = this->connect();
    garbage.send("\x01\x02\x03 nonsense\r\n\r\n");
    const auto text = garbage.receive_all();
    BOOST_TEST(text.starts_with("HTTP/1.1 400"));
    BOOST_TEST(text.find("Eelgrassbend-Outcome: not-run") != std::string::npos);
    BOOST_TEST(this->handler.requests.empty());
}

BOOST_FIXTURE_TEST_CASE(slow_input_is_cut_and_harms_nobody_else, server_fixture)
{
    auto slow = this->connect();
    slow.send("GET / HT");
    auto other = this->connect();
    other.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    this->handler.answers[0]->respond(200, {}, "ok", nullptr);
    BOOST_TEST(other.receive([](const std::string& seen) { return seen.ends_with("ok"); })
                   .ends_with("ok"));
    slow.receive_all();
    BOOST_TEST(slow.ended);
}

BOOST_FIXTURE_TEST_CASE(connections_over_the_limit_are_refused_as_not_run, server_fixture)
{
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t number = 1; number <= 3; ++number) {
        clients.push_back(std::make_unique<raw_client>(this->context, this->port));
        clients.back()->send(get_request);
        BOOST_REQUIRE(this->wait_for_requests(number));
    }
    auto surplus = this->connect();
    const auto text = surplus.receive_all();
    BOOST_TEST(text.starts_with("HTTP/1.1 503"));
    BOOST_TEST(text.find("Eelgrassbend-Outcome: not-run") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(draining_finishes_what_runs_and_closes_what_rests, server_fixture)
{
    auto resting = this->connect();
    auto working = this->connect();
    working.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    this->server->drain();
    resting.receive_all();
    BOOST_TEST(resting.ended);
    this->handler.answers[0]->respond(200, {}, "whole", nullptr);
    const auto text = working.receive_all();
    BOOST_TEST(text.find("Connection: close") != std::string::npos);
    BOOST_TEST(text.ends_with("whole"));
}

} // namespace eelgrassbend
