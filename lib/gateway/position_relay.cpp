#include "eelgrassbend/gateway/position_relay.h"

#include <utility>

namespace eelgrassbend {

position_relay::position_relay(datagram_transport& datagrams, scheduler& time,
                               const fleet_view& fleet, digest_source& digests)
    : datagrams(datagrams), time(time), fleet(fleet), digests(digests)
{
}

// The echo bounds the age of a position: the other node sent it after it received that digest of
// this node. The arrival time is no bound if this process was paused meanwhile.
void position_relay::handle_digest(const node_digest& digest, std::optional<monotonic_time> sent_at)
{
    if (digest.positions.empty()) {
        return;
    }
    const auto now = this->time.now();
    std::vector<topic_position> confirmed;
    for (const auto& position : digest.positions) {
        std::optional<monotonic_time> as_of;
        if (sent_at) {
            as_of = *sent_at - position.age;
            confirmed.push_back(position);
            confirmed.back().age = now - *as_of;
        }
        this->on_position(position, as_of);
    }
    if (confirmed.empty()) {
        return;
    }
    if (digest.positions_from < this->fleet.groups().own_group()) {
        this->remote_reader_seen_at = now;
    }
    this->forward_positions(digest, confirmed);
}

void position_relay::forward_positions(const node_digest& digest,
                                       const std::vector<topic_position>& positions)
{
    const auto now = this->time.now();
    if (!this->fleet.is_representative(now)) {
        return;
    }
    const bool is_own = digest.positions_from == this->fleet.groups().own_group();
    this->send_positions(is_own ? this->fleet.alive_remote_nodes(now)
                                : this->fleet.alive_nodes(now),
                         positions, digest.positions_from);
}

// The reader is the first node of the group by precedence that reaches the store, unless another
// group reads for all.
bool position_relay::is_reader() const
{
    const auto now = this->time.now();
    if (this->remote_reader_seen_at && now - *this->remote_reader_seen_at < node_report_timeout) {
        return false;
    }
    for (const auto* node : this->fleet.alive_nodes(now)) {
        const auto& digest = node->digest;
        if (digest.reads_store && !digest.is_leaving && this->fleet.precedes(digest)) {
            return false;
        }
    }
    return true;
}

void position_relay::publish(const std::vector<topic_position>& positions)
{
    const auto now = this->time.now();
    const auto& origin = this->fleet.groups().own_group();
    this->send_positions(this->fleet.alive_nodes(now), positions, origin);
    if (this->fleet.is_representative(now)) {
        this->send_positions(this->fleet.alive_remote_nodes(now), positions, origin);
    }
}

void position_relay::send_positions(const std::vector<const known_node*>& receivers,
                                    const std::vector<topic_position>& positions,
                                    const group_id& origin)
{
    for (const auto* node : receivers) {
        for (const auto& position : positions) {
            auto digest = this->digests.make_digest();
            digest.echo = digest_number{node->digest.incarnation, node->digest.sequence};
            digest.positions = {position};
            digest.positions_from = origin;
            this->datagrams.send(node->digest.datagrams, encode_digest(digest));
        }
    }
}

} // namespace eelgrassbend
