#include "eelgrassbend/gateway/group_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassbend {

/// Nodes of a group without a known representative that are tried: the first ones by name, and one
/// more in turn, in case that many are gone.
static constexpr std::size_t likely_representatives = 3;
/// Time after which a group that has not been heard is taken to be gone.
static constexpr std::chrono::seconds longest_incomplete{5};
/// Addresses of callers' nodes in a summary of one group, and of all others together.
static constexpr std::size_t ready_of_group = 12;
static constexpr std::size_t ready_of_others = 32;

group_exchange::group_exchange(const fleet_models& models, random_source& random)
    : models(models), random(random)
{
}

void group_exchange::take(other_groups& known, const group_summary& told, monotonic_time now)
{
    known.heard = told.heard;
    known.serving = told.serving;
    known.duty_holder = told.duty_holder;
    known.at = now;
    if (told.work) {
        std::erase_if(known.work, [&](const auto& entry) {
            const std::uint64_t key = entry.first;
            return key >= told.work->from && key < told.work->to;
        });
        known.work.insert(told.work->work.begin(), told.work->work.end());
    }
    for (const auto& [key, units] : told.admitted) {
        known.admitted[key] = units;
    }
    for (const auto& [service, taken] : told.demand) {
        known.demand[service] = taken;
    }
    if (!told.ready.empty()) {
        known.ready = told.ready;
    }
}

void group_exchange::heard(const node_digest& told, monotonic_time now)
{
    if (!told.summary) {
        return;
    }
    const auto& summary = *told.summary;
    const bool is_from_group = this->models.fleet.is_in_group(told);
    if (summary.group.value().empty()) {
        if (is_from_group && !this->models.fleet.is_representative(now)) {
            if (!this->elsewhere) {
                this->elsewhere = other_groups{};
            }
            take(*this->elsewhere, summary, now);
            this->has_news = this->has_news || !summary.admitted.empty();
        }
        return;
    }
    if (is_from_group) {
        return; // two nodes of the group speak for it for a while
    }
    this->models.usage.heard_group(summary.group.value(), summary.usage);
    take(this->groups[summary.group], summary, now);
    this->has_news = this->has_news || !summary.admitted.empty();
}

// A group that is not heard still serves its callers, at first as far as its records tell.
group_exchange::other_groups group_exchange::merge(monotonic_time now) const
{
    other_groups merged;
    merged.at = now;
    for (const auto& [group, records] : this->models.fleet.groups().others()) {
        const auto found = this->groups.find(group);
        if (found == this->groups.end()) {
            merged.serving += static_cast<std::uint32_t>(records.size());
            continue;
        }
        const auto& known = found->second;
        for (const auto& [key, units] : known.admitted) {
            merged.admitted[key] += units;
        }
        for (const auto& [service, taken] : known.demand) {
            merged.demand[service] += taken;
        }
        if (now - known.at < node_absence) {
            merged.serving += known.serving;
        }
        if (now - known.at >= node_silence) {
            continue;
        }
        merged.heard += known.heard;
        if (known.duty_holder) {
            merged.duty_holder = known.duty_holder;
        }
        for (const auto& [key, work] : known.work) {
            merged.work[key] += work;
        }
        merged.ready.insert(merged.ready.end(), known.ready.begin(), known.ready.end());
    }
    // Totals that lack a group would look like a step back.
    if (this->groups.size() < this->models.fleet.groups().others().size() &&
        now - this->speaks_since.value_or(now) < longest_incomplete) {
        merged.admitted.clear();
        merged.demand.clear();
    }
    return merged;
}

void group_exchange::update(monotonic_time now)
{
    if (this->models.fleet.groups().others().empty()) {
        this->elsewhere.reset();
    }
    else if (this->models.fleet.is_representative(now)) {
        this->speaks_since = this->speaks_since.value_or(now);
        this->elsewhere = this->merge(now);
    }
    else {
        this->speaks_since.reset();
    }
    if (this->elsewhere && now - this->elsewhere->at >= node_silence) {
        this->elsewhere->heard = 0;
        this->elsewhere->work.clear();
        this->elsewhere->ready.clear();
        this->elsewhere->duty_holder.reset();
    }
    const auto& work = this->elsewhere ? this->elsewhere->work : compact_work{};
    this->models.loads.set_remote_work(0, work_range{}.to, work);
    if (this->elsewhere && std::exchange(this->has_news, false)) {
        this->models.quotas.heard_elsewhere(this->elsewhere->admitted, now);
        this->models.demand.record_remote_totals(this->elsewhere->demand);
    }
    this->set_counts(now);
}

