#include "endpoint_client_fixture.h"

#include "eelgrassbend/net/asio_http_client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

namespace eelgrassbend {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Answers the first request without reading its body, and closes the connection some time later.
/// The kernel resets the connection then, since it has bytes that were not read.
class early_answer_server {
public:
    early_answer_server(asio::io_context& context, std::string answer)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
          socket(context),
          timer(context),
          answer(std::move(answer))
    {
        this->acceptor.async_accept(this->socket, [this](boost::system::error_code) {
            asio::async_read_until(
                this->socket, asio::dynamic_buffer(this->input), "\r\n\r\n",
                [this](boost::system::error_code, std::size_t) { this->send_answer(); });
        });
    }

    [[nodiscard]] network_address address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    void send_answer()
    {
        asio::async_write(this->socket, asio::buffer(this->answer),
                          [this](boost::system::error_code, std::size_t) {
                              this->timer.expires_after(std::chrono::milliseconds{50});
                              this->timer.async_wait(
                                  [this](boost::system::error_code) { this->socket.close(); });
                          });
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    asio::steady_timer timer;
    std::string answer;
    std::string input;
};

constexpr const char* framed_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r/1\r\n"
                                    "Keep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\n";

} // namespace

// The end of a connection that was reset during the upload must not count as the end of an answer
// without a length. A body of 64 KiB fits the buffers of the sockets; one of 32 MiB does not.
BOOST_FIXTURE_TEST_CASE(an_answer_that_is_reset_during_an_upload_is_incomplete, permissive_fixture)
{
    this->limits.allows_close_delimited_bodies = true;
    for (const std::size_t body_bytes : {64U * 1024, 1024U * 1024, 32U * 1024 * 1024}) {
        early_answer_server server{this->context, "HTTP/1.1 200 OK\r\nX-Attempt-Id: r/1\r\n"
                                                  "Connection: close\r\n\r\npart"};
        auto upload = this->request("r/1");
        upload.method = "POST";
        upload.progress_timeout = std::chrono::seconds{5};
        const auto body = std::make_shared<std::string>(body_bytes, 'b');
        upload.body = shared_bytes{body, *body};
        recording_observer observer;
        this->run_permissive(server.address(), upload, observer);
        BOOST_TEST(!observer.is_complete, body_bytes);
        BOOST_TEST((observer.sent_state == dispatch_state::maybe_sent), body_bytes);
    }
}

// An endpoint that fails while it writes the head must not yield an answer with an empty body.
BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_within_its_head_fails, permissive_fixture)
{
    this->limits.allows_close_delimited_bodies = true;
    this->limits.allows_missing_attempt_id = true;
    const std::string head = framed_head;
    for (std::size_t length = 0; length < head.size(); ++length) {
        scripted_server server{this->context,
                               [&](const std::string&) { return head.substr(0, length); }};
        server.close_after_answer();
        recording_observer observer;
        this->run_permissive(server.address(), this->request("r/1"), observer);
        BOOST_TEST(!observer.is_complete, length);
        BOOST_TEST(observer.status == 0, length);
    }
}

// On a kept connection the head of the earlier answer must not stand in for the incomplete one.
BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_within_its_head_on_a_kept_connection_fails,
                        permissive_fixture)
{
    this->limits.allows_close_delimited_bodies = true;
    const std::string head = framed_head;
    for (std::size_t length = 0; length < head.size(); ++length) {
        int requests = 0;
        scripted_server server{this->context, [&](const std::string&) {
                                   if (++requests == 1) {
                                       return head + "hello";
                                   }
                                   server.close_after_answer();
                                   return head.substr(0, length);
                               }};
        for (int attempt = 0; attempt < 2; ++attempt) {
            recording_observer observer;
            this->run_permissive(server.address(), this->request("r/1"), observer);
            BOOST_TEST(observer.is_complete == (attempt == 0), length);
        }
        BOOST_TEST(server.accepted_connections == 1, length);
    }
}

// Status 000 counted as an interim answer, and the request waited for another one until its
// deadline; statuses beyond 599 were passed on.
BOOST_FIXTURE_TEST_CASE(an_answer_with_an_invalid_status_fails_at_once, permissive_fixture)
{
    for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
        scripted_server server{this->context, [&](const std::string&) {
                                   return "HTTP/1.1 " + std::string{status} +
                                          " No\r\nX-Attempt-Id: r/1\r\nContent-Length: 0\r\n\r\n";
                               }};
        auto request = this->request("r/1");
        request.progress_timeout = std::chrono::seconds{5};
        recording_observer observer;
        const auto handle = this->client.dispatch(server.address(), request, observer);
        BOOST_TEST(
            run_until(
                this->context, [&] { return observer.has_ended(); }, std::chrono::seconds{2}),
            status);
        BOOST_TEST(!observer.is_complete, status);
        BOOST_TEST(observer.status == 0, status);
        BOOST_TEST((observer.sent_state == dispatch_state::maybe_sent), status);
    }
}

// The same for the client of the store and the cloud, which repeats a read on a new connection.
BOOST_AUTO_TEST_CASE(an_answer_of_a_server_that_ends_within_its_head_fails)
{
    const std::string head = framed_head;
    for (std::size_t length = 0; length < head.size(); ++length) {
        asio::io_context context{1};
        scripted_server server{context, [&](const std::string&) { return head.substr(0, length); }};
        server.close_after_answer();
        asio_http_client client{context};
        http_call call;
        call.peer = server.address();
        call.target = "/";
        std::optional<result<http_answer>> answer;
        client.send(std::move(call),
                    [&](const result<http_answer>& received) { answer = received; });
        BOOST_REQUIRE(run_until(context, [&] { return answer.has_value(); }));
        BOOST_TEST(!answer->has_value(), length);
    }
}

} // namespace eelgrassbend
