#include "eelgrassbend/placement/placer.h"

#include "eelgrassbend/placement/engine_cost_model.h"
#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace eelgrassbend {

using engine_cost_model::milliseconds;

/// Estimated service time of a plain service, which is one without a model engine; the observed
/// slowdown corrects it. Also added to the score of an endpoint in its cold start.
static constexpr milliseconds plain_time{20.0};
/// Added for endpoints in another availability zone: traffic between zones is charged.
static constexpr milliseconds cross_zone_penalty{3.0};
/// Random addition to each score. Smaller differences are noise, so choices spread over endpoints
/// with similar scores.
static constexpr milliseconds score_jitter{4.0};
/// Cost of a failed request to its caller, as waiting time.
static constexpr milliseconds failure_cost{600.0};
/// Added for suspended endpoints, so that they are chosen only when there are no others.
static constexpr milliseconds suspended_penalty{20'000.0};
/// Share of the shared prompt parts that the hash-preferred engine is expected to cache once all
/// other nodes have sent the same parts to it.
static constexpr double preferred_cached_share = 0.9;
/// The same for the engine that takes the rest of these requests.
static constexpr double second_cached_share = 0.5;
/// Up to this number of nodes, each choice compares all endpoints. The load digests from other
/// nodes are some tens of milliseconds old; with more nodes, too many would choose the same
/// endpoint before the digests show it. Each choice then compares only a random sample, of at least
/// `min_sample_size` endpoints.
static constexpr std::size_t max_nodes_unsampled = 10;
static constexpr std::size_t min_sample_size = 4;
/// Largest part of a prompt that may be shared with others if its first byte is to show the speed
/// of an engine.
static constexpr double max_shared_for_pace = 0.3;
/// Share of an engine's memory, in tokens, that placed requests may fill. The rest is a reserve,
/// since estimates of the output length are often too low.
static constexpr double planned_memory_share = 0.92;
/// Requests that may wait at an endpoint beyond those in its slots, as a share of the slots.
static constexpr double queue_share = 0.25;

struct placer::candidate {
    bool is_full = false;
    milliseconds score{};
    milliseconds predicted{};
    /// Time behind prompts that are yet to be prefilled, or the rest of a pause if that is longer.
    milliseconds wait{};
    placement result;
};

placer::placer(const endpoint_table& endpoints, load_model& loads, prompt_cache& cache,
               const engine_cost_estimator& learned, random_source& random,
               availability_zone own_zone)
    : endpoints(endpoints),
      loads(loads),
      cache(cache),
      learned(learned),
      random(random),
      own_zone(std::move(own_zone))
{
}

/// Tokens of the prompt parts that other requests share.
static std::int64_t shared_tokens(const placement_request& request)
{
    std::int64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index) {
        tokens += request.parts[index].tokens;
    }
    return tokens;
}

/// The engines that a hash assigns to the last shared part of a prompt; the same on all nodes.
struct preferred_engines {
    const known_endpoint* first = nullptr;
    const known_endpoint* second = nullptr; ///< takes what the first one has no capacity for
};

static preferred_engines find_preferred(const std::vector<const known_endpoint*>& usable,
                                        const placement_request& request)
{
    preferred_engines best;
    if (request.parts.size() < 2) {
        return best;
    }
    const auto part = request.parts[request.parts.size() - 2].id;
    std::uint64_t highest = 0;
    std::uint64_t second_highest = 0;
    for (const auto* endpoint : usable) {
        const auto weight = stable_hash(endpoint->record.id.value(), part);
        if (best.first == nullptr || weight > highest) {
            best.second = std::exchange(best.first, endpoint);
            second_highest = std::exchange(highest, weight);
        }
        else if (best.second == nullptr || weight > second_highest) {
            best.second = endpoint;
            second_highest = weight;
        }
    }
    if (!request.shares_load) {
        best.second = nullptr;
    }
    return best;
}

struct placer::choice_state {
    const placement_request& request;
    const std::optional<engine_traits>& engine;
    monotonic_time now;
    preferred_engines preferred;
    std::optional<candidate> best;
    std::optional<milliseconds> min_wait; ///< at the least loaded full endpoint
    engine_costs costs;
};

void placer::evaluate_engine(const known_endpoint& endpoint, const choice_state& state,
                             candidate& evaluated) const
{
    const auto& request = state.request;
    auto& result = evaluated.result;
    const auto& load = result.load;
    result.cached_tokens = this->cache.cached_tokens(endpoint.record.id, request.parts, state.now);
    const bool is_first = &endpoint == state.preferred.first;
    if (is_first || &endpoint == state.preferred.second) {
        const auto nodes = static_cast<double>(this->loads.node_count());
        const double share =
            (is_first ? preferred_cached_share : second_cached_share) * (nodes - 1.0) / nodes;
        result.cached_tokens = std::max(
            result.cached_tokens,
            static_cast<std::int64_t>(share * static_cast<double>(shared_tokens(request))));
    }
    result.cached_tokens =
        std::min(result.cached_tokens, std::max<std::int64_t>(0, request.prompt_tokens - 1));
    result.work.uncached_prompt = request.prompt_tokens - result.cached_tokens;
    result.work.memory = request.prompt_tokens + request.output_tokens;
    const auto waiting = std::max<std::int64_t>(0, load.waiting_prompt);
    evaluated.predicted = state.costs.overhead +
                          engine_cost_model::prefill_time(waiting + result.work.uncached_prompt,
                                                          load.requests, state.costs);
    evaluated.wait =
        result.slowdown * engine_cost_model::prefill_time(waiting, load.requests, state.costs);
    const double planned = planned_memory_share * static_cast<double>(state.engine->memory.value());
    const bool has_memory = state.engine->memory.value() == 0 || load.requests == 0 ||
                            static_cast<double>(load.memory + result.work.memory) <= planned;
    const bool exceeds_max_wait = request.max_wait && evaluated.wait > *request.max_wait;
    evaluated.is_full = exceeds_max_wait || !has_memory;
}

