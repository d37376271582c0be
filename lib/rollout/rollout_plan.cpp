#include "eelgrassbend/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace eelgrassbend {

using seconds = std::chrono::duration<double>;

/// Part of the exposure bound that the canary may use; the rest is for the requests between the
/// move of all traffic and the end of the order, in which the version may still turn bad.
static constexpr double canary_budget_part = 0.15;
/// Smallest share, so that a version that turns bad late is still observed.
static constexpr double min_canary_share = 0.005;
/// The share is changed only beyond these factors, since each change is a record in the store.
static constexpr double raise_factor = 1.5;
static constexpr double lower_factor = 0.6;
/// After this part of the order the canary share is not adjusted any more.
static constexpr double last_adjustment_part = 0.6;
/// Canary load on a target slot, relative to an even spread over all slots.
static constexpr double canary_slot_load = 0.8;
/// Parts of the exposure bound that the plan uses; observations are some hundred milliseconds old.
static constexpr double planned_share_part = 0.98;
static constexpr double planned_slack_part = 0.8;
/// Time for which all requests go to the target before the end of the order.
static constexpr double min_move_part = 0.06;
static constexpr std::chrono::milliseconds min_move_time{700};
static constexpr double max_move_part = 0.35;
static constexpr std::chrono::seconds max_move_time{4};
/// Time before the end of the order at which it is reported as complete, if no work is left at the
/// other versions, and in any case. The record and the status take two calls to the store.
static constexpr std::chrono::milliseconds complete_margin{500};
static constexpr std::chrono::milliseconds late_complete_margin{300};
/// Time in which all nodes have received a new grant.
static constexpr std::chrono::milliseconds spread_time{350};
/// Least slots of the target relative to those of the other versions.
static constexpr double min_slot_ratio = 0.5;
/// Requests to the target after which the part of them with a known outcome is compared.
static constexpr std::uint64_t min_outcomes = 10;
static constexpr double min_outcome_part = 0.5;
/// An order that has not moved after this multiple of its length is rolled back.
static constexpr int max_lengths = 2;

/// When a difference between versions is taken to be real.
struct comparison_limits {
    std::uint64_t min_count; ///< bad answers of the target
    double min_difference;   ///< between the shares of bad answers
    double min_ratio;        ///< of these shares
    double min_deviations;   ///< standard deviations of the difference
};

static constexpr comparison_limits failure_limits{4, 0.01, 1.5, 5.0};
/// Prompt caches of new engines are still filling and the sample is small, hence the wide margin.
static constexpr comparison_limits slowness_limits{6, 0.10, 3.0, 5.0};
/// While all requests go to the target, the others are observed at an earlier time only.
static constexpr comparison_limits moving_failure_limits{8, 0.03, 3.0, 6.0};
static constexpr comparison_limits moving_slowness_limits{12, 0.25, 4.0, 6.0};
/// Failures must go on for this long: an endpoint that is lost fails all its requests at once.
static constexpr std::chrono::milliseconds min_failing_time{1000};
static constexpr std::chrono::milliseconds min_moving_failing_time{250};
/// Answers of the other versions below which those since the order are compared.
static constexpr std::uint64_t min_base_answers = 20;
/// Share of the other versions' answers that are at most as slow as the reference.
static constexpr double reference_part = 0.9;
/// Buckets beyond that of the reference from which an answer counts as slow: a factor of 1.4 to 2.
static constexpr std::size_t slow_buckets = 2;

/// Bad answers among all.
struct bad_share {
    double bad = 0.0;
    double all = 0.0;

    [[nodiscard]] double value() const { return this->bad / this->all; }
};

/// Tests two shares with the pooled normal approximation. The other versions count as having ten
/// more answers, half a bad one among them, so that a few answers prove nothing.
static bool is_worse(const bad_share& target, bad_share base, const comparison_limits& limits)
{
    constexpr double prior_bad = 0.5;
    constexpr double prior_all = 10.0;
    if (target.bad < static_cast<double>(limits.min_count)) {
        return false;
    }
    base.bad += prior_bad;
    base.all += prior_all;
    const double difference = target.value() - base.value();
    if (difference < limits.min_difference || target.value() < limits.min_ratio * base.value()) {
        return false;
    }
    const double pooled = (target.bad + base.bad) / (target.all + base.all);
    const double variance = pooled * (1.0 - pooled) * (1.0 / target.all + 1.0 / base.all);
    return difference >= limits.min_deviations * std::sqrt(variance);
}

