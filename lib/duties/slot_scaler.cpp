#include "eelgrassbend/duties/slot_scaler.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace eelgrassbend {

static constexpr std::chrono::milliseconds tick_interval{250};
/// Calls to the platform are billed and limited. At most this many are made at once, and this many
/// per second in the long run.
static constexpr double max_calls_at_once = 4.0;
static constexpr double calls_per_second = 3.0;
/// Until the load has been observed for this time, the initial number of endpoints is kept; then
/// the bound falls to zero over the second time.
static constexpr std::chrono::seconds load_learning_time{12};
static constexpr std::chrono::seconds initial_release_time{20};
/// Above this number of busy engines the load counts as started.
static constexpr double min_busy_engines = 0.1;
/// An order without effect is repeated this long after the boot time.
static constexpr std::chrono::seconds retry_margin{3};
/// Delay before an order is repeated after the platform failed to meet it.
static constexpr std::chrono::milliseconds failure_pause{2500};
/// The same after repeated refusals; a zone that has no endpoints to offer recovers slowly.
static constexpr std::chrono::seconds refusal_pause{5};
/// Delay before an order is repeated because registered endpoints were lost.
static constexpr std::chrono::seconds loss_pause{1};
/// Delay before an order is repeated because more endpoints exist. Longer than the overlap of two
/// versions in a roll-out.
static constexpr std::chrono::seconds excess_pause{30};
/// Smaller changes of a plan are not worth a call, unless a small increase has been due for long.
static constexpr double min_increase = 0.1;
static constexpr double min_decrease = 0.15;
static constexpr std::chrono::seconds small_increase_pause{10};
/// Shortest time from an order to a smaller one.
static constexpr std::chrono::seconds decrease_pause{5};

static bool is_worth_a_call(const scaling_order& order, int current)
{
    const int change = order.count - current;
    return change > 0 ? change >= min_increase * current : -change > min_decrease * current;
}

slot_scaler::slot_scaler(scheduler& time, event_log& log, metrics& counters, duty_lease& lease,
                         const endpoint_table& endpoints, const demand_tracker& demand,
                         const engine_cost_estimator& costs, duty_calls& calls)
    : time(time),
      log(log),
      counters(counters),
      lease(lease),
      endpoints(endpoints),
      demand(demand),
      costs(costs),
      calls(calls),
      timer(time, tick_interval),
      calls_left(max_calls_at_once)
{
}

void slot_scaler::start(records_time records_as_of_time)
{
    this->records_as_of = std::move(records_as_of_time);
    this->timer.start([this] { this->tick(); });
}

void slot_scaler::set_table(std::shared_ptr<const route_table> current)
{
    this->table = std::move(current);
}

void slot_scaler::tick()
{
    if (!this->table || !this->table->has_slot_bound_service()) {
        return;
    }
    const std::chrono::duration<double> interval{tick_interval};
    this->calls_left =
        std::min(max_calls_at_once, this->calls_left + calls_per_second * interval.count());
    const auto token = this->lease.token();
    for (const auto& service : this->table->configuration().services) {
        if (!service.scaling || !service.engine || !service.engine->is_slot_bound()) {
            continue;
        }
        this->observe_load(service);
        // Other nodes need the endpoints only until their initial number is known.
        if (!token && this->services[service.id].initial.count()) {
            continue;
        }
        const auto zones = this->count_endpoints(service);
        this->observe_endpoints(service, zones);
        if (token) {
            this->plan_service(service, zones, *token);
        }
    }
}

slot_scaler::zone_counts slot_scaler::count_endpoints(const routed_service& service) const
{
    zone_counts zones;
    for (const auto& [zone, price] : service.scaling->zone_prices) {
        zones[zone];
    }
    for (const auto& [id, known] : this->endpoints.all()) {
        if (known.record.service == service.id && !known.record.is_draining) {
            auto& counts = zones[known.record.zone];
            ++(known.record.is_reclaimable ? counts.reclaimable : counts.on_demand);
        }
    }
    return zones;
}

void slot_scaler::observe_load(const routed_service& service)
{
    const auto now = this->time.now();
    auto& state = this->services[service.id];
    state.engine_time.update(this->demand.total(service.id), now);
    state.slot_time.update(this->demand.slots().total(service.id), now);
    if (!state.busy_since && state.engine_time.value() > min_busy_engines) {
        state.busy_since = now;
    }
    // The first requests are counted with the constants, which may be wrong by a factor of two.
    if (state.busy_since && !state.is_settled && now - *state.busy_since >= load_learning_time) {
        state.is_settled = true;
        state.engine_time.settle();
        state.slot_time.settle();
    }
}

