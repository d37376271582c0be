#include "eelgrassbend/serving/stream_store.h"

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

stream_store::stream_store(scheduler& time, peer_rpc& peers, const membership& members,
                           stream_store_settings settings)
    : time(time), peers(peers), members(members), settings(settings)
{
}

void stream_store::start()
{
    this->peers.serve(peer_method::stream_fetch,
                      [this](const std::string& request, const peer_rpc::answer_handler& answer) {
                          auto requested = decode_stream_fetch(request);
                          if (!requested) {
                              answer(requested.error());
                              return;
                          }
                          answer(encode_stream_fetch_answer(this->take(requested.value())));
                      });
    this->peers.serve(peer_method::stream_hand_over,
                      [this](const std::string& request, const peer_rpc::answer_handler& answer) {
                          auto state = decode_stream_state(request);
                          if (!state) {
                              answer(state.error());
                              return;
                          }
                          this->insert(std::move(state.value()));
                          answer(std::string{});
                      });
}

void stream_store::set_running_stream_handler(running_stream_handler handler)
{
    this->release_running_stream = std::move(handler);
}

void stream_store::insert(stream_state state)
{
    const auto key = state.request.value();
    static_cast<void>(this->take(state.request));
    this->bytes += state.size();
    this->order.push_back(key);
    this->states.emplace(
        key, stored_state{std::move(state), this->time.now() + this->settings.retention_time});
    this->evict_old();
}

// Evicts states in order of insertion; entries whose state was already removed are skipped.
void stream_store::evict_old()
{
    while (!this->order.empty()) {
        const auto found = this->states.find(this->order.front());
        if (found != this->states.end()) {
            const bool too_old = found->second.expires_at <= this->time.now();
            if (!too_old && this->bytes <= this->settings.max_bytes) {
                return;
            }
            this->bytes -= found->second.state.size();
            this->states.erase(found);
        }
        this->order.pop_front();
    }
}

stream_fetch_answer stream_store::take(const request_id& request)
{
    if (this->release_running_stream) {
        auto answer = this->release_running_stream(request);
        if (answer.outcome != stream_fetch_result::not_here) {
            return answer;
        }
    }
    const auto found = this->states.find(request.value());
    if (found == this->states.end()) {
        return {};
    }
    stream_fetch_answer answer{stream_fetch_result::found, std::move(found->second.state)};
    this->bytes -= answer.state.size();
    this->states.erase(found);
    std::erase(this->order, request.value());
    return answer;
}

/// Maps the names of live members to their call addresses.
static std::unordered_map<std::string, network_address> live_peers(const membership& members)
{
    std::unordered_map<std::string, network_address> live;
    for (const auto& peer : members.peers()) {
        if (peer.state != member_state::dead) {
            live.emplace(peer.id.value(), peer.calls);
        }
    }
    return live;
}

// The node that generated the request id comes first, then the peers to which it hands streams
// over. Views of the membership can differ between nodes, so one more peer is queried than receives
// a copy.
std::vector<network_address> stream_store::candidate_holders(const request_id& request) const
{
    const auto live = live_peers(this->members);
    std::vector<std::string> names;
    for (const auto& [name, address] : live) {
        names.push_back(name);
    }
    std::vector<network_address> addresses;
    const auto owner = find_owner(request);
    const auto found = owner ? live.find(owner->value()) : live.end();
    if (found != live.end()) {
        addresses.push_back(found->second);
    }
    constexpr std::size_t extra_holders = 1;
    for (const auto& name :
         rendezvous(request.value(), names, this->settings.copies + extra_holders)) {
        if (!owner || name != owner->value()) {
            addresses.push_back(live.at(name));
        }
    }
    return addresses;
}

void stream_store::hand_over(const stream_state& state)
{
    const auto live = live_peers(this->members);
    std::vector<std::string> names;
    for (const auto& peer : this->members.peers()) {
        if (peer.state == member_state::alive) {
            names.push_back(peer.id.value());
        }
    }
    const auto bytes_of_state = encode_stream_state(state);
    for (const auto& name : rendezvous(state.request.value(), names, this->settings.copies)) {
        this->peers.call(live.at(name), peer_method::stream_hand_over, bytes_of_state,
                         this->settings.call_timeout, [](const result<std::string>&) {});
    }
}

void stream_store::fetch(const request_id& request, fetch_handler handler)
{
    auto local = this->take(request);
    if (local.outcome == stream_fetch_result::found) {
        handler(std::move(local.state));
        return;
    }
    if (local.outcome == stream_fetch_result::busy) {
        handler(make_error(errc::conflict, "find stream", request.value(),
                           "the end of the answer is on its way"));
        return;
    }
    this->fetch_from_peers(request, this->candidate_holders(request), std::move(handler));
}

void stream_store::fetch_from_peers(const request_id& request,
                                    std::vector<network_address> remaining, fetch_handler handler)
{
    if (remaining.empty()) {
        handler(make_error(errc::not_found, "find stream", request.value(),
                           "no entry node holds the stream"));
        return;
    }
    const auto next = remaining.front();
    remaining.erase(remaining.begin());
    this->peers.call(next, peer_method::stream_fetch, encode_stream_fetch(request),
                     this->settings.call_timeout,
                     [this, request, remaining = std::move(remaining),
                      handler = std::move(handler)](const result<std::string>& reply) mutable {
                         if (reply) {
                             auto answer = decode_stream_fetch_answer(reply.value());
                             if (answer && answer.value().outcome == stream_fetch_result::found) {
                                 handler(std::move(answer.value().state));
                                 return;
                             }
                             if (answer && answer.value().outcome == stream_fetch_result::busy) {
                                 handler(make_error(errc::conflict, "find stream", request.value(),
                                                    "the end of the answer is on its way"));
                                 return;
                             }
                         }
                         this->fetch_from_peers(request, std::move(remaining), std::move(handler));
                     });
}

} // namespace eelgrassbend
