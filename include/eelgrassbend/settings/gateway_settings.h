#ifndef EELGRASSBEND_SETTINGS_GATEWAY_SETTINGS_H
#define EELGRASSBEND_SETTINGS_GATEWAY_SETTINGS_H

#include "eelgrassbend/limits/retry_budget.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <optional>
#include <string>

namespace eelgrassbend {

/// Bounds of a roll-out that the deployment guarantees.
struct rollout_bounds {
    double canary_share = 0.1;  ///< of a service's requests that a bad version may receive
    double canary_slack = 50.0; ///< requests that it may receive beyond that
    duration rollback = std::chrono::seconds{5}; ///< from the 50th bad answer to the last request
};

/// Resources that the host grants to the process.
struct process_limits {
    std::size_t memory = std::size_t{160} * 1024 * 1024; ///< bytes; the smallest hosts have this
    std::size_t descriptors = 4096;                      ///< open files, sockets and pipes
};

/// Bounds that the deployment guarantees; internal timeouts are derived from them.
struct gateway_bounds {
    duration removed_key =
        std::chrono::seconds{5}; ///< until requests with a removed key are rejected
    duration configuration =
        std::chrono::seconds{3}; ///< until all nodes apply a change of the configuration
    duration draining =
        std::chrono::seconds{2};             ///< until a leaving endpoint receives no new requests
    duration stop = std::chrono::seconds{8}; ///< from SIGTERM to the end of the process
    retry_bounds retries{0.2, 50.0};
    duration quota_window = std::chrono::seconds{8}; ///< over which quotas are enforced
    duration usage_window = std::chrono::seconds{5}; ///< over which usage is aggregated
    duration usage_due =
        std::chrono::seconds{10}; ///< after the end of a window, until its usage is reported
    duration lease = std::chrono::seconds{3}; ///< lease time of the duty_lease
    /// Maximum time to live of answers of the directory.
    duration directory_time_to_live = std::chrono::seconds{5};
    /// Empty if the deployment has no roll-outs.
    std::optional<rollout_bounds> rollout;
};

/// The settings of a gateway process. `store` and `cloud` are the addresses of other services; the
/// process listens on the other addresses.
struct gateway_settings {
    node_id node;
    region_name region;
    availability_zone zone;
    network_address callers;
    network_address ready;
    network_address directory;
    network_address datagrams;
    network_address metrics;
    network_address store;
    double store_writes_per_second = 400.0; ///< that the store accepts from all nodes
    /// Without it, the process does not compete for the duty lease.
    std::optional<network_address> cloud;
    std::size_t connections = 2048; ///< maximum of caller connections
    std::string log_level = "info"; ///< "debug", "info", "warning" or "error"
    gateway_bounds bounds;
    process_limits limits;
};

/// Reads a settings file. Errors name the file, the line, the key and the allowed values.
result<gateway_settings> read_gateway_settings(const std::string& file);
/// Parses the text of a settings file; `file` is its name in errors.
result<gateway_settings> parse_gateway_settings(const std::string& text, const std::string& file);

} // namespace eelgrassbend

#endif
