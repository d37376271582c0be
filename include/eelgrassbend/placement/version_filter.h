#ifndef EELGRASSBEND_PLACEMENT_VERSION_FILTER_H
#define EELGRASSBEND_PLACEMENT_VERSION_FILTER_H

#include "eelgrassbend/placement/endpoint_table.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Restricts a placement to endpoints of some versions. Empty: all endpoints.
struct version_filter {
    /// Only endpoints of this version, even if none is left.
    std::optional<software_version> required;
    /// Only endpoints of this version, if any is left.
    std::optional<software_version> only;
    /// With `only`: the number of its endpoints that are used, the same ones on all nodes; 0: all.
    std::size_t max_endpoints = 0;
    /// No endpoints of these versions, unless no others are left.
    std::vector<software_version> excluded;
    /// Endpoints of `excluded` are not used even if no others are left.
    bool is_strict = false;
};

/// Removes the endpoints that the filter does not permit.
void apply_version_filter(std::vector<const known_endpoint*>& usable, const version_filter& filter);

} // namespace eelgrassbend

#endif
