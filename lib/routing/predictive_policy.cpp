#include "predictive_policy.h"

#include "eelgrassbend/limits/load_shedder.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// Services with at most this many endpoints are evaluated whole.
constexpr std::size_t evaluate_all_up_to = 24;
constexpr std::size_t prefix_candidates = 4;
constexpr std::size_t candidates_per_price = 3;
constexpr std::size_t sampled_candidates = 16;
/// Share of the latency targets that a prediction may use up.
constexpr double first_token_margin = 0.6;
constexpr double between_tokens_margin = 0.95;
/// Candidates within this share of the best count as equal, so that nodes with the same stale
/// view do not all choose the same one.
constexpr double cost_equality = 0.05;
constexpr double time_equality = 0.15;
/// Time for which a quick request may wait behind others if there is a better place.
constexpr duration longest_quick_delay = std::chrono::milliseconds{40};
/// Share of its slots by which an endpoint's queue may grow for each class.
constexpr double quick_queue_share = 0.5;
constexpr double normal_queue_share = 0.0;
constexpr std::string_view no_free_slot = "no free slot";
constexpr std::string_view suspected_note = "suspected";
/// Candidates that a decision names.
constexpr std::size_t described_candidates = 6;

} // namespace

/// How many attempts of all nodes an endpoint may have for one more of this class to go there.
static double capacity(const service_table& table, const endpoint_record& record,
                       request_class size, bool long_starves)
{
    const double slots = record.load.slots();
    if (size == request_class::long_running) {
        return long_starves ? slots : slots * (1.0 - table.spec().quick_slot_share);
    }
    // One slot is left to long requests while they starve.
    const double usable = long_starves ? slots - 1.0 : slots;
    const double queue = size == request_class::quick ? quick_queue_share : normal_queue_share;
    return usable + (long_starves ? 0.0 : slots * queue);
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
    auto candidates = this->evaluate(table, request);
    std::string reason = "suspected endpoint tried for recovery";
    std::uint32_t near_equals = 1;
    const auto* chosen = this->probe(table, request, candidates);
    if (chosen == nullptr) {
        chosen = this->select(candidates, request, reason, near_equals);
    }
    if (chosen != nullptr) {
        this->guard.admitted(now, request.size);
        auto decision = describe(table, candidates, *chosen, std::move(reason));
        decision.near_equals = near_equals;
        return decision;
    }
    this->guard.refused(now, request.size);
    return refuse(table, candidates);
}

error predictive_policy::refuse(const service_table& table, const candidate_list& candidates)
{
    const auto full = std::ranges::count(candidates, no_free_slot, &candidate::note);
    const auto slow = std::ranges::count(candidates, suspected_note, &candidate::note);
    const auto counts = std::to_string(candidates.size()) + " considered, " + std::to_string(full) +
                        " without a free slot for this class, " + std::to_string(slow) +
                        " suspected";
    const auto code = full > 0 ? errc::rate_limited : errc::unavailable;
    return make_error(code, "choose endpoint", table.id().value(), counts);
}

std::vector<endpoint_index> predictive_policy::collect(const service_table& table,
                                                       const route_request& request)
{
    if (table.live().size() <= evaluate_all_up_to) {
        return table.live();
    }
    auto chosen = table.prefixes().holders(request.prefix, prefix_candidates);
    std::erase_if(chosen, [&](endpoint_index index) { return !table.at(index).usable; });
    std::vector<endpoint_index> sampled;
    table.candidates().sample(this->random, candidates_per_price, sampled_candidates, sampled);
    for (const auto index : sampled) {
        if (std::ranges::find(chosen, index) == chosen.end()) {
            chosen.push_back(index);
        }
    }
    return chosen;
}

