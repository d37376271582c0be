#include "predictive_policy.h"

#include "eelgrassbend/limits/load_shedder.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// All endpoints are evaluated for services with at most this many.
constexpr std::size_t full_evaluation_limit = 24;
constexpr std::size_t max_prefix_candidates = 4;
constexpr std::size_t max_candidates_per_price = 3;
constexpr std::size_t max_sampled_candidates = 16;
/// Share of the latency targets that a prediction may use.
constexpr double first_token_margin = 0.6;
constexpr double between_tokens_margin = 0.95;
/// Candidates within this share of the best are equivalent, so that nodes with the same stale view
/// do not all select the same endpoint.
constexpr double cost_equality = 0.05;
constexpr double time_equality = 0.15;
/// Maximum delay of a quick request by other requests if another candidate is below it.
constexpr duration max_quick_delay = std::chrono::milliseconds{40};
/// Share of its slots by which an endpoint's queue may grow for each class.
constexpr double quick_queue_share = 0.5;
constexpr double normal_queue_share = 0.0;
constexpr std::string_view no_free_slot = "no free slot";
constexpr std::string_view suspected_reason = "suspected";
/// Maximum number of candidates in a decision.
constexpr std::size_t max_reported_candidates = 6;

} // namespace

/// Maximum number of attempts of all nodes at an endpoint, including a new one of this class.
static double admission_capacity(const service_table& table, const endpoint_record& record,
                                 request_class size, bool is_long_starved)
{
    const double slots = record.load.slots();
    if (size == request_class::long_running) {
        return is_long_starved ? slots : slots * (1.0 - table.spec().quick_slot_share);
    }
    // One slot is reserved for long requests while they are starved.
    const double usable_slots = is_long_starved ? slots - 1.0 : slots;
    const double queue = size == request_class::quick ? quick_queue_share : normal_queue_share;
    return usable_slots + (is_long_starved ? 0.0 : slots * queue);
}

static bool meets_target(const service_spec& spec, const prediction& expected)
{
    const auto within = [](duration time, duration target, double margin) {
        return target == duration::zero() ||
               static_cast<double>(time.count()) <= static_cast<double>(target.count()) * margin;
    };
    return within(expected.first_token, spec.first_token_target, first_token_margin) &&
           within(expected.token_time, spec.between_tokens_target, between_tokens_margin);
}

result<route_decision> predictive_policy::choose(service_table& table, const route_request& request)
{
    const auto now = this->clock.now();
    if (should_shed(table.utilisation(), request.priority, table.priority_levels())) {
        return make_error(errc::rate_limited, "choose endpoint", table.id().value(),
                          "shed: " + std::to_string(table.utilisation()) +
                              " of the slots are in use and others have priority");
    }
    auto candidates = this->evaluate_candidates(table, request);
    std::string reason = "suspected endpoint tried for recovery";
    std::uint32_t near_equals = 1;
    const auto* chosen = this->select_probe(table, request, candidates);
    if (chosen == nullptr) {
        chosen = this->select_candidate(candidates, request, reason, near_equals);
    }
    if (chosen != nullptr) {
        this->guard.record_admission(now, request.size);
        auto decision = make_decision(table, candidates, *chosen, std::move(reason));
        decision.near_equals = near_equals;
        return decision;
    }
    this->guard.record_refusal(now, request.size);
    return make_refusal(table, candidates);
}

error predictive_policy::make_refusal(const service_table& table, const candidate_list& candidates)
{
    const auto full = std::ranges::count(candidates, no_free_slot, &candidate::rejection_reason);
    const auto slow =
        std::ranges::count(candidates, suspected_reason, &candidate::rejection_reason);
    const auto counts = std::to_string(candidates.size()) + " considered, " + std::to_string(full) +
                        " without a free slot for this class, " + std::to_string(slow) +
                        " suspected";
    const auto code = full > 0 ? errc::rate_limited : errc::unavailable;
    return make_error(code, "choose endpoint", table.id().value(), counts);
}

std::vector<endpoint_index> predictive_policy::collect_candidates(const service_table& table,
                                                                  const route_request& request)
{
    if (table.live_endpoints().size() <= full_evaluation_limit) {
        return table.live_endpoints();
    }
    auto chosen = table.prefixes().find_holders(request.prefix, max_prefix_candidates);
    std::erase_if(chosen, [&](endpoint_index index) { return !table.at(index).is_usable; });
    std::vector<endpoint_index> sampled;
    table.candidates().sample(this->random, max_candidates_per_price, max_sampled_candidates,
                              sampled);
    for (const auto index : sampled) {
        if (std::ranges::find(chosen, index) == chosen.end()) {
            chosen.push_back(index);
        }
    }
    return chosen;
}

