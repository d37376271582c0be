#ifndef EELGRASSBEND_DISSEMINATION_EPIDEMIC_DISSEMINATION_H
#define EELGRASSBEND_DISSEMINATION_EPIDEMIC_DISSEMINATION_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_channel.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

struct dissemination_options {
    std::uint32_t fanout = 4;    ///< random peers that receive a message in the gossip overlay
    std::uint32_t shortcuts = 2; ///< random peers beside the neighbours in the ring overlay
    duration repair_period = std::chrono::seconds{1}; ///< mean interval between two digests
};

struct dissemination_counters {
    std::uint64_t published = 0;
    std::uint64_t delivered = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t forwarded = 0; ///< messages sent on publication or first receipt
    std::uint64_t repaired = 0;  ///< messages sent because of a digest or a request
    std::uint64_t dropped = 0;   ///< too long, too old or above the bound of stored ids
};

/// Epidemic broadcast: forwards each message once, on its first receipt, and repairs losses by
/// exchanging digests of the ids of recent messages. Derived classes select the peers for both.
/// A message expires after a minute; a node that is disconnected for longer does not receive it.
/// The handler of the publishing node is not called.
class epidemic_dissemination : public dissemination {
public:
    epidemic_dissemination(dissemination_options options, membership& members,
                           peer_channel& channel, scheduler& time, random_source& random);
    epidemic_dissemination(const epidemic_dissemination&) = delete;
    epidemic_dissemination& operator=(const epidemic_dissemination&) = delete;
    ~epidemic_dissemination() override;

    void start();
    void stop();
    void publish(const std::string& topic, const std::string& payload) override;
    void subscribe(const std::string& topic, handler receiver) override;

    [[nodiscard]] const dissemination_counters& counters() const { return this->counts; }

    /// Number of ids stored for the detection of duplicates; bounded.
    [[nodiscard]] std::size_t seen_count() const { return this->seen_ids.size(); }

    /// Number of messages stored for repair; bounded.
    [[nodiscard]] std::size_t stored_count() const { return this->stored_messages.size(); }

protected:
    struct peer {
        std::uint64_t position = 0; ///< hash of the id, which orders the ring
        node_id id;
        network_address address;
    };

    /// Selects the peers to which a message from `source` is forwarded; `source` is null if this
    /// node published the message.
    virtual std::vector<network_address> forward_targets(const network_address* source) = 0;
    /// Selects the peers of the next digest.
    virtual std::vector<network_address> repair_targets() = 0;

    /// All live peers, sorted by position.
    [[nodiscard]] const std::vector<peer>& sorted_peers() const { return this->peers; }

    [[nodiscard]] std::uint64_t own_position() const { return this->position; }

    /// Selects up to `count` distinct random peers that are not in `except`.
    std::vector<network_address> random_targets(std::size_t count,
                                                const std::vector<network_address>& except);

    dissemination_options options;

private:
    struct stored_message {
        gossip_message message; ///< with its age on receipt
        monotonic_time received_monotonic;
        wall_time received_wall;
    };

    void on_member_changed(const member& changed);
    void receive(const network_address& from, const peer_message& message);
    void receive_gossip(const network_address& from, const gossip_message& message);
    void receive_digest(const network_address& from, const gossip_digest& digest);
    void receive_request(const network_address& from, const gossip_request& request);
    bool store_message(const gossip_message& message);
    void forward(const gossip_message& message, const network_address* source);
    void send_digests();
    void schedule_repair();
    void remove_expired();
    [[nodiscard]] gossip_message with_current_age(const stored_message& stored) const;

    membership& members;
    peer_channel& channel;
    scheduler& time;
    random_source& random;
    std::uint64_t position;
    std::vector<peer> peers;
    std::map<std::string, handler> handlers;
    std::unordered_map<std::uint64_t, monotonic_time> seen_ids;
    std::deque<std::uint64_t> seen_ids_by_age;
    std::deque<stored_message> stored_messages;
    dissemination_counters counts;
    timer_id timer;
    bool running = false;
    callback_scope scope; ///< invalidates the observer of member changes
};

/// Gossip: forwards to random peers and exchanges digests with a random peer.
class gossip_dissemination : public epidemic_dissemination {
public:
    using epidemic_dissemination::epidemic_dissemination;

private:
    std::vector<network_address> forward_targets(const network_address* source) override;
    std::vector<network_address> repair_targets() override;
};

/// The PolderCast overlay (Setty et al., Middleware 2012) with a single topic: a bidirectional ring
/// in the order of hashed ids, plus random shortcuts. Exchanges digests with ring neighbours and
/// random peers.
class ring_dissemination : public epidemic_dissemination {
public:
    using epidemic_dissemination::epidemic_dissemination;

private:
    std::vector<network_address> forward_targets(const network_address* source) override;
    std::vector<network_address> repair_targets() override;
    [[nodiscard]] std::vector<network_address> neighbours() const;

    std::uint32_t repair_round = 0;
};

} // namespace eelgrassbend

#endif
