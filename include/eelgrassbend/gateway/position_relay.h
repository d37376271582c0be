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

/// Makes digests that say how this node is.
class digest_source {
public:
    virtual ~digest_source() = default;
    virtual node_digest make_digest() = 0;
};

/// Passes on what one node has read in the store: to the other nodes of its group, and through the
/// representatives to the other groups. One node reads for all groups; when nothing comes from it,
/// each group has a reader of its own until one is heard again.
class position_relay : public topic_relay {
public:
    /// What another node has read, and a time before which all that was written is in it.
    using position_handler =
        std::function<void(const topic_position&, std::optional<monotonic_time> as_of)>;

    position_relay(datagram_transport& datagrams, scheduler& time, const fleet_view& fleet,
                   digest_source& digests, node_id self);

    void start(position_handler handler) { this->on_position = std::move(handler); }

    /// Positions in a digest of another node. `sent_at`: when this node sent the digest that it
    /// echoes; nothing if that is not known.
    void handle_digest(const node_digest& digest, std::optional<monotonic_time> sent_at);

    [[nodiscard]] bool is_reader() const override;
    void publish(const std::vector<topic_position>& positions) override;

private:
    void send_positions(const std::vector<const known_node*>& receivers,
                        const std::vector<topic_position>& positions, const group_id& origin);
    /// To those that cannot have heard them from the reader itself.
    void forward_positions(const node_digest& digest, const std::vector<topic_position>& positions);

    datagram_transport& datagrams;
    scheduler& time;
    const fleet_view& fleet;
    digest_source& digests;
    node_id self;
    position_handler on_position;
    std::optional<monotonic_time>
        remote_reader_seen_at; ///< from a group that comes before the own one
};

} // namespace eelgrassbend

#endif
