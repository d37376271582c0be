#ifndef EELGRASSBEND_ROLLOUT_ROLLOUT_EVIDENCE_H
#define EELGRASSBEND_ROLLOUT_ROLLOUT_EVIDENCE_H

#include "eelgrassbend/rollout/rollout_messages.h"

#include <map>
#include <utility>

namespace eelgrassbend {

/// Observations that other nodes sent to this one. Observations of failed nodes are retained.
class rollout_evidence {
public:
    /// Records running totals of one incarnation of a node; totals of one datagram may cover a part
    /// of the routes. Totals below earlier ones are ignored.
    void apply(const node_id& node, std::uint64_t incarnation,
               const rollout_observations& observed);

    /// Sum over the other nodes.
    [[nodiscard]] rollout_totals totals(const service_id& service, rollout_order_id order) const;

    /// Discards the observations of all other orders of the service.
    void retain(const service_id& service, rollout_order_id order);

private:
    using node_incarnation = std::pair<node_id, std::uint64_t>;

    std::map<service_id, std::map<rollout_order_id, std::map<node_incarnation, rollout_totals>>>
        services;
};

} // namespace eelgrassbend

#endif
