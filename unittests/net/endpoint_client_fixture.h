#ifndef EELGRASSBEND_UNITTESTS_NET_ENDPOINT_CLIENT_FIXTURE_H
#define EELGRASSBEND_UNITTESTS_NET_ENDPOINT_CLIENT_FIXTURE_H

#include "loopback.h"

#include "eelgrassbend/net/asio_endpoint_client.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// A server that answers each request head with the result of the test's responder.
class scripted_server {
public:
    /// Maps the text of a request to the bytes to send; empty for no answer.
    using responder = std::function<std::string(const std::string& request)>;

    scripted_server(boost::asio::io_context& context, responder respond)
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          respond(std::move(respond))
    {
        this->accept();
    }

    [[nodiscard]] network_address address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    /// Stops answering on all connections that are open now.
    void silence_open_connections()
    {
        for (auto& connection : this->connections) {
            connection->is_silent = true;
        }
    }

    void stop_accepting() { this->acceptor.close(); }

    void close_after_answer() { this->is_closing_after_answer = true; }

    void reset_after_answer()
    {
        this->is_closing_after_answer = true;
        this->is_resetting = true;
    }

    int accepted_connections = 0;

private:
    struct server_connection {
        explicit server_connection(boost::asio::ip::tcp::socket socket) : socket(std::move(socket))
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::string input;
        std::string output;
        bool is_silent = false;
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code failure, boost::asio::ip::tcp::socket socket) {
                if (failure) {
                    return;
                }
                ++this->accepted_connections;
                this->connections.push_back(std::make_shared<server_connection>(std::move(socket)));
                this->serve(this->connections.back());
                this->accept();
            });
    }

    void serve(const std::shared_ptr<server_connection>& connection)
    {
        boost::asio::async_read_until(
            connection->socket, boost::asio::dynamic_buffer(connection->input), "\r\n\r\n",
            [this, connection](boost::system::error_code failure, std::size_t length) {
                if (failure || connection->is_silent) {
                    return;
                }
                connection->output = this->respond(connection->input.substr(0, length));
                connection->input.erase(0, length);
                boost::asio::async_write(
                    connection->socket, boost::asio::buffer(connection->output),
                    [this, connection](boost::system::error_code, std::size_t) {
                        if (this->is_resetting) {
                            connection->socket.set_option(
                                boost::asio::socket_base::linger{true, 0});
                        }
                        if (this->is_closing_after_answer) {
                            connection->socket.close();
                            return;
                        }
                        this->serve(connection);
                    });
            });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    responder respond;
    std::vector<std::shared_ptr<server_connection>> connections;
    bool is_closing_after_answer = false;
    bool is_resetting = false;
};

class recording_observer : public attempt_observer {
public:
    void on_head(int received_status, const header_list&) override
    {
        this->status = received_status;
    }

    void on_body(std::string_view bytes) override { this->text += bytes; }

    void on_completed() override { this->is_complete = true; }

    void on_failed(const error& reason, dispatch_state state) override
    {
        this->failure = reason;
        this->sent_state = state;
    }

    [[nodiscard]] bool has_ended() const { return this->is_complete || this->failure.has_value(); }

    int status = 0;
    std::string text;
    bool is_complete = false;
    std::optional<error> failure;
    dispatch_state sent_state = dispatch_state::not_sent;
};

struct client_fixture {
    endpoint_request request(const std::string& attempt) const
    {
        endpoint_request request_to_send;
        request_to_send.attempt = attempt_id{attempt};
        request_to_send.method = "GET";
        request_to_send.target = "/";
        request_to_send.progress_timeout = std::chrono::milliseconds{300};
        return request_to_send;
    }

    void run(const network_address& address, const endpoint_request& request_to_send,
             recording_observer& observer)
    {
        const auto handle = this->client.dispatch(address, request_to_send, observer);
        BOOST_REQUIRE(run_until(this->context, [&] { return observer.has_ended(); }));
    }

    boost::asio::io_context context{1};
    asio_endpoint_client client{this->context, {}};
};

/// A client whose limits a test can relax, as for endpoints that do not echo attempt ids.
struct permissive_fixture : client_fixture {
    permissive_fixture() { this->limits.max_skipped_answers = 2; }

    void run_permissive(const network_address& address, const endpoint_request& request_to_send,
                        recording_observer& observer)
    {
        if (!this->permissive_client) {
            this->permissive_client.emplace(this->context, this->limits);
        }
        const auto handle = this->permissive_client->dispatch(address, request_to_send, observer);
        BOOST_REQUIRE(run_until(this->context, [&] { return observer.has_ended(); }));
    }

    endpoint_client_limits limits;
    std::optional<asio_endpoint_client> permissive_client;
};

inline std::string answer_for(const std::string& attempt, const std::string& body,
                              std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

inline std::string attempt_in(const std::string& request)
{
    const std::string name = "X-Attempt-Id: ";
    const auto start = request.find(name);
    if (start == std::string::npos) {
        return "none";
    }
    const auto end = request.find("\r\n", start);
    return request.substr(start + name.size(), end - start - name.size());
}

} // namespace eelgrassbend

#endif
