#ifndef EELGRASSBEND_DISCOVERY_SHARDED_ENTRY_DIRECTORY_H
#define EELGRASSBEND_DISCOVERY_SHARDED_ENTRY_DIRECTORY_H

#include "eelgrassbend/discovery/entry_directory.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace eelgrassbend {

/// Entry nodes of a shard for `nodes` live ones in a region: all when there are few.
std::size_t shard_size(std::size_t nodes);

/// Steers callers to few entry nodes for each organisation and service.
class sharded_entry_directory : public entry_directory {
public:
    /// Entry nodes that leave the answers serve on for at least `time_to_live`.
    sharded_entry_directory(const membership& members, duration time_to_live)
        : members(members), time_to_live(time_to_live)
    {
    }

    /// Live nodes of this node's region for the organisation and service; leaving, suspect and dead
    /// ones are left out. Only if there are none, those of other regions.
    [[nodiscard]] entry_answer entries(const organisation_id& organisation,
                                       const service_id& service) const override;

    /// The other nodes of the organisation's shard for any service, for limits.
    [[nodiscard]] std::vector<node_id> shard_peers(const organisation_id& organisation) const;

    /// The nodes that watch an endpoint in `zone`, those of other zones first.
    [[nodiscard]] std::vector<node_id> endpoint_watchers(const endpoint_id& endpoint,
                                                         const availability_zone& zone) const;

private:
    [[nodiscard]] std::vector<member> live_members() const;

    const membership& members;
    duration time_to_live;
};

/// Body of the answer to GET /v1/entries.
nlohmann::json to_json(const entry_answer& answer);

} // namespace eelgrassbend

#endif
