#ifndef EELGRASSBEND_DISCOVERY_ENTRY_DIRECTORY_H
#define EELGRASSBEND_DISCOVERY_ENTRY_DIRECTORY_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <vector>

namespace eelgrassbend {

/// An entry host that a caller may use.
struct entry_host {
    node_id node;
    network_address address;
    availability_zone zone;
    std::uint32_t weight = 1; ///< callers select hosts in proportion to it
};

struct entry_answer {
    std::vector<entry_host> entries;
    duration time_to_live{}; ///< time for which a caller may cache the answer
};

/// Returns the entry hosts that callers should use.
class entry_directory {
public:
    virtual ~entry_directory() = default;
    [[nodiscard]] virtual entry_answer entries(const organisation_id& organisation,
                                               const service_id& service) const = 0;
};

} // namespace eelgrassbend

#endif