placer::candidate placer::evaluate(const known_endpoint& endpoint, const choice_state& state) const
{
    const auto& id = endpoint.record.id;
    candidate evaluated;
    auto& result = evaluated.result;
    result.endpoint = id;
    result.address = endpoint.record.address;
    result.load = this->loads.total(id);
    const bool shares_pace = state.engine && state.request.shares_load;
    // How much of a large shared part is cached is a guess, and a wrong one would count as speed.
    result.work.shares_pace =
        shares_pace && static_cast<double>(shared_tokens(state.request)) <=
                           max_shared_for_pace * static_cast<double>(state.request.prompt_tokens);
    result.slowdown = shares_pace ? this->loads.shared_slowdown(id, state.now)
                                  : this->loads.slowdown(id, state.now);
    const int slots = std::max(1, endpoint.record.slots);
    if (state.engine) {
        this->evaluate_engine(endpoint, state, evaluated);
    }
    else {
        const double queued = std::max(0.0, static_cast<double>(result.load.requests + 1 - slots));
        const double occupancy = static_cast<double>(result.load.requests) / slots;
        evaluated.predicted = plain_time * (1.0 + 0.5 * occupancy + queued / slots);
    }
    const double slot_share = state.request.max_slot_share.value_or(1.0 + queue_share);
    evaluated.is_full =
        evaluated.is_full || result.load.requests >= static_cast<int>(slots * slot_share);
    if (endpoint.paused_until && state.now < *endpoint.paused_until) {
        evaluated.is_full = true;
        evaluated.wait = std::max<milliseconds>(evaluated.wait, *endpoint.paused_until - state.now);
    }
    result.predicted = std::chrono::duration_cast<duration>(evaluated.predicted);
    evaluated.score = result.slowdown * evaluated.predicted;
    evaluated.score += this->loads.failure_share(id, state.now) * failure_cost;
    if (endpoint.record.zone != this->own_zone) {
        evaluated.score += cross_zone_penalty;
    }
    if (endpoint.record.cold_start_left > state.now - endpoint.received_at) {
        evaluated.score += plain_time;
    }
    if (this->loads.is_suspended(id, state.now)) {
        evaluated.score += suspended_penalty;
    }
    evaluated.score +=
        std::chrono::duration_cast<milliseconds>(this->loads.overdue_time(id, state.now));
    evaluated.score += score_jitter * random_unit(this->random);
    return evaluated;
}

void placer::evaluate_all(const std::vector<const known_endpoint*>& subset,
                          choice_state& state) const
{
    for (const auto* endpoint : subset) {
        if (state.request.excluded.contains(endpoint->record.id)) {
            continue;
        }
        auto evaluated = this->evaluate(*endpoint, state);
        if (evaluated.is_full) {
            state.min_wait = std::min(state.min_wait.value_or(evaluated.wait), evaluated.wait);
            continue;
        }
        if (!state.best || evaluated.score < state.best->score) {
            state.best = std::move(evaluated);
        }
    }
}

std::size_t placer::sample(std::vector<const known_endpoint*>& usable,
                           const choice_state& state) const
{
    const auto nodes = this->loads.node_count();
    if (nodes <= max_nodes_unsampled) {
        return usable.size();
    }
    std::size_t taken = 0;
    for (const auto* preferred : {state.preferred.first, state.preferred.second}) {
        if (const auto found = std::find(usable.begin(), usable.end(), preferred);
            preferred != nullptr && found != usable.end()) {
            std::swap(usable[taken++], *found);
        }
    }
    auto size = std::min(
        usable.size(),
        std::max(min_sample_size, (usable.size() * max_nodes_unsampled + nodes - 1) / nodes));
    for (; taken < size; ++taken) {
        const auto other = taken + random_below(this->random, usable.size() - taken);
        std::swap(usable[taken], usable[other]);
    }
    return std::max(size, taken);
}

placement_answer placer::choose(const placement_request& request,
                                const std::optional<engine_traits>& engine,
                                monotonic_time now) const
{
    auto usable = this->endpoints.usable(request.service, now);
    apply_version_filter(usable, request.versions);
    choice_state state{request, engine, now, find_preferred(usable, request), {}, {}, {}};
    if (engine && engine->is_slot_bound()) {
        state.costs = this->learned.costs(request.service);
    }
    const auto sampled = static_cast<std::ptrdiff_t>(this->sample(usable, state));
    this->evaluate_all({usable.begin(), usable.begin() + sampled}, state);
    if (!state.best) {
        this->evaluate_all({usable.begin() + sampled, usable.end()}, state);
    }
    placement_answer answer;
    if (state.best) {
        answer.chosen = state.best->result;
        answer.chosen->candidate_count = static_cast<std::size_t>(sampled);
    }
    else if (state.min_wait) {
        answer.reason = placement_failure::all_full;
        answer.wait = std::chrono::duration_cast<duration>(*state.min_wait);
    }
    else if (this->endpoints.awaits_check(request.service)) {
        answer.reason = placement_failure::unchecked;
    }
    return answer;
}

} // namespace eelgrassbend
