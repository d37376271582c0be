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

/// What digests are made of and worked into; all outlive the node's presence.
struct fleet_models {
    fleet_view& fleet;
    load_model& loads;
    endpoint_table& endpoints;
    fleet_quota& quotas;
    retry_budget& retries;
    usage_tracker& usage;
    demand_tracker& demand;
};

/// What the groups of a large fleet tell each other. One node of each, its representative, sends
/// the sums of its group to the other representatives and passes theirs on to its own group, so
/// that a node's work grows with the size of its group and not of the fleet. In an undivided fleet
/// it does nothing.
class group_exchange {
public:
    group_exchange(const fleet_models& models, random_source& random);

    void handle_digest(const node_digest& digest, monotonic_time now);
    /// Works in what is known of the other groups, and forgets what is too old.
    void update(monotonic_time now);

    /// Whether this node is to send summaries.
    [[nodiscard]] bool should_send_summaries(monotonic_time now) const;
    /// Of the own group. `ready`: this node's address if it takes new callers.
    [[nodiscard]] group_summary own_summary(monotonic_time now,
                                            const std::optional<network_address>& duty_holder,
                                            const std::optional<network_address>& ready) const;
    /// Of all other groups, for the own one.
    [[nodiscard]] group_summary remote_summary(monotonic_time now) const;
    /// The representatives of the other groups, as far as they are known, else the nodes that are
    /// probably theirs.
    std::vector<network_address> representative_addresses(monotonic_time now);

    /// Where the holder of the duties hears digests, if it is in another group.
    [[nodiscard]] std::optional<network_address> remote_duty_holder(monotonic_time now) const;
    /// Some nodes of other groups that take new callers.
    [[nodiscard]] std::vector<network_address> remote_ready_addresses(monotonic_time now) const;

private:
    /// One or more groups as they were heard last.
    struct group_state {
        std::uint32_t reporting_nodes = 0;
        std::uint32_t serving_nodes = 0;
        std::optional<network_address> duty_holder;
        compact_work work;
        compact_units admitted;
        service_demand demand;
        std::vector<network_address> ready;
        monotonic_time at;
    };

    static void apply_summary(group_state& known, const group_summary& summary, monotonic_time now);
    [[nodiscard]] group_state merge_groups(monotonic_time now) const;
    void update_node_counts(monotonic_time now);

    fleet_models models;
    random_source& random;
    std::map<group_id, group_state> remote_groups; ///< by their representatives
    std::optional<group_state> remote;             ///< all other groups together
    bool has_new_totals = false;                   ///< totals were heard since they were worked in
    std::optional<monotonic_time> representative_since;
    std::size_t search_rounds = 0; ///< rounds of looking for representatives
};

} // namespace eelgrassbend

#endif
