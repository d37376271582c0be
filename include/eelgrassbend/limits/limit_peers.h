#ifndef EELGRASSBEND_LIMITS_LIMIT_PEERS_H
#define EELGRASSBEND_LIMITS_LIMIT_PEERS_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <functional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Recent usage of an organisation's limits by one node.
struct organisation_usage {
    organisation_id organisation;
    double requests_per_second = 0.0; ///< received, including refused ones
    double share = 0.0;               ///< fraction of the limits assigned to the node, from 0 to 1

    friend bool operator==(const organisation_usage&, const organisation_usage&) = default;
};

/// Usage that a node sends to its peers in a shard.
struct limit_share_message {
    node_id from;
    std::vector<organisation_usage> usages;
};

std::string encode(const limit_share_message& message);
/// Errors: `invalid_argument`.
result<limit_share_message> decode_limit_share(const std::string& bytes);

/// The other nodes that serve an organisation.
class limit_peers {
public:
    using message_handler = std::function<void(const limit_share_message&)>;

    virtual ~limit_peers() = default;
    /// Live nodes of the organisation's shard, without this one.
    [[nodiscard]] virtual std::vector<node_id>
    shard_peers(const organisation_id& organisation) const = 0;
    [[nodiscard]] virtual node_id self() const = 0;
    /// Sends the message to a peer; it may be lost.
    virtual void send(const node_id& peer, const limit_share_message& message) = 0;
    /// Sets the handler for messages from peers; replaces the previous one.
    virtual void set_receiver(message_handler handler) = 0;
};

} // namespace eelgrassbend

#endif
