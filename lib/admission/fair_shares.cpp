#include "eelgrassbend/admission/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace eelgrassbend {

static constexpr std::chrono::milliseconds update_interval{100};
/// Time over which the use of organisations is averaged. Totals arrive every few hundred
/// milliseconds.
static constexpr double rate_memory_seconds = 0.7;
/// Number of requests that weigh as much as the average over all organisations in the slot time of
/// a unit.
static constexpr double prior_requests = 5.0;
/// Weight that older requests keep with each newer one.
static constexpr double older_weight = 0.98;
/// Bounds of the share of the slots that is divided. The rest absorbs fluctuations of the
/// organisations that ask for less than their share, whose less urgent requests need engines that
/// are not nearly full. Fluctuations grow with the square root of the slots.
static constexpr double min_divided_share = 0.6;
static constexpr double max_divided_share = 0.82;
static constexpr double fluctuation = 4.0;
static constexpr double min_counted = 4.0;
/// Least use that can be more than a fair share, as a multiple of the average over organisations:
/// under even demand, uses differ by chance.
static constexpr double min_excessive_use = 1.5;

void fair_shares::record_asked(const organisation_id& id, monotonic_time now)
{
    this->accounts[id].served.record_asked(now);
    this->all_served.record_asked(now);
}

void fair_shares::record_admitted(const organisation_id& id, monotonic_time now)
{
    this->accounts[id].served.record_admitted(now);
    this->all_served.record_admitted(now);
}

void fair_shares::record_ended(const organisation_id& id, double units, duration taken)
{
    const std::chrono::duration<double> span{taken};
    auto& known = this->accounts[id];
    known.units = older_weight * known.units + units;
    known.seconds = older_weight * known.seconds + span.count();
    this->all_units = older_weight * this->all_units + units;
    this->all_seconds = older_weight * this->all_seconds + span.count();
}

void fair_shares::update_use(account& known, double total_units, double span) const
{
    const double step = total_units - known.last_total.value_or(total_units);
    known.last_total = total_units;
    const double weight = 1.0 - std::exp(-span / rate_memory_seconds);
    known.unit_rate += weight * (std::max(0.0, step) / span - known.unit_rate);
    // Organisations whose quota counts requests use units of another size than those whose quota
    // counts tokens, so the prior is small against what was seen of the organisation itself.
    const double all = this->all_units > 0.0 ? this->all_seconds / this->all_units : 0.0;
    const double prior = prior_requests * (1.0 - older_weight) * known.units;
    const double seconds =
        known.units + prior > 0.0 ? (known.seconds + prior * all) / (known.units + prior) : all;
    known.used = known.unit_rate * seconds;
}

void fair_shares::update(const capacity_source& fleet, const service_capacity& total,
                         monotonic_time now)
{
    if (this->updated_at && now - *this->updated_at < update_interval) {
        return;
    }
    const bool is_first = !this->updated_at;
    const std::chrono::duration<double> span{now - this->updated_at.value_or(now)};
    this->updated_at = now;
    double used = 0.0;
    for (auto& [id, known] : this->accounts) {
        const double units = fleet.admitted_units(id);
        if (is_first) {
            known.last_total = units;
            continue;
        }
        this->update_use(known, units, span.count());
        known.asked = known.used / std::max(0.05, known.served.share(now));
        used += known.used;
    }
    this->average_use = used / std::max<double>(1.0, static_cast<double>(this->accounts.size()));
    // The learned slot times may be wrong by a common factor; the running requests are known.
    if (used <= 0.0 || total.running <= 0.0 || total.slots <= 0.0) {
        this->level = 0.0;
        return;
    }
    const double divided = std::clamp(1.0 - fluctuation / std::sqrt(total.slots), min_divided_share,
                                      max_divided_share);
    this->level = this->fair_level(divided * total.slots * used / total.running);
}

// Fills the requests of the organisations evenly until the capacity is divided.
double fair_shares::fair_level(double capacity) const
{
    std::vector<double> asked;
    asked.reserve(this->accounts.size());
    for (const auto& [id, known] : this->accounts) {
        asked.push_back(known.asked);
    }
    std::sort(asked.begin(), asked.end());
    auto sharing = static_cast<double>(asked.size());
    for (const double wanted : asked) {
        if (wanted * sharing >= capacity) {
            return capacity / sharing;
        }
        capacity -= wanted;
        sharing -= 1.0;
    }
    return 0.0;
}

void fair_shares::retain(const std::set<organisation_id>& declared)
{
    std::erase_if(this->accounts,
                  [&](const auto& entry) { return !declared.contains(entry.first); });
}

double fair_shares::relative_use(const organisation_id& id) const
{
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end() || this->level <= 0.0) {
        return 0.0;
    }
    return found->second.used / std::max(this->level, min_excessive_use * this->average_use);
}

std::optional<double> fair_shares::relative_service(const organisation_id& id,
                                                    monotonic_time now) const
{
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end() || found->second.served.asked(now) < min_counted) {
        return std::nullopt;
    }
    return found->second.served.share(now) / this->all_served.share(now);
}

} // namespace eelgrassbend
