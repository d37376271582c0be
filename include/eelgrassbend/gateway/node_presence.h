#ifndef EELGRASSBEND_GATEWAY_NODE_PRESENCE_H
#define EELGRASSBEND_GATEWAY_NODE_PRESENCE_H

#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/fleet/fleet_view.h"
#include "eelgrassbend/gateway/group_exchange.h"
#include "eelgrassbend/gateway/position_relay.h"
#include "eelgrassbend/gateway/quarantine_records.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/placement/load_model.h"
#include "eelgrassbend/store/keyed_follower.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <vector>

namespace eelgrassbend {

/// Identity that a node publishes.
struct node_identity {
    node_id node;
    availability_zone zone;
    network_address callers;
    network_address datagrams;
};

/// Dependencies of `node_presence`; all outlive it.
struct presence_dependencies {
    record_store& store;
    datagram_transport& datagrams;
    scheduler& time;
    random_source& random;
    event_log& log;
};

/// Publishes this node to the others: by a record in the store, written once, and by digests sent
/// to them directly. Receives their digests.
class node_presence : public keyed_observer, public duty_candidates, public digest_source {
public:
    using predicate = std::function<bool()>;

    /// Callbacks to the other parts of the node.
    struct callbacks {
        predicate is_ready;       ///< accepts new callers
        predicate can_read_store; ///< the last calls to the store succeeded
        position_relay::position_handler on_position;
        std::function<void()> on_registered; ///< this node's record is in the store
    };

    node_presence(const presence_dependencies& dependencies, const fleet_models& models,
                  node_identity identity);
    ~node_presence() override;
    node_presence(const node_presence&) = delete;
    node_presence& operator=(const node_presence&) = delete;

    void start(const duty_lease& lease, callbacks handlers);
    /// Sends a digest at once that this node accepts no new callers, and deletes its record.
    void announce_leaving();

    bool on_record_written(const std::string& key, const std::string& value) override;
    void on_record_removed(const std::string& key, bool after_gap) override;

    void on_caught_up(monotonic_time as_of) override;

    [[nodiscard]] bool has_other_holder() const override;
    [[nodiscard]] std::size_t rank() const override;

    [[nodiscard]] fencing_token highest_token() const override { return this->highest_duty_token; }

    node_digest make_digest() override;

    /// Relays the reads of the store by one node to the others.
    [[nodiscard]] topic_relay& relay() { return this->positions; }

    /// Addresses of some nodes of other groups that accept new callers.
    [[nodiscard]] std::vector<network_address> remote_ready_addresses() const;

    /// Topic of the records of entry nodes and of the quarantined prompt parts.
    static store_topic topic() { return {"entry-nodes", true}; }

private:
    [[nodiscard]] std::string own_record() const;
    void register_node();
    void schedule_registration();
    /// This node's record is missing in the store, or is that of a former process.
    void handle_own_record_lost();
    void tick();
    void send_digest();
    void send_usage();
    void send_summary(const group_summary& summary, const std::vector<network_address>& receivers);
    void send_group_summary();
    void send_crash_report(const std::vector<network_address>& receivers);
    void send_remote_summary(const std::vector<network_address>& receivers);
    /// Whether this node passes the grants of the duty holder on.
    [[nodiscard]] bool relays_grants() const;
    [[nodiscard]] bool sends_settled_grants() const;
    void send_grants(const std::vector<network_address>& receivers);
    /// Sends this node's observations of roll-outs to the duty holder.
    void send_observations();
    void apply_rollouts(const node_digest& digest);
    void send(const node_digest& digest, const std::vector<network_address>& receivers);
    void receive(const std::string& bytes);
    /// Datagram address of the duty holder, if it is in this group.
    [[nodiscard]] std::optional<network_address> group_duty_holder() const;
    [[nodiscard]] bool accepts_callers() const;

    presence_dependencies dependencies;
    fleet_models models;
    node_identity identity;
    group_exchange groups;
    position_relay positions;
    quarantine_records quarantines;
    const duty_lease* lease = nullptr;
    callbacks handlers;
    sent_digests sent_times;
    callback_scope scope;
    std::optional<timer_id> timer;
    std::optional<timer_id> register_timer;
    monotonic_time next_digest;
    monotonic_time next_usage;
    monotonic_time next_summary;
    monotonic_time next_observations;
    std::uint64_t usage_rounds = 0;
    std::uint64_t summary_rounds = 0;
    std::uint64_t digest_count = 0;
    std::uint64_t digest_batches = 1; ///< rounds over which a digest to all nodes is spread
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool is_registered = false;
    bool is_leaving = false;
    fencing_token highest_duty_token; ///< that another node has reported
};

} // namespace eelgrassbend

#endif
