#ifndef EELGRASSBEND_NET_ASIO_DATAGRAMS_H
#define EELGRASSBEND_NET_ASIO_DATAGRAMS_H

#include "eelgrassbend/peers/peer_transport.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// A datagram transport over UDP.
class asio_datagrams : public datagram_transport {
public:
    explicit asio_datagrams(boost::asio::io_context& context);
    asio_datagrams(const asio_datagrams&) = delete;
    asio_datagrams& operator=(const asio_datagrams&) = delete;
    ~asio_datagrams() override;

    /// Binds a socket and starts to receive; port 0 selects a free port. Returns the bound address.
    result<network_address> listen(const network_address& address);
    void stop();

    void send(const network_address& to, std::string bytes) override;
    void set_receiver(receiver handler) override;

    struct state;

private:
    std::shared_ptr<state> shared;
};

} // namespace eelgrassbend

#endif
