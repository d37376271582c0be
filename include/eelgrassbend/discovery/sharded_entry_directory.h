#ifndef EELGRASSBEND_DISCOVERY_SHARDED_ENTRY_DIRECTORY_H
#define EELGRASSBEND_DISCOVERY_SHARDED_ENTRY_DIRECTORY_H

#include "eelgrassbend/discovery/entry_directory.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace eelgrassbend {

/// Number of entry nodes in a shard if a region has `nodes` live ones; all of them if there are
/// few.
std::size_t shard_size(std::size_t nodes);

/// Assigns a small shard of entry nodes to each organisation.
class sharded_entry_directory : public entry_directory {
public:
    /// Entry nodes that are removed from the answers continue to serve for at least `time_to_live`.
    sharded_entry_directory(const membership& members, duration time_to_live)
        : members(members), time_to_live(time_to_live)
    {
    }

    /// Live nodes of this node's region for the organisation and service, or of other regions if
    /// there are none. Leaving, suspect and dead nodes are excluded.
    [[nodiscard]] entry_answer entries(const organisation_id& organisation,
                                       const service_id& service) const override;

    /// The other nodes of the organisation's shard, which share its limits for all services.
    [[nodiscard]] std::vector<node_id> shard_peers(const organisation_id& organisation) const;

    /// The nodes that collect the load reports of an endpoint in `zone` and distribute them. Nodes
    /// of other zones come first, so that a failure of `zone` is detected.
    [[nodiscard]] std::vector<node_id> endpoint_watchers(const endpoint_id& endpoint,
                                                         const availability_zone& zone) const;

private:
    [[nodiscard]] std::vector<member> live_members() const;

    const membership& members;
    duration time_to_live;
};

/// Response body of GET /v1/entries.
nlohmann::json to_json(const entry_answer& answer);

} // namespace eelgrassbend

#endif
