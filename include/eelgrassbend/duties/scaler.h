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

/// Orders endpoints according to the scaling plan of each service while this node holds the duty
/// lease. Leaves slot-bound services to `slot_scaler`.
class scaler {
public:
    scaler(scheduler& time, event_log& log, duty_lease& lease, const endpoint_table& endpoints,
           const demand_tracker& demand, duty_calls& calls);

    void start();

    void set_table(std::shared_ptr<const route_table> current);

private:
    /// Service, zone and whether the endpoints are reclaimable.
    using endpoint_kind = std::tuple<service_id, availability_zone, bool>;

    struct order_state {
        int count = 0;
        monotonic_time ordered_at;
        fencing_token token;
        bool is_in_flight = false;
        std::optional<monotonic_time> unavailable_since;
    };

    void tick();
    /// Whether running endpoints have had time to register.
    [[nodiscard]] bool is_settled() const;
    void plan_service(const routed_service& service, fencing_token token);
    void send_order(const scaling_order& order, fencing_token token);
    void on_order_answered(const scaling_order& order, fencing_token token,
                           const result<void>& answer);
    [[nodiscard]] scaling_input make_scaling_input(const routed_service& service) const;
    void update_load(const routed_service& service);

    scheduler& time;
    event_log& log;
    duty_lease& lease;
    const endpoint_table& endpoints;
    const demand_tracker& demand;
    duty_calls& calls;
    std::shared_ptr<const route_table> table;
    std::optional<monotonic_time> table_since; ///< arrival of the first table
    callback_scope scope;
    repeating_timer timer;
    std::map<endpoint_kind, order_state> orders;

    /// The load of a service.
    struct load_state {
        double last_total = 0.0; ///< total demand at the last update, in seconds
        std::optional<monotonic_time> updated_at;
        double busy_engines = 0.0;                ///< engines kept busy by the demand, smoothed
        std::size_t initial_endpoints = 0;        ///< endpoints before the first order
        std::optional<monotonic_time> busy_since; ///< first time with load
    };

    std::map<service_id, load_state> load;
};

} // namespace eelgrassbend

#endif
