#ifndef EELGRASSBEND_BENCH_FLEET_H
#define EELGRASSBEND_BENCH_FLEET_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"

#include <string>
#include <vector>

namespace eelgrassbend::bench {

struct fleet_process {
    std::string name;
    std::string service; ///< endpoints only
    std::string zone;
    network_address address;
};

struct fleet_organisation {
    std::string name;
    std::string key;
};

/// The processes that scripts/local-fleet started.
struct fleet {
    network_address platform;
    std::vector<fleet_process> entries;
    std::vector<fleet_process> endpoints;
    std::vector<fleet_organisation> organisations;
};

/// Reads a fleet.json.
result<fleet> read_fleet(const std::string& file);

/// "http://127.0.0.1:80" or "127.0.0.1:80" as an address.
result<network_address> parse_url(const std::string& url);

} // namespace eelgrassbend::bench

#endif
