#include "eelgrassbend/engine_model/load_history.h"

#include <algorithm>
#include <iterator>

namespace eelgrassbend {

load_history::load_history(duration span, monotonic_time now, const load_report& first)
    : span(span), samples{{now, first}}
{
}

void load_history::record(monotonic_time now, const load_report& report)
{
    if (this->samples.back().since == now) {
        this->samples.back().report = report;
    }
    else {
        this->samples.push_back({now, report});
    }
    while (this->samples.size() > 1 && this->samples[1].since <= now - this->span) {
        this->samples.pop_front();
    }
}

const load_report& load_history::at(monotonic_time time) const
{
    const auto later = [](monotonic_time value, const sample& entry) {
        return value < entry.since;
    };
    const auto after = std::upper_bound(this->samples.begin(), this->samples.end(), time, later);
    return after == this->samples.begin() ? after->report : std::prev(after)->report;
}

} // namespace eelgrassbend
