#include "eelgrassbend/placement/demand_board.h"

#include "eelgrassbend/placement/engine_model.h"

#include <algorithm>

namespace eelgrassbend {

/// Weight of a request in the share of prompts that engines have to read.
static constexpr double share_weight = 0.02;

// What a request without room would have found kept is not known; it is reckoned like the others.
void demand_board::asked(const service_id& service, std::int64_t prompt,
                         std::optional<std::int64_t> uncached, std::int64_t output)
{
    double& share = this->uncached_share.try_emplace(service, 1.0).first->second;
    if (uncached && prompt > 0) {
        const double seen = static_cast<double>(*uncached) / static_cast<double>(prompt);
        share += share_weight * (std::clamp(seen, 0.0, 1.0) - share);
    }
    const auto to_read =
        uncached.value_or(static_cast<std::int64_t>(share * static_cast<double>(prompt)));
    const std::chrono::duration<double> taken{engine_model::time_taken(to_read, output)};
    this->totals[service] += taken.count();
}

void demand_board::heard(const node_id& node, std::uint64_t incarnation, const service_demand& told)
{
    this->peers.heard(node, incarnation, told);
}

service_demand demand_board::group_totals() const
{
    auto sums = this->totals;
    for (const auto& [service, taken] : this->peers.sums()) {
        sums[service] += taken;
    }
    return sums;
}

// Another node that speaks for a group may know less of what was before; demand only grows.
void demand_board::heard_elsewhere(const service_demand& told)
{
    for (const auto& [service, taken] : told) {
        const auto [before, is_first] = this->elsewhere.try_emplace(service, taken);
        if (!is_first) {
            this->elsewhere_added[service] += std::max(0.0, taken - before->second);
        }
        before->second = taken;
    }
}

double demand_board::total(const service_id& service) const
{
    double sum = 0.0;
    for (const auto* part : {&this->totals, &this->peers.sums(), &this->elsewhere_added}) {
        if (const auto found = part->find(service); found != part->end()) {
            sum += found->second;
        }
    }
    return sum;
}

} // namespace eelgrassbend
