#include "loopback.h"

#include "eelgrassbend/net/asio_endpoint_client.h"
#include "eelgrassbend/net/asio_http_client.h"
#include "eelgrassbend/net/http_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Answers each request with a beginning and then, over and over, with the same bytes until the
/// other side closes.
class endless_server {
public:
    endless_server(asio::io_context& context, std::string beginning, std::string repeated)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
          beginning(std::move(beginning))
    {
        while (this->piece.size() < piece_bytes) {
            this->piece += repeated;
        }
        this->accept();
    }

    [[nodiscard]] network_address address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::size_t sent = 0;
    bool was_closed = false;

private:
    static constexpr std::size_t piece_bytes = 64 * 1024;

    struct link {
        explicit link(tcp::socket socket) : socket(std::move(socket)) {}

        tcp::socket socket;
        std::string input;
    };

    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code failure, tcp::socket socket) {
            if (failure) {
                return;
            }
            auto open = std::make_shared<link>(std::move(socket));
            asio::async_read_until(open->socket, asio::dynamic_buffer(open->input), "\r\n\r\n",
                                   [this, open](boost::system::error_code, std::size_t) {
                                       this->send(open, this->beginning);
                                   });
            this->accept();
        });
    }

    void send(const std::shared_ptr<link>& open, const std::string& bytes)
    {
        asio::async_write(open->socket, asio::buffer(bytes),
                          [this, open](boost::system::error_code failure, std::size_t length) {
                              this->sent += length;
                              this->was_closed = this->was_closed || failure;
                              if (!failure) {
                                  this->send(open, this->piece);
                              }
                          });
    }

    tcp::acceptor acceptor;
    std::string beginning;
    std::string piece;
};

class ending_observer : public attempt_observer {
public:
    void head(int status, const header_list&) override { this->statuses.push_back(status); }

    void body(std::string_view bytes) override { this->received += bytes.size(); }

    void completed() override { this->ended = true; }

    void failed(const error& reason, dispatch_state) override
    {
        this->ended = true;
        this->failure = reason;
    }

    std::vector<int> statuses;
    std::size_t received = 0;
    bool ended = false;
    std::optional<error> failure;
};

struct endless_answer {
    const char* what;
    std::string beginning;
    std::string repeated;
};

/// The connection's own buffers hold some megabytes.
constexpr std::size_t most_sent = 32 * 1024 * 1024;

std::vector<endless_answer> all_kinds()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"header line", head + "X-Long: ", "x"},
        {"headers", head, "X-More: 1\r\n"},
        {"status line", "HTTP/1.1 200 ", "OK"},
        {"no protocol", "", "\n"},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"chunk extension", chunked + "5;x=", "y"},
        {"trailers", chunked + "0\r\n", "X-More: 1\r\n"},
        {"body without end", chunked, "400\r\n" + std::string(1024, 'b') + "\r\n"},
        {"body without length", head + "Connection: close\r\n\r\n", "b"},
    };
}

} // namespace

