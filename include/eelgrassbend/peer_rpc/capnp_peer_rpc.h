#ifndef EELGRASSBEND_PEER_RPC_CAPNP_PEER_RPC_H
#define EELGRASSBEND_PEER_RPC_CAPNP_PEER_RPC_H

#include "eelgrassbend/peers/frame_authenticator.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/support/scheduler.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace eelgrassbend {

class rpc_runtime;

/// Calls between entry nodes over Cap'n Proto RPC on TCP. The frames of a call and of its answer
/// are authenticated, and the MAC of an answer covers the digest of the call. A call that times out
/// closes its connection, since a middlebox may have dropped its state.
class capnp_peer_rpc : public peer_rpc {
public:
    /// `runtime` must use the same io_context.
    capnp_peer_rpc(boost::asio::io_context& context, rpc_runtime& runtime, scheduler& time,
                   frame_authenticator& authenticator);
    capnp_peer_rpc(const capnp_peer_rpc&) = delete;
    capnp_peer_rpc& operator=(const capnp_peer_rpc&) = delete;
    ~capnp_peer_rpc() override;

    /// Starts to accept connections; port 0 selects a free port. Returns the address that peers
    /// call.
    result<network_address> listen(const network_address& address);
    void stop();

    void call(const network_address& peer, peer_method method, std::string request,
              duration timeout, answer_handler handler) override;
    void serve(peer_method method, method_handler handler) override;

    class implementation; // NOLINT(cppcoreguidelines-virtual-class-destructor)

private:
    std::shared_ptr<implementation> shared;
};

} // namespace eelgrassbend

#endif
