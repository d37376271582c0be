#ifndef EELGRASSBEND_LIB_NET_CONNECTION_POOL_H
#define EELGRASSBEND_LIB_NET_CONNECTION_POOL_H

#include "eelgrassbend/net/descriptor_budget.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/units.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace eelgrassbend {

/// A TCP connection to a peer and its read buffer.
struct http_connection {
    http_connection(boost::asio::io_context& context, std::shared_ptr<std::size_t> open_count);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::uint64_t generation = 0; ///< below that of the endpoint's entry marks a retired connection
    bool has_answered = false;    ///< an earlier attempt

private:
    std::shared_ptr<std::size_t> open_count;
};

using http_connection_ptr = std::shared_ptr<http_connection>;

/// The connections of a client. Idle ones are closed once they expire or the peer has closed them.
class connection_pool : public connection_owner,
                        public std::enable_shared_from_this<connection_pool> {
public:
    /// Without `descriptors`, the number of connections is not bounded.
    connection_pool(boost::asio::io_context& context, std::size_t max_idle_per_peer,
                    descriptor_budget* descriptors);
    ~connection_pool() override;
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// A connection that is yet to be opened, or null if there is no descriptor for it.
    http_connection_ptr create();
    /// An idle connection to `peer`, or null.
    http_connection_ptr acquire_idle(const network_address& peer);
    void release(const network_address& peer, http_connection_ptr connection,
                 duration idle_timeout);
    void close_idle_to(const network_address& peer);
    [[nodiscard]] bool has_idle(const network_address& peer) const;

    [[nodiscard]] connection_counts connections() const override;
    std::size_t close_idle(std::size_t count) override;

    /// Leaves the descriptor budget, which connections in use may outlive.
    void detach();

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct idle_connection {
        http_connection_ptr connection;
        time_point idle_since;
        time_point expires_at; ///< not used for a request from then on
    };

    void schedule_sweep();
    void sweep();

    boost::asio::io_context& context;
    std::size_t max_idle_per_peer;
    descriptor_budget* descriptors;
    std::shared_ptr<std::size_t> open_count = std::make_shared<std::size_t>(0);
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::size_t idle_count = 0;
    std::map<network_address, std::deque<idle_connection>> idle; ///< by release; no empty ones
    boost::asio::steady_timer sweep_timer;
    bool is_sweep_scheduled = false;
};

} // namespace eelgrassbend

#endif
