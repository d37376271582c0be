#ifndef EELGRASSBEND_NET_ASIO_REACHABILITY_PROBE_H
#define EELGRASSBEND_NET_ASIO_REACHABILITY_PROBE_H

#include "eelgrassbend/endpoints/reachability_probe.h"
#include "eelgrassbend/support/units.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

/// Probes by opening a TCP connection and closing it again.
class asio_reachability_probe : public reachability_probe {
public:
    asio_reachability_probe(boost::asio::io_context& context, duration timeout)
        : context(context), timeout(timeout)
    {
    }

    void probe(const network_address& address, handler done) override;

private:
    boost::asio::io_context& context;
    duration timeout;
};

} // namespace eelgrassbend

#endif
