#include "eelgrassbend/duties/scaler.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr std::chrono::milliseconds tick_interval{500};
/// Weights of a new load sample in the moving average: increases are followed faster than
/// decreases.
static constexpr double rising_weight = 0.25;
static constexpr double falling_weight = 0.05;
/// Endpoints register within two heartbeats; until then only additional reclaimable endpoints are
/// ordered.
static constexpr std::chrono::seconds registration_time{3};
/// Until the load has been observed for this time, the initial number of endpoints is kept.
static constexpr std::chrono::seconds load_learning_time{12};
/// Above this number of busy engines the load counts as started.
static constexpr double min_busy_engines = 0.1;
/// An order without effect is repeated this long after the boot time.
static constexpr std::chrono::seconds retry_margin{3};
/// Delay before an order is repeated after the platform failed to meet it.
static constexpr std::chrono::milliseconds unavailable_pause{2500};

scaler::scaler(scheduler& time, event_log& log, duty_lease& lease, const endpoint_table& endpoints,
               const demand_tracker& demand, duty_calls& calls)
    : time(time),
      log(log),
      lease(lease),
      endpoints(endpoints),
      demand(demand),
      calls(calls),
      timer(time, tick_interval)
{
}

void scaler::start()
{
    this->timer.start([this] { this->tick(); });
}

void scaler::set_table(std::shared_ptr<const route_table> current)
{
    this->table = std::move(current);
    if (!this->table_since) {
        this->table_since = this->time.now();
    }
}

void scaler::tick()
{
    if (!this->table) {
        return;
    }
    const auto token = this->lease.token();
    for (const auto& service : this->table->configuration().services) {
        // `slot_scaler` orders the endpoints of slot-bound services.
        if (!service.scaling || (service.engine && service.engine->is_slot_bound())) {
            continue;
        }
        // The average is also updated without the lease, so that a new holder knows the load.
        this->update_load(service);
        if (token) {
            this->plan_service(service, *token);
        }
    }
}

bool scaler::is_settled() const
{
    return this->table_since && this->time.now() - *this->table_since >= registration_time;
}

void scaler::update_load(const routed_service& service)
{
    const auto now = this->time.now();
    auto& state = this->load[service.id];
    const double total = this->demand.total(service.id);
    if (state.updated_at) {
        const std::chrono::duration<double> span{now - *state.updated_at};
        const double engines = (total - state.last_total) / span.count();
        const double weight = engines > state.busy_engines ? rising_weight : falling_weight;
        state.busy_engines += weight * (engines - state.busy_engines);
    }
    state.last_total = total;
    state.updated_at = now;
    if (!this->is_settled() || this->orders.empty()) {
        std::size_t endpoint_count = 0;
        for (const auto& [id, known] : this->endpoints.all()) {
            endpoint_count += known.record.service == service.id ? 1 : 0;
        }
        state.initial_endpoints = std::max(state.initial_endpoints, endpoint_count);
    }
    if (!state.busy_since && state.busy_engines > min_busy_engines) {
        state.busy_since = now;
    }
}

scaling_input scaler::make_scaling_input(const routed_service& service) const
{
    scaling_input input;
    input.service = service.id;
    input.limits = *service.scaling;
    const auto& state = this->load.at(service.id);
    input.busy_engines = state.busy_engines;
    if (!state.busy_since || this->time.now() - *state.busy_since < load_learning_time) {
        input.min_total = static_cast<int>(state.initial_endpoints);
    }
    for (const auto& [zone, price] : service.scaling->zone_prices) {
        input.zones[zone];
    }
    for (const auto& [id, known] : this->endpoints.all()) {
        if (known.record.service != service.id || known.record.is_draining) {
            continue;
        }
        auto& counts = input.zones[known.record.zone];
        ++(known.record.is_reclaimable ? counts.reclaimable : counts.on_demand);
    }
    for (const auto& [kind, order] : this->orders) {
        const auto& [id, zone, is_reclaimable] = kind;
        if (id == service.id && is_reclaimable && order.unavailable_since) {
            input.zones[zone].is_sold_out = true;
        }
    }
    return input;
}

void scaler::plan_service(const routed_service& service, fencing_token token)
{
    const auto input = this->make_scaling_input(service);
    const auto now = this->time.now();
    for (const auto& order : plan_scaling(input)) {
        const auto& counts = input.zones.at(order.zone);
        const int registered = order.is_reclaimable ? counts.reclaimable : counts.on_demand;
        // Endpoints that have not registered yet must not be removed.
        if (!this->is_settled() && (!order.is_reclaimable || order.count <= registered)) {
            continue;
        }
        const auto found = this->orders.find({order.service, order.zone, order.is_reclaimable});
        if (found != this->orders.end()) {
            const auto& state = found->second;
            const bool is_new = state.count != order.count || state.token != token;
            const bool has_failed =
                registered != order.count &&
                now - state.ordered_at > service.scaling->boot_time + retry_margin;
            const bool is_paused =
                state.unavailable_since && now - *state.unavailable_since < unavailable_pause;
            if (state.is_in_flight || is_paused || !(is_new || has_failed)) {
                continue;
            }
        }
        this->send_order(order, token);
    }
}

void scaler::send_order(const scaling_order& order, fencing_token token)
{
    auto& state = this->orders[{order.service, order.zone, order.is_reclaimable}];
    state = {order.count, this->time.now(), token, true, std::nullopt};
    this->calls.order(token, order,
                      this->scope.guard([this, order, token](const result<void>& answer) {
                          this->on_order_answered(order, token, answer);
                      }));
}

void scaler::on_order_answered(const scaling_order& order, fencing_token token,
                               const result<void>& answer)
{
    auto& state = this->orders[{order.service, order.zone, order.is_reclaimable}];
    state.is_in_flight = false;
    nlohmann::json line{{"service", order.service.value()},
                        {"zone", order.zone.value()},
                        {"reclaimable", order.is_reclaimable},
                        {"count", order.count},
                        {"token", token.value()}};
    if (answer) {
        this->log.write(log_level::info, "endpoints_ordered", line);
        return;
    }
    line["error"] = answer.error().to_string();
    this->log.write(log_level::warning, "order_failed", line);
    state.unavailable_since = this->time.now();
    state.count = -1; // not accepted by the platform, so ordered again
    if (answer.error().code == errc::conflict) {
        this->lease.on_fenced_off(token);
    }
}

} // namespace eelgrassbend
