#include "eelgrassbend/duties/load_level.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace eelgrassbend {

/// Spans over which the present rate is measured. Totals of other groups arrive up to a second late
/// and unevenly, which changes the rate over one second by up to a third without any change of the
/// load.
static constexpr std::chrono::milliseconds short_span{1'000};
static constexpr std::chrono::milliseconds long_span{2'500};
/// Ratios of the rate to the level above which it counts as a rise and not as noise.
static constexpr double clear_short_rise = 1.4;
static constexpr double clear_long_rise = 1.2;
/// Time constants of the average below a clear rise.
static constexpr std::chrono::duration<double> rising_time{3.0};
static constexpr std::chrono::duration<double> falling_time{8.0};
/// Time after the start in which the total only serves as the beginning: the first digest of each
/// peer adds everything that the peer has counted since its own start.
static constexpr std::chrono::seconds warm_up_time{2};
/// Bound of the work that one update adds, relative to the level. Bursts reach a factor of 2.2.
static constexpr double max_rise = 3.0;
/// Below this level there is nothing to compare a rise with.
static constexpr double min_level = 1.0;

void load_level::update(double total, monotonic_time now)
{
    if (!this->started_at) {
        this->started_at = now;
    }
    if (this->samples.empty() || now - *this->started_at < warm_up_time) {
        this->last_total = total;
        this->samples = {{now, 0.0}};
        return;
    }
    const std::chrono::duration<double> elapsed = now - this->samples.back().first;
    if (elapsed.count() <= 0.0) {
        return;
    }
    double added = total - this->last_total;
    this->last_total = total;
    if (this->level >= min_level) {
        added = std::min(added, max_rise * this->level * elapsed.count());
    }
    this->counted += added;
    this->samples.emplace_back(now, this->counted);
    // The last sample before the span is kept as its beginning.
    while (now - this->samples[1].first >= long_span) {
        this->samples.pop_front();
    }
    const double recent = this->rate_over(short_span);
    const double steady = this->rate_over(long_span);
    if (recent > clear_short_rise * this->level || steady > clear_long_rise * this->level) {
        this->level = recent > clear_short_rise * this->level ? recent : steady;
        return;
    }
    const auto time = steady > this->level ? rising_time : falling_time;
    this->level += (1.0 - std::exp(-elapsed / time)) * (steady - this->level);
}

void load_level::settle()
{
    if (!this->samples.empty()) {
        this->level = this->rate_over(long_span);
    }
}

// Shortly after the start, the rate over less than the span would exaggerate a single digest.
double load_level::rate_over(duration span) const
{
    const auto& [now, counted_now] = this->samples.back();
    auto first = this->samples.rbegin();
    while (std::next(first) != this->samples.rend() && now - first->first < span) {
        ++first;
    }
    const std::chrono::duration<double> covered = std::max<duration>(now - first->first, span);
    return (counted_now - first->second) / covered.count();
}

} // namespace eelgrassbend
