#include "eelgrassbend/placement/placer.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Prompt tokens that an engine reads in a millisecond, before anything is learnt of it; the pace
/// of each engine corrects it. From the users' sheets: 56.9 with nothing else running.
static constexpr double prompt_tokens_per_ms = 50.0;
/// Share of the reading speed that each running request takes with its own tokens; from the
/// sheets, 0.102 ms of a step of 18 ms that reads 1,024 tokens.
static constexpr double slowdown_per_request = 0.0057;
/// From a request's arrival at an idle engine to its first byte.
static constexpr milliseconds engine_overhead{16.0};
/// Service time of plain services before anything is learnt; the pace corrects it.
static constexpr milliseconds plain_time{20.0};
/// Added for another availability zone: traffic between zones is paid for.
static constexpr milliseconds other_zone_penalty{3.0};
/// Differences below this are noise; choices within it spread over the endpoints.
static constexpr milliseconds spread{4.0};
/// What one failed request costs its caller, as waiting time.
static constexpr milliseconds failure_cost{600.0};
/// Added to endpoints that are avoided, so that they serve only when there are no others.
static constexpr milliseconds suspended_penalty{20'000.0};
/// Share of its parts' reading time that counts as saved on the engine that the hash prefers:
/// other nodes send the same parts there.
static constexpr double shared_part_credit = 0.5;
/// Share of an engine's memory that is planned for; estimates of the output are often too short.
static constexpr double planned_memory = 0.92;
/// Requests at an endpoint beyond its slots, as a share of the slots; they wait in its queue.
static constexpr double queue_share = 0.25;

struct placer::candidate {
    const known_endpoint* endpoint = nullptr;
    bool is_full = false;
    milliseconds score{};
    milliseconds predicted{};
    milliseconds wait{}; ///< behind prompts that are still to be read
    placement result;
};

placer::placer(const endpoint_table& endpoints, load_model& loads, prompt_cache& cache,
               random_source& random, availability_zone own_zone)
    : endpoints(endpoints),
      loads(loads),
      cache(cache),
      random(random),
      own_zone(std::move(own_zone))
{
}

/// Tokens of the parts that other requests share.
static std::int64_t shared_tokens(const placement_request& request)
{
    std::int64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < request.parts.size(); ++index) {
        tokens += request.parts[index].tokens;
    }
    return tokens;
}

/// The same on all nodes: which engine a prompt's last shared part belongs to.
static const known_endpoint* preferred_engine(const std::vector<const known_endpoint*>& usable,
                                              const placement_request& request)
{
    if (request.parts.size() < 2) {
        return nullptr;
    }
    const auto part = request.parts[request.parts.size() - 2].id;
    const known_endpoint* best = nullptr;
    std::uint64_t highest = 0;
    for (const auto* endpoint : usable) {
        const auto weight = stable_hash(endpoint->record.id.value(), part);
        if (best == nullptr || weight > highest) {
            best = endpoint;
            highest = weight;
        }
    }
    return best;
}

placer::candidate placer::weigh(const known_endpoint& endpoint, const placement_request& request,
                                const std::optional<engine_traits>& engine,
                                monotonic_time now) const
{
    const auto& id = endpoint.record.id;
    candidate weighed;
    weighed.endpoint = &endpoint;
    const auto load = this->loads.total(id);
    const double pace = this->loads.pace(id, now);
    const int slots = std::max(1, endpoint.record.slots);
    auto& result = weighed.result;
    result.endpoint = id;
    result.address = endpoint.record.address;
    result.load = load;
    result.pace = pace;
    if (engine) {
        result.kept_tokens = std::min(this->cache.kept(id, request.parts, now),
                                      std::max<std::int64_t>(0, request.prompt_tokens - 1));
        result.work.uncached_prompt = request.prompt_tokens - result.kept_tokens;
        result.work.memory = request.prompt_tokens + request.output_tokens;
        const double tokens = static_cast<double>(std::max<std::int64_t>(0, load.waiting_prompt) +
                                                  result.work.uncached_prompt);
        const double crowd = 1.0 + slowdown_per_request * load.requests;
        weighed.predicted = engine_overhead + milliseconds{tokens / prompt_tokens_per_ms * crowd};
        const milliseconds wait{
            pace * crowd * static_cast<double>(std::max<std::int64_t>(0, load.waiting_prompt)) /
            prompt_tokens_per_ms};
        weighed.is_full = request.longest_wait && wait > *request.longest_wait;
        weighed.wait = wait;
        const double planned = planned_memory * static_cast<double>(engine->memory.value());
        weighed.is_full =
            weighed.is_full || (engine->memory.value() > 0 && load.requests > 0 &&
                                static_cast<double>(load.memory + result.work.memory) > planned);
    }
    else {
        const double queued = std::max(0.0, static_cast<double>(load.requests + 1 - slots));
        const double crowd = static_cast<double>(load.requests) / slots;
        weighed.predicted = plain_time * (1.0 + 0.5 * crowd + queued / slots);
    }
    weighed.is_full =
        weighed.is_full || load.requests >= static_cast<int>(slots * (1.0 + queue_share));
    result.predicted = std::chrono::duration_cast<duration>(weighed.predicted);
    weighed.score = pace * weighed.predicted;
    weighed.score += this->loads.failure_share(id, now) * failure_cost;
    if (endpoint.record.zone != this->own_zone) {
        weighed.score += other_zone_penalty;
    }
    if (endpoint.record.cold_left > now - endpoint.heard) {
        weighed.score += plain_time;
    }
    if (this->loads.is_suspended(id, now)) {
        weighed.score += suspended_penalty;
    }
    const auto overdue = this->loads.overdue(id, now);
    weighed.score += std::chrono::duration_cast<milliseconds>(std::max(overdue, duration{}));
    weighed.score += spread * random_unit(this->random);
    return weighed;
}

placement_answer placer::choose(const placement_request& request,
                                const std::optional<engine_traits>& engine,
                                monotonic_time now) const
{
    const auto usable = this->endpoints.usable(request.service, now);
    const auto* preferred = preferred_engine(usable, request);
    const milliseconds credit{shared_part_credit * static_cast<double>(shared_tokens(request)) /
                              prompt_tokens_per_ms};
    placement_answer answer;
    std::optional<candidate> best;
    milliseconds soonest = milliseconds::max();
    for (const auto* endpoint : usable) {
        if (request.excluded.contains(endpoint->record.id)) {
            continue;
        }
        auto weighed = this->weigh(*endpoint, request, engine, now);
        if (endpoint == preferred && weighed.result.kept_tokens == 0) {
            weighed.score -= credit;
        }
        if (weighed.is_full) {
            answer.reason = placement_failure::all_full;
            soonest = std::min(soonest, weighed.wait);
            continue;
        }
        if (!best || weighed.score < best->score) {
            best = std::move(weighed);
        }
    }
    if (best) {
        answer.chosen = best->result;
        answer.chosen->considered = usable.size();
    }
    else if (answer.reason == placement_failure::all_full) {
        answer.wait = std::chrono::duration_cast<duration>(soonest);
    }
    return answer;
}

double placer::occupancy(const service_id& service, monotonic_time now) const
{
    double places = 0.0;
    double taken = 0.0;
    for (const auto* endpoint : this->endpoints.usable(service, now)) {
        places += std::max(1, endpoint->record.slots);
        taken += this->loads.total(endpoint->record.id).requests;
    }
    return places > 0.0 ? taken / places : 0.0;
}

} // namespace eelgrassbend
