#include "eelgrassbend/net/asio_http_client.h"

#include "idle_socket.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <map>
#include <optional>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr unsigned http_1_1 = 11;
static constexpr std::size_t most_idle = 8;
static constexpr std::size_t most_body_bytes = 64 * 1024 * 1024;
static constexpr std::chrono::seconds idle_limit{10};
/// Bytes read ahead of what the parser can take; chunk extensions and trailers are not bounded
/// otherwise.
static constexpr std::size_t most_unparsed = 128 * 1024;
static constexpr unsigned first_final_status = 200;

namespace {

struct connection {
    explicit connection(asio::io_context& context) : stream(context), buffer(most_unparsed) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point idle_since;
};

using connection_ptr = std::shared_ptr<connection>;

} // namespace

struct asio_http_client::pool {
    explicit pool(asio::io_context& context) : context(context) {}

    connection_ptr take(const network_address& peer);
    void give_back(const network_address& peer, connection_ptr link);

    asio::io_context& context;
    std::map<network_address, std::deque<connection_ptr>> idle;
};

connection_ptr asio_http_client::pool::take(const network_address& peer)
{
    auto& waiting = this->idle[peer];
    while (!waiting.empty()) {
        auto link = std::move(waiting.back());
        waiting.pop_back();
        const bool young = std::chrono::steady_clock::now() - link->idle_since < idle_limit;
        if (young && is_quiet(link->stream.socket())) {
            return link;
        }
    }
    return nullptr;
}

void asio_http_client::pool::give_back(const network_address& peer, connection_ptr link)
{
    auto& waiting = this->idle[peer];
    link->idle_since = std::chrono::steady_clock::now();
    waiting.push_back(std::move(link));
    if (waiting.size() > most_idle) {
        waiting.pop_front();
    }
}

namespace {

/// One request under way.
class exchange_call : public std::enable_shared_from_this<exchange_call> {
public:
    exchange_call(std::shared_ptr<asio_http_client::pool> pool, http_call call,
                  http_client::handler done)
        : pool(std::move(pool)), call(std::move(call)), done(std::move(done))
    {
    }

    void start();

private:
    void connect();
    void write();
    void read();
    void fail(errc code, const std::string& detail);
    void fail_after_sending(error_code failure);

    std::shared_ptr<asio_http_client::pool> pool;
    http_call call;
    http_client::handler done;
    connection_ptr link;
    bool pooled = false;
    http::request<http::string_body> message;
    std::optional<http::response_parser<http::string_body>> parser; ///< one a connection
};

} // namespace

void exchange_call::start()
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
    this->link = this->pool->take(this->call.peer);
    this->pooled = this->link != nullptr;
    if (this->pooled) {
        this->link->stream.expires_after(this->call.timeout);
        this->write();
        return;
    }
    this->connect();
}

void exchange_call::connect()
{
    error_code failure;
    const auto ip = asio::ip::make_address(this->call.peer.ip, failure);
    if (failure) {
        this->fail(errc::invalid_argument, "not an IP number");
        return;
    }
    this->link = std::make_shared<connection>(this->pool->context);
    this->link->stream.expires_after(this->call.timeout);
    this->link->stream.async_connect(asio::ip::tcp::endpoint{ip, this->call.peer.port},
                                     [self = this->shared_from_this()](error_code connect_failure) {
                                         if (connect_failure) {
                                             self->fail(errc::unavailable,
                                                        connect_failure.message());
                                             return;
                                         }
                                         self->write();
                                     });
}

void exchange_call::write()
{
    http::async_write(this->link->stream, this->message,
                      [self = this->shared_from_this()](error_code failure, std::size_t) {
                          if (failure) {
                              self->fail_after_sending(failure);
                              return;
                          }
                          self->read();
                      });
}

void exchange_call::read()
{
    this->parser.emplace();
    this->parser->body_limit(most_body_bytes);
    http::async_read(this->link->stream, this->link->buffer, *this->parser,
                     [self = this->shared_from_this()](error_code failure, std::size_t) {
                         if (failure) {
                             self->fail_after_sending(failure);
                             return;
                         }
                         const auto& answer = self->parser->get();
                         if (answer.result_int() < first_final_status) {
                             // Nobody asks for interim answers; the final one is not waited for.
                             self->link->stream.close();
                             self->fail(errc::outcome_unknown, "interim answer");
                             return;
                         }
                         if (self->parser->keep_alive() && self->link->buffer.size() == 0) {
                             self->link->stream.expires_never();
                             self->pool->give_back(self->call.peer, self->link);
                         }
                         self->done(
                             http_answer{static_cast<int>(answer.result_int()), answer.body()});
                     });
}

// A pooled connection that the peer closes or something between has lost track of fails at its
// first use. A read changes nothing, so it is sent again on a fresh connection.
void exchange_call::fail_after_sending(error_code failure)
{
    if (this->pooled) {
        this->pool->idle.erase(this->call.peer); // they are as old, and may be as dead
    }
    if (this->pooled && this->call.method == "GET" && failure != beast::error::timeout) {
        this->pooled = false;
        this->connect();
        return;
    }
    const auto code = failure == beast::error::timeout ? errc::timed_out : errc::outcome_unknown;
    this->fail(code, failure.message());
}

void exchange_call::fail(errc code, const std::string& detail)
{
    this->done(make_error(code, this->call.method + " " + this->call.target,
                          this->call.peer.to_string(), detail));
}

asio_http_client::asio_http_client(asio::io_context& context)
    : shared(std::make_shared<pool>(context))
{
}

asio_http_client::~asio_http_client() = default;

void asio_http_client::send(http_call call, handler done)
{
    auto started = std::make_shared<exchange_call>(this->shared, std::move(call), std::move(done));
    asio::post(this->shared->context, [started] { started->start(); });
}

} // namespace eelgrassbend
