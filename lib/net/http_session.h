#ifndef EELGRASSBEND_LIB_NET_HTTP_SESSION_H
#define EELGRASSBEND_LIB_NET_HTTP_SESSION_H

#include "eelgrassbend/net/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace eelgrassbend {

class http_session;

/// State that the sessions of a server share.
struct session_context : std::enable_shared_from_this<session_context> {
    session_context(http_limits limits, http_handler& handler) : limits(limits), handler(handler) {}

    void open(boost::asio::ip::tcp::socket socket);
    void remove(http_session& session);
    void drain();
    void close_all();

    http_limits limits;
    http_handler& handler;
    bool is_draining = false;
    std::size_t active_exchanges = 0;
    std::set<std::shared_ptr<http_session>> sessions;
};

} // namespace eelgrassbend

#endif
