#ifndef EELGRASSBEND_LIB_NET_ENDPOINT_POOL_H
#define EELGRASSBEND_LIB_NET_ENDPOINT_POOL_H

#include "eelgrassbend/net/asio_endpoint_client.h"

#include "connection_pool.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace eelgrassbend {

/// What the pool needs of an attempt.
class retirable_attempt {
public:
    virtual ~retirable_attempt() = default;
    [[nodiscard]] virtual bool is_active() const = 0;
    /// Fails the attempt if its connection is older than `generation` and makes no progress.
    virtual void retire(std::uint64_t generation) = 0;
};

/// The connections and the attempts of all endpoints.
struct asio_endpoint_client::pool : std::enable_shared_from_this<asio_endpoint_client::pool> {
    struct endpoint_entry {
        std::uint64_t generation = 0;
        bool is_probing = false;
        std::vector<std::weak_ptr<retirable_attempt>> attempts;
    };

    pool(boost::asio::io_context& context, endpoint_client_limits limits,
         descriptor_budget* descriptors)
        : context(context),
          limits(std::move(limits)),
          connections(std::make_shared<connection_pool>(context, this->limits.max_idle_connections,
                                                        descriptors))
    {
    }

    endpoint_entry& entry_of(const network_address& address);
    void remove_unused_entry(const network_address& address);
    http_connection_ptr create_connection(const network_address& address);
    http_connection_ptr acquire_idle(const network_address& address);
    void release(const network_address& address, http_connection_ptr connection,
                 duration idle_timeout);
    void forget(const network_address& address);
    /// Retires older connections once an endpoint answers on a new one.
    void probe(const network_address& address);
    void end_probe(const network_address& address, std::uint64_t generation, bool is_answered);
    void retire_older_connections(const network_address& address, std::uint64_t probed_generation);

    boost::asio::io_context& context;
    endpoint_client_limits limits;
    std::shared_ptr<connection_pool> connections;
    std::uint64_t last_generation = 0;
    std::map<network_address, endpoint_entry> entries; ///< of endpoints with attempts or a probe
};

} // namespace eelgrassbend

#endif
