#include "loopback.h"

#include "eelgrassbend/net/asio_endpoint_client.h"
#include "eelgrassbend/net/asio_http_client.h"
#include "eelgrassbend/net/http_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t large_block_bytes = 64 * 1024;
/// Below the limit of a head, so that each read of the client stays below it too.
constexpr std::size_t small_block_bytes = 4000;
/// Allows for some megabytes in the socket buffers.
constexpr std::size_t max_sent_bytes = 32 * 1024 * 1024;
/// Allows for the bytes that are sent before the client closes the connection.
constexpr std::size_t max_sent_in_small_blocks = 256 * 1024;

struct endless_answer {
    const char* name;
    std::string prefix;
    std::string repeated;
    bool is_in_small_blocks = false; ///< each sent some time after the one before

    [[nodiscard]] std::size_t block_bytes() const
    {
        return this->is_in_small_blocks ? small_block_bytes : large_block_bytes;
    }

    [[nodiscard]] std::size_t max_bytes() const
    {
        return this->is_in_small_blocks ? max_sent_in_small_blocks : max_sent_bytes;
    }
};

/// Answers each request with a prefix and then repeats the same bytes until the client closes the
/// connection.
class endless_server {
public:
    endless_server(asio::io_context& context, const endless_answer& answer)
        : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
          pause_timer(context),
          prefix(answer.prefix),
          is_pausing(answer.is_in_small_blocks)
    {
        while (this->repeated_block.size() < answer.block_bytes()) {
            this->repeated_block += answer.repeated;
        }
        this->accept();
    }

    [[nodiscard]] network_address address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::size_t sent_bytes = 0;
    bool was_closed = false;

private:
    static constexpr std::chrono::milliseconds pause{1};

    struct server_connection {
        explicit server_connection(tcp::socket socket) : socket(std::move(socket)) {}

        tcp::socket socket;
        std::string input;
    };

    void accept()
    {
        this->acceptor.async_accept([this](boost::system::error_code failure, tcp::socket socket) {
            if (failure) {
                return;
            }
            auto connection = std::make_shared<server_connection>(std::move(socket));
            asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->input),
                                   "\r\n\r\n",
                                   [this, connection](boost::system::error_code, std::size_t) {
                                       this->send(connection, this->prefix);
                                   });
            this->accept();
        });
    }

    void send(const std::shared_ptr<server_connection>& connection, const std::string& bytes)
    {
        asio::async_write(
            connection->socket, asio::buffer(bytes),
            [this, connection](boost::system::error_code failure, std::size_t length) {
                this->sent_bytes += length;
                this->was_closed = this->was_closed || failure;
                if (!failure) {
                    this->send_next_block(connection);
                }
            });
    }

    void send_next_block(const std::shared_ptr<server_connection>& connection)
    {
        if (!this->is_pausing) {
            this->send(connection, this->repeated_block);
            return;
        }
        this->pause_timer.expires_after(pause);
        this->pause_timer.async_wait([this, connection](boost::system::error_code failure) {
            if (!failure) {
                this->send(connection, this->repeated_block);
            }
        });
    }

    tcp::acceptor acceptor;
    asio::steady_timer pause_timer;
    std::string prefix;
    std::string repeated_block;
    bool is_pausing;
};

class ending_observer : public attempt_observer {
public:
    void on_head(int status, const header_list&) override { this->statuses.push_back(status); }

    void on_body(std::string_view bytes) override { this->received_bytes += bytes.size(); }

    void on_completed() override { this->has_ended = true; }

    void on_failed(const error& reason, dispatch_state) override
    {
        this->has_ended = true;
        this->failure = reason;
    }

    std::vector<int> statuses;
    std::size_t received_bytes = 0;
    bool has_ended = false;
    std::optional<error> failure;
};

endpoint_request make_request()
{
    endpoint_request request;
    request.attempt = attempt_id{"a"};
    request.method = "GET";
    request.target = "/";
    return request;
}

std::vector<endless_answer> all_endless_answers()
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
        // The limit of the parser applies to the input of one call only.
        {"headers in small blocks", head, "X-More: 1\r\n", true},
        {"short headers in small blocks", head + "a", ":\r\na", true},
        {"body without length", head + "Connection: close\r\n\r\n", "b"},
    };
}

} // namespace

