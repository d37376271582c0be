#include "eelgrassbend/limits/rpc_limit_peers.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// A message that is not taken by then is outdated by the next one.
static constexpr duration call_timeout = std::chrono::milliseconds{400};

rpc_limit_peers::rpc_limit_peers(peer_rpc& calls, const membership& members,
                                 const discovery& shards)
    : calls(calls), members(members), shards(shards)
{
    calls.serve(peer_method::limit_share,
                [this](const std::string& request, const peer_rpc::answer_handler& answer) {
                    auto message = decode_limit_share(request);
                    if (!message) {
                        answer(message.error());
                        return;
                    }
                    if (this->handler) {
                        this->handler(message.value());
                    }
                    answer(std::string{});
                });
}

std::vector<node_id> rpc_limit_peers::shard(const organisation_id& organisation) const
{
    return this->shards.peers_of(organisation);
}

node_id rpc_limit_peers::self() const
{
    return this->members.self().id;
}

void rpc_limit_peers::send(const node_id& peer, const limit_share_message& message)
{
    const auto peers = this->members.peers();
    const auto found = std::ranges::find(peers, peer, &member::id);
    if (found == peers.end()) {
        return;
    }
    // The next message says it all again, so that a lost one needs no retry.
    this->calls.call(found->calls, peer_method::limit_share, encode(message), call_timeout,
                     [](const result<std::string>&) {});
}

void rpc_limit_peers::set_receiver(receiver handler)
{
    this->handler = std::move(handler);
}

} // namespace eelgrassbend
