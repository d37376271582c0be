#ifndef EELGRASSBEND_PEERS_PEER_TRANSPORT_H
#define EELGRASSBEND_PEERS_PEER_TRANSPORT_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <functional>
#include <string>

namespace eelgrassbend {

/// Sends small messages that may be lost, doubled or reordered. At most 1,200 bytes each.
class datagram_transport {
public:
    using receiver = std::function<void(const network_address& from, const std::string& bytes)>;

    virtual ~datagram_transport() = default;
    virtual void send(const network_address& to, std::string bytes) = 0;
    /// Replaces the receiver.
    virtual void set_receiver(receiver handler) = 0;
};

/// What a call between entry nodes is for.
enum class peer_method : std::uint16_t {
    claim = 1,    ///< claims: batch an append at the partition's owner
    ledger_store, ///< ledger: keep a replica of lines
    ledger_drop,  ///< ledger: replicas no longer needed
    stream_fetch, ///< serving: what a stream has emitted so far
    stream_hand_over,
    bundle_pull, ///< bundle: signed records from a peer
    state_pull,  ///< membership: the whole member list
    limit_share, ///< limits: usage of an organisation
    load_digest, ///< endpoints: load seen by the watching node
};

/// Calls between entry nodes, authenticated both ways. An answer that does not come within
/// the timeout is `timed_out`; a peer that could not be reached is `unavailable`.
class peer_rpc {
public:
    using answer_handler = std::function<void(result<std::string>)>;
    using method_handler = std::function<void(const std::string& request, answer_handler answer)>;

    virtual ~peer_rpc() = default;
    virtual void call(const network_address& peer, peer_method method, std::string request,
                      duration timeout, answer_handler handler) = 0;
    /// Answers calls of `method`; one handler a method.
    virtual void serve(peer_method method, method_handler handler) = 0;
};

} // namespace eelgrassbend

#endif