predictive_policy::candidate_list
predictive_policy::evaluate_candidates(service_table& table, const route_request& request)
{
    const auto now = this->clock.now();
    const bool is_long_starved = this->guard.is_long_starved(now);
    candidate_list candidates;
    for (const auto index : this->collect_candidates(table, request)) {
        candidate each;
        each.index = index;
        each.expected = predict(table, index, request);
        each.meets_target = meets_target(table.spec(), each.expected);
        const auto& record = table.at(index);
        if (!is_eligible(record, request)) {
            each.rejection_reason = "excluded";
        }
        else if (record.load.total_attempts() + 1.0 >
                 admission_capacity(table, record, request.size, is_long_starved)) {
            each.rejection_reason = no_free_slot;
        }
        else if (table.update_suspicion(index, now)) {
            each.rejection_reason = suspected_reason;
        }
        candidates.push_back(std::move(each));
    }
    return candidates;
}

/// Removes the candidates where other requests delay this one, unless that applies to all.
void predictive_policy::remove_delayed(std::vector<const candidate*>& eligible_candidates)
{
    const auto delayed = [](const candidate* each) {
        return each->expected.delay > max_quick_delay;
    };
    if (!std::ranges::all_of(eligible_candidates, delayed)) {
        std::erase_if(eligible_candidates, delayed);
    }
}

std::vector<const predictive_policy::candidate*>
predictive_policy::with_rejection_reason(const candidate_list& candidates, std::string_view reason)
{
    std::vector<const candidate*> chosen;
    for (const auto& each : candidates) {
        if (each.rejection_reason == reason) {
            chosen.push_back(&each);
        }
    }
    return chosen;
}

const predictive_policy::candidate*
predictive_policy::select_candidate(const candidate_list& candidates, const route_request& request,
                                    std::string& reason, std::uint32_t& near_equals)
{
    auto eligible_candidates = with_rejection_reason(candidates, "");
    if (eligible_candidates.empty()) {
        // A slow answer is preferable to a refusal.
        eligible_candidates = with_rejection_reason(candidates, suspected_reason);
    }
    if (eligible_candidates.empty()) {
        return nullptr;
    }
    if (request.size == request_class::quick) {
        remove_delayed(eligible_candidates);
    }
    const bool any_meets = std::ranges::any_of(eligible_candidates, &candidate::meets_target);
    if (any_meets) {
        std::erase_if(eligible_candidates,
                      [](const candidate* each) { return !each->meets_target; });
    }
    const auto measure = [&](const candidate* each) {
        if (any_meets) {
            return static_cast<double>(each->expected.cost.value());
        }
        const bool whole = request.size == request_class::long_running;
        return static_cast<double>(
            (whole ? each->expected.completion : each->expected.first_token).count());
    };
    const double best = measure(*std::ranges::min_element(eligible_candidates, {}, measure));
    const double bound = best * (1.0 + (any_meets ? cost_equality : time_equality));
    std::erase_if(eligible_candidates,
                  [&](const candidate* each) { return measure(each) > bound; });
    reason =
        any_meets ? "cheapest that meets the latency target" : "fastest; none meets the target";
    near_equals = static_cast<std::uint32_t>(eligible_candidates.size());
    return eligible_candidates[random_below(this->random, eligible_candidates.size())];
}

const predictive_policy::candidate* predictive_policy::select_probe(service_table& table,
                                                                    const route_request& request,
                                                                    candidate_list& candidates)
{
    if (!request.idempotent) {
        return nullptr;
    }
    const auto now = this->clock.now();
    for (const auto index : table.suspected_endpoints()) {
        const auto& record = table.at(index);
        if (!is_eligible(record, request) || !table.is_probe_due(index, request.size, now)) {
            continue;
        }
        table.record_probe(index, now);
        candidate each;
        each.index = index;
        each.expected = predict(table, index, request);
        candidates.push_back(std::move(each));
        return &candidates.back();
    }
    return nullptr;
}

route_decision predictive_policy::make_decision(const service_table& table,
                                                const candidate_list& candidates,
                                                const candidate& chosen, std::string reason)
{
    route_decision decision;
    decision.endpoint = table.at(chosen.index).info.id;
    decision.policy = "predictive";
    decision.reason = std::move(reason);
    decision.considered = static_cast<std::uint32_t>(candidates.size());
    const auto add = [&](const candidate& each) {
        candidate_score score;
        score.endpoint = table.at(each.index).info.id;
        score.predicted = each.expected.first_token;
        score.cost = each.expected.cost;
        score.cached_tokens = each.expected.cached_tokens;
        score.rejection_reason = each.rejection_reason;
        score.slot_wait = each.expected.slot_wait;
        score.token_time = each.expected.token_time;
        score.completion = each.expected.completion;
        score.prompt_work = each.expected.prompt_work;
        score.meets_target = each.meets_target;
        const auto& record = table.at(each.index);
        score.load = record.load.total_attempts();
        score.own_attempts = record.load.own_attempts();
        score.slots = record.load.slots();
        score.price_per_hour = record.price_per_hour;
        decision.candidates.push_back(std::move(score));
    };
    add(chosen);
    for (const auto& each : candidates) {
        if (&each != &chosen && decision.candidates.size() < max_reported_candidates) {
            add(each);
        }
    }
    return decision;
}

} // namespace eelgrassbend
