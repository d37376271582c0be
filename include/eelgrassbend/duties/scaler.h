#ifndef EELGRASSBEND_DUTIES_SCALER_H
#define EELGRASSBEND_DUTIES_SCALER_H

#include "eelgrassbend/duties/duty_calls.h"
#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/duties/scaling_plan.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/placement/demand_tracker.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/repeating_timer.h"
#include "eelgrassbend/support/scheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <tuple>

namespace eelgrassbend {

/// Keeps the number of endpoints of each service at its plan, while this node holds the duties.
class scaler {
public:
    scaler(scheduler& time, event_log& log, duty_lease& lease, const endpoint_table& endpoints,
           const demand_tracker& demand, duty_calls& calls);

    void start();

    void set_table(std::shared_ptr<const route_table> current);

private:
    /// One kind of endpoints of a service in a zone.
    using subject = std::tuple<service_id, availability_zone, bool>;

    struct order_state {
        int count = 0;
        monotonic_time ordered;
        fencing_token token;
        bool is_under_way = false;
        std::optional<monotonic_time> unavailable_since;
    };

    void tick();
    /// Whether the endpoints that there are have registered.
    [[nodiscard]] bool is_settled() const;
    void plan_service(const routed_service& service, fencing_token token);
    void send(const scaling_order& order, fencing_token token);
    void answered(const scaling_order& order, fencing_token token, const result<void>& answer);
    [[nodiscard]] scaling_input observe(const routed_service& service) const;
    void watch_load(const routed_service& service);

    scheduler& time;
    event_log& log;
    duty_lease& lease;
    const endpoint_table& endpoints;
    const demand_tracker& demand;
    duty_calls& calls;
    std::shared_ptr<const route_table> table;
    std::optional<monotonic_time> table_since; ///< arrival of the first one
    callback_scope scope;
    repeating_timer timer;
    std::map<subject, order_state> orders;

    /// What is known of the load of a service.
    struct load_state {
        double total = 0.0; ///< of the demand, at the last look
        std::optional<monotonic_time> looked_at;
        double engines = 0.0;                     ///< that the demand keeps busy, smoothed
        std::size_t provisioned = 0;              ///< endpoints before anything was ordered
        std::optional<monotonic_time> busy_since; ///< when requests first came
    };

    std::map<service_id, load_state> load;
};

} // namespace eelgrassbend

#endif
