#ifndef EELGRASSBEND_SETTINGS_ENTRY_SETTINGS_H
#define EELGRASSBEND_SETTINGS_ENTRY_SETTINGS_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <string>
#include <vector>

namespace eelgrassbend {

/// A key that the entry nodes share to authenticate each other.
struct peer_secret {
    std::uint32_t id = 0;
    std::string secret; ///< at least 16 bytes
};

/// The settings of an entry daemon. Addresses are those to listen on, except `platform`.
struct entry_settings {
    node_id node;
    region_name region;
    availability_zone zone;
    network_address callers;   ///< HTTP, from callers
    network_address calls;     ///< Cap'n Proto RPC between entry nodes, TCP
    network_address datagrams; ///< membership and gossip, UDP
    network_address platform;
    std::vector<operator_key> trusted_operators;
    std::vector<peer_secret> peer_keys; ///< the first key signs; all of them verify

    duration entries_time_to_live = std::chrono::seconds{2};
    duration endpoint_poll_interval = std::chrono::milliseconds{250};
    duration progress_timeout = std::chrono::seconds{5};
    duration bundle_staleness = std::chrono::seconds{15};
    duration stop_limit =
        std::chrono::seconds{60}; ///< maximum wait for active requests at a planned stop
    std::size_t connections = 4096;
    std::string log_level = "info"; ///< "debug", "info", "warning" or "error"
};

/// Reads a settings file. Errors name the file, the line, the key and the allowed values.
result<entry_settings> read_entry_settings(const std::string& file);
/// Parses the text of a settings file; `file` is its name in errors.
result<entry_settings> parse_entry_settings(const std::string& text, const std::string& file);

} // namespace eelgrassbend

#endif
