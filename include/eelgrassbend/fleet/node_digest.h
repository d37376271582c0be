#ifndef EELGRASSBEND_FLEET_NODE_DIGEST_H
#define EELGRASSBEND_FLEET_NODE_DIGEST_H

#include "eelgrassbend/duties/usage_tracker.h"
#include "eelgrassbend/fleet/group_summary.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/placement/load_model.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/quarantine/crash_report.h"
#include "eelgrassbend/rollout/rollout_messages.h"
#include "eelgrassbend/store/topic_relay.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// Identifies one digest of a node.
struct digest_number {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const digest_number&, const digest_number&) = default;
};

/// State that an entry node sends to the others several times a second. Sums are running totals of
/// one incarnation, so that lost and repeated digests are harmless.
struct node_digest {
    node_id node;
    std::uint64_t incarnation = 0; ///< start of the process, microseconds since the Unix epoch
    std::uint64_t sequence = 0;
    bool is_ready = false;   ///< accepts new callers
    bool is_leaving = false; ///< a planned stop has begun
    network_address callers;
    network_address datagrams;
    availability_zone zone;
    std::uint32_t host_memory_mb = 0;        ///< 0: unknown
    std::optional<fencing_token> duty_token; ///< set if the node holds the duties
    bool carries_load = false;               ///< otherwise `work` and `admitted` are absent
    std::map<endpoint_id, endpoint_work> work;
    std::map<organisation_id, double> admitted; ///< quota units since its start
    std::map<usage_window, usage_counts> usage; ///< of the newest windows
    bool reads_store = false;                   ///< its last calls to the store succeeded
    service_demand demand;                      ///< requested by callers since its start
    service_demand slot_demand;                 ///< the same in slot time
    std::optional<digest_number> echo;          ///< newest digest received from the receiver
    std::vector<topic_position> positions;      ///< read from the store for the receiver
    group_id positions_from;                    ///< group of the node that read them
    std::vector<endpoint_incarnation>
        leaving_endpoints;                ///< that reported to this node that they leave
    std::optional<group_summary> summary; ///< of other groups, or for them
    crash_report crashes;
    std::vector<pace_totals> paces;                 ///< of endpoints, from its own attempts
    std::vector<rollout_grant> grants;              ///< of the duty holder, possibly relayed
    std::vector<rollout_observations> observations; ///< of roll-outs
};

/// Maximum size of a digest; fits a datagram.
constexpr std::size_t max_digest_bytes = 1'200;

/// Encodes a digest; omits work entries beyond `max_digest_bytes`, smallest first.
std::string encode_digest(const node_digest& digest);
/// Errors: `invalid_argument`.
result<node_digest> decode_digest(std::string_view bytes);

} // namespace eelgrassbend

#endif
