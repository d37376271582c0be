#include "endpoint_client_fixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <optional>

namespace eelgrassbend {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

static std::string echo(const std::string& request)
{
    return answer_for(attempt_in(request), "hello", 5);
}

BOOST_FIXTURE_TEST_CASE(a_complete_answer_returns_its_connection_to_the_pool, client_fixture)
{
    scripted_server server{this->context, echo};
    for (const char* attempt : {"r/1", "r/2"}) {
        recording_observer observer;
        this->run(server.address(), this->request(attempt), observer);
        BOOST_TEST(observer.is_complete);
        BOOST_TEST(observer.text == "hello");
    }
    BOOST_TEST(server.accepted_connections == 1);
}

BOOST_FIXTURE_TEST_CASE(a_fresh_connection_request_bypasses_the_pool, client_fixture)
{
    scripted_server server{this->context, echo};
    for (const char* attempt : {"r/1", "r/2"}) {
        recording_observer observer;
        auto request_to_send = this->request(attempt);
        request_to_send.needs_new_connection = true;
        this->run(server.address(), request_to_send, observer);
    }
    BOOST_TEST(server.accepted_connections == 2);
}

// An engine that leaves accepts no new connections, but serves those that it has.
BOOST_FIXTURE_TEST_CASE(a_request_can_fall_back_to_a_pooled_connection, client_fixture)
{
    scripted_server server{this->context, echo};
    recording_observer first;
    this->run(server.address(), this->request("r/1"), first);
    const auto address = server.address();
    server.stop_accepting();
    for (const bool may_fall_back : {false, true}) {
        auto request_to_send = this->request("r/2");
        request_to_send.needs_new_connection = true;
        request_to_send.falls_back_to_pooled = may_fall_back;
        recording_observer observer;
        this->run(address, request_to_send, observer);
        BOOST_TEST(observer.is_complete == may_fall_back);
        BOOST_TEST((observer.sent_state == dispatch_state::not_sent));
    }
}

BOOST_FIXTURE_TEST_CASE(a_truncated_answer_fails, client_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return answer_for(attempt_in(request), "hel", 5);
                           }};
    server.close_after_answer();
    recording_observer observer;
    this->run(server.address(), this->request("r/1"), observer);
    BOOST_TEST(!observer.is_complete);
    BOOST_TEST((observer.failure->code == errc::truncated));
    BOOST_TEST((observer.sent_state == dispatch_state::maybe_sent));
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_a_length_fails, client_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt_in(request) +
                                      "\r\n\r\nhello";
                           }};
    server.close_after_answer();
    recording_observer observer;
    this->run(server.address(), this->request("r/1"), observer);
    BOOST_TEST(!observer.is_complete);
    BOOST_TEST(observer.failure.has_value());
}

BOOST_FIXTURE_TEST_CASE(an_answer_for_another_attempt_is_rejected_before_its_body, client_fixture)
{
    scripted_server server{
        this->context, [](const std::string&) { return answer_for("somebody/1", "secret", 6); }};
    recording_observer observer;
    this->run(server.address(), this->request("r/1"), observer);
    BOOST_TEST((observer.failure->code == errc::mismatched));
    BOOST_TEST(observer.text.empty());
}

BOOST_FIXTURE_TEST_CASE(a_refused_connection_reports_not_sent, client_fixture)
{
    network_address closed_address;
    {
        scripted_server server{this->context, echo};
        closed_address = server.address();
    }
    recording_observer observer;
    this->run(closed_address, this->request("r/1"), observer);
    BOOST_TEST((observer.sent_state == dispatch_state::not_sent));
    BOOST_TEST((observer.failure->code == errc::unavailable));
}

