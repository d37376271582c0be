#ifndef EELGRASSBEND_PLATFORM_HOST_LIST_H
#define EELGRASSBEND_PLATFORM_HOST_LIST_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassbend {

enum class host_role { entry, endpoint };
enum class host_state { live, leaving };

/// An address that a process listens on.
struct network_address {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string to_string() const { return ip + ":" + std::to_string(port); }

    friend auto operator<=>(const network_address&, const network_address&) = default;
};

struct host_entry {
    host_name name;
    host_role role = host_role::endpoint;
    host_state state = host_state::live;
    region_name region;
    availability_zone zone;
    machine_class type;
    bool reclaimable = true;
    network_address address;
    service_id service; ///< endpoints only
};

/// The platform's list of hosts. It lags behind the truth.
class host_list {
public:
    using handler = std::function<void(result<std::vector<host_entry>>)>;

    virtual ~host_list() = default;
    virtual void fetch(handler done) = 0;
};

} // namespace eelgrassbend

#endif