static bad_share failures_of(const version_totals& totals)
{
    return {static_cast<double>(totals.failures), static_cast<double>(totals.finished())};
}

static bad_share slow_answers_of(const version_totals& totals, std::size_t first_slow)
{
    bad_share share{0.0, static_cast<double>(totals.answers())};
    for (std::size_t index = first_slow; index < totals.slowness.size(); ++index) {
        share.bad += totals.slowness[index];
    }
    return share;
}

/// First bucket of answers that count as slow next to those in `base`.
static std::size_t first_slow_bucket(const version_totals& base)
{
    const double wanted = reference_part * static_cast<double>(base.answers());
    double counted = 0.0;
    std::size_t reference = 0;
    while (reference + 1 < base.slowness.size()) {
        counted += base.slowness[reference];
        if (counted >= wanted) {
            break;
        }
        ++reference;
    }
    return std::max(reference, normal_slowness) + slow_buckets;
}

/// A comparison of one window.
struct comparison {
    bool is_moving = false;
    bool counts_failures = false;
    bool counts_slowness = false;
};

static std::optional<std::string> compare(const version_totals& target, const version_totals& base,
                                          const comparison& compared)
{
    if (compared.counts_failures &&
        is_worse(failures_of(target), failures_of(base),
                 compared.is_moving ? moving_failure_limits : failure_limits)) {
        return "answers fail";
    }
    const auto first_slow = first_slow_bucket(base);
    if (compared.counts_slowness && base.answers() >= min_base_answers &&
        is_worse(slow_answers_of(target, first_slow), slow_answers_of(base, first_slow),
                 compared.is_moving ? moving_slowness_limits : slowness_limits)) {
        return "answers are slow";
    }
    return std::nullopt;
}

static std::optional<std::string> find_fault_in(rollout_totals window, const rollout_input& input,
                                                const comparison& compared)
{
    // Routes with little traffic are compared together.
    window.emplace("", sum_of_routes(window));
    for (const auto& [route, observed] : window) {
        auto base = observed.base;
        if (base.finished() < min_base_answers) {
            const auto all = input.totals.find(route);
            base = all != input.totals.end() ? all->second.base : sum_of_routes(input.totals).base;
        }
        if (const auto fault = compare(observed.target, base, compared)) {
            return *fault + (route.empty() ? std::string{} : " on route " + route);
        }
    }
    return std::nullopt;
}

// Other work on a few hosts slows down answers for about a second; in the canary phase, with few
// endpoints, only longer windows show whether the version is slow.
static std::optional<std::string> find_fault(const rollout_input& input)
{
    comparison compared;
    compared.is_moving = input.phase == rollout_phase::moving;
    compared.counts_failures =
        input.failing_for >= (compared.is_moving ? min_moving_failing_time : min_failing_time);
    compared.counts_slowness = compared.is_moving;
    if (auto fault = find_fault_in(input.short_window, input, compared)) {
        return fault;
    }
    compared.counts_slowness = true;
    if (auto fault = find_fault_in(input.long_window, input, compared)) {
        return fault;
    }
    return find_fault_in(input.totals, input, compared);
}

/// Requests that the target may get by the end of the order, as planned.
static double exposure_bound(const rollout_input& input, double requests, double part)
{
    return part * (planned_share_part * input.bounds.canary_share * requests +
                   planned_slack_part * input.bounds.canary_slack);
}

static double expected_requests(const rollout_input& input)
{
    const seconds left{std::max(duration{}, input.length - input.elapsed)};
    const auto sum = sum_of_routes(input.totals);
    return static_cast<double>(sum.target.requests + sum.base.requests) +
           input.request_rate * left.count();
}