BOOST_AUTO_TEST_CASE(an_endpoint_that_sends_without_end_is_left)
{
    for (const auto& kind : all_kinds()) {
        asio::io_context context{1};
        endless_server server{context, kind.beginning, kind.repeated};
        endpoint_client_limits limits;
        limits.body_bytes = 1024 * 1024;
        limits.accept_unnamed = true;
        limits.accept_unframed = true;
        limits.skipped_answers = 4;
        asio_endpoint_client client{context, limits};
        ending_observer observer;
        endpoint_request wanted;
        wanted.attempt = attempt_id{"a"};
        wanted.method = "GET";
        wanted.target = "/";
        const auto handle = client.dispatch(server.address(), wanted, observer);
        BOOST_TEST_CONTEXT(kind.what)
        {
            BOOST_TEST(run_until(context, [&] { return observer.ended; }));
            BOOST_TEST(observer.failure.has_value());
            BOOST_TEST(run_until(context, [&] { return server.was_closed; }));
            BOOST_TEST(server.sent <= most_sent);
            BOOST_TEST(observer.received <= limits.body_bytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_store_that_sends_without_end_is_left)
{
    for (const auto& kind : all_kinds()) {
        asio::io_context context{1};
        endless_server server{context, kind.beginning, kind.repeated};
        asio_http_client client{context};
        http_call call;
        call.peer = server.address();
        call.target = "/";
        call.timeout = std::chrono::seconds{5};
        std::optional<result<http_answer>> answer;
        client.send(std::move(call), [&](const result<http_answer>& told) { answer = told; });
        BOOST_TEST_CONTEXT(kind.what)
        {
            BOOST_TEST(run_until(context, [&] { return answer.has_value(); }));
            BOOST_TEST((answer && !answer->has_value()));
            BOOST_TEST(run_until(context, [&] { return server.was_closed; }));
            BOOST_TEST(server.sent <= 4 * most_sent);
        }
    }
}

// The final answer comes after it; an answer that is taken for it would belong to the next request.
BOOST_AUTO_TEST_CASE(an_interim_answer_is_passed_over)
{
    asio::io_context context{1};
    tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::string input;
    const std::string output = "HTTP/1.1 100 Continue\r\n\r\n"
                               "HTTP/1.1 201 Created\r\nX-Attempt-Id: a\r\n"
                               "Content-Length: 2\r\n\r\nok";
    std::optional<tcp::socket> socket;
    acceptor.async_accept([&](boost::system::error_code, tcp::socket accepted) {
        socket = std::move(accepted);
        asio::async_read_until(*socket, asio::dynamic_buffer(input), "\r\n\r\n",
                               [&](boost::system::error_code, std::size_t) {
                                   asio::async_write(*socket, asio::buffer(output),
                                                     [](boost::system::error_code, std::size_t) {});
                               });
    });
    asio_endpoint_client client{context, {}};
    ending_observer observer;
    endpoint_request wanted;
    wanted.attempt = attempt_id{"a"};
    wanted.method = "GET";
    wanted.target = "/";
    const network_address address{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto handle = client.dispatch(address, wanted, observer);
    BOOST_TEST(run_until(context, [&] { return observer.ended; }));
    BOOST_TEST(!observer.failure.has_value());
    BOOST_TEST((observer.statuses == std::vector<int>{201}));
    BOOST_TEST(observer.received == 2U);
}

namespace {

class no_request_expected : public http_handler {
public:
    void handle(http_request, std::shared_ptr<exchange> answer) override
    {
        answer->respond(500, {}, {}, nullptr);
    }
};

/// Sends a beginning and then the same bytes until the server closes.
struct endless_caller {
    endless_caller(asio::io_context& context, const network_address& server, std::string beginning,
                   const std::string& repeated)
        : socket(context), beginning(std::move(beginning))
    {
        while (this->piece.size() < 64 * 1024) {
            this->piece += repeated;
        }
        this->socket.connect({asio::ip::make_address(server.ip), server.port});
        this->send(this->beginning);
    }

    void send(const std::string& bytes)
    {
        asio::async_write(this->socket, asio::buffer(bytes),
                          [this](boost::system::error_code failure, std::size_t length) {
                              this->sent += length;
                              this->was_closed = static_cast<bool>(failure);
                              if (!failure) {
                                  this->send(this->piece);
                              }
                          });
    }

    tcp::socket socket;
    std::string beginning;
    std::string piece;
    std::size_t sent = 0;
    bool was_closed = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_caller_that_sends_without_end_is_left)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_answer> kinds{
        {"request line", "GET /", "x"},
        {"headers", head, "X-More: 1\r\n"},
        {"chunk extension", chunked + "5;x=", "y"},
        {"trailers", chunked + "0\r\n", "X-More: 1\r\n"},
        {"body", chunked, "400\r\n" + std::string(1024, 'b') + "\r\n"},
    };
    for (const auto& kind : kinds) {
        asio::io_context context{1};
        no_request_expected handler;
        http_limits limits;
        limits.body_bytes = 1024 * 1024;
        http_server server{context, limits, handler};
        const auto address = server.listen({"127.0.0.1", 0});
        BOOST_REQUIRE(address.has_value());
        endless_caller caller{context, address.value(), kind.beginning, kind.repeated};
        BOOST_TEST_CONTEXT(kind.what)
        {
            BOOST_TEST(run_until(context, [&] { return caller.was_closed; }));
            BOOST_TEST(caller.sent <= most_sent);
        }
    }
}

} // namespace eelgrassbend
