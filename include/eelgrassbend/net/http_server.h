#ifndef EELGRASSBEND_NET_HTTP_SERVER_H
#define EELGRASSBEND_NET_HTTP_SERVER_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

class client_budget;

/// Bounds on the resources that callers may use.
struct http_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_unsent_bytes =
        4 * 1024 * 1024; ///< of one answer; above it the connection is closed
    std::size_t max_connections = 4096;
    duration header_timeout = std::chrono::seconds{3}; ///< for the head of a request
    duration read_timeout = std::chrono::seconds{15};  ///< for a whole request
    duration idle_timeout = std::chrono::seconds{60};  ///< between requests
    duration write_timeout =
        std::chrono::seconds{30}; ///< for one write, and for its acknowledgement
};

/// Learns what a server does about clients that exceed its limits.
class client_observer {
public:
    virtual ~client_observer() = default;
    /// A request was answered with an error instead of being handled.
    virtual void on_refused(std::string_view reason) = 0;
    /// A connection was closed without an answer.
    virtual void on_closed(std::string_view reason) = 0;
};

/// What the servers of a process share. Without a budget, a server has one of its own.
struct client_services {
    std::shared_ptr<client_budget> budget;
    client_observer* observer = nullptr;
};

/// An HTTP/1.1 server on an io_context, which must be run by a single thread.
class http_server {
public:
    http_server(boost::asio::io_context& context, http_limits limits, http_handler& handler,
                const client_services& services = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to accept connections; port 0 selects a free port. Returns the bound address.
    result<network_address> listen(const network_address& address);
    /// Replaces the limits for subsequent requests.
    void set_limits(const http_limits& limits);
    /// Sends `Connection: close` with all subsequent answers.
    void announce_close();
    /// Does the same as `announce_close` and closes idle connections.
    void drain();
    /// Closes the listening socket; active exchanges continue.
    void stop_listening();
    /// Number of exchanges that have not ended.
    [[nodiscard]] std::size_t active_exchanges() const;
    /// Number of connections that are counted towards `http_limits::max_connections`.
    [[nodiscard]] std::size_t open_connections() const;

    struct state;

private:
    std::shared_ptr<state> shared;
};

} // namespace eelgrassbend

#endif
