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
/// More requests under way than this, and the load has begun.
static constexpr double busy_requests = 1.0;
/// An order that shows no effect is given again after this time beyond the boot time.
static constexpr std::chrono::seconds repeat_margin{3};
/// After the platform had none of a kind, it is asked again after this time.
static constexpr std::chrono::milliseconds unavailable_pause{2500};

scaler::scaler(scheduler& time, event_log& log, duty_lease& lease, const endpoint_table& endpoints,
               const load_model& loads, duty_calls& calls)
    : time(time),
      log(log),
      lease(lease),
      endpoints(endpoints),
      loads(loads),
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
    const bool is_settled = this->time.now() - *this->table_since >= settling_time;
    const auto token = this->lease.token();
    for (const auto& service : this->table->configuration().services) {
        if (!service.scaling) {
            continue;
        }
        // The average goes on without the lease, so that a new holder knows the load.
        this->watch_load(service);
        if (token && is_settled) {
            this->plan_service(service, *token);
        }
    }
}

void scaler::watch_load(const routed_service& service)
{
    double requests = 0.0;
    std::size_t endpoint_count = 0;
    for (const auto& [id, known] : this->endpoints.all()) {
        if (known.record.service == service.id) {
            requests += this->loads.total(id).requests;
            ++endpoint_count;
        }
    }
    auto& state = this->load[service.id];
    const double weight = requests > state.requests ? rising_weight : falling_weight;
    state.requests += weight * (requests - state.requests);
    if (this->orders.empty()) {
        state.provisioned = std::max(state.provisioned, endpoint_count);
    }
    if (!state.busy_since && state.requests > busy_requests) {
        state.busy_since = this->time.now();
    }
}

scaling_input scaler::observe(const routed_service& service) const
{
    scaling_input input;
    input.service = service.id;
    input.limits = *service.scaling;
    const auto& state = this->load.at(service.id);
    input.concurrency = state.requests;
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
    return input;
}

void scaler::plan_service(const routed_service& service, fencing_token token)
{
    const auto input = this->observe(service);
    const auto now = this->time.now();
    for (const auto& order : plan_scaling(input)) {
        const auto found = this->orders.find({order.service, order.zone, order.is_reclaimable});
        if (found != this->orders.end()) {
            const auto& state = found->second;
            const auto& counts = input.zones.at(order.zone);
            const int present = order.is_reclaimable ? counts.reclaimable : counts.on_demand;
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
