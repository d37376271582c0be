#include "eelgrassbend/net/http_server.h"

#include "http_session.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace eelgrassbend {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// After an accept that failed.
static constexpr std::chrono::milliseconds accept_retry_interval{50};
static constexpr int receive_buffer_bytes = session_context::receive_buffer_bytes;
/// Enough for 10 MB/s at a round-trip time of 10 ms.
static constexpr int send_buffer_bytes = 128 * 1024;

static result<tcp::endpoint> parse_address(const network_address& address)
{
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(address.ip, failure);
    if (failure) {
        return make_error(errc::invalid_argument, "parse address", address.to_string(),
                          "not an IP number");
    }
    return tcp::endpoint{ip, address.port};
}

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(asio::io_context& context, http_limits limits, http_handler& handler,
          const client_services& services)
        : acceptor(context),
          retry_timer(context),
          sessions(std::make_shared<session_context>(limits, handler, services))
    {
    }

    void accept_next()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](
                                        boost::system::error_code failure, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (failure) {
                self->retry_accept();
                return;
            }
            self->sessions->open(std::move(socket));
            self->accept_next();
        });
    }

    // Without a free descriptor each accept fails at once, so that to go on would be a busy loop.
    void retry_accept()
    {
        this->sessions->count_refused("accept");
        this->retry_timer.expires_after(accept_retry_interval);
        this->retry_timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (!failure && self->acceptor.is_open()) {
                    self->accept_next();
                }
            });
    }

    tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    std::shared_ptr<session_context> sessions;
};

http_server::http_server(asio::io_context& context, http_limits limits, http_handler& handler,
                         const client_services& services)
    : shared(std::make_shared<state>(context, limits, handler, services))
{
}

http_server::~http_server()
{
    this->stop_listening();
    this->shared->sessions->close_all();
}

result<network_address> http_server::listen(const network_address& address)
{
    auto parsed = parse_address(address);
    if (!parsed) {
        return parsed.error();
    }
    const auto failed = [&](const boost::system::error_code& code) {
        return error{code, "listen", address.to_string(), {}};
    };
    boost::system::error_code code;
    auto& acceptor = this->shared->acceptor;
    if (acceptor.open(parsed.value().protocol(), code)) {
        return failed(code);
    }
    acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    // Accepted sockets inherit the sizes. Without them the kernel may hold several megabytes for
    // each connection that is not read, or whose caller does not read.
    acceptor.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes}, code);
    acceptor.set_option(asio::socket_base::send_buffer_size{send_buffer_bytes}, code);
    if (acceptor.bind(parsed.value(), code)) {
        return failed(code);
    }
    if (acceptor.listen(asio::socket_base::max_listen_connections, code)) {
        return failed(code);
    }
    this->shared->accept_next();
    return network_address{address.ip, acceptor.local_endpoint().port()};
}

void http_server::set_limits(const http_limits& limits)
{
    this->shared->sessions->limits = limits;
}

void http_server::announce_close()
{
    this->shared->sessions->is_draining = true;
}

void http_server::drain()
{
    this->shared->sessions->drain();
}

void http_server::stop_listening()
{
    boost::system::error_code ignored;
    this->shared->acceptor.close(ignored);
    this->shared->retry_timer.cancel();
}

std::size_t http_server::active_exchanges() const
{
    return this->shared->sessions->active_exchanges;
}

std::size_t http_server::open_connections() const
{
    return this->shared->sessions->sessions.size();
}

} // namespace eelgrassbend
