#include "baseline_policies.h"

#include <optional>

namespace eelgrassbend {

/// The first eligible endpoint from position `start` on.
static std::optional<endpoint_index> first_from(const service_table& table,
                                                const route_request& request, std::size_t start)
{
    const auto& live = table.live();
    for (std::size_t step = 0; step < live.size(); ++step) {
        const auto index = live[(start + step) % live.size()];
        if (eligible(table.at(index), request)) {
            return index;
        }
    }
    return std::nullopt;
}

static result<route_decision> decide(const service_table& table,
                                     std::optional<endpoint_index> chosen, std::string_view policy,
                                     std::string reason)
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
    return table.live().empty() ? 0 : random_below(random, table.live().size());
}

result<route_decision> random_policy::choose(service_table& table, const route_request& request)
{
    const auto start = random_position(table, this->random);
    return decide(table, first_from(table, request, start), this->name(),
                  "position " + std::to_string(start));
}

result<route_decision> round_robin_policy::choose(service_table& table,
                                                  const route_request& request)
{
    const auto start = this->next++;
    return decide(table, first_from(table, request, start), this->name(),
                  "turn " + std::to_string(start));
}

result<route_decision> least_outstanding_policy::choose(service_table& table,
                                                        const route_request& request)
{
    const auto& live = table.live();
    const auto start = random_position(table, this->random);
    std::optional<endpoint_index> best;
    for (std::size_t step = 0; step < live.size(); ++step) {
        const auto index = live[(start + step) % live.size()];
        if (!eligible(table.at(index), request)) {
            continue;
        }
        if (!best || table.at(index).load.own() < table.at(*best).load.own()) {
            best = index;
        }
    }
    const auto own = best ? table.at(*best).load.own() : 0;
    return decide(table, best, this->name(), std::to_string(own) + " outstanding");
}

result<route_decision> two_choices_policy::choose(service_table& table,
                                                  const route_request& request)
{
    auto first = first_from(table, request, random_position(table, this->random));
    const auto second = first_from(table, request, random_position(table, this->random));
    if (first && second && table.at(*second).load.own() < table.at(*first).load.own()) {
        first = second;
    }
    const auto own = first ? table.at(*first).load.own() : 0;
    return decide(table, first, this->name(), std::to_string(own) + " outstanding");
}

} // namespace eelgrassbend