BOOST_FIXTURE_TEST_CASE(stalled_connections_are_retired_once_a_probe_succeeds, client_fixture)
{
    scripted_server server{this->context, echo};
    recording_observer first_observer;
    recording_observer second_observer;
    const auto first =
        this->client.dispatch(server.address(), this->request("r/1"), first_observer);
    this->run(server.address(), this->request("r/2"), second_observer);
    BOOST_REQUIRE(run_until(this->context, [&] { return first_observer.has_ended(); }));
    BOOST_TEST(server.accepted_connections == 2);
    server.silence_open_connections();
    recording_observer stalled;
    const auto handle = this->client.dispatch(server.address(), this->request("r/3"), stalled);
    BOOST_REQUIRE(run_until(this->context, [&] { return stalled.has_ended(); }));
    BOOST_TEST((stalled.failure->code == errc::timed_out));
    BOOST_TEST(run_until(this->context, [&] { return server.accepted_connections == 3; }));
    // The answer to the probe must arrive before the next attempt could use the other stalled
    // connection.
    run_until(this->context, [] { return false; }, std::chrono::milliseconds{50});
    recording_observer fresh;
    this->run(server.address(), this->request("r/4"), fresh);
    BOOST_TEST(fresh.is_complete);
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_attempt_reports_nothing, client_fixture)
{
    scripted_server server{this->context, echo};
    recording_observer observer;
    {
        const auto handle = this->client.dispatch(server.address(), this->request("r/1"), observer);
    }
    run_until(this->context, [] { return false; }, std::chrono::milliseconds{100});
    BOOST_TEST(!observer.has_ended());
}

// A request held up on the way reached a draining engine after its attempt had been given up.
BOOST_FIXTURE_TEST_CASE(a_cancelled_attempt_resets_its_connection, client_fixture)
{
    tcp::acceptor acceptor{this->context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::optional<tcp::socket> accepted;
    acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
        accepted.emplace(std::move(socket));
    });
    recording_observer observer;
    auto handle = this->client.dispatch({"127.0.0.1", acceptor.local_endpoint().port()},
                                        this->request("r/1"), observer);
    BOOST_REQUIRE(run_until(this->context, [&] { return accepted && accepted->available() > 0; }));
    handle.reset();
    std::array<char, 1024> bytes{};
    boost::system::error_code failure;
    while (!failure) {
        accepted->read_some(asio::buffer(bytes), failure);
    }
    BOOST_TEST((failure == asio::error::connection_reset));
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_to_an_earlier_request_is_skipped, permissive_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return answer_for("earlier/1", "secret", 6) +
                                      answer_for(attempt_in(request), "hello", 5);
                           }};
    recording_observer observer;
    this->run_permissive(server.address(), this->request("r/1"), observer);
    BOOST_TEST(observer.is_complete);
    BOOST_TEST(observer.text == "hello");
}

BOOST_FIXTURE_TEST_CASE(a_connection_with_bytes_after_the_answer_is_not_reused, permissive_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return answer_for(attempt_in(request), "hello", 5) +
                                      answer_for(attempt_in(request), "again", 5);
                           }};
    for (const char* attempt : {"r/1", "r/2"}) {
        recording_observer observer;
        this->run_permissive(server.address(), this->request(attempt), observer);
        BOOST_TEST(observer.text == "hello");
    }
    BOOST_TEST(server.accepted_connections == 2);
}

/// An answer with neither a length nor chunks, which ends with its connection.
static std::string close_delimited_hello(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt_in(request) + "\r\n\r\nhello";
}

BOOST_FIXTURE_TEST_CASE(close_delimited_bodies_can_be_allowed, permissive_fixture)
{
    this->limits.allows_close_delimited_bodies = true;
    scripted_server server{this->context, close_delimited_hello};
    server.close_after_answer();
    recording_observer observer;
    this->run_permissive(server.address(), this->request("r/1"), observer);
    BOOST_TEST(observer.is_complete);
    BOOST_TEST(observer.text == "hello");
}

BOOST_FIXTURE_TEST_CASE(a_close_delimited_answer_that_is_reset_fails, permissive_fixture)
{
    this->limits.allows_close_delimited_bodies = true;
    scripted_server server{this->context, close_delimited_hello};
    server.reset_after_answer();
    recording_observer observer;
    this->run_permissive(server.address(), this->request("r/1"), observer);
    BOOST_TEST(!observer.is_complete);
    BOOST_TEST((observer.sent_state == dispatch_state::maybe_sent));
}

BOOST_FIXTURE_TEST_CASE(a_connection_is_not_reused_after_a_close_delimited_answer,
                        permissive_fixture)
{
    this->limits.allows_close_delimited_bodies = true;
    scripted_server server{this->context, close_delimited_hello};
    server.close_after_answer();
    for (const char* attempt : {"r/1", "r/2"}) {
        recording_observer observer;
        this->run_permissive(server.address(), this->request(attempt), observer);
        BOOST_TEST(observer.is_complete);
        BOOST_TEST(observer.text == "hello");
    }
    BOOST_TEST(server.accepted_connections == 2);
}

