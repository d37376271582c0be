#include "eelgrassbend/routing/hedge_policy.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// Quantile of the time to the first token after which a request is hedged.
constexpr double estimated_quantile = 0.99;
/// Step of the quantile estimate, as a share of its value.
constexpr double estimate_step = 0.1;
constexpr duration min_hedge_delay = std::chrono::milliseconds{80};
constexpr duration initial_estimate = std::chrono::milliseconds{500};
/// A request is not hedged before this multiple of its predicted time to the first token.
constexpr double prediction_slack = 1.5;

} // namespace

static duration scaled(duration time, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * factor)};
}

std::optional<duration> budgeted_hedge_policy::delay(const route_request& request,
                                                     const route_decision& decision)
{
    const auto current = this->bundles.current();
    const auto spec = std::ranges::find(current->services, request.service, &service_spec::id);
    if (spec == current->services.end() || spec->hedge_budget <= 0.0) {
        return std::nullopt;
    }
    this->budget.earn(request.service, spec->hedge_budget);
    if (!request.idempotent) {
        return std::nullopt;
    }
    const auto predicted =
        decision.candidates.empty() ? duration::zero() : decision.candidates.front().predicted;
    const auto found = this->p99_first_token.find({request.service, request.size});
    const auto typical_time =
        found == this->p99_first_token.end() ? initial_estimate : found->second;
    return std::max({min_hedge_delay, typical_time, scaled(predicted, prediction_slack)});
}

bool budgeted_hedge_policy::try_acquire(const service_id& service)
{
    return this->budget.spend(service);
}

void budgeted_hedge_policy::on_first_token(const service_id& service, request_class size,
                                           duration elapsed)
{
    auto& estimate =
        this->p99_first_token.try_emplace(std::pair{service, size}, initial_estimate).first->second;
    const bool slower = elapsed > estimate;
    const double change = slower ? estimated_quantile : estimated_quantile - 1.0;
    estimate = std::max(min_hedge_delay, estimate + scaled(estimate, estimate_step * change));
}

} // namespace eelgrassbend
