#ifndef EELGRASSBEND_FLEET_GROUP_SUMMARY_H
#define EELGRASSBEND_FLEET_GROUP_SUMMARY_H

#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/fleet/fleet_groups.h"
#include "eelgrassbend/limits/fleet_quota.h"
#include "eelgrassbend/placement/demand_tracker.h"
#include "eelgrassbend/placement/load_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Work at the endpoints whose keys lie in [from, to); endpoints left out have none.
struct work_range {
    std::uint64_t from = 0;
    std::uint64_t to = std::uint64_t{1} << 32U;
    compact_work work;
};

/// State that a group reports to the others, or that a node receives about all groups but its own.
/// The parts of a summary are sent in separate datagrams; absent parts carry no information.
struct group_summary {
    group_id group;                             ///< empty: all groups except the receiver's
    std::uint32_t reporting_nodes = 0;          ///< nodes that send digests
    std::uint32_t serving_nodes = 0;            ///< nodes that may be serving, reporting or not
    std::optional<network_address> duty_holder; ///< where the duty holder receives digests
    std::optional<work_range> work;
    compact_units admitted;             ///< units admitted by its nodes; running totals
    service_demand demand;              ///< running totals
    service_demand slot_demand;         ///< running totals
    std::vector<network_address> ready; ///< some of the nodes that accept new callers
    std::map<usage_window, usage_counts> usage;
};

/// Splits a summary into parts that each fit a datagram; usage is left out.
std::vector<group_summary> split_summary(const group_summary& whole);

} // namespace eelgrassbend

#endif
