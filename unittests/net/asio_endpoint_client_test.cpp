#include "loopback.h"

#include "eelgrassbend/net/asio_endpoint_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>

namespace eelgrassbend {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A server that answers each request head with what the test's script says.
class scripted_server {
public:
    /// Gets the request's text; answers the bytes to send, "" for silence.
    using script = std::function<std::string(const std::string& request)>;

    scripted_server(asio::io_context& context, script answer)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}), answer(std::move(answer))
    {
        this->accept();
    }

    [[nodiscard]] network_address address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    /// Connections open now never hear anything again.
    void silence_open_connections()
    {
        for (auto& link : this->links) {
            link->silent = true;
        }
    }

    void close_after_answer() { this->closing = true; }

    int accepted = 0;

private:
    struct link {
        explicit link(tcp::socket socket) : socket(std::move(socket)) {}

        tcp::socket socket;
        std::string input;
        std::string output;
        bool silent = false;
    };

    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code failure, tcp::socket socket) {
            if (failure) {
                return;
            }
            ++this->accepted;
            this->links.push_back(std::make_shared<link>(std::move(socket)));
            this->serve(this->links.back());
            this->accept();
        });
    }

    void serve(const std::shared_ptr<link>& open)
    {
        asio::async_read_until(open->socket, asio::dynamic_buffer(open->input), "\r\n\r\n",
                               [this, open](boost::system::error_code failure, std::size_t length) {
                                   if (failure || open->silent) {
                                       return;
                                   }
                                   open->output = this->answer(open->input.substr(0, length));
                                   open->input.erase(0, length);
                                   asio::async_write(
                                       open->socket, asio::buffer(open->output),
                                       [this, open](boost::system::error_code, std::size_t) {
                                           if (this->closing) {
                                               open->socket.close();
                                               return;
                                           }
                                           this->serve(open);
                                       });
                               });
    }

    tcp::acceptor acceptor;
    script answer;
    std::vector<std::shared_ptr<link>> links;
    bool closing = false;
};

class recording_observer : public attempt_observer {
public:
    void head(int answered, const header_list&) override { this->status = answered; }

    void body(std::string_view bytes) override { this->text += bytes; }

    void completed() override { this->whole = true; }

    void failed(const error& reason, dispatch_state state) override
    {
        this->failure = reason;
        this->dispatched = state;
    }

    [[nodiscard]] bool ended() const { return this->whole || this->failure.has_value(); }

    int status = 0;
    std::string text;
    bool whole = false;
    std::optional<error> failure;
    dispatch_state dispatched = dispatch_state::not_sent;
};

struct client_fixture {
    endpoint_request request(const std::string& attempt) const
    {
        endpoint_request wanted;
        wanted.attempt = attempt_id{attempt};
        wanted.method = "GET";
        wanted.target = "/";
        wanted.progress_timeout = std::chrono::milliseconds{300};
        return wanted;
    }

    void run(const network_address& address, const endpoint_request& wanted,
             recording_observer& observer)
    {
        const auto handle = this->client.dispatch(address, wanted, observer);
        BOOST_REQUIRE(run_until(this->context, [&] { return observer.ended(); }));
    }

    asio::io_context context{1};
    asio_endpoint_client client{this->context, {}};
};

} // namespace

static std::string answer_for(const std::string& attempt, const std::string& body,
                              std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

static std::string attempt_in(const std::string& request)
{
    const std::string name = "X-Attempt-Id: ";
    const auto start = request.find(name);
    if (start == std::string::npos) {
        return "none";
    }
    const auto end = request.find("\r\n", start);
    return request.substr(start + name.size(), end - start - name.size());
}

static std::string echo(const std::string& request)
{
    return answer_for(attempt_in(request), "hello", 5);
}

BOOST_FIXTURE_TEST_CASE(a_whole_answer_completes_and_its_connection_is_used_again, client_fixture)
{
    scripted_server server{this->context, echo};
    for (const char* attempt : {"r/1", "r/2"}) {
        recording_observer observer;
        this->run(server.address(), this->request(attempt), observer);
        BOOST_TEST(observer.whole);
        BOOST_TEST(observer.text == "hello");
    }
    BOOST_TEST(server.accepted == 1);
}

BOOST_FIXTURE_TEST_CASE(a_fresh_connection_is_never_a_pooled_one, client_fixture)
{
    scripted_server server{this->context, echo};
    for (const char* attempt : {"r/1", "r/2"}) {
        recording_observer observer;
        auto wanted = this->request(attempt);
        wanted.fresh_connection = true;
        this->run(server.address(), wanted, observer);
    }
    BOOST_TEST(server.accepted == 2);
}

BOOST_FIXTURE_TEST_CASE(a_truncated_answer_is_never_whole, client_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return answer_for(attempt_in(request), "hel", 5);
                           }};
    server.close_after_answer();
    recording_observer observer;
    this->run(server.address(), this->request("r/1"), observer);
    BOOST_TEST(!observer.whole);
    BOOST_TEST((observer.failure->code == errc::truncated));
    BOOST_TEST((observer.dispatched == dispatch_state::maybe_sent));
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_a_length_is_never_whole, client_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt_in(request) +
                                      "\r\n\r\nhello";
                           }};
    server.close_after_answer();
    recording_observer observer;
    this->run(server.address(), this->request("r/1"), observer);
    BOOST_TEST(!observer.whole);
    BOOST_TEST(observer.failure.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_crossed_answer_is_refused_before_its_body, client_fixture)
{
    scripted_server server{
        this->context, [](const std::string&) { return answer_for("somebody/1", "secret", 6); }};
    recording_observer observer;
    this->run(server.address(), this->request("r/1"), observer);
    BOOST_TEST((observer.failure->code == errc::mismatched));
    BOOST_TEST(observer.text.empty());
}

