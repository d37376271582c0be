#include "eelgrassbend/net/asio_reachability_probe.h"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace eelgrassbend {

namespace asio = boost::asio;
using boost::system::error_code;

static reachability to_reachability(error_code failure)
{
    if (!failure) {
        return reachability::accepting;
    }
    return failure == asio::error::connection_refused ? reachability::refused
                                                      : reachability::unknown;
}

void asio_reachability_probe::probe(const network_address& address, handler done)
{
    error_code failure;
    const auto ip = asio::ip::make_address(address.ip, failure);
    if (failure) {
        asio::post(this->context, [done = std::move(done)] { done(reachability::unknown); });
        return;
    }
    auto stream = std::make_shared<boost::beast::tcp_stream>(this->context);
    stream->expires_after(this->timeout);
    stream->async_connect(asio::ip::tcp::endpoint{ip, address.port},
                          [stream, done = std::move(done)](error_code connect_failure) {
                              stream->close();
                              done(to_reachability(connect_failure));
                          });
}

} // namespace eelgrassbend
