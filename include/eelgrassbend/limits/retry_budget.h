#ifndef EELGRASSBEND_LIMITS_RETRY_BUDGET_H
#define EELGRASSBEND_LIMITS_RETRY_BUDGET_H

#include "eelgrassbend/support/ids.h"

#include <map>

namespace eelgrassbend {

/// Fleet-wide bounds of attempts beyond the first of each request, in any window.
struct retry_bounds {
    double ratio = 0.0; ///< of the requests
    double slack = 0.0; ///< attempts in a window
};

/// This node's part of the retry budget of each service. Requests received by this node add
/// attempts; the slack is divided among the nodes, so that the sum stays in bounds without
/// messages.
class retry_budget {
public:
    explicit retry_budget(retry_bounds bounds) : bounds(bounds) {}

    void set_node_count(std::size_t count);
    /// Adds the attempts earned by one request for the service.
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