// Answers without end used up the memory of the process.
BOOST_AUTO_TEST_CASE(an_endless_answer_of_an_endpoint_fails)
{
    for (const auto& kind : all_endless_answers()) {
        asio::io_context context{1};
        endless_server server{context, kind};
        endpoint_client_limits limits;
        limits.max_body_bytes = 1024 * 1024;
        limits.allows_missing_attempt_id = true;
        limits.allows_close_delimited_bodies = true;
        limits.max_skipped_answers = 4;
        asio_endpoint_client client{context, limits};
        ending_observer observer;
        const auto request = make_request();
        const auto handle = client.dispatch(server.address(), request, observer);
        BOOST_TEST_CONTEXT(kind.name)
        {
            BOOST_TEST(run_until(context, [&] { return observer.has_ended; }));
            BOOST_TEST(observer.failure.has_value());
            BOOST_TEST(run_until(context, [&] { return server.was_closed; }));
            BOOST_TEST(server.sent_bytes <= kind.max_bytes());
            BOOST_TEST(observer.received_bytes <= limits.max_body_bytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_endless_answer_of_a_server_fails)
{
    for (const auto& kind : all_endless_answers()) {
        asio::io_context context{1};
        endless_server server{context, kind};
        asio_http_client client{context};
        http_call call;
        call.peer = server.address();
        call.target = "/";
        call.timeout = std::chrono::seconds{5};
        std::optional<result<http_answer>> answer;
        client.send(std::move(call),
                    [&](const result<http_answer>& received) { answer = received; });
        BOOST_TEST_CONTEXT(kind.name)
        {
            BOOST_TEST(run_until(context, [&] { return answer.has_value(); }));
            BOOST_TEST((answer && !answer->has_value()));
            BOOST_TEST(run_until(context, [&] { return server.was_closed; }));
            BOOST_TEST(server.sent_bytes <= 4 * kind.max_bytes());
        }
    }
}

// A head within the limit of bytes took several times as much memory once it was parsed.
BOOST_AUTO_TEST_CASE(an_answer_with_too_many_headers_fails)
{
    for (const int fields : {100, 1000}) {
        asio::io_context context{1};
        std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nConnection: close\r\n";
        for (int index = 0; index < fields; ++index) {
            head += "a:\r\n";
        }
        endless_server server{context, {"headers", head + "\r\n", "b"}};
        endpoint_client_limits limits;
        limits.max_body_bytes = 1024 * 1024;
        asio_endpoint_client client{context, limits};
        ending_observer observer;
        const auto request = make_request();
        const auto handle = client.dispatch(server.address(), request, observer);
        BOOST_TEST(run_until(context, [&] { return observer.has_ended; }));
        BOOST_TEST(observer.statuses.empty() == (fields > 100));
    }
}

// If an interim answer were taken for the final one, the final one would be read as the answer to
// the next request.
BOOST_AUTO_TEST_CASE(an_interim_answer_is_skipped)
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
    const auto request = make_request();
    const network_address address{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto handle = client.dispatch(address, request, observer);
    BOOST_TEST(run_until(context, [&] { return observer.has_ended; }));
    BOOST_TEST(!observer.failure.has_value());
    BOOST_TEST((observer.statuses == std::vector<int>{201}));
    BOOST_TEST(observer.received_bytes == 2U);
}

namespace {

class failing_handler : public http_handler {
public:
    void handle(http_request, std::shared_ptr<exchange> answer) override
    {
        answer->respond(500, {}, {}, nullptr);
    }
};

/// Sends a prefix and then repeats the same bytes until the server closes the connection.
struct endless_client {
    endless_client(asio::io_context& context, const network_address& server,
                   const endless_answer& kind)
        : socket(context),
          pause_timer(context),
          prefix(kind.prefix),
          is_pausing(kind.is_in_small_blocks)
    {
        while (this->repeated_block.size() < kind.block_bytes()) {
            this->repeated_block += kind.repeated;
        }
        this->socket.connect({asio::ip::make_address(server.ip), server.port});
        this->send(this->prefix);
    }

    void send(const std::string& bytes)
    {
        asio::async_write(this->socket, asio::buffer(bytes),
                          [this](boost::system::error_code failure, std::size_t length) {
                              this->sent_bytes += length;
                              this->was_closed = static_cast<bool>(failure);
                              if (!failure) {
                                  this->send_next_block();
                              }
                          });
    }

    void send_next_block()
    {
        if (!this->is_pausing) {
            this->send(this->repeated_block);
            return;
        }
        this->pause_timer.expires_after(std::chrono::milliseconds{1});
        this->pause_timer.async_wait(
            [this](boost::system::error_code) { this->send(this->repeated_block); });
    }

    tcp::socket socket;
    asio::steady_timer pause_timer;
    std::string prefix;
    std::string repeated_block;
    bool is_pausing;
    std::size_t sent_bytes = 0;
    bool was_closed = false;
};

} // namespace

// Heads of short lines were kept in full as long as a caller may send a head.
BOOST_AUTO_TEST_CASE(an_endless_request_is_cut_off)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_answer> kinds{
        {"request line", "GET /", "x"},
        {"headers", head, "X-More: 1\r\n"},
        {"short headers in small blocks", head + "a", ":\r\na", true},
        {"empty lines in small blocks", "", "\r\n", true},
        {"chunk extension", chunked + "5;x=", "y"},
        {"trailers", chunked + "0\r\n", "X-More: 1\r\n"},
        {"body", chunked, "400\r\n" + std::string(1024, 'b') + "\r\n"},
    };
    for (const auto& kind : kinds) {
        asio::io_context context{1};
        failing_handler handler;
        http_limits limits;
        limits.max_body_bytes = 1024 * 1024;
        http_server server{context, limits, handler};
        const auto address = server.listen({"127.0.0.1", 0});
        BOOST_REQUIRE(address.has_value());
        endless_client client{context, address.value(), kind};
        BOOST_TEST_CONTEXT(kind.name)
        {
            BOOST_TEST(run_until(context, [&] { return client.was_closed; }));
            // After a refusal, as many bytes as a body may have are discarded.
            const auto discarded = kind.is_in_small_blocks ? limits.max_body_bytes : 0;
            BOOST_TEST(client.sent_bytes <= kind.max_bytes() + discarded);
        }
    }
}

} // namespace eelgrassbend
