#ifndef EELGRASSBEND_MEMBERSHIP_SWIM_MEMBERSHIP_H
#define EELGRASSBEND_MEMBERSHIP_SWIM_MEMBERSHIP_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_channel.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrassbend {

struct swim_options {
    duration probe_period = std::chrono::seconds{1};
    std::uint32_t indirect_probes = 3;
    /// Time for a suspect to refute, in probe periods, multiplied by log2 of the number of members.
    double suspicion_factor = 1.0;
    /// Number of times that an update is sent, multiplied by log2 of the number of members.
    double retransmit_factor = 3.0;
    duration dead_retention = std::chrono::minutes{10};
    duration sync_period = std::chrono::seconds{10};
    duration host_list_period = std::chrono::seconds{15};
    /// Offset of the datagram port of an entry host to its port in the host list.
    std::uint16_t datagram_port_offset = 0;
};

/// Events of the failure detector since its construction.
struct swim_counters {
    std::uint64_t suspicions = 0;    ///< by failed probes of this node
    std::uint64_t declared_dead = 0; ///< by suspicion timeouts on this node
    std::uint64_t refutations = 0;   ///< of suspicions about this node
    std::uint64_t pauses = 0;        ///< detected gaps in which this node did not run
    std::uint64_t host_list_errors = 0;
};

class member_table;
class update_queue;
class version_exchange;

/// Failure detection and membership by the SWIM protocol: probes in random round-robin order,
/// indirect probes, suspicion with incarnations, updates piggybacked on probes, and a periodic
/// comparison of member tables that also merges the two sides of a partition.
class swim_membership : public membership {
public:
    /// `self` provides the name, region, zone and addresses; its incarnation and state are ignored.
    swim_membership(member self, swim_options options, peer_channel& channel, scheduler& time,
                    random_source& random, host_list& hosts);
    swim_membership(const swim_membership&) = delete;
    swim_membership& operator=(const swim_membership&) = delete;
    ~swim_membership() override;

    void start();
    void stop();
    /// Sets the bundle version in force on this node; does not change the incarnation.
    void set_bundle_version(bundle_version version);

    [[nodiscard]] const member& self() const override { return this->own; }

    [[nodiscard]] std::vector<member> peers() const override;
    void announce_leaving() override;
    void on_change(std::function<void(const member&)> observer) override;

    /// Whether a newer process uses the name of this node; this one then has stopped.
    [[nodiscard]] bool is_superseded() const { return this->superseded; }

    [[nodiscard]] const swim_counters& counters() const { return this->counts; }

    /// Number of stored members, including dead ones that are not yet removed.
    [[nodiscard]] std::size_t table_size() const;
    /// Number of queued updates.
    [[nodiscard]] std::size_t pending_updates() const;

private:
    struct outstanding_probe {
        node_id target;
        std::uint64_t nonce = 0;
    };

    /// A probe on behalf of another node.
    struct relayed_probe {
        std::uint64_t own_nonce = 0;
        std::uint64_t nonce = 0;
        network_address origin;
        monotonic_time expires_at;
    };

    void schedule_tick();
    void tick();
    void detect_pause();
    void run_probe_phase();
    void finish_probe();
    void begin_probe();
    void probe_directly();
    void probe_indirectly();
    std::optional<node_id> next_target();
    void expire_suspicions();
    void probe_suspects();
    void remove_expired();
    void run_periodic_contacts();
    void synchronise_with(const network_address& address);
    void fetch_host_list();
    void contact_unknown_hosts(const std::vector<host_entry>& entries);
    void contact_dead_member();

    void receive(const network_address& from, const swim_message& message);
    void apply_sender(const member& sender);
    void handle_body(const network_address& from, const swim_message& message);
    void handle_ack(std::uint64_t nonce, const node_id& sender);
    void handle_probe_request(const network_address& from, const probe_request& request);
    void handle_digest(const network_address& from, const table_digest& digest);
    void send_records(const network_address& to, const std::vector<member>& records);

    bool apply(const member& update);
    void apply_to_self(const member& update);
    void suspect(const node_id& id);
    void declare_dead(const node_id& id);
    void enqueue_update(const member& update);
    void send_update_now(const member& update, std::size_t fanout);
    void raise_incarnation(std::uint64_t above);
    bool try_consume_extra_datagram();
    void notify(const member& changed);

    using body = decltype(swim_message::body);
    void send(const network_address& to, body content, const std::vector<member>& first = {});
    std::vector<member> suspicion_of(const node_id& id) const;
    duration suspicion_time() const;
    std::vector<member> random_peers(std::size_t count, const node_id& except) const;

    member own;
    swim_options options;
    peer_channel& channel;
    scheduler& time;
    random_source& random;
    host_list& hosts;
    std::unique_ptr<member_table> table;
    std::unique_ptr<update_queue> updates;
    std::unique_ptr<version_exchange> versions;
    std::vector<std::function<void(const member&)>> observers;
    swim_counters counts;

    bool running = false;
    bool superseded = false;
    timer_id timer;
    monotonic_time started;
    monotonic_time last_tick;
    monotonic_time next_sync;
    monotonic_time next_host_list;
    std::uint32_t phase = 0;           ///< tick within the probe period
    std::uint32_t extra_datagrams;     ///< available budget of datagrams beside probes and digests
    std::uint32_t catch_up_rounds = 0; ///< next ticks that each start a digest exchange
    monotonic_time joining_until; ///< until then each new member triggers another digest exchange
    std::vector<node_id> probe_order;
    std::optional<outstanding_probe> outstanding;
    std::vector<relayed_probe> relayed;
    callback_scope scope; ///< invalidates pending host list callbacks
};

} // namespace eelgrassbend

#endif
