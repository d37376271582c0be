#include "eelgrassbend/routing/digest_exchange.h"

#include <utility>

namespace eelgrassbend {

/// A digest that is not delivered within this time is superseded by the next one.
static constexpr duration call_timeout = std::chrono::milliseconds{400};

digest_exchange::digest_exchange(scheduler& timers, peer_rpc& calls, service_router& router,
                                 node_id self, receiver_list receivers)
    : timers(timers),
      calls(calls),
      router(router),
      self(std::move(self)),
      receivers(std::move(receivers))
{
    calls.serve(peer_method::load_digest,
                [this](const std::string& request, const peer_rpc::answer_handler& answer) {
                    const auto digest = decode_load_digest(request);
                    if (!digest) {
                        answer(digest.error());
                        return;
                    }
                    this->router.apply_digest(digest.value());
                    answer(std::string{});
                });
    this->next = timers.call_after(digest_interval(0, 0), [this] { this->publish(); });
}

digest_exchange::~digest_exchange()
{
    this->timers.cancel(this->next);
    this->calls.serve(peer_method::load_digest,
                      [](const std::string&, const peer_rpc::answer_handler& answer) {
                          answer(make_error(errc::unavailable, "take load digest"));
                      });
}

void digest_exchange::publish()
{
    const auto bytes = encode(this->router.make_digest(this->self));
    const auto peers = this->receivers();
    for (const auto& peer : peers) {
        this->calls.call(peer, peer_method::load_digest, bytes, call_timeout,
                         [](const result<std::string>&) {});
    }
    this->next = this->timers.call_after(digest_interval(bytes.size(), peers.size()),
                                         [this] { this->publish(); });
}

} // namespace eelgrassbend