void slot_scaler::observe_endpoints(const routed_service& service, const zone_counts& zones)
{
    int registered = 0;
    for (const auto& [zone, counts] : zones) {
        registered += counts.on_demand + counts.reclaimable;
        this->observe_kind({service.id, zone, true}, counts.reclaimable,
                           service.scaling->boot_time);
        this->observe_kind({service.id, zone, false}, counts.on_demand, service.scaling->boot_time);
    }
    // While this node is cut off from the records, missing registrations say nothing.
    if (const auto as_of = this->records_as_of()) {
        this->services[service.id].initial.observe(registered, *as_of);
    }
}

// The platform refuses an order for more endpoints than it has, or accepts it and starts fewer.
void slot_scaler::observe_kind(const endpoint_kind& kind, int registered, duration boot_time)
{
    const auto found = this->orders.find(kind);
    if (found == this->orders.end()) {
        return;
    }
    auto& last = found->second;
    if (registered > last.highest_registered) {
        last.highest_registered = registered;
        this->sold_out.erase(kind);
    }
    const bool is_overdue = this->time.now() - last.ordered_at > boot_time + retry_margin;
    if (is_overdue && registered < last.count && registered == last.highest_registered) {
        this->sold_out.insert(kind);
    }
}

int slot_scaler::min_total(const service_state& state) const
{
    const int initial = state.initial.count().value_or(0);
    if (!state.busy_since) {
        return initial;
    }
    const auto observed_for = this->time.now() - *state.busy_since;
    const std::chrono::duration<double> release = observed_for - load_learning_time;
    const std::chrono::duration<double> release_time{initial_release_time};
    return static_cast<int>(std::clamp(1.0 - release / release_time, 0.0, 1.0) * initial);
}

void slot_scaler::plan_service(const routed_service& service, const zone_counts& zones,
                               fencing_token token)
{
    const auto& state = this->services[service.id];
    if (!state.initial.count()) {
        return;
    }
    slot_scaling_input input;
    input.service = service.id;
    input.limits = *service.scaling;
    input.busy_engines = state.engine_time.value();
    input.busy_slots = state.slot_time.value();
    input.slots_per_engine = service.engine->slots;
    input.min_total = this->min_total(state);
    input.zones = zones;
    for (auto& [zone, counts] : input.zones) {
        counts.is_sold_out = this->sold_out.contains({service.id, zone, true});
    }
    const auto plan = plan_slot_scaling(input);
    bool is_any_due = false;
    // Increases come first, in case not all calls can be made now.
    for (const bool is_increase : {true, false}) {
        for (const auto& order : plan.orders) {
            const auto& counts = input.zones.at(order.zone);
            const int registered = order.is_reclaimable ? counts.reclaimable : counts.on_demand;
            if (this->calls_left >= 1.0 && (order.count > registered) == is_increase &&
                this->is_due(order, registered, token, service.scaling->boot_time)) {
                is_any_due = true;
                this->send_order(order, registered, token);
            }
        }
    }
    this->report_plan(input, plan, is_any_due);
}

void slot_scaler::report_plan(const slot_scaling_input& input, const slot_scaling_plan& plan,
                              bool is_any_due)
{
    int reclaimable = 0;
    int on_demand = 0;
    for (const auto& order : plan.orders) {
        (order.is_reclaimable ? reclaimable : on_demand) += order.count;
    }
    int registered = 0;
    for (const auto& [zone, counts] : input.zones) {
        registered += counts.reclaimable + counts.on_demand;
    }
    const auto learned = this->costs.costs(input.service);
    const metric_labels labels{{"service", input.service.value()}};
    const auto set = [&](const std::string& name, double value) {
        this->counters.set("eelgrassbend_scaling_" + name, labels, value);
    };
    set("busy_engines", input.busy_engines);
    set("busy_slots", input.busy_slots);
    set("present_need", plan.present_need);
    set("burst_need", plan.burst_need);
    set("planned_reclaimable", reclaimable);
    set("planned_on_demand", on_demand);
    set("registered", registered);
    set("prompt_tokens_per_ms", learned.prompt_tokens_per_ms);
    if (!is_any_due) {
        return;
    }
    this->log.write(log_level::info, "scaling_planned",
                    {{"service", input.service.value()},
                     {"busy_engines", input.busy_engines},
                     {"busy_slots", input.busy_slots},
                     {"present_need", plan.present_need},
                     {"burst_need", plan.burst_need},
                     {"min_total", input.min_total},
                     {"reason", to_string(plan.reason)},
                     {"reclaimable", reclaimable},
                     {"on_demand", on_demand},
                     {"registered", registered},
                     {"prompt_tokens_per_ms", learned.prompt_tokens_per_ms},
                     {"overhead_ms", learned.overhead.count()},
                     {"token_ms", learned.token_time.count()}});
}

