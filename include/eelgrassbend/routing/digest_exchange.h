#ifndef EELGRASSBEND_ROUTING_DIGEST_EXCHANGE_H
#define EELGRASSBEND_ROUTING_DIGEST_EXCHANGE_H

#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/routing/service_router.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <vector>

namespace eelgrassbend {

/// Sends this node's load digest to its peers, within the bandwidth budget for digests, and
/// applies the digests received from them.
class digest_exchange {
public:
    /// Returns the peers that use the same endpoints.
    using receiver_list = std::function<std::vector<network_address>()>;

    digest_exchange(scheduler& timers, peer_rpc& calls, service_router& router, node_id self,
                    receiver_list receivers);
    ~digest_exchange();
    digest_exchange(const digest_exchange&) = delete;
    digest_exchange& operator=(const digest_exchange&) = delete;

private:
    void publish();

    scheduler& timers;
    peer_rpc& calls;
    service_router& router;
    node_id self;
    receiver_list receivers;
    timer_id next;
};

} // namespace eelgrassbend

#endif
