#include "eelgrassbend/net/asio_datagrams.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace eelgrassbend {

namespace asio = boost::asio;
using udp = asio::ip::udp;
using boost::system::error_code;

static constexpr std::size_t max_datagram_bytes = 65'536;

struct asio_datagrams::state : std::enable_shared_from_this<asio_datagrams::state> {
    explicit state(asio::io_context& context) : socket(context) {}

    void receive_next();

    udp::socket socket;
    udp::endpoint sender;
    std::array<char, max_datagram_bytes> buffer{};
    datagram_transport::receiver handler;
};

void asio_datagrams::state::receive_next()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender,
        [self = this->shared_from_this()](error_code failure, std::size_t length) {
            if (!self->socket.is_open()) {
                return;
            }
            if (!failure && self->handler) {
                self->handler({self->sender.address().to_string(), self->sender.port()},
                              {self->buffer.data(), length});
            }
            // An ICMP error for an earlier send to an unreachable peer is reported by a later
            // receive; it must not stop the receive loop.
            self->receive_next();
        });
}

asio_datagrams::asio_datagrams(asio::io_context& context) : shared(std::make_shared<state>(context))
{
}

asio_datagrams::~asio_datagrams()
{
    this->stop();
}

result<network_address> asio_datagrams::listen(const network_address& address)
{
    error_code failure;
    const auto ip = asio::ip::make_address(address.ip, failure);
    if (failure) {
        return make_error(errc::invalid_argument, "listen for datagrams", address.to_string());
    }
    const udp::endpoint endpoint{ip, address.port};
    auto& socket = this->shared->socket;
    if (socket.open(endpoint.protocol(), failure) || socket.bind(endpoint, failure)) {
        return error{failure, "listen for datagrams", address.to_string(), {}};
    }
    this->shared->receive_next();
    return network_address{address.ip, socket.local_endpoint().port()};
}

void asio_datagrams::stop()
{
    error_code ignored;
    this->shared->handler = nullptr;
    this->shared->socket.close(ignored);
}

// Drops the datagram if the kernel cannot accept it at once: datagrams may be lost anyway.
void asio_datagrams::send(const network_address& to, std::string bytes)
{
    error_code failure;
    const auto ip = asio::ip::make_address(to.ip, failure);
    if (failure || !this->shared->socket.is_open()) {
        return;
    }
    this->shared->socket.send_to(asio::buffer(bytes), udp::endpoint{ip, to.port}, 0, failure);
}

void asio_datagrams::set_receiver(receiver handler)
{
    this->shared->handler = std::move(handler);
}

} // namespace eelgrassbend