BOOST_FIXTURE_TEST_CASE(a_refused_connection_was_surely_not_sent, client_fixture)
{
    network_address nobody;
    {
        scripted_server server{this->context, echo};
        nobody = server.address();
    }
    recording_observer observer;
    this->run(nobody, this->request("r/1"), observer);
    BOOST_TEST((observer.dispatched == dispatch_state::not_sent));
    BOOST_TEST((observer.failure->code == errc::unavailable));
}

BOOST_FIXTURE_TEST_CASE(silent_connections_are_retired_once_a_new_one_answers, client_fixture)
{
    scripted_server server{this->context, echo};
    recording_observer warm;
    recording_observer also_warm;
    const auto first = this->client.dispatch(server.address(), this->request("r/1"), warm);
    this->run(server.address(), this->request("r/2"), also_warm);
    BOOST_REQUIRE(run_until(this->context, [&] { return warm.ended(); }));
    BOOST_TEST(server.accepted == 2);
    server.silence_open_connections();
    recording_observer stuck;
    const auto handle = this->client.dispatch(server.address(), this->request("r/3"), stuck);
    BOOST_REQUIRE(run_until(this->context, [&] { return stuck.ended(); }));
    BOOST_TEST((stuck.failure->code == errc::timed_out));
    BOOST_TEST(run_until(this->context, [&] { return server.accepted == 3; }));
    // The probe's answer must arrive before the other silent connection is asked for.
    run_until(this->context, [] { return false; }, std::chrono::milliseconds{50});
    recording_observer fine;
    this->run(server.address(), this->request("r/4"), fine);
    BOOST_TEST(fine.whole);
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_attempt_says_nothing_more, client_fixture)
{
    scripted_server server{this->context, echo};
    recording_observer observer;
    {
        const auto handle = this->client.dispatch(server.address(), this->request("r/1"), observer);
    }
    run_until(this->context, [] { return false; }, std::chrono::milliseconds{100});
    BOOST_TEST(!observer.ended());
}

namespace {

/// A client with the limits for endpoints of another platform.
struct lenient_fixture : client_fixture {
    lenient_fixture() { this->limits.skipped_answers = 2; }

    void run_lenient(const network_address& address, const endpoint_request& wanted,
                     recording_observer& observer)
    {
        if (!this->lenient) {
            this->lenient.emplace(this->context, this->limits);
        }
        const auto handle = this->lenient->dispatch(address, wanted, observer);
        BOOST_REQUIRE(run_until(this->context, [&] { return observer.ended(); }));
    }

    endpoint_client_limits limits;
    std::optional<asio_endpoint_client> lenient;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_late_answer_to_an_earlier_request_is_passed_over, lenient_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return answer_for("earlier/1", "secret", 6) +
                                      answer_for(attempt_in(request), "hello", 5);
                           }};
    recording_observer observer;
    this->run_lenient(server.address(), this->request("r/1"), observer);
    BOOST_TEST(observer.whole);
    BOOST_TEST(observer.text == "hello");
}

BOOST_FIXTURE_TEST_CASE(a_connection_with_bytes_after_the_answer_is_not_used_again, lenient_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return answer_for(attempt_in(request), "hello", 5) +
                                      answer_for(attempt_in(request), "again", 5);
                           }};
    for (const char* attempt : {"r/1", "r/2"}) {
        recording_observer observer;
        this->run_lenient(server.address(), this->request(attempt), observer);
        BOOST_TEST(observer.text == "hello");
    }
    BOOST_TEST(server.accepted == 2);
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_with_its_connection_can_be_allowed, lenient_fixture)
{
    this->limits.accept_unframed = true;
    scripted_server server{this->context, [](const std::string& request) {
                               return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt_in(request) +
                                      "\r\n\r\nhello";
                           }};
    server.close_after_answer();
    recording_observer observer;
    this->run_lenient(server.address(), this->request("r/1"), observer);
    BOOST_TEST(observer.whole);
    BOOST_TEST(observer.text == "hello");
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_an_echo_can_be_allowed, lenient_fixture)
{
    this->limits.accept_unnamed = true;
    scripted_server server{this->context, [](const std::string&) {
                               return std::string{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"};
                           }};
    recording_observer observer;
    this->run_lenient(server.address(), this->request("r/1"), observer);
    BOOST_TEST(observer.whole);
    BOOST_TEST(observer.status == 503);
}

BOOST_FIXTURE_TEST_CASE(a_connection_is_left_alone_before_the_endpoint_closes_it, lenient_fixture)
{
    scripted_server server{this->context, [](const std::string& request) {
                               return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
                                      "X-Attempt-Id: " +
                                      attempt_in(request) + "\r\nContent-Length: 0\r\n\r\n";
                           }};
    for (const char* attempt : {"r/1", "r/2", "r/3"}) {
        recording_observer observer;
        this->run_lenient(server.address(), this->request(attempt), observer);
        BOOST_TEST(observer.whole);
        if (std::string{attempt} == "r/2") {
            this->context.restart();
            this->context.run_for(std::chrono::milliseconds{600});
        }
    }
    BOOST_TEST(server.accepted == 2);
}

} // namespace eelgrassbend
