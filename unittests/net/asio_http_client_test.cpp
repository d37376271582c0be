#include "loopback.h"

#include "eelgrassbend/net/asio_http_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace eelgrassbend {

namespace asio = boost::asio;

using std::chrono::milliseconds;

namespace {

/// How the server handles a request.
enum class server_step { answer, answer_then_close, close, truncated_answer, silent };

/// A server that handles each request by the next of its `steps`.
class scripted_server {
public:
    explicit scripted_server(asio::io_context& context)
        : context(context),
          acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
          address{"127.0.0.1", acceptor.local_endpoint().port()}
    {
        this->accept();
    }

    ~scripted_server() { this->close(); }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    void close()
    {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& socket : this->sockets) {
            socket->close(ignored);
        }
    }

    [[nodiscard]] std::size_t connections() const { return this->sockets.size(); }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    network_address address;
    std::deque<server_step> steps;
    std::size_t requests = 0;

private:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code failure, asio::ip::tcp::socket socket) {
                if (failure) {
                    return;
                }
                this->sockets.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
                this->read(this->sockets.back());
                this->accept();
            });
    }

    void read(const socket_ptr& socket)
    {
        auto buffer = std::make_shared<asio::streambuf>();
        asio::async_read_until(
            *socket, *buffer, "\r\n\r\n",
            [this, socket, buffer](boost::system::error_code failure, std::size_t) {
                if (!failure) {
                    ++this->requests;
                    this->execute_step(socket);
                }
            });
    }

    void execute_step(const socket_ptr& socket)
    {
        const auto step = this->steps.empty() ? server_step::answer : this->steps.front();
        if (!this->steps.empty()) {
            this->steps.pop_front();
        }
        if (step == server_step::silent) {
            return;
        }
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
        boost::system::error_code ignored;
        if (step != server_step::close) {
            const auto length =
                step == server_step::truncated_answer ? response.size() - 3 : response.size();
            asio::write(*socket, asio::buffer(response.data(), length), ignored);
        }
        if (step == server_step::answer) {
            this->read(socket);
            return;
        }
        socket->close(ignored);
    }

    std::vector<socket_ptr> sockets;
};

struct client_fixture {
    asio::io_context context;
    scripted_server server{this->context};
    asio_http_client client{this->context};

    result<http_answer> send(const std::string& method, milliseconds timeout = milliseconds{2'000})
    {
        http_call call{this->server.address, method, "/x", method == "GET" ? "" : "{}", timeout};
        std::optional<result<http_answer>> received_answer;
        this->client.send(std::move(call),
                          [&](auto answer) { received_answer.emplace(std::move(answer)); });
        BOOST_REQUIRE(run_until(this->context, [&] { return received_answer.has_value(); }));
        return *received_answer;
    }

    /// Runs the io_context for 50 ms, so that the client sees what the server did.
    void run_briefly()
    {
        run_until(this->context, [] { return false; }, milliseconds{50});
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requests_share_a_connection, client_fixture)
{
    BOOST_TEST(this->send("POST").value().body == "whole");
    BOOST_TEST(this->send("POST").value().status == 200);
    BOOST_TEST(this->server.connections() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_has_its_headers, client_fixture)
{
    const auto answer = this->send("GET").value();
    BOOST_REQUIRE(answer.headers.size() == 1U);
    BOOST_TEST(answer.headers[0].first == "Content-Length");
    BOOST_TEST(answer.headers[0].second == "5");
}

// An engine that leaves accepts no new connections, but serves those that it has.
BOOST_FIXTURE_TEST_CASE(a_call_that_prefers_a_new_connection_is_not_lost_without_one,
                        client_fixture)
{
    const auto send_preferring = [this] {
        std::optional<result<http_answer>> answer;
        http_call call{this->server.address, "POST", "/x", {}, milliseconds{2'000}};
        call.prefers_new_connection = true;
        this->client.send(call, [&](const auto& received) { answer = received; });
        BOOST_REQUIRE(run_until(this->context, [&] { return answer.has_value(); }));
        return *answer;
    };
    BOOST_TEST(!!this->send("POST"));
    BOOST_TEST(!!send_preferring());
    BOOST_TEST(this->server.connections() == 2U);
    this->server.acceptor.close();
    BOOST_TEST(!!send_preferring());
    BOOST_TEST(this->server.requests == 3U);
    this->server.close();
    BOOST_TEST((send_preferring().error().code == errc::unavailable));
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_the_server_closed_is_not_reused, client_fixture)
{
    this->server.steps = {server_step::answer_then_close};
    BOOST_TEST(!!this->send("POST"));
    this->run_briefly();
    BOOST_TEST(!!this->send("POST"));
    BOOST_TEST(this->server.connections() == 2U);
    BOOST_TEST(this->server.requests == 2U);
}

BOOST_FIXTURE_TEST_CASE(an_unreachable_server_reports_unavailable, client_fixture)
{
    this->server.close();
    BOOST_TEST((this->send("POST").error().code == errc::unavailable));
}

BOOST_FIXTURE_TEST_CASE(a_failure_after_sending_has_an_unknown_outcome, client_fixture)
{
    this->server.steps = {server_step::close, server_step::truncated_answer, server_step::silent};
    BOOST_TEST((this->send("POST").error().code == errc::outcome_unknown));
    BOOST_TEST((this->send("POST").error().code == errc::outcome_unknown));
    BOOST_TEST((this->send("POST", milliseconds{100}).error().code == errc::timed_out));
    BOOST_TEST(this->server.requests == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_get_that_fails_on_a_pooled_connection_is_retried, client_fixture)
{
    this->server.steps = {server_step::answer, server_step::truncated_answer, server_step::answer};
    BOOST_TEST(!!this->send("GET"));
    BOOST_TEST(this->send("GET").value().body == "whole");
    BOOST_TEST(this->server.connections() == 2U);
    this->server.steps = {server_step::close};
    BOOST_TEST((this->send("POST").error().code == errc::outcome_unknown));
    BOOST_TEST(this->server.requests == 4U);
}

BOOST_FIXTURE_TEST_CASE(a_timeout_on_a_pooled_connection_discards_all_idle_ones, client_fixture)
{
    // Pools two idle connections, then lets the server ignore a request on one of them.
    int answered = 0;
    for (int count = 0; count < 2; ++count) {
        this->client.send({this->server.address, "GET", "/x", {}, milliseconds{2'000}},
                          [&](const auto&) { ++answered; });
    }
    BOOST_REQUIRE(run_until(this->context, [&] { return answered == 2; }));
    BOOST_TEST(this->server.connections() == 2U);
    this->server.steps = {server_step::silent};
    BOOST_TEST((this->send("GET", milliseconds{100}).error().code == errc::timed_out));
    BOOST_TEST(!!this->send("GET"));
    BOOST_TEST(this->server.connections() == 3U);
}

} // namespace eelgrassbend
