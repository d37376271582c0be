#ifndef EELGRASSBEND_LIB_STANDIN_HTTP_SESSION_H
#define EELGRASSBEND_LIB_STANDIN_HTTP_SESSION_H

#include "eelgrassbend/standin/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace eelgrassbend::standin {

/// One connection of a caller. Answers hold it while they are under way.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::asio::ip::tcp::socket socket, http_server::handler& serve);

    void start();
    void freeze();

    [[nodiscard]] bool is_frozen() const { return this->frozen; }

    /// The number of the request whose answer is due.
    [[nodiscard]] std::uint64_t generation() const { return this->requests; }

    void send_head(int status, const http_fields& fields, std::optional<std::size_t> length);
    void send_bytes(std::string_view bytes);
    void send_chunk(std::string_view bytes);
    void finish_answer();
    void abort_answer();

    std::function<void()> sent;
    std::function<void()> closed;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_request();
    void serve_request();
    void refuse_request(int status);
    void watch_for_close();
    void flush();
    void after_flush();
    void lose_connection();

    boost::asio::ip::tcp::socket socket;
    http_server::handler& serve;
    boost::beast::flat_buffer input;
    std::optional<request_parser> parser;
    std::uint64_t requests = 0;
    bool keep_alive = true;
    bool head_only = false;
    bool answer_open = false;
    bool close_when_flushed = false;
    bool frozen = false;
    bool lost = false;
    bool reading = false;
    bool writing = false;
    std::string pending;
    std::string in_flight;
};

/// The connection that an answer goes to; null if the answer is of another server.
const http_session* connection_of(const http_answer& answer);

} // namespace eelgrassbend::standin

#endif
