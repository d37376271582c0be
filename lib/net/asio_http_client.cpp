#include "eelgrassbend/net/asio_http_client.h"

#include "answer_head.h"
#include "connection_pool.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr unsigned http_1_1 = 11;
static constexpr std::size_t max_idle_connections = 8;
static constexpr std::size_t max_header_bytes = 16 * 1024;
static constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
static constexpr std::chrono::seconds idle_timeout{10};

struct asio_http_client::pool {
    pool(asio::io_context& context, descriptor_budget* descriptors)
        : context(context),
          connections(std::make_shared<connection_pool>(context, max_idle_connections, descriptors))
    {
    }

    asio::io_context& context;
    std::shared_ptr<connection_pool> connections;
};

namespace {

/// A request in flight.
class in_flight_call : public std::enable_shared_from_this<in_flight_call> {
public:
    in_flight_call(std::shared_ptr<asio_http_client::pool> pool, http_call call,
                   http_client::handler done)
        : pool(std::move(pool)), call(std::move(call)), done(std::move(done))
    {
    }

    void start();

private:
    void connect();
    /// Sends the request on a pooled connection; returns whether there is one.
    bool write_to_pooled();
    void write();
    void read();
    void on_head_read(error_code failure);
    void on_body_read(error_code failure);
    void fail(errc code, const std::string& detail);
    void fail_after_sending(error_code failure);

    std::shared_ptr<asio_http_client::pool> pool;
    http_call call;
    http_client::handler done;
    http_connection_ptr connection;
    bool is_pooled = false;
    http::request<http::string_body> message;
    std::optional<http::response_parser<http::string_body>>
        parser; ///< a new one for each connection
};

} // namespace

void in_flight_call::start()
{
    this->message.method_string(this->call.method);
    this->message.target(this->call.target);
    this->message.version(http_1_1);
    this->message.set(http::field::host, this->call.peer.to_string());
    for (const auto& [name, value] : this->call.headers) {
        this->message.set(name, value);
    }
    if (!this->call.body.empty()) {
        this->message.set(http::field::content_type, this->call.content_type);
        this->message.body() = this->call.body;
    }
    this->message.prepare_payload();
    if (this->call.prefers_new_connection || !this->write_to_pooled()) {
        this->connect();
    }
}

bool in_flight_call::write_to_pooled()
{
    this->connection = this->pool->connections->acquire_idle(this->call.peer);
    this->is_pooled = this->connection != nullptr;
    if (this->is_pooled) {
        this->connection->stream.expires_after(this->call.timeout);
        this->write();
    }
    return this->is_pooled;
}

void in_flight_call::connect()
{
    error_code failure;
    const auto ip = asio::ip::make_address(this->call.peer.ip, failure);
    if (failure) {
        this->fail(errc::invalid_argument, "not an IP number");
        return;
    }
    this->connection = this->pool->connections->create();
    if (!this->connection) {
        this->fail(errc::unavailable, "no descriptor is left");
        return;
    }
    this->connection->stream.expires_after(this->call.timeout);
    this->connection->stream.async_connect(
        asio::ip::tcp::endpoint{ip, this->call.peer.port},
        [self = this->shared_from_this()](error_code connect_failure) {
            if (!connect_failure) {
                self->write();
                return;
            }
            const bool may_fall_back =
                self->call.prefers_new_connection && connect_failure != beast::error::timeout;
            if (!may_fall_back || !self->write_to_pooled()) {
                self->fail(errc::unavailable, connect_failure.message());
            }
        });
}

void in_flight_call::write()
{
    http::async_write(this->connection->stream, this->message,
                      [self = this->shared_from_this()](error_code failure, std::size_t) {
                          if (failure) {
                              self->fail_after_sending(failure);
                              return;
                          }
                          self->read();
                      });
}

void in_flight_call::read()
{
    this->parser.emplace();
    this->parser->body_limit(max_body_bytes);
    async_read_answer_head(
        this->connection, *this->parser, max_header_bytes,
        [self = this->shared_from_this()](error_code failure) { self->on_head_read(failure); });
}

void in_flight_call::on_head_read(error_code failure)
{
    if (failure) {
        this->fail_after_sending(failure);
        return;
    }
    const auto status = this->parser->get().result_int();
    if (!is_final_status(status)) {
        // No caller requests interim answers, so one is an error and the final answer is not
        // awaited.
        this->connection->stream.close();
        this->fail(errc::outcome_unknown, "status " + std::to_string(status) + " is not final");
        return;
    }
    http::async_read(this->connection->stream, this->connection->buffer, *this->parser,
                     [self = this->shared_from_this()](error_code body_failure, std::size_t) {
                         self->on_body_read(body_failure);
                     });
}

void in_flight_call::on_body_read(error_code failure)
{
    if (failure) {
        this->fail_after_sending(failure);
        return;
    }
    auto& message = this->parser->get();
    http_answer answer{static_cast<int>(message.result_int()), std::move(message.body()), {}};
    for (const auto& field : message) {
        answer.headers.emplace_back(field.name_string(), field.value());
    }
    if (this->parser->keep_alive() && this->connection->buffer.size() == 0) {
        this->connection->stream.expires_never();
        this->pool->connections->release(this->call.peer, std::move(this->connection),
                                         idle_timeout);
    }
    this->done(std::move(answer));
}

// A pooled connection that the peer closed, or whose state a middlebox dropped, fails on its first
// use. GET has no side effects, so it is retried on a fresh connection.
void in_flight_call::fail_after_sending(error_code failure)
{
    if (this->is_pooled) {
        // The other idle connections may be broken too.
        this->pool->connections->close_idle_to(this->call.peer);
    }
    if (this->is_pooled && this->call.method == "GET" && failure != beast::error::timeout) {
        this->is_pooled = false;
        this->connect();
        return;
    }
    const auto code = failure == beast::error::timeout ? errc::timed_out : errc::outcome_unknown;
    this->fail(code, failure.message());
}

void in_flight_call::fail(errc code, const std::string& detail)
{
    this->done(make_error(code, this->call.method + " " + this->call.target,
                          this->call.peer.to_string(), detail));
}

asio_http_client::asio_http_client(asio::io_context& context, descriptor_budget* descriptors)
    : shared(std::make_shared<pool>(context, descriptors))
{
}

asio_http_client::~asio_http_client()
{
    this->shared->connections->detach();
}

void asio_http_client::send(http_call call, handler done)
{
    auto started = std::make_shared<in_flight_call>(this->shared, std::move(call), std::move(done));
    asio::post(this->shared->context, [started] { started->start(); });
}

} // namespace eelgrassbend
