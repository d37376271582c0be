#ifndef EELGRASSBEND_ENDPOINTS_ENDPOINT_DIRECTORY_H
#define EELGRASSBEND_ENDPOINTS_ENDPOINT_DIRECTORY_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <functional>
#include <optional>
#include <vector>

namespace eelgrassbend {

enum class endpoint_state { live, leaving, gone };

struct endpoint_info {
    endpoint_id id;
    service_id service;
    availability_zone zone;
    machine_class type;
    bool reclaimable = true;
    network_address address;
    endpoint_state state = endpoint_state::live;
    std::optional<wall_time> taken_at; ///< with `leaving`, if announced
};

/// Tracks the endpoints by the host list, reclaim notices and this node's own observations.
class endpoint_directory {
public:
    virtual ~endpoint_directory() = default;
    /// Live and leaving endpoints.
    [[nodiscard]] virtual std::vector<endpoint_info> endpoints(const service_id& service) const = 0;
    [[nodiscard]] virtual std::optional<endpoint_info> find(const endpoint_id& id) const = 0;
    virtual void on_change(std::function<void(const endpoint_info&)> observer) = 0;
};

} // namespace eelgrassbend

#endif