bool slot_scaler::is_paused(const order_state& last) const
{
    if (last.is_in_flight || !last.failed_at) {
        return last.is_in_flight;
    }
    const bool is_refused_again = last.refusals > 1;
    return this->time.now() - *last.failed_at < (is_refused_again ? refusal_pause : failure_pause);
}

// The platform may have lost endpoints, or carried out an earlier order after the last one.
bool slot_scaler::needs_repeat(const scaling_order& order, const order_state& last, int registered,
                               duration boot_time) const
{
    const auto elapsed = this->time.now() - last.ordered_at;
    if (registered > last.count && registered > order.count) {
        return elapsed > excess_pause;
    }
    const bool has_lost = registered < last.highest_registered && elapsed >= loss_pause;
    const bool is_overdue = registered < last.count && elapsed > boot_time + retry_margin;
    return registered < order.count && (has_lost || is_overdue);
}

bool slot_scaler::is_due(const scaling_order& order, int registered, fencing_token token,
                         duration boot_time) const
{
    const auto found = this->orders.find({order.service, order.zone, order.is_reclaimable});
    if (found == this->orders.end()) {
        return is_worth_a_call(order, registered) ||
               (order.count < registered && this->is_replaced(order));
    }
    const auto& last = found->second;
    if (this->is_paused(last)) {
        return false;
    }
    if (last.failed_at) {
        return order.count != registered;
    }
    if (this->needs_repeat(order, last, registered, boot_time)) {
        return true;
    }
    // Another holder may have ordered since an order with an older token.
    const int current = last.token == token ? last.count : registered;
    const auto elapsed = this->time.now() - last.ordered_at;
    if (order.count > current) {
        return is_worth_a_call(order, current) || elapsed >= small_increase_pause;
    }
    // A few on-demand endpoints cost as much as many reclaimable ones.
    return order.count < current && elapsed >= decrease_pause &&
           (!order.is_reclaimable || is_worth_a_call(order, current));
}

// On-demand endpoints are released a few at a time where a zone has little room for both kinds.
bool slot_scaler::is_replaced(const scaling_order& order) const
{
    const auto found = this->orders.find({order.service, order.zone, true});
    return !order.is_reclaimable && found != this->orders.end() &&
           this->time.now() - found->second.ordered_at >= decrease_pause;
}

void slot_scaler::send_order(const scaling_order& order, int registered, fencing_token token)
{
    this->calls_left -= 1.0;
    auto& state = this->orders[{order.service, order.zone, order.is_reclaimable}];
    state = {order.count, this->time.now(), token, true, std::nullopt, registered, state.refusals};
    this->calls.order(token, order,
                      this->scope.guard([this, order, token](const result<void>& answer) {
                          this->on_order_answered(order, token, answer);
                      }));
}

void slot_scaler::on_order_answered(const scaling_order& order, fencing_token token,
                                    const result<void>& answer)
{
    const endpoint_kind kind{order.service, order.zone, order.is_reclaimable};
    auto& state = this->orders[kind];
    state.is_in_flight = false;
    nlohmann::json line{{"service", order.service.value()},
                        {"zone", order.zone.value()},
                        {"reclaimable", order.is_reclaimable},
                        {"count", order.count},
                        {"token", token.value()}};
    if (answer) {
        state.refusals = 0;
        this->log.write(log_level::info, "endpoints_ordered", line);
        return;
    }
    line["error"] = answer.error().to_string();
    this->log.write(log_level::warning, "order_failed", line);
    state.failed_at = this->time.now();
    if (answer.error().code == errc::not_found) {
        ++state.refusals;
        this->sold_out.insert(kind);
    }
    if (answer.error().code == errc::conflict) {
        this->lease.on_fenced_off(token);
    }
}

} // namespace eelgrassbend