void group_exchange::set_counts(monotonic_time now)
{
    auto counted = this->models.fleet.counts(now);
    const auto in_group = counted.heard;
    if (this->elsewhere) {
        counted.heard += this->elsewhere->heard;
        counted.serving += this->elsewhere->serving;
        this->models.loads.set_remote_node_count(this->elsewhere->serving);
        this->models.retries.set_node_count(in_group + this->elsewhere->serving);
    }
    else {
        const auto unheard = this->models.fleet.groups().nodes_elsewhere();
        counted.serving += static_cast<std::uint32_t>(unheard);
        this->models.loads.set_remote_node_count(unheard);
        this->models.retries.set_node_count(in_group + unheard);
    }
    const double share =
        static_cast<double>(counted.heard) / std::max(counted.serving, counted.heard);
    this->models.quotas.set_heard_share(share, now);
}

bool group_exchange::speaks(monotonic_time now) const
{
    return !this->models.fleet.groups().others().empty() &&
           this->models.fleet.is_representative(now);
}

group_summary group_exchange::own_summary(monotonic_time now,
                                          const std::optional<network_address>& duty_holder,
                                          const std::optional<network_address>& ready) const
{
    group_summary summary;
    const auto counted = this->models.fleet.counts(now);
    summary.group = this->models.fleet.groups().own();
    summary.heard = counted.heard;
    summary.serving = counted.serving;
    summary.duty_holder = duty_holder;
    summary.work = work_range{0, work_range{}.to, this->models.loads.group_work()};
    summary.admitted = this->models.quotas.group_admitted();
    summary.demand = this->models.demand.group_totals();
    summary.ready = this->models.fleet.ready_callers(now);
    if (ready) {
        summary.ready.push_back(*ready);
    }
    std::shuffle(summary.ready.begin(), summary.ready.end(), this->random);
    summary.ready.resize(std::min(summary.ready.size(), ready_of_group));
    return summary;
}

group_summary group_exchange::summary_elsewhere(monotonic_time now) const
{
    const auto merged = this->merge(now);
    group_summary summary;
    summary.heard = merged.heard;
    summary.serving = merged.serving;
    summary.duty_holder = merged.duty_holder;
    summary.work = work_range{0, work_range{}.to, merged.work};
    summary.admitted = merged.admitted;
    summary.demand = merged.demand;
    summary.ready = merged.ready;
    std::shuffle(summary.ready.begin(), summary.ready.end(), this->random);
    summary.ready.resize(std::min(summary.ready.size(), ready_of_others));
    return summary;
}

std::vector<network_address> group_exchange::representatives(monotonic_time now)
{
    std::set<network_address> addresses;
    std::set<group_id> found;
    for (const auto* node : this->models.fleet.alive_elsewhere(now)) {
        if (!node->digest.is_leaving) {
            addresses.insert(node->digest.datagrams);
            found.insert(
                this->models.fleet.groups().group_of(node->digest.node, node->digest.zone));
        }
    }
    ++this->tries;
    for (const auto& [group, records] : this->models.fleet.groups().others()) {
        if (found.contains(group)) {
            continue;
        }
        for (std::size_t index = 0; index < std::min(likely_representatives, records.size());
             ++index) {
            addresses.insert(records[index].datagrams);
        }
        addresses.insert(records[this->tries % records.size()].datagrams);
    }
    return {addresses.begin(), addresses.end()};
}

std::optional<network_address> group_exchange::holder_elsewhere(monotonic_time now) const
{
    const bool is_known = this->elsewhere && now - this->elsewhere->at < node_silence;
    return is_known ? this->elsewhere->duty_holder : std::nullopt;
}

std::vector<network_address> group_exchange::ready_elsewhere(monotonic_time now) const
{
    const bool is_known = this->elsewhere && now - this->elsewhere->at < node_silence;
    return is_known ? this->elsewhere->ready : std::vector<network_address>{};
}

} // namespace eelgrassbend
