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
                          auto wanted = decode_stream_fetch(request);
                          if (!wanted) {
                              answer(wanted.error());
                              return;
                          }
                          answer(encode_stream_fetch_answer(this->take(wanted.value())));
                      });
    this->peers.serve(peer_method::stream_hand_over,
                      [this](const std::string& request, const peer_rpc::answer_handler& answer) {
                          auto state = decode_stream_state(request);
                          if (!state) {
                              answer(state.error());
                              return;
                          }
                          this->keep(std::move(state.value()));
                          answer(std::string{});
                      });
}

void stream_store::on_running(running_handler handler)
{
    this->running = std::move(handler);
}

void stream_store::keep(stream_state state)
{
    const auto key = state.request.value();
    static_cast<void>(this->take(state.request));
    this->bytes += state.size();
    this->order.push_back(key);
    this->states.emplace(key,
                         kept_state{std::move(state), this->time.now() + this->settings.keep_time});
    this->drop_old();
}

// States leave in the order in which they came; taken ones are skipped when their turn comes.
void stream_store::drop_old()
{
    while (!this->order.empty()) {
        const auto found = this->states.find(this->order.front());
        if (found != this->states.end()) {
            const bool too_old = found->second.until <= this->time.now();
            if (!too_old && this->bytes <= this->settings.most_bytes) {
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
    if (this->running) {
        auto answer = this->running(request);
        if (answer.found != stream_fetch_result::not_here) {
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

/// Names of live members and their call addresses.
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

// The node that made the request comes first, then the peers to which it hands over. Nodes can
// differ in their view of the members, so a few more are asked than were told.
std::vector<network_address> stream_store::holders(const request_id& request) const
{
    const auto live = live_peers(this->members);
    std::vector<std::string> names;
    for (const auto& [name, address] : live) {
        names.push_back(name);
    }
    std::vector<network_address> addresses;
    const auto owner = owner_of(request);
    const auto found = owner ? live.find(owner->value()) : live.end();
    if (found != live.end()) {
        addresses.push_back(found->second);
    }
    constexpr std::size_t asked_beyond = 1;
    for (const auto& name :
         rendezvous(request.value(), names, this->settings.copies + asked_beyond)) {
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

void stream_store::find(const request_id& request, found_handler handler)
{
    auto here = this->take(request);
    if (here.found == stream_fetch_result::found) {
        handler(std::move(here.state));
        return;
    }
    if (here.found == stream_fetch_result::busy) {
        handler(make_error(errc::conflict, "find stream", request.value(),
                           "the end of the answer is on its way"));
        return;
    }
    this->ask(request, this->holders(request), std::move(handler));
}

void stream_store::ask(const request_id& request, std::vector<network_address> left,
                       found_handler handler)
{
    if (left.empty()) {
        handler(make_error(errc::not_found, "find stream", request.value(),
                           "no entry node holds the stream"));
        return;
    }
    const auto next = left.front();
    left.erase(left.begin());
    this->peers.call(next, peer_method::stream_fetch, encode_stream_fetch(request),
                     this->settings.call_timeout,
                     [this, request, left = std::move(left),
                      handler = std::move(handler)](const result<std::string>& reply) mutable {
                         if (reply) {
                             auto answer = decode_stream_fetch_answer(reply.value());
                             if (answer && answer.value().found == stream_fetch_result::found) {
                                 handler(std::move(answer.value().state));
                                 return;
                             }
                             if (answer && answer.value().found == stream_fetch_result::busy) {
                                 handler(make_error(errc::conflict, "find stream", request.value(),
                                                    "the end of the answer is on its way"));
                                 return;
                             }
                         }
                         this->ask(request, std::move(left), std::move(handler));
                     });
}

} // namespace eelgrassbend
