#ifndef EELGRASSBEND_PEERS_PEER_TRANSPORT_H
#define EELGRASSBEND_PEERS_PEER_TRANSPORT_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <functional>
#include <string>

namespace eelgrassbend {

/// Sends datagrams of at most 1,200 bytes, which may be lost, duplicated or reordered.
class datagram_transport {
public:
    using receiver = std::function<void(const network_address& from, const std::string& bytes)>;

    virtual ~datagram_transport() = default;
    virtual void send(const network_address& to, std::string bytes) = 0;
    /// Replaces the receiver.
    virtual void set_receiver(receiver handler) = 0;
};

/// The methods of calls between entry nodes.
enum class peer_method : std::uint16_t {
    claim = 1,    ///< claims: append a batch at the owner of a partition
    ledger_store, ///< ledger: store a replica of entries
    ledger_drop,  ///< ledger: drop replicas that are no longer needed
    stream_fetch, ///< serving: fetch what a stream has emitted so far
    stream_hand_over,
    bundle_pull, ///< bundle: fetch signed records
    state_pull,  ///< membership: fetch the whole member list
    limit_share, ///< limits: share the usage of an organisation
    load_digest, ///< endpoints: share the load that a node observes
};

/// Calls between entry nodes, with mutual authentication. Errors: `timed_out` if no answer arrives
/// within the timeout, `unavailable` if the peer cannot be reached.
class peer_rpc {
public:
    using answer_handler = std::function<void(result<std::string>)>;
    using method_handler = std::function<void(const std::string& request, answer_handler answer)>;

    virtual ~peer_rpc() = default;
    virtual void call(const network_address& peer, peer_method method, std::string request,
                      duration timeout, answer_handler handler) = 0;
    /// Sets the handler of `method`; each method has a single handler.
    virtual void serve(peer_method method, method_handler handler) = 0;
};

} // namespace eelgrassbend

#endif
