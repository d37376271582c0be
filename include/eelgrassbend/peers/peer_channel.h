#ifndef EELGRASSBEND_PEERS_PEER_CHANNEL_H
#define EELGRASSBEND_PEERS_PEER_CHANNEL_H

#include "eelgrassbend/peers/frame_authenticator.h"
#include "eelgrassbend/peers/peer_message.h"
#include "eelgrassbend/peers/peer_transport.h"

#include <cstdint>
#include <functional>

namespace eelgrassbend {

/// Numbers of frames of a channel since its construction.
struct channel_counters {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t unauthenticated = 0; ///< unknown key or wrong MAC
    std::uint64_t replayed = 0;        ///< replayed or outside the time window
    std::uint64_t malformed = 0;
    std::uint64_t oversized = 0; ///< not sent, since they exceed `max_message_bytes`
};

/// Sends and receives typed, authenticated messages over a datagram transport, for membership and
/// dissemination.
class peer_channel {
public:
    using swim_handler = std::function<void(const network_address& from, const swim_message&)>;
    /// Receives gossip_message, gossip_digest and gossip_request.
    using gossip_handler = std::function<void(const network_address& from, const peer_message&)>;

    /// `own_address` is the address to which peers send.
    peer_channel(datagram_transport& transport, frame_authenticator& authenticator,
                 network_address own_address);
    peer_channel(const peer_channel&) = delete;
    peer_channel& operator=(const peer_channel&) = delete;
    ~peer_channel();

    void send(const network_address& to, const peer_message& message);
    void on_swim(swim_handler handler);
    void on_gossip(gossip_handler handler);

    [[nodiscard]] const channel_counters& counters() const { return this->counts; }

private:
    void receive(const network_address& from, const std::string& bytes);

    datagram_transport& transport;
    frame_authenticator& authenticator;
    std::string own_address;
    swim_handler handle_swim;
    gossip_handler handle_gossip;
    channel_counters counts;
};

} // namespace eelgrassbend

#endif
