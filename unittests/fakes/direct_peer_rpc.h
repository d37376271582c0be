#ifndef EELGRASSBEND_UNITTESTS_FAKES_DIRECT_PEER_RPC_H
#define EELGRASSBEND_UNITTESTS_FAKES_DIRECT_PEER_RPC_H

#include "eelgrassbend/peers/peer_transport.h"

#include <map>
#include <utility>

namespace eelgrassbend::fakes {

class direct_peer_rpc;

/// Nodes by address.
using peer_table = std::map<network_address, direct_peer_rpc*>;

/// Peer calls that are answered at once, within one process.
class direct_peer_rpc : public peer_rpc {
public:
    direct_peer_rpc(peer_table& table, const network_address& own) : table(table)
    {
        table[own] = this;
    }

    void call(const network_address& peer, peer_method method, std::string request,
              duration /*timeout*/, answer_handler handler) override
    {
        this->bytes_sent += request.size();
        const auto found = this->table.find(peer);
        if (found == this->table.end()) {
            handler(make_error(errc::unavailable, "call peer", peer.to_string()));
            return;
        }
        found->second->handlers.at(method)(request, std::move(handler));
    }

    void serve(peer_method method, method_handler handler) override
    {
        this->handlers[method] = std::move(handler);
    }

    std::size_t bytes_sent = 0;

private:
    peer_table& table;
    std::map<peer_method, method_handler> handlers;
};

} // namespace eelgrassbend::fakes

#endif