/// Time before the end of the order at which all requests move to the target: so late that the
/// bound holds even if the target is bad from then on.
static duration move_time(const rollout_input& input)
{
    const auto min_time = std::max<duration>(min_move_time, part_of(min_move_part, input.length));
    const auto max_time = std::min<duration>(max_move_time, part_of(max_move_part, input.length));
    const auto exposed = static_cast<double>(sum_of_routes(input.totals).target.requests);
    const double left = exposure_bound(input, expected_requests(input), 1.0) - exposed;
    if (left <= 0.0 || max_time <= min_time) {
        return min_time;
    }
    const seconds time{left / std::max(input.request_rate, 0.001)};
    return std::clamp(std::chrono::duration_cast<duration>(std::min(time, seconds{max_time})),
                      min_time, max_time);
}

static double canary_share(const rollout_input& input)
{
    const auto sum = sum_of_routes(input.totals);
    const auto sent = static_cast<double>(sum.target.requests + sum.base.requests);
    const auto exposed = static_cast<double>(sum.target.requests);
    if (exposed > exposure_bound(input, sent, 1.0)) {
        return 0.0; // more requests have to arrive first
    }
    const seconds left{input.length - move_time(input) - input.elapsed};
    const double expected = input.request_rate * left.count();
    const double budget =
        exposure_bound(input, expected_requests(input), canary_budget_part) - exposed;
    const double planned = expected > 0.0 ? budget / expected : input.bounds.canary_share;
    const int slots = input.target_slots + input.base_slots;
    const double fitting = canary_slot_load * input.target_slots / std::max(1, slots);
    const double most = std::min(input.bounds.canary_share, fitting);
    return std::clamp(planned, std::min(min_canary_share, most), most);
}

/// Whether the target can take all requests, as far as known.
static bool can_move(const rollout_input& input)
{
    const auto target = sum_of_routes(input.totals).target;
    const bool has_outcomes = target.requests < min_outcomes ||
                              static_cast<double>(target.finished()) >=
                                  min_outcome_part * static_cast<double>(target.requests);
    return input.target_slots > 0 && input.target_slots >= min_slot_ratio * input.base_slots &&
           has_outcomes;
}

static bool can_complete(const rollout_input& input)
{
    const auto left = input.length - input.elapsed;
    if (input.since_grant < spread_time || input.target_slots == 0) {
        return false;
    }
    return left <= late_complete_margin || (input.base_running <= 0 && left <= complete_margin);
}

static rollout_decision plan_canary(const rollout_input& input)
{
    const bool is_due = input.elapsed >= input.length - move_time(input);
    if (is_due && can_move(input)) {
        return {rollout_phase::moving, 1.0, {}};
    }
    if (input.elapsed >= max_lengths * input.length) {
        return {rollout_phase::rolled_back, 0.0,
                input.target_slots == 0 ? "no endpoint of the target version"
                                        : "the target version cannot take all requests"};
    }
    if (input.target_slots == 0) {
        return {input.phase, input.share, {}};
    }
    const double share = canary_share(input);
    const bool is_raised = input.share == 0.0 ? share > 0.0 : share > raise_factor * input.share;
    const bool is_lowered = share < lower_factor * input.share;
    const bool may_adjust = input.share == 0.0 || share == 0.0 ||
                            input.elapsed < part_of(last_adjustment_part, input.length);
    if ((is_raised || is_lowered) && may_adjust) {
        return {rollout_phase::canary, share, {}};
    }
    return {input.phase, input.share, {}};
}

rollout_decision plan_rollout(const rollout_input& input)
{
    if (is_final(input.phase)) {
        return {input.phase, input.share, {}};
    }
    if (auto fault = find_fault(input)) {
        return {rollout_phase::rolled_back, 0.0, std::move(*fault)};
    }
    if (input.phase == rollout_phase::moving) {
        if (can_complete(input)) {
            return {rollout_phase::complete, 1.0, {}};
        }
        return {input.phase, input.share, {}};
    }
    return plan_canary(input);
}

} // namespace eelgrassbend
