#include "served_peers.h"

#include <utility>

#include <capnp/rpc-twoparty.h>

namespace eelgrassbend {

namespace {

struct served_connection {
    served_connection(capnp::Capability::Client calls, kj::Own<asio_stream> accepted,
                      capnp::ReaderOptions options, std::shared_ptr<std::size_t> open_connections)
        : count(std::move(open_connections)),
          stream(kj::mv(accepted)),
          network(*this->stream, capnp::rpc::twoparty::Side::SERVER, options),
          system(capnp::makeRpcServer(this->network, kj::mv(calls)))
    {
        ++*this->count;
    }

    ~served_connection() { --*this->count; }

    served_connection(const served_connection&) = delete;
    served_connection& operator=(const served_connection&) = delete;

    std::shared_ptr<std::size_t> count;
    kj::Own<asio_stream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace

served_peers::served_peers(capnp::Capability::Client calls, std::size_t max_connections,
                           std::size_t max_message_bytes)
    : calls(kj::mv(calls)),
      max_connections(max_connections),
      max_message_bytes(max_message_bytes),
      tasks(*this)
{
}

void served_peers::accept(kj::Own<asio_stream> stream)
{
    if (*this->open_connections >= this->max_connections) {
        return;
    }
    capnp::ReaderOptions options;
    options.traversalLimitInWords = this->max_message_bytes / sizeof(capnp::word);
    auto connection =
        kj::heap<served_connection>(this->calls, kj::mv(stream), options, this->open_connections);
    auto ended = connection->network.onDisconnect();
    this->tasks.add(ended.attach(kj::mv(connection)));
}

} // namespace eelgrassbend
