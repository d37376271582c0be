#include "eelgrassbend/quarantine/crash_analysis.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

namespace eelgrassbend {

/// Crashes needed before a set of parts is held responsible. Two can coincide by chance: callers
/// send a request again when it was cut.
static constexpr std::size_t min_crashes = 3;
/// Crashes needed if some of the suspects have further parts in common, which may each be a cause
/// of their own; among five crashes with two causes, three have the same one.
static constexpr std::size_t min_ambiguous_crashes = 5;
static constexpr std::size_t min_requests = 2;
/// Crashes closer together count as one: endpoints that share a host or a rack fail together
/// whatever they are working on.
static constexpr std::chrono::milliseconds min_crash_distance{200};
/// Time from the crash that completes the evidence to the decision, in which reports of the same
/// crashes, and of answers since, arrive from other nodes.
static constexpr std::chrono::milliseconds report_delay{500};
/// Newest observations that are compared; bounds the number of triples.
static constexpr std::size_t max_compared = 24;

namespace {

/// A set of parts and the crashes whose suspects have all of them.
struct candidate {
    part_keys parts;
    std::set<crash_id> crashes;
};

} // namespace

// An endpoint crashes when it starts to write an answer, so requests that were still queued are
// considered only if no other is known.
static void drop_queued_suspects(std::vector<crash_observation>& observations)
{
    std::set<crash_id> with_begun_answer;
    for (const auto& observed : observations) {
        if (observed.has_answer_begun) {
            with_begun_answer.insert(observed.crash);
        }
    }
    std::erase_if(observations, [&](const crash_observation& observed) {
        return !observed.has_answer_begun && with_begun_answer.contains(observed.crash);
    });
}

static part_keys common_parts(const part_keys& left, const part_keys& right)
{
    part_keys common;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(),
                          std::back_inserter(common));
    return common;
}

/// Returns the sets that three of the given ones have in common, without repeats.
static std::set<part_keys> common_sets(const std::vector<const part_keys*>& given)
{
    std::set<part_keys> sets;
    const auto count = std::min(given.size(), max_compared);
    for (std::size_t first = 0; first < count; ++first) {
        for (std::size_t second = first + 1; second < count; ++second) {
            const auto pair = common_parts(*given[first], *given[second]);
            if (pair.empty()) {
                continue;
            }
            for (std::size_t third = second + 1; third < count; ++third) {
                sets.insert(common_parts(pair, *given[third]));
            }
        }
    }
    sets.erase(part_keys{});
    return sets;
}

static std::set<part_keys> common_sets(const std::vector<crash_observation>& observations)
{
    std::vector<const part_keys*> given;
    given.reserve(observations.size());
    for (const auto& observed : observations) {
        given.push_back(&observed.parts);
    }
    return common_sets(given);
}

/// Whether two suspects of different crashes have more than `parts` in common.
static bool has_finer_set(const part_keys& parts,
                          const std::vector<const crash_observation*>& supporting)
{
    const auto count = std::min(supporting.size(), max_compared);
    for (std::size_t first = 0; first < count; ++first) {
        for (std::size_t second = first + 1; second < count; ++second) {
            if (supporting[first]->crash != supporting[second]->crash &&
                common_parts(supporting[first]->parts, supporting[second]->parts).size() >
                    parts.size()) {
                return true;
            }
        }
    }
    return false;
}

/// Whether enough crashes happened at different moments, the first of them before
/// `settled_before`. `times` is sorted.
static bool has_crashes(const std::vector<monotonic_time>& times, std::size_t needed,
                        monotonic_time settled_before, monotonic_time now)
{
    if (times.empty() || times.front() > settled_before) {
        return false;
    }
    std::size_t moments = 0;
    std::optional<monotonic_time> last;
    for (const auto time : times) {
        if (time <= now - report_delay && (!last || time - *last >= min_crash_distance)) {
            ++moments;
            last = time;
        }
    }
    return moments >= needed;
}

/// Returns the candidate for a set if there is enough evidence that is old enough.
static std::optional<candidate> assess(const part_keys& parts,
                                       const std::vector<crash_observation>& observations,
                                       monotonic_time settled_before, monotonic_time now)
{
    candidate assessed{parts, {}};
    std::vector<const crash_observation*> supporting;
    std::set<std::uint64_t> requests;
    std::vector<monotonic_time> times;
    for (const auto& observed : observations) {
        if (std::includes(observed.parts.begin(), observed.parts.end(), parts.begin(),
                          parts.end())) {
            supporting.push_back(&observed);
            assessed.crashes.insert(observed.crash);
            requests.insert(observed.request);
            times.push_back(observed.crashed_at);
        }
    }
    std::sort(times.begin(), times.end());
    const auto needed = has_finer_set(parts, supporting) ? min_ambiguous_crashes : min_crashes;
    const bool is_proven =
        requests.size() >= min_requests && has_crashes(times, needed, settled_before, now);
    return is_proven ? std::optional{std::move(assessed)} : std::nullopt;
}

/// Returns the largest proven set; of several, the one that explains most crashes.
static std::optional<candidate> find_best(const std::set<part_keys>& sets,
                                          const std::vector<crash_observation>& observations,
                                          monotonic_time settled_before, monotonic_time now)
{
    std::optional<candidate> best;
    for (const auto& parts : sets) {
        if (best && parts.size() < best->parts.size()) {
            continue;
        }
        auto assessed = assess(parts, observations, settled_before, now);
        if (assessed && (!best || parts.size() > best->parts.size() ||
                         assessed->crashes.size() > best->crashes.size())) {
            best = std::move(assessed);
        }
    }
    return best;
}

/// Adds a set that three explanations or unexplained suspects have in common: the part that crashes
/// endpoints also occurs beside other parts than in the explained crashes.
static void add_wider_explanation(const std::vector<crash_observation>& unexplained,
                                  const std::vector<crash_observation>& observations,
                                  monotonic_time settled_before, monotonic_time now,
                                  std::vector<part_keys>& found)
{
    std::set<part_keys> contexts{found.begin(), found.end()};
    for (const auto& observed : unexplained) {
        contexts.insert(observed.parts);
    }
    std::vector<const part_keys*> given;
    for (const auto& parts : contexts) {
        given.push_back(&parts);
    }
    if (const auto wider = find_best(common_sets(given), observations, settled_before, now)) {
        found.push_back(wider->parts);
    }
}

// The largest set goes first: two parts that each crash endpoints may have a third, sound one in
// common, which would explain more crashes than either.
std::vector<part_keys> find_common_parts(std::vector<crash_observation> observations,
                                         duration settle_time, monotonic_time now)
{
    drop_queued_suspects(observations);
    std::sort(observations.begin(), observations.end(), [](const auto& left, const auto& right) {
        return left.crashed_at > right.crashed_at;
    });
    const auto settled_before = now - settle_time;
    auto unexplained = observations;
    std::vector<part_keys> found;
    while (const auto best =
               find_best(common_sets(unexplained), unexplained, settled_before, now)) {
        found.push_back(best->parts);
        std::erase_if(unexplained, [&](const crash_observation& observed) {
            return best->crashes.contains(observed.crash);
        });
    }
    if (!found.empty()) {
        add_wider_explanation(unexplained, observations, settled_before, now, found);
    }
    return found;
}

} // namespace eelgrassbend
