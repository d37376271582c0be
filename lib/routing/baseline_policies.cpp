#include "baseline_policies.h"

#include <optional>

namespace eelgrassbend {

/// First eligible endpoint at or after position `start`, with wrap-around.
static std::optional<endpoint_index>
first_eligible_from(const service_table& table, const route_request& request, std::size_t start)
{
    const auto& live = table.live_endpoints();
    for (std::size_t step = 0; step < live.size(); ++step) {
        const auto index = live[(start + step) % live.size()];
        if (is_eligible(table.at(index), request)) {
            return index;
        }
    }
    return std::nullopt;
}

static result<route_decision> make_decision(const service_table& table,
                                            std::optional<endpoint_index> chosen,
                                            std::string_view policy, std::string reason)
{
    if (!chosen) {
        return make_error(errc::unavailable, "choose endpoint", table.id().value(),
                          "no endpoint takes new work");
    }
    route_decision decision;
    decision.endpoint = table.at(*chosen).info.id;
    decision.policy = policy;
    decision.reason = std::move(reason);
    return decision;
}

static std::size_t random_position(const service_table& table, random_source& random)
{
    return table.live_endpoints().empty() ? 0 : random_below(random, table.live_endpoints().size());
}

result<route_decision> random_policy::choose(service_table& table, const route_request& request)
{
    const auto start = random_position(table, this->random);
    return make_decision(table, first_eligible_from(table, request, start), this->name(),
                         "position " + std::to_string(start));
}

result<route_decision> round_robin_policy::choose(service_table& table,
                                                  const route_request& request)
{
    const auto start = this->next++;
    return make_decision(table, first_eligible_from(table, request, start), this->name(),
                         "turn " + std::to_string(start));
}

result<route_decision> least_outstanding_policy::choose(service_table& table,
                                                        const route_request& request)
{
    const auto& live = table.live_endpoints();
    const auto start = random_position(table, this->random);
    std::optional<endpoint_index> best;
    for (std::size_t step = 0; step < live.size(); ++step) {
        const auto index = live[(start + step) % live.size()];
        if (!is_eligible(table.at(index), request)) {
            continue;
        }
        if (!best || table.at(index).load.own_attempts() < table.at(*best).load.own_attempts()) {
            best = index;
        }
    }
    const auto own_attempts = best ? table.at(*best).load.own_attempts() : 0;
    return make_decision(table, best, this->name(), std::to_string(own_attempts) + " outstanding");
}

result<route_decision> two_choices_policy::choose(service_table& table,
                                                  const route_request& request)
{
    auto first = first_eligible_from(table, request, random_position(table, this->random));
    const auto second = first_eligible_from(table, request, random_position(table, this->random));
    if (first && second &&
        table.at(*second).load.own_attempts() < table.at(*first).load.own_attempts()) {
        first = second;
    }
    const auto own_attempts = first ? table.at(*first).load.own_attempts() : 0;
    return make_decision(table, first, this->name(), std::to_string(own_attempts) + " outstanding");
}

} // namespace eelgrassbend
