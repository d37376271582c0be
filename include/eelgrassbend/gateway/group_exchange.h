#ifndef EELGRASSBEND_GATEWAY_GROUP_EXCHANGE_H
#define EELGRASSBEND_GATEWAY_GROUP_EXCHANGE_H

#include "eelgrassbend/fleet/fleet_view.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/support/random_source.h"

#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

class part_quarantine;
class rollout_evidence;
class rollout_table;
class stream_baselines;

/// State of the roll-outs at this node.
struct rollout_models {
    rollout_table& table;
    rollout_evidence& evidence; ///< of other nodes
};

/// Models that digests are built from and applied to; all outlive the `node_presence`.
struct fleet_models {
    fleet_view& fleet;
    load_model& loads;
    endpoint_table& endpoints;
    fleet_quota& quotas;
    retry_budget& retries;
    usage_tracker& usage;
    demand_tracker& demand;
    part_quarantine& quarantine;
    stream_baselines& baselines;
    const rollout_models* rollouts = nullptr; ///< null if the deployment has no roll-outs
};

/// Exchanges summaries between the groups of a large fleet. One node of each group, its
/// representative, sends the sums of its group to the other representatives and forwards theirs to
/// its own group, so that the work of a node grows with the size of its group and not of the fleet.
/// Does nothing in an undivided fleet.
class group_exchange {
public:
    group_exchange(const fleet_models& models, random_source& random);

    void handle_digest(const node_digest& digest, monotonic_time now);
    /// Applies the received summaries to the models and expires stale ones.
    void update(monotonic_time now);

    /// Whether this node represents its group in a divided fleet.
    [[nodiscard]] bool should_send_summaries(monotonic_time now) const;
    /// Summary of this node's group. `ready`: address of this node if it accepts new callers.
    [[nodiscard]] group_summary own_summary(monotonic_time now,
                                            const std::optional<network_address>& duty_holder,
                                            const std::optional<network_address>& ready) const;
    /// Merged summary of all other groups, sent to this node's group.
    [[nodiscard]] group_summary remote_summary(monotonic_time now) const;
    /// Addresses of the known representatives of the other groups, and of the likely ones where
    /// none is known.
    std::vector<network_address> representative_addresses(monotonic_time now);

    /// Datagram address of the duty holder, if it is in another group.
    [[nodiscard]] std::optional<network_address> remote_duty_holder(monotonic_time now) const;
    /// Addresses of some nodes of other groups that accept new callers.
    [[nodiscard]] std::vector<network_address> remote_ready_addresses(monotonic_time now) const;

private:
    /// Last received state of one group, or of several merged.
    struct group_state {
        std::uint32_t reporting_nodes = 0;
        std::uint32_t serving_nodes = 0;
        std::optional<network_address> duty_holder;
        compact_work work;
        compact_units admitted;
        service_demand demand;
        service_demand slot_demand;
        std::vector<network_address> ready;
        monotonic_time updated_at;
    };

    static void apply_summary(group_state& known, const group_summary& summary, monotonic_time now);
    [[nodiscard]] group_state merge_groups(monotonic_time now) const;
    void update_node_counts(monotonic_time now);

    fleet_models models;
    random_source& random;
    std::map<group_id, group_state> remote_groups; ///< reported by their representatives
    std::optional<group_state> remote;             ///< all other groups, merged
    bool has_new_totals = false;                   ///< totals not yet applied to the models
    std::optional<monotonic_time> representative_since;
    std::size_t search_rounds = 0; ///< calls of `representative_addresses`
};

} // namespace eelgrassbend

#endif
