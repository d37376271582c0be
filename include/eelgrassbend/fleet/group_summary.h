#ifndef EELGRASSBEND_FLEET_GROUP_SUMMARY_H
#define EELGRASSBEND_FLEET_GROUP_SUMMARY_H

#include "eelgrassbend/duties/usage_board.h"
#include "eelgrassbend/fleet/fleet_groups.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/placement/demand_tracker.h"
#include "eelgrassbend/placement/load_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Work at the endpoints whose keys lie in [from, to); those left out have none.
struct work_range {
    std::uint64_t from = 0;
    std::uint64_t to = std::uint64_t{1} << 32U;
    compact_work work;
};

/// What a group tells the others, or what a node hears of all groups but its own. The parts of a
/// summary travel in datagrams of their own; those that are left out say nothing.
struct group_summary {
    group_id group;                             ///< empty: all groups but the receiver's
    std::uint32_t heard = 0;                    ///< nodes that are heard
    std::uint32_t serving = 0;                  ///< nodes that may be serving, heard or not
    std::optional<network_address> duty_holder; ///< where the holder of the duties hears digests
    std::optional<work_range> work;
    compact_units admitted;             ///< units that its nodes have admitted; running totals
    service_demand demand;              ///< running totals
    std::vector<network_address> ready; ///< some of the nodes that take new callers
    std::map<usage_window, usage_counts> usage;
};

/// Parts that each fit a datagram; usage is left out.
std::vector<group_summary> split_summary(const group_summary& whole);

} // namespace eelgrassbend

#endif