predictive_policy::candidate_list predictive_policy::evaluate(service_table& table,
                                                              const route_request& request)
{
    const auto now = this->clock.now();
    const bool starving = this->guard.long_starves(now);
    candidate_list candidates;
    for (const auto index : this->collect(table, request)) {
        candidate each;
        each.index = index;
        each.expected = predict(table, index, request);
        each.meets_target = meets_target(table.spec(), each.expected);
        const auto& record = table.at(index);
        if (!eligible(record, request)) {
            each.note = "excluded";
        }
        else if (record.load.total() + 1.0 > capacity(table, record, request.size, starving)) {
            each.note = no_free_slot;
        }
        else if (table.review(index, now)) {
            each.note = suspected_note;
        }
        candidates.push_back(std::move(each));
    }
    return candidates;
}

/// Leaves only endpoints where the request is served at once, if there are any.
void predictive_policy::keep_undelayed(std::vector<const candidate*>& open)
{
    const auto delayed = [](const candidate* each) {
        return each->expected.delay > longest_quick_delay;
    };
    if (!std::ranges::all_of(open, delayed)) {
        std::erase_if(open, delayed);
    }
}

std::vector<const predictive_policy::candidate*>
predictive_policy::with_note(const candidate_list& candidates, std::string_view note)
{
    std::vector<const candidate*> chosen;
    for (const auto& each : candidates) {
        if (each.note == note) {
            chosen.push_back(&each);
        }
    }
    return chosen;
}

const predictive_policy::candidate* predictive_policy::select(const candidate_list& candidates,
                                                              const route_request& request,
                                                              std::string& reason,
                                                              std::uint32_t& near_equals)
{
    auto open = with_note(candidates, "");
    if (open.empty()) {
        // A slow answer is better than a refusal.
        open = with_note(candidates, suspected_note);
    }
    if (open.empty()) {
        return nullptr;
    }
    if (request.size == request_class::quick) {
        keep_undelayed(open);
    }
    const bool any_meets = std::ranges::any_of(open, &candidate::meets_target);
    if (any_meets) {
        std::erase_if(open, [](const candidate* each) { return !each->meets_target; });
    }
    const auto measure = [&](const candidate* each) {
        if (any_meets) {
            return static_cast<double>(each->expected.cost.value());
        }
        const bool whole = request.size == request_class::long_running;
        return static_cast<double>(
            (whole ? each->expected.completion : each->expected.first_token).count());
    };
    const double best = measure(*std::ranges::min_element(open, {}, measure));
    const double bound = best * (1.0 + (any_meets ? cost_equality : time_equality));
    std::erase_if(open, [&](const candidate* each) { return measure(each) > bound; });
    reason =
        any_meets ? "cheapest that meets the latency target" : "fastest; none meets the target";
    near_equals = static_cast<std::uint32_t>(open.size());
    return open[random_below(this->random, open.size())];
}

const predictive_policy::candidate* predictive_policy::probe(service_table& table,
                                                             const route_request& request,
                                                             candidate_list& candidates)
{
    if (!request.idempotent) {
        return nullptr;
    }
    const auto now = this->clock.now();
    for (const auto index : table.suspects()) {
        const auto& record = table.at(index);
        if (!eligible(record, request) || !table.probe_due(index, request.size, now)) {
            continue;
        }
        table.probed(index, now);
        candidate each;
        each.index = index;
        each.expected = predict(table, index, request);
        candidates.push_back(std::move(each));
        return &candidates.back();
    }
    return nullptr;
}

route_decision predictive_policy::describe(const service_table& table,
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
        score.note = each.note;
        score.slot_wait = each.expected.slot_wait;
        score.token_time = each.expected.token_time;
        score.completion = each.expected.completion;
        score.prompt_work = each.expected.prompt_work;
        score.meets_target = each.meets_target;
        const auto& record = table.at(each.index);
        score.load = record.load.total();
        score.own = record.load.own();
        score.slots = record.load.slots();
        score.price_per_hour = record.price_per_hour;
        decision.candidates.push_back(std::move(score));
    };
    add(chosen);
    for (const auto& each : candidates) {
        if (&each != &chosen && decision.candidates.size() < described_candidates) {
            add(each);
        }
    }
    return decision;
}

} // namespace eelgrassbend
