#ifndef EELGRASSBEND_GATEWAY_POSITION_RELAY_H
#define EELGRASSBEND_GATEWAY_POSITION_RELAY_H

#include "eelgrassbend/fleet/fleet_view.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/store/topic_relay.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Builds digests with the state of this node.
class digest_source {
public:
    virtual ~digest_source() = default;
    virtual node_digest make_digest() = 0;
};

/// Relays the positions that one node has read in the store: to the other nodes of its group, and
/// through the representatives to the other groups. One node reads for all groups. While none of
/// its positions arrive, each group has a reader of its own.
class position_relay : public topic_relay {
public:
    /// Receives a position read by another node. `as_of`: everything written before it is included.
    using position_handler =
        std::function<void(const topic_position&, std::optional<monotonic_time> as_of)>;

    position_relay(datagram_transport& datagrams, scheduler& time, const fleet_view& fleet,
                   digest_source& digests);

    void start(position_handler handler) { this->on_position = std::move(handler); }

    /// Handles the positions in a digest of another node. `sent_at`: when this node sent the digest
    /// that it echoes; nothing if unknown.
    void handle_digest(const node_digest& digest, std::optional<monotonic_time> sent_at);

    [[nodiscard]] bool is_reader() const override;
    void publish(const std::vector<topic_position>& positions) override;

private:
    void send_positions(const std::vector<const known_node*>& receivers,
                        const std::vector<topic_position>& positions, const group_id& origin);
    /// Sends positions to the nodes that the reader itself does not send to.
    void forward_positions(const node_digest& digest, const std::vector<topic_position>& positions);

    datagram_transport& datagrams;
    scheduler& time;
    const fleet_view& fleet;
    digest_source& digests;
    position_handler on_position;
    std::optional<monotonic_time>
        remote_reader_seen_at; ///< newest positions of a group ordered before this one
};

} // namespace eelgrassbend

#endif
