#include "eelgrassbend/limits/rpc_limit_peers.h"

#include "eelgrassbend/discovery/sharded_entry_directory.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_transport.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr std::chrono::milliseconds call_timeout{500};

rpc_limit_peers::rpc_limit_peers(peer_rpc& calls, const membership& members,
                                 const sharded_entry_directory& shards)
    : calls(calls), members(members), shards(shards)
{
}

std::vector<node_id> rpc_limit_peers::shard_peers(const organisation_id& organisation) const
{
    return this->shards.shard_peers(organisation);
}

node_id rpc_limit_peers::self() const
{
    return this->members.self().id;
}

// A lost share is superseded by the next one, so the answer is ignored.
void rpc_limit_peers::send(const node_id& peer, const limit_share_message& message)
{
    const auto peers = this->members.peers();
    const auto found = std::find_if(peers.begin(), peers.end(),
                                    [&](const member& each) { return each.id == peer; });
    if (found != peers.end()) {
        this->calls.call(found->calls, peer_method::limit_share, encode(message), call_timeout,
                         [](const result<std::string>&) {});
    }
}

void rpc_limit_peers::set_receiver(message_handler handler)
{
    this->calls.serve(peer_method::limit_share,
                      [handler = std::move(handler)](const std::string& request,
                                                     const peer_rpc::answer_handler& answer) {
                          auto message = decode_limit_share(request);
                          if (!message) {
                              answer(message.error());
                              return;
                          }
                          handler(message.value());
                          answer(std::string{});
                      });
}

} // namespace eelgrassbend
