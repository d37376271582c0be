#include "eelgrassbend/duties/scaler.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr std::chrono::milliseconds tick_time{500};
/// Weights of a new look at the load in its average: more load is followed sooner than less.
static constexpr double rising_weight = 0.25;
static constexpr double falling_weight = 0.05;
/// Endpoints register within two of their heartbeats; nothing is ordered before all are known.
static constexpr std::chrono::seconds settling_time{3};
/// Until the load has been seen for so long, as many endpoints are kept as there were.
static constexpr std::chrono::seconds learning_time{12};
/// More engines kept busy than this, and the load has begun.
static constexpr double busy_engines = 0.1;
/// An order that shows no effect is given again after this time beyond the boot time.
static constexpr std::chrono::seconds repeat_margin{3};
/// After the platform had none of a kind, it is asked again after this time.
static constexpr std::chrono::milliseconds unavailable_pause{2500};

scaler::scaler(scheduler& time, event_log& log, duty_lease& lease, const endpoint_table& endpoints,
               const demand_tracker& demand, duty_calls& calls)
    : time(time),
      log(log),
      lease(lease),
      endpoints(endpoints),
      demand(demand),
      calls(calls),
      timer(time, tick_time)
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
        if (!service.scaling) {
            continue;
        }
        // The average goes on without the lease, so that a new holder knows the load.
        this->watch_load(service);
        if (token) {
            this->plan_service(service, *token);
        }
    }
}

bool scaler::is_settled() const
{
    return this->table_since && this->time.now() - *this->table_since >= settling_time;
}

void scaler::watch_load(const routed_service& service)
{
    const auto now = this->time.now();
    auto& state = this->load[service.id];
    const double total = this->demand.total(service.id);
    if (state.looked_at) {
        const std::chrono::duration<double> span{now - *state.looked_at};
        const double engines = (total - state.total) / span.count();
        const double weight = engines > state.engines ? rising_weight : falling_weight;
        state.engines += weight * (engines - state.engines);
    }
    state.total = total;
    state.looked_at = now;
    if (!this->is_settled() || this->orders.empty()) {
        std::size_t endpoint_count = 0;
        for (const auto& [id, known] : this->endpoints.all()) {
            endpoint_count += known.record.service == service.id ? 1 : 0;
        }
        state.provisioned = std::max(state.provisioned, endpoint_count);
    }
    if (!state.busy_since && state.engines > busy_engines) {
        state.busy_since = now;
    }
}

scaling_input scaler::observe(const routed_service& service) const
{
    scaling_input input;
    input.service = service.id;
    input.limits = *service.scaling;
    const auto& state = this->load.at(service.id);
    input.busy_engines = state.engines;
    if (!state.busy_since || this->time.now() - *state.busy_since < learning_time) {
        input.least_total = static_cast<int>(state.provisioned);
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
    for (const auto& [ordered, order] : this->orders) {
        const auto& [id, zone, is_reclaimable] = ordered;
        if (id == service.id && is_reclaimable && order.unavailable_since) {
            input.zones[zone].is_sold_out = true;
        }
    }
    return input;
}

void scaler::plan_service(const routed_service& service, fencing_token token)
{
    const auto input = this->observe(service);
    const auto now = this->time.now();
    for (const auto& order : plan_scaling(input)) {
        const auto& counts = input.zones.at(order.zone);
        const int present = order.is_reclaimable ? counts.reclaimable : counts.on_demand;
        // Endpoints that have not registered yet must not be ordered away.
        if (!this->is_settled() && (!order.is_reclaimable || order.count <= present)) {
            continue;
        }
        const auto found = this->orders.find({order.service, order.zone, order.is_reclaimable});
        if (found != this->orders.end()) {
            const auto& state = found->second;
            const bool is_new = state.count != order.count || state.token != token;
            const bool has_failed =
                present != order.count &&
                now - state.ordered > service.scaling->boot_time + repeat_margin;
            const bool must_wait =
                state.unavailable_since && now - *state.unavailable_since < unavailable_pause;
            if (state.is_under_way || must_wait || !(is_new || has_failed)) {
                continue;
            }
        }
        this->send(order, token);
    }
}

void scaler::send(const scaling_order& order, fencing_token token)
{
    auto& state = this->orders[{order.service, order.zone, order.is_reclaimable}];
    state = {order.count, this->time.now(), token, true, std::nullopt};
    this->calls.order(token, order,
                      this->scope.guard([this, order, token](const result<void>& answer) {
                          this->answered(order, token, answer);
                      }));
}

void scaler::answered(const scaling_order& order, fencing_token token, const result<void>& answer)
{
    auto& state = this->orders[{order.service, order.zone, order.is_reclaimable}];
    state.is_under_way = false;
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
    state.count = -1; // unknown to the platform, so ordered again
    if (answer.error().code == errc::conflict) {
        this->lease.fenced_off(token);
    }
}

} // namespace eelgrassbend
