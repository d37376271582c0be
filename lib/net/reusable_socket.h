#ifndef EELGRASSBEND_LIB_NET_REUSABLE_SOCKET_H
#define EELGRASSBEND_LIB_NET_REUSABLE_SOCKET_H

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace eelgrassbend {

/// Whether the peer has neither closed an idle connection nor sent bytes on it. A request on a
/// closed connection fails with an unknown outcome, and bytes that arrive between two requests
/// belong to neither.
inline bool is_reusable(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek,
                   failure);
    return failure == boost::asio::error::would_block;
}

} // namespace eelgrassbend

#endif
