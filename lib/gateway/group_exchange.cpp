#include "eelgrassbend/gateway/group_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassbend {

/// Nodes of a group without a known representative that are tried: the first ones by name, and one
/// more in turn, in case that many are gone.
static constexpr std::size_t likely_representatives = 3;
/// Addresses of callers' nodes in a summary of one group, and of all others together.
static constexpr std::size_t ready_of_group = 12;
static constexpr std::size_t ready_of_others = 32;

group_exchange::group_exchange(fleet_view& fleet, load_model& loads, fleet_quota& quotas,
                               retry_budget& retries, usage_board& usage, random_source& random)
    : fleet(fleet), loads(loads), quotas(quotas), retries(retries), usage(usage), random(random)
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
    const bool is_from_group = this->fleet.is_in_group(told);
    if (summary.group.value().empty()) {
        if (is_from_group && !this->fleet.is_representative(now)) {
            auto& known = this->elsewhere ? *this->elsewhere : this->elsewhere.emplace();
            take(known, summary, now);
        }
        return;
    }
    if (is_from_group) {
        return; // two nodes of the group speak for it for a while
    }
    this->usage.heard_group(summary.group.value(), summary.usage);
    take(this->groups[summary.group], summary, now);
}

// A group that is not heard still serves its callers, at first as far as its records tell.
group_exchange::other_groups group_exchange::merge(monotonic_time now) const
{
    other_groups merged;
    merged.at = now;
    for (const auto& [group, records] : this->fleet.groups().others()) {
        const auto found = this->groups.find(group);
        if (found == this->groups.end()) {
            merged.serving += static_cast<std::uint32_t>(records.size());
            continue;
        }
        const auto& known = found->second;
        for (const auto& [key, units] : known.admitted) {
            merged.admitted[key] += units;
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
    return merged;
}

void group_exchange::update(monotonic_time now)
{
    if (this->fleet.groups().others().empty()) {
        this->elsewhere.reset();
    }
    else if (this->fleet.is_representative(now)) {
        this->elsewhere = this->merge(now);
    }
    if (this->elsewhere && now - this->elsewhere->at >= node_silence) {
        this->elsewhere->heard = 0;
        this->elsewhere->work.clear();
        this->elsewhere->ready.clear();
        this->elsewhere->duty_holder.reset();
    }
    const auto& work = this->elsewhere ? this->elsewhere->work : compact_work{};
    this->loads.work_elsewhere(0, work_range{}.to, work);
    if (this->elsewhere) {
        this->quotas.heard_elsewhere(this->elsewhere->admitted, now);
    }
    this->set_counts(now);
}

void group_exchange::set_counts(monotonic_time now)
{
    auto counted = this->fleet.counts(now);
    const auto in_group = counted.heard;
    if (this->elsewhere) {
        counted.heard += this->elsewhere->heard;
        counted.serving += this->elsewhere->serving;
        this->loads.set_nodes_elsewhere(this->elsewhere->serving);
        this->retries.set_node_count(in_group + this->elsewhere->serving);
    }
    else {
        const auto unheard = this->fleet.groups().nodes_elsewhere();
        counted.serving += static_cast<std::uint32_t>(unheard);
        this->loads.set_nodes_elsewhere(unheard);
        this->retries.set_node_count(in_group + unheard);
    }
    const double share =
        static_cast<double>(counted.heard) / std::max(counted.serving, counted.heard);
    this->quotas.set_heard_share(share, now);
    this->quotas.set_group_count(this->fleet.groups().group_count(), now);
}

bool group_exchange::speaks(monotonic_time now) const
{
    return !this->fleet.groups().others().empty() && this->fleet.is_representative(now);
}

group_summary group_exchange::own_summary(monotonic_time now,
                                          const std::optional<network_address>& duty_holder,
                                          const std::optional<network_address>& ready) const
{
    group_summary summary;
    const auto counted = this->fleet.counts(now);
    summary.group = this->fleet.groups().own();
    summary.heard = counted.heard;
    summary.serving = counted.serving;
    summary.duty_holder = duty_holder;
    summary.work = work_range{0, work_range{}.to, this->loads.group_work()};
    summary.admitted = this->quotas.group_admitted();
    summary.ready = this->fleet.ready_callers(now);
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
    summary.ready = merged.ready;
    std::shuffle(summary.ready.begin(), summary.ready.end(), this->random);
    summary.ready.resize(std::min(summary.ready.size(), ready_of_others));
    return summary;
}

std::vector<network_address> group_exchange::representatives(monotonic_time now)
{
    std::set<network_address> addresses;
    std::set<group_id> found;
    for (const auto* node : this->fleet.alive_elsewhere(now)) {
        if (!node->digest.is_leaving) {
            addresses.insert(node->digest.datagrams);
            found.insert(this->fleet.groups().group_of(node->digest.node, node->digest.zone));
        }
    }
    ++this->tries;
    for (const auto& [group, records] : this->fleet.groups().others()) {
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
