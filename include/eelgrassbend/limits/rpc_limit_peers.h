#ifndef EELGRASSBEND_LIMITS_RPC_LIMIT_PEERS_H
#define EELGRASSBEND_LIMITS_RPC_LIMIT_PEERS_H

#include "eelgrassbend/limits/limit_peers.h"

namespace eelgrassbend {

class sharded_entry_directory;
class membership;
class peer_rpc;

/// The nodes of an organisation's shard, reached by calls between entry nodes.
class rpc_limit_peers : public limit_peers {
public:
    rpc_limit_peers(peer_rpc& calls, const membership& members,
                    const sharded_entry_directory& shards);

    [[nodiscard]] std::vector<node_id>
    shard_peers(const organisation_id& organisation) const override;
    [[nodiscard]] node_id self() const override;
    void send(const node_id& peer, const limit_share_message& message) override;
    void set_receiver(message_handler handler) override;

private:
    peer_rpc& calls;
    const membership& members;
    const sharded_entry_directory& shards;
};

} // namespace eelgrassbend

#endif