// Without a length, bytes that follow on the connection cannot be told from the answer.
BOOST_FIXTURE_TEST_CASE(a_close_delimited_answer_to_another_attempt_fails, permissive_fixture)
{
    this->limits.allows_close_delimited_bodies = true;
    scripted_server server{this->context, [](const std::string& request) {
                               return close_delimited_hello("X-Attempt-Id: earlier/1\r\n\r\n") +
                                      answer_for(attempt_in(request), "hello", 5);
                           }};
    server.close_after_answer();
    recording_observer observer;
    this->run_permissive(server.address(), this->request("r/1"), observer);
    BOOST_TEST(!observer.is_complete);
    BOOST_TEST(observer.text.empty());
}

BOOST_FIXTURE_TEST_CASE(a_missing_attempt_id_can_be_allowed, permissive_fixture)
{
    this->limits.allows_missing_attempt_id = true;
    scripted_server server{this->context, [](const std::string&) {
                               return std::string{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"};
                           }};
    recording_observer observer;
    this->run_permissive(server.address(), this->request("r/1"), observer);
    BOOST_TEST(observer.is_complete);
    BOOST_TEST(observer.status == 503);
}

BOOST_FIXTURE_TEST_CASE(a_call_without_an_id_sends_no_id, permissive_fixture)
{
    this->limits.allows_missing_attempt_id = true;
    std::string received;
    scripted_server server{this->context, [&](const std::string& request) {
                               received = request;
                               return std::string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
                           }};
    auto call = this->request("");
    call.needs_new_connection = true;
    recording_observer observer;
    this->run_permissive(server.address(), call, observer);
    BOOST_TEST(observer.is_complete);
    BOOST_TEST((received.find("X-Attempt-Id") == std::string::npos));
}

static const std::string refusal_without_id = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";

// An earlier refusal that was written once more was taken for the answer to the next request.
BOOST_FIXTURE_TEST_CASE(a_repeated_refusal_on_a_kept_connection_is_not_the_next_answer,
                        permissive_fixture)
{
    this->limits.allows_missing_attempt_id = true;
    for (const auto& repeated :
         {refusal_without_id, std::string{"HTTP/1.1 503 No\r\nX-Attempt-Id: r/1\r\n"
                                          "Content-Length: 0\r\n\r\n"}}) {
        scripted_server server{this->context, [&](const std::string& request) {
                                   const auto attempt = attempt_in(request);
                                   return (attempt == "r/1" ? "" : repeated) +
                                          answer_for(attempt, "hello", 5);
                               }};
        for (const char* attempt : {"r/1", "r/2"}) {
            recording_observer observer;
            this->run_permissive(server.address(), this->request(attempt), observer);
            BOOST_TEST(observer.is_complete);
            BOOST_TEST(observer.status == 200);
            BOOST_TEST(observer.text == "hello");
        }
        BOOST_TEST(server.accepted_connections == 1);
    }
}

BOOST_FIXTURE_TEST_CASE(the_outcome_is_unknown_after_an_answer_without_id_on_a_kept_connection,
                        permissive_fixture)
{
    this->limits.allows_missing_attempt_id = true;
    this->limits.unidentified_answer_timeout = std::chrono::milliseconds{100};
    scripted_server server{this->context, [&](const std::string& request) {
                               const auto attempt = attempt_in(request);
                               return attempt == "r/1" ? answer_for(attempt, "hello", 5)
                                                       : refusal_without_id;
                           }};
    recording_observer first;
    this->run_permissive(server.address(), this->request("r/1"), first);
    auto patient = this->request("r/2");
    patient.progress_timeout = {};
    recording_observer second;
    this->run_permissive(server.address(), patient, second);
    BOOST_TEST(!second.is_complete);
    BOOST_REQUIRE(second.failure.has_value());
    BOOST_TEST((second.sent_state == dispatch_state::maybe_sent));
}

BOOST_FIXTURE_TEST_CASE(an_idle_connection_expires_before_the_announced_keep_alive_timeout,
                        permissive_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                                      "X-Attempt-Id: " +
                                      attempt_in(request) + "\r\nContent-Length: 0\r\n\r\n";
                           }};
    for (const char* attempt : {"r/1", "r/2", "r/3"}) {
        recording_observer observer;
        this->run_permissive(server.address(), this->request(attempt), observer);
        BOOST_TEST(observer.is_complete);
        if (std::string{attempt} == "r/2") {
            this->context.restart();
            this->context.run_for(std::chrono::milliseconds{600});
        }
    }
    BOOST_TEST(server.accepted_connections == 2);
}

} // namespace eelgrassbend
