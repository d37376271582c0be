#ifndef EELGRASSBEND_UNITTESTS_NET_KEEP_ALIVE_SERVER_H
#define EELGRASSBEND_UNITTESTS_NET_KEEP_ALIVE_SERVER_H

#include "eelgrassbend/platform/host_list.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

/// A server that answers every request on kept connections and observes when the client closes
/// them.
class keep_alive_server {
public:
    explicit keep_alive_server(boost::asio::io_context& context)
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        this->accept();
    }

    [[nodiscard]] network_address address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    /// Sends the end of the stream on all connections, but keeps them open until the client closes.
    void shut_down_connections()
    {
        boost::system::error_code ignored;
        for (const auto& connection : this->connections) {
            connection->socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
        }
    }

    /// Answers the last request that was read, for a silent server.
    void answer_last() { this->answer(*this->connections.back(), this->last_head); }

    /// Connections that the client has not closed.
    [[nodiscard]] std::size_t open() const { return this->connections.size() - this->ended; }

    std::string extra_headers; ///< of each answer
    bool is_silent = false;    ///< reads requests without answering them

private:
    struct server_connection {
        boost::asio::ip::tcp::socket socket;
        std::string input;
        std::string output;
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code failure, boost::asio::ip::tcp::socket socket) {
                if (failure) {
                    return;
                }
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
                if (failure) {
                    ++this->ended;
                    return;
                }
                this->last_head = connection->input.substr(0, length);
                connection->input.erase(0, length);
                if (!this->is_silent) {
                    this->answer(*connection, this->last_head);
                }
                this->serve(connection);
            });
    }

    void answer(server_connection& connection, const std::string& head)
    {
        const std::string name = "X-Attempt-Id: ";
        const auto start = head.find(name);
        const auto id = start == std::string::npos
                            ? std::string{}
                            : head.substr(start, head.find("\r\n", start) + 2 - start);
        boost::system::error_code ignored;
        boost::asio::write(connection.socket,
                           boost::asio::buffer("HTTP/1.1 200 OK\r\n" + id + this->extra_headers +
                                               "Content-Length: 0\r\n\r\n"),
                           ignored);
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<server_connection>> connections;
    std::string last_head;
    std::size_t ended = 0;
};

} // namespace eelgrassbend

#endif
