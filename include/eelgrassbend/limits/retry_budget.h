#ifndef EELGRASSBEND_LIMITS_RETRY_BUDGET_H
#define EELGRASSBEND_LIMITS_RETRY_BUDGET_H

#include "eelgrassbend/support/ids.h"

#include <map>

namespace eelgrassbend {

/// Bounds of attempts beyond the first of each request, over all nodes in any window.
struct retry_bounds {
    double ratio = 0.0; ///< of the requests
    double slack = 0.0; ///< attempts in a window
};

/// This node's part of the retry budget of each service. Its own requests earn attempts; the
/// slack is divided among the nodes, so that no message is needed to keep the sum in bounds.
class retry_budget {
public:
    explicit retry_budget(retry_bounds bounds) : bounds(bounds) {}

    void set_node_count(std::size_t count);
    /// A request for the service arrived.
    void earn(const service_id& service);
    /// Takes one attempt; false if none is left.
    bool spend(const service_id& service);

private:
    [[nodiscard]] double max_level() const;
    double& level(const service_id& service);

    retry_bounds bounds;
    double node_count = 1.0;
    std::map<service_id, double> levels;
};

} // namespace eelgrassbend

#endif
