#ifndef EELGRASSBEND_LIMITS_RPC_LIMIT_PEERS_H
#define EELGRASSBEND_LIMITS_RPC_LIMIT_PEERS_H

#include "eelgrassbend/discovery/discovery.h"
#include "eelgrassbend/limits/limit_peers.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_transport.h"

namespace eelgrassbend {

/// Reaches the other nodes of a shard by peer calls.
class rpc_limit_peers : public limit_peers {
public:
    rpc_limit_peers(peer_rpc& calls, const membership& members, const discovery& shards);

    [[nodiscard]] std::vector<node_id> shard(const organisation_id& organisation) const override;
    [[nodiscard]] node_id self() const override;
    void send(const node_id& peer, const limit_share_message& message) override;
    void set_receiver(receiver handler) override;

private:
    peer_rpc& calls;
    const membership& members;
    const discovery& shards;
    receiver handler;
};

} // namespace eelgrassbend

#endif
