#ifndef EELGRASSBEND_DUTIES_SLOT_SCALER_H
#define EELGRASSBEND_DUTIES_SLOT_SCALER_H

#include "eelgrassbend/duties/duty_calls.h"
#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/duties/initial_count.h"
#include "eelgrassbend/duties/load_level.h"
#include "eelgrassbend/duties/slot_scaling_plan.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/placement/demand_tracker.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/placement/engine_cost_estimator.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/support/callback_scope.h"
#include "eelgrassbend/support/repeating_timer.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>

namespace eelgrassbend {

/// Orders endpoints of slot-bound services according to their plan while this node holds the duty
/// lease. Every node follows the load, so that a new holder needs no time to learn it.
class slot_scaler {
public:
    slot_scaler(scheduler& time, event_log& log, metrics& counters, duty_lease& lease,
                const endpoint_table& endpoints, const demand_tracker& demand,
                const engine_cost_estimator& costs, duty_calls& calls);

    /// Returns the time up to which the endpoint table has followed the endpoints' records.
    using records_time = std::function<std::optional<monotonic_time>()>;

    void start(records_time records_as_of);

    void set_table(std::shared_ptr<const route_table> current);

private:
    using zone_counts = std::map<availability_zone, zone_endpoints>;
    /// Service, zone and whether the endpoints are reclaimable.
    using endpoint_kind = std::tuple<service_id, availability_zone, bool>;

    /// The last order of a kind, from this node with this token.
    struct order_state {
        int count = 0;
        monotonic_time ordered_at;
        fencing_token token;
        bool is_in_flight = false;
        std::optional<monotonic_time> failed_at;
        /// Most endpoints registered since the order; fewer later means that some were lost.
        int highest_registered = 0;
        int refusals = 0; ///< in succession, because the platform had none
    };

    struct service_state {
        initial_count initial;
        load_level engine_time;
        load_level slot_time;
        std::optional<monotonic_time> busy_since; ///< first time with load
        bool is_settled = false;                  ///< the load has been observed for long enough
    };

    void tick();
    [[nodiscard]] zone_counts count_endpoints(const routed_service& service) const;
    void observe_load(const routed_service& service);
    void observe_endpoints(const routed_service& service, const zone_counts& zones);
    void observe_kind(const endpoint_kind& kind, int registered, duration boot_time);
    [[nodiscard]] int min_total(const service_state& state) const;
    void plan_service(const routed_service& service, const zone_counts& zones, fencing_token token);
    /// Updates the metrics; the log receives a plan only with orders.
    void report_plan(const slot_scaling_input& input, const slot_scaling_plan& plan,
                     bool is_any_due);
    [[nodiscard]] bool is_due(const scaling_order& order, int registered, fencing_token token,
                              duration boot_time) const;
    /// Whether an order of the kind is in flight or failed a moment ago.
    [[nodiscard]] bool is_paused(const order_state& last) const;
    [[nodiscard]] bool needs_repeat(const scaling_order& order, const order_state& last,
                                    int registered, duration boot_time) const;
    /// Whether the order releases on-demand endpoints that have had time to be replaced.
    [[nodiscard]] bool is_replaced(const scaling_order& order) const;
    void send_order(const scaling_order& order, int registered, fencing_token token);
    void on_order_answered(const scaling_order& order, fencing_token token,
                           const result<void>& answer);

    scheduler& time;
    event_log& log;
    metrics& counters;
    duty_lease& lease;
    const endpoint_table& endpoints;
    const demand_tracker& demand;
    const engine_cost_estimator& costs; ///< reported with each plan; the demand contains them
    duty_calls& calls;
    records_time records_as_of;
    std::shared_ptr<const route_table> table;
    callback_scope scope;
    repeating_timer timer;
    double calls_left;
    std::map<endpoint_kind, order_state> orders;
    /// Kinds of which the platform had no more. Kept until one registers, so that the other zones
    /// replace them while the order is repeated.
    std::set<endpoint_kind> sold_out;
    std::map<service_id, service_state> services;
};

} // namespace eelgrassbend

#endif
