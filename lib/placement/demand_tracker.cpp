#include "eelgrassbend/placement/demand_tracker.h"

#include <algorithm>

namespace eelgrassbend {

/// Weight of one request in the moving average of the uncached share of prompts.
static constexpr double uncached_share_weight = 0.02;

// The uncached part of a refused request is unknown; the average share of the service is used.
void demand_tracker::record_request(const service_id& service, std::int64_t prompt_tokens,
                                    std::optional<std::int64_t> uncached_tokens,
                                    std::int64_t output_tokens,
                                    const std::optional<engine_costs>& learned)
{
    double& share = this->uncached_share.try_emplace(service, 1.0).first->second;
    if (uncached_tokens && prompt_tokens > 0) {
        const double measured_share =
            static_cast<double>(*uncached_tokens) / static_cast<double>(prompt_tokens);
        share += uncached_share_weight * (std::clamp(measured_share, 0.0, 1.0) - share);
    }
    const auto prefill_tokens = uncached_tokens.value_or(
        static_cast<std::int64_t>(share * static_cast<double>(prompt_tokens)));
    if (!learned) {
        const std::chrono::duration<double> time{
            engine_cost_model::engine_time(prefill_tokens, output_tokens)};
        this->engine_time.add(service, time.count());
        return;
    }
    const std::chrono::duration<double> engine{
        engine_cost_model::learned_engine_time(prefill_tokens, output_tokens, *learned)};
    const std::chrono::duration<double> slot{
        engine_cost_model::slot_time(prefill_tokens, output_tokens, *learned)};
    this->engine_time.add(service, engine.count());
    this->slot_time.add(service, slot.count());
}

void fleet_demand::record_peer_totals(const node_id& node, std::uint64_t incarnation,
                                      const service_demand& reported)
{
    this->peers.heard(node, incarnation, reported);
}

service_demand fleet_demand::group_totals() const
{
    auto sums = this->totals;
    for (const auto& [service, seconds] : this->peers.sums()) {
        sums[service] += seconds;
    }
    return sums;
}

// Reports of one group can come from different nodes, and a later reporter may have seen fewer
// requests. Demand never decreases, so negative differences are ignored.
void fleet_demand::record_remote_totals(const service_demand& reported)
{
    for (const auto& [service, seconds] : reported) {
        const auto [before, is_first] = this->last_remote_totals.try_emplace(service, seconds);
        if (!is_first) {
            this->remote_growth[service] += std::max(0.0, seconds - before->second);
        }
        before->second = seconds;
    }
}

double fleet_demand::total(const service_id& service) const
{
    double sum = 0.0;
    for (const auto* part : {&this->totals, &this->peers.sums(), &this->remote_growth}) {
        if (const auto found = part->find(service); found != part->end()) {
            sum += found->second;
        }
    }
    return sum;
}

} // namespace eelgrassbend
