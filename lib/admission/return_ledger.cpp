#include "eelgrassbend/admission/return_ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace eelgrassbend {

/// Part of the expected ends that are promised to refused callers. The rest is left to newcomers
/// and to errors of the estimate: a promise that does not hold is a lost request.
static constexpr double promised_part = 0.5;
/// A promise counts for this long after its time.
static constexpr std::chrono::milliseconds promise_grace{150};
/// Returns are spread over at least this time.
static constexpr std::chrono::milliseconds min_spread{30};
/// Overdue work is expected to end within this fraction of the usual time.
static constexpr double overdue_part = 0.25;
/// Weight of the latest request in the averages.
static constexpr double newest_weight = 0.05;
/// Requests that must have ended before their times are trusted.
static constexpr std::uint64_t min_observed = 5;
static constexpr std::uint64_t min_observed_for_least = 20;
/// The least time is this many mean deviations below the mean.
static constexpr double deviations_below = 3.0;

void return_ledger::begin(work_number work, monotonic_time now)
{
    this->begun.insert_or_assign(work, now);
}

void return_ledger::end(work_number work, bool was_served, monotonic_time now)
{
    const auto found = this->begun.find(work);
    if (found == this->begun.end()) {
        return;
    }
    if (was_served) {
        const std::chrono::duration<double> taken{now - found->second};
        ++this->observed;
        const double weight = std::max(newest_weight, 1.0 / static_cast<double>(this->observed));
        const double error = taken.count() - this->mean_seconds;
        this->mean_seconds += weight * error;
        this->deviation_seconds += weight * (std::abs(error) - this->deviation_seconds);
    }
    this->begun.erase(found);
}

std::optional<duration> return_ledger::usual_time() const
{
    if (this->observed < min_observed) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{this->mean_seconds});
}

duration return_ledger::least_time() const
{
    if (this->observed < min_observed_for_least) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        std::max(0.0, this->mean_seconds - deviations_below * this->deviation_seconds)});
}

std::vector<monotonic_time> return_ledger::expected_ends(monotonic_time now) const
{
    std::vector<monotonic_time> ends;
    const auto usual = this->usual_time();
    if (!usual) {
        return ends;
    }
    ends.reserve(this->begun.size());
    for (const auto& [work, began_at] : this->begun) {
        ends.push_back(began_at + *usual);
    }
    std::sort(ends.begin(), ends.end());
    const auto first_in_time =
        std::partition_point(ends.begin(), ends.end(), [now](auto end) { return end <= now; });
    const auto overdue = static_cast<double>(first_in_time - ends.begin());
    double number = 0.0;
    for (auto end = ends.begin(); end != first_in_time; ++end) {
        number += 1.0;
        *end = now + part_of(overdue_part * number / overdue, *usual);
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

// Work that begins now ends after the usual time, at the rate at which the running work ends.
std::optional<monotonic_time> return_ledger::end_time(std::size_t number,
                                                      const std::vector<monotonic_time>& ends,
                                                      monotonic_time now) const
{
    if (number < ends.size()) {
        return ends[number];
    }
    if (ends.empty()) {
        return std::nullopt;
    }
    const auto rounds = static_cast<double>(number + 1) / static_cast<double>(ends.size());
    return std::max<monotonic_time>(ends.back(), now + part_of(rounds, *this->usual_time()));
}

std::optional<monotonic_time> return_ledger::promise(monotonic_time earliest, monotonic_time latest,
                                                     double scale, random_source& random,
                                                     monotonic_time now)
{
    this->promises.erase(this->promises.begin(), this->promises.lower_bound(now - promise_grace));
    const auto ends = this->expected_ends(now);
    const double ends_per_promise = 1.0 / (promised_part * std::max(scale, 0.01));
    const auto earlier = static_cast<double>(this->promises.size());
    const auto number = static_cast<std::size_t>(
        std::max(0.0, std::ceil((earlier + 1.0) * ends_per_promise) - 1.0));
    const auto from = this->end_time(number, ends, now);
    if (!from || *from > latest) {
        return std::nullopt;
    }
    // Callers refused at the same moment by different nodes return spread between this end and the
    // next one that is promised.
    const auto next = this->end_time(
        number + static_cast<std::size_t>(std::max(1.0, ends_per_promise)), ends, now);
    const auto start = std::max(*from, earliest);
    const auto until = std::clamp(std::max<monotonic_time>(*next, start + min_spread), start,
                                  std::max(start, latest));
    const auto time = start + part_of(random_unit(random), until - start);
    if (time > latest) {
        return std::nullopt;
    }
    this->promises.insert(time);
    return time;
}

std::size_t return_ledger::promises_due(monotonic_time from, monotonic_time until) const
{
    return static_cast<std::size_t>(
        std::distance(this->promises.lower_bound(from), this->promises.upper_bound(until)));
}

} // namespace eelgrassbend
