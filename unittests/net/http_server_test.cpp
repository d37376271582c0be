#include "loopback.h"

#include "eelgrassbend/net/http_server.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

namespace {

/// Stores the exchanges, which the test answers.
class storing_handler : public http_handler {
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
        this->limits.max_header_bytes = 2048;
        this->limits.max_body_bytes = 4096;
        this->limits.read_timeout = std::chrono::milliseconds{200};
        this->limits.max_connections = 3;
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
    storing_handler handler;
    std::optional<http_server> server;
    std::uint16_t port = 0;
};

} // namespace

static const std::string get_request = "GET /x?a=b%20c HTTP/1.1\r\nHost: h\r\n\r\n";

BOOST_FIXTURE_TEST_CASE(delivery_of_an_answer_is_reported, server_fixture)
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
        client.receive([](const std::string& received) { return received.ends_with("hello"); });
    BOOST_TEST(text.starts_with("HTTP/1.1 200 OK"));
    BOOST_TEST(run_until(this->context, [&] { return delivered; }));
    BOOST_TEST(this->server->active_exchanges() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_connection_serves_consecutive_requests, server_fixture)
{
    auto client = this->connect();
    for (std::size_t number = 1; number <= 3; ++number) {
        client.send(get_request);
        BOOST_REQUIRE(this->wait_for_requests(number));
        this->handler.answers.back()->respond(200, {}, "n" + std::to_string(number), nullptr);
        const auto text = "n" + std::to_string(number);
        client.receive([&](const std::string& received) { return received.ends_with(text); });
    }
    BOOST_TEST(client.received.ends_with("n3"));
}

BOOST_FIXTURE_TEST_CASE(an_aborted_stream_has_no_final_chunk, server_fixture)
{
    auto complete = this->connect();
    complete.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    this->handler.answers[0]->start(200, {});
    this->handler.answers[0]->send("abc");
    this->handler.answers[0]->finish("d", nullptr);
    const auto text = complete.receive(
        [](const std::string& received) { return received.ends_with("0\r\n\r\n"); });
    BOOST_TEST(text.find("3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n") != std::string::npos);

    auto aborted = this->connect();
    aborted.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(2));
    this->handler.answers[1]->start(200, {});
    this->handler.answers[1]->send("abc");
    aborted.receive([](const std::string& received) { return received.ends_with("abc\r\n"); });
    this->handler.answers[1]->abort();
    BOOST_TEST(aborted.receive_all().find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(aborted.has_ended);
}

BOOST_FIXTURE_TEST_CASE(a_disconnected_caller_is_reported, server_fixture)
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

BOOST_FIXTURE_TEST_CASE(a_close_after_the_last_byte_counts_as_delivered, server_fixture)
{
    for (int round = 0; round < 20; ++round) {
        auto client = this->connect();
        client.send(get_request);
        BOOST_REQUIRE(this->wait_for_requests(this->handler.answers.size() + 1));
        std::optional<bool> delivered;
        this->handler.answers.back()->respond(
            200, {}, std::string(3000, 'x'),
            [&](const result<void>& done) { delivered = done.has_value(); });
        constexpr std::size_t max_body_bytes = 3000;
        BOOST_REQUIRE(client.receive_at_least(max_body_bytes + 1));
        while (!client.received.ends_with(std::string(max_body_bytes, 'x'))) {
            BOOST_REQUIRE(client.receive_at_least(client.received.size() + 1));
        }
        client.close();
        BOOST_REQUIRE(run_until(this->context, [&] { return delivered.has_value(); }));
        BOOST_TEST(*delivered);
    }
}

BOOST_FIXTURE_TEST_CASE(a_reset_counts_as_not_delivered, server_fixture)
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

BOOST_FIXTURE_TEST_CASE(oversized_and_malformed_requests_are_rejected, server_fixture)
{
    auto large_header = this->connect();
    large_header.send("GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
    BOOST_TEST(large_header.receive_all().starts_with("HTTP/1.1 431"));
    auto large_body = this->connect();
    large_body.send("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(5000, 'x'));
    BOOST_TEST(large_body.receive_all().starts_with("HTTP/1.1 413"));
    auto garbage = this->connect();
    garbage.send("\x01\x02\x03 nonsense\r\n\r\n");
    const auto text = garbage.receive_all();
    BOOST_TEST(text.starts_with("HTTP/1.1 400"));
    BOOST_TEST(text.find("Eelgrassbend-Outcome: not-run") != std::string::npos);
    BOOST_TEST(this->handler.requests.empty());
}

BOOST_FIXTURE_TEST_CASE(a_slow_request_times_out_without_delaying_others, server_fixture)
{
    auto slow = this->connect();
    slow.send("GET / HT");
    auto other = this->connect();
    other.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    this->handler.answers[0]->respond(200, {}, "ok", nullptr);
    BOOST_TEST(other.receive([](const std::string& received) { return received.ends_with("ok"); })
                   .ends_with("ok"));
    slow.receive_all();
    BOOST_TEST(slow.has_ended);
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

BOOST_FIXTURE_TEST_CASE(draining_finishes_active_exchanges_and_closes_idle_connections,
                        server_fixture)
{
    auto idle = this->connect();
    auto active = this->connect();
    active.send(get_request);
    BOOST_REQUIRE(this->wait_for_requests(1));
    this->server->drain();
    idle.receive_all();
    BOOST_TEST(idle.has_ended);
    this->handler.answers[0]->respond(200, {}, "whole", nullptr);
    const auto text = active.receive_all();
    BOOST_TEST(text.find("Connection: close") != std::string::npos);
    BOOST_TEST(text.ends_with("whole"));
}

} // namespace eelgrassbend
