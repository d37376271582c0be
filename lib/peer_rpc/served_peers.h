#ifndef EELGRASSBEND_LIB_PEER_RPC_SERVED_PEERS_H
#define EELGRASSBEND_LIB_PEER_RPC_SERVED_PEERS_H

#include "eelgrassbend/codec/kj_compare.h"

#include "asio_stream.h"

#include <capnp/capability.h>
#include <kj/async.h>

#include <cstddef>
#include <memory>

namespace eelgrassbend {

/// The connections that peers have opened. Serves them as `capnp::TwoPartyServer` does, but bounds
/// their number and the size of a message, which that class leaves at 64 MiB.
class served_peers final : private kj::TaskSet::ErrorHandler {
public:
    served_peers(capnp::Capability::Client calls, std::size_t max_connections,
                 std::size_t max_message_bytes);

    /// Closes the connection if there are too many.
    void accept(kj::Own<asio_stream> stream);

    [[nodiscard]] std::size_t size() const { return *this->open_connections; }

private:
    void taskFailed(kj::Exception&&) override {} // NOLINT(readability-identifier-naming)

    capnp::Capability::Client calls;
    std::size_t max_connections;
    std::size_t max_message_bytes;
    std::shared_ptr<std::size_t> open_connections = std::make_shared<std::size_t>(0);
    kj::TaskSet tasks;
};

} // namespace eelgrassbend

#endif
