#ifndef EELGRASSBEND_NET_HTTP_SERVER_H
#define EELGRASSBEND_NET_HTTP_SERVER_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// What callers may take of a server.
struct http_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_unsent_bytes = 4 * 1024 * 1024; ///< of one answer, before a slow reader is cut
    std::size_t max_connections = 4096;
    duration read_timeout = std::chrono::seconds{15};  ///< for one whole request
    duration idle_timeout = std::chrono::seconds{60};  ///< between requests
    duration write_timeout = std::chrono::seconds{30}; ///< without progress
};

/// An HTTP/1.1 server on an io_context of one thread.
class http_server {
public:
    http_server(boost::asio::io_context& context, http_limits limits, http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Port 0 takes any free port; the answer is the address listened on.
    result<network_address> listen(const network_address& address);
    /// Applies to requests that begin from now on.
    void set_limits(const http_limits& limits);
    /// Answers from now on carry `Connection: close`.
    void announce_close();
    /// The same, and idle connections close.
    void drain();
    /// Stops listening; exchanges under way go on.
    void stop_listening();
    /// Exchanges that have not ended.
    [[nodiscard]] std::size_t active_exchanges() const;

    struct state;

private:
    std::shared_ptr<state> shared;
};

} // namespace eelgrassbend

#endif
