#ifndef EELGRASSBEND_PLATFORM_CLOUD_API_H
#define EELGRASSBEND_PLATFORM_CLOUD_API_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Announces that the platform will take a host.
struct reclaim_notice {
    std::uint64_t sequence = 0; ///< grows by one a notice
    host_name host;
    wall_time taken_at;
};

struct host_order {
    std::string client_token; ///< a repeated token orders nothing new
    service_id service;
    availability_zone zone;
    machine_class type;
    bool reclaimable = true;
};

/// Orders and releases hosts. Answers may be lost after the action took effect.
class cloud_api {
public:
    using notices_handler = std::function<void(result<std::vector<reclaim_notice>>)>;
    using order_handler = std::function<void(result<host_name>)>;
    using done_handler = std::function<void(result<void>)>;

    virtual ~cloud_api() = default;
    /// Notices with a sequence of at least `from`.
    virtual void fetch_notices(std::uint64_t from, notices_handler handler) = 0;
    virtual void order(const host_order& order, order_handler handler) = 0;
    virtual void release(const host_name& host, done_handler handler) = 0;
    /// All hosts that the account holds, with the client token of their order.
    virtual void
    list(std::function<void(result<std::vector<std::pair<std::string, host_entry>>>)> handler) = 0;
};

} // namespace eelgrassbend

#endif
