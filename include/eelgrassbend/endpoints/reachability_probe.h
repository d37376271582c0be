#ifndef EELGRASSBEND_ENDPOINTS_REACHABILITY_PROBE_H
#define EELGRASSBEND_ENDPOINTS_REACHABILITY_PROBE_H

#include "eelgrassbend/platform/host_list.h"

#include <functional>

namespace eelgrassbend {

enum class reachability {
    accepting, ///< something listens at the address
    refused,   ///< the host answers, but nothing listens at the address
    unknown,   ///< no answer in time
};

/// Finds out whether an address accepts connections, without sending a request.
class reachability_probe {
public:
    using handler = std::function<void(reachability)>;

    virtual ~reachability_probe() = default;
    /// `done` is never called from within `probe`.
    virtual void probe(const network_address& address, handler done) = 0;
};

} // namespace eelgrassbend

#endif
