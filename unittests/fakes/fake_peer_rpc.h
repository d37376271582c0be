#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_PEER_RPC_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_PEER_RPC_H

#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace eelgrassbend {

class fake_peer_rpc;

/// The network between the `fake_peer_rpc` of all nodes of a test.
struct fake_peer_network {
    scheduler& timer;
    random_source& random;
    duration latency{std::chrono::milliseconds{1}}; ///< one way
    double loss = 0.0;                              ///< share of requests and answers lost
    std::map<network_address, fake_peer_rpc*> nodes;
    std::set<network_address> unreachable; ///< calls to them are `unavailable`
    std::size_t calls = 0;
    std::size_t bytes = 0; ///< of requests and answers
};

/// Calls between nodes of one process, each on its own scheduler.
class fake_peer_rpc : public peer_rpc {
public:
    fake_peer_rpc(fake_peer_network& network, scheduler& timer, network_address address)
        : network(network), timer(timer)
    {
        network.nodes[std::move(address)] = this;
    }

    std::size_t bytes_carried = 0; ///< of requests and answers, sent and received

    void call(const network_address& peer, peer_method method, std::string request,
              duration timeout, answer_handler handler) override
    {
        ++this->network.calls;
        this->network.bytes += request.size();
        this->bytes_carried += request.size();
        auto open = std::make_shared<answer_handler>(std::move(handler));
        const auto close = [open](result<std::string> answer) {
            if (auto waiting = std::exchange(*open, nullptr)) {
                waiting(std::move(answer));
            }
        };
        const auto found = this->network.nodes.find(peer);
        const bool reachable =
            found != this->network.nodes.end() && !this->network.unreachable.contains(peer);
        if (!reachable) {
            this->timer.call_after(2 * this->network.latency, [close, peer] {
                close(make_error(errc::unavailable, "call peer", peer.to_string()));
            });
            return;
        }
        const auto expiry = this->timer.call_after(timeout, [close, peer] {
            close(make_error(errc::timed_out, "call peer", peer.to_string()));
        });
        this->carry(
            [this, callee = found->second, method, request = std::move(request), close, expiry] {
                callee->answer(method, request, [this, close, expiry](result<std::string> answer) {
                    const auto size = answer ? answer.value().size() : 0;
                    this->network.bytes += size;
                    this->bytes_carried += size;
                    this->carry([this, close, expiry, answer = std::move(answer)] {
                        this->timer.call_after(duration::zero(), [this, close, expiry, answer] {
                            this->timer.cancel(expiry);
                            close(answer);
                        });
                    });
                });
            });
    }

    void serve(peer_method method, method_handler handler) override
    {
        this->handlers[method] = std::move(handler);
    }

private:
    template <typename Action>
    void carry(Action action)
    {
        if (this->network.loss > 0.0 && random_unit(this->network.random) < this->network.loss) {
            return;
        }
        this->network.timer.call_after(this->network.latency, std::move(action));
    }

    void answer(peer_method method, std::string request, answer_handler handler)
    {
        this->bytes_carried += request.size();
        this->timer.call_after(duration::zero(), [this, method, request = std::move(request),
                                                  handler = std::move(handler)] {
            const auto found = this->handlers.find(method);
            if (found == this->handlers.end()) {
                handler(make_error(errc::not_found, "serve peer"));
                return;
            }
            found->second(request, handler);
        });
    }

    fake_peer_network& network;
    scheduler& timer;
    std::map<peer_method, method_handler> handlers;
};

} // namespace eelgrassbend

#endif
