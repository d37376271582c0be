#include "eelgrassbend/gateway/group_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrassbend {

/// Nodes to which summaries go in a group without a known representative: the first ones by name,
/// and another one each round in case many are gone.
static constexpr std::size_t representative_candidates = 3;
/// Time after becoming representative during which totals are withheld while a group has not
/// reported; after it the group is taken to be gone.
static constexpr std::chrono::seconds max_incomplete_time{5};
/// Most caller addresses in a summary of one group, and of all others merged.
static constexpr std::size_t max_group_ready_addresses = 12;
static constexpr std::size_t max_remote_ready_addresses = 32;

group_exchange::group_exchange(const fleet_models& models, random_source& random)
    : models(models), random(random)
{
}

void group_exchange::apply_summary(group_state& known, const group_summary& summary,
                                   monotonic_time now)
{
    known.reporting_nodes = summary.reporting_nodes;
    known.serving_nodes = summary.serving_nodes;
    known.duty_holder = summary.duty_holder;
    known.updated_at = now;
    if (summary.work) {
        std::erase_if(known.work, [&](const auto& entry) {
            const std::uint64_t key = entry.first;
            return key >= summary.work->from && key < summary.work->to;
        });
        known.work.insert(summary.work->work.begin(), summary.work->work.end());
    }
    for (const auto& [key, units] : summary.admitted) {
        known.admitted[key] = units;
    }
    for (const auto& [service, taken] : summary.demand) {
        known.demand[service] = taken;
    }
    for (const auto& [service, taken] : summary.slot_demand) {
        known.slot_demand[service] = taken;
    }
    if (!summary.ready.empty()) {
        known.ready = summary.ready;
    }
}

void group_exchange::handle_digest(const node_digest& digest, monotonic_time now)
{
    if (!digest.summary) {
        return;
    }
    const auto& summary = *digest.summary;
    const bool is_from_group = this->models.fleet.is_in_group(digest);
    if (summary.group.value().empty()) {
        if (is_from_group && !this->models.fleet.is_representative(now)) {
            if (!this->remote) {
                this->remote = group_state{};
            }
            apply_summary(*this->remote, summary, now);
            this->has_new_totals = this->has_new_totals || !summary.admitted.empty();
        }
        return;
    }
    if (is_from_group) {
        return; // for a while, two nodes may represent the group
    }
    this->models.usage.record_group_counts(summary.group.value(), summary.usage);
    apply_summary(this->remote_groups[summary.group], summary, now);
    this->has_new_totals = this->has_new_totals || !summary.admitted.empty();
}

// A group without a recent summary still serves callers. Until its first summary arrives, its node
// count is the number of its node records in the store.
group_exchange::group_state group_exchange::merge_groups(monotonic_time now) const
{
    group_state merged;
    merged.updated_at = now;
    for (const auto& [group, records] : this->models.fleet.groups().other_groups()) {
        const auto found = this->remote_groups.find(group);
        if (found == this->remote_groups.end()) {
            merged.serving_nodes += static_cast<std::uint32_t>(records.size());
            continue;
        }
        const auto& known = found->second;
        for (const auto& [key, units] : known.admitted) {
            merged.admitted[key] += units;
        }
        for (const auto& [service, taken] : known.demand) {
            merged.demand[service] += taken;
        }
        for (const auto& [service, taken] : known.slot_demand) {
            merged.slot_demand[service] += taken;
        }
        if (now - known.updated_at < node_absence_timeout) {
            merged.serving_nodes += known.serving_nodes;
        }
        if (now - known.updated_at >= node_report_timeout) {
            continue;
        }
        merged.reporting_nodes += known.reporting_nodes;
        if (known.duty_holder) {
            merged.duty_holder = known.duty_holder;
        }
        for (const auto& [key, work] : known.work) {
            merged.work[key] += work;
        }
        merged.ready.insert(merged.ready.end(), known.ready.begin(), known.ready.end());
    }
    // Totals that lack a group would look like a decrease; when the group reports again, its units
    // would be counted as newly admitted.
    if (this->remote_groups.size() < this->models.fleet.groups().other_groups().size() &&
        now - this->representative_since.value_or(now) < max_incomplete_time) {
        merged.admitted.clear();
        merged.demand.clear();
        merged.slot_demand.clear();
    }
    return merged;
}

void group_exchange::update(monotonic_time now)
{
    if (this->models.fleet.groups().other_groups().empty()) {
        this->remote.reset();
    }
    else if (this->models.fleet.is_representative(now)) {
        this->representative_since = this->representative_since.value_or(now);
        this->remote = this->merge_groups(now);
    }
    else {
        this->representative_since.reset();
    }
    if (this->remote && now - this->remote->updated_at >= node_report_timeout) {
        this->remote->reporting_nodes = 0;
        this->remote->work.clear();
        this->remote->ready.clear();
        this->remote->duty_holder.reset();
    }
    const auto& work = this->remote ? this->remote->work : compact_work{};
    this->models.loads.set_remote_work(0, work_range{}.to, work);
    if (this->remote && std::exchange(this->has_new_totals, false)) {
        this->models.quotas.record_remote_totals(this->remote->admitted, now);
        this->models.demand.record_remote_totals(this->remote->demand);
        this->models.demand.slots().record_remote_totals(this->remote->slot_demand);
    }
    this->update_node_counts(now);
}

void group_exchange::update_node_counts(monotonic_time now)
{
    auto counts = this->models.fleet.count_nodes(now);
    const auto in_group = counts.reporting_nodes;
    if (this->remote) {
        counts.reporting_nodes += this->remote->reporting_nodes;
        counts.serving_nodes += this->remote->serving_nodes;
        this->models.loads.set_remote_node_count(this->remote->serving_nodes);
        this->models.retries.set_node_count(in_group + this->remote->serving_nodes);
    }
    else {
        const auto unreported = this->models.fleet.groups().remote_node_count();
        counts.serving_nodes += static_cast<std::uint32_t>(unreported);
        this->models.loads.set_remote_node_count(unreported);
        this->models.retries.set_node_count(in_group + unreported);
    }
    const double share = static_cast<double>(counts.reporting_nodes) /
                         std::max(counts.serving_nodes, counts.reporting_nodes);
    this->models.quotas.set_reporting_share(share, now);
}

bool group_exchange::should_send_summaries(monotonic_time now) const
{
    return !this->models.fleet.groups().other_groups().empty() &&
           this->models.fleet.is_representative(now);
}

group_summary group_exchange::own_summary(monotonic_time now,
                                          const std::optional<network_address>& duty_holder,
                                          const std::optional<network_address>& ready) const
{
    group_summary summary;
    const auto counts = this->models.fleet.count_nodes(now);
    summary.group = this->models.fleet.groups().own_group();
    summary.reporting_nodes = counts.reporting_nodes;
    summary.serving_nodes = counts.serving_nodes;
    summary.duty_holder = duty_holder;
    summary.work = work_range{0, work_range{}.to, this->models.loads.group_work()};
    summary.admitted = this->models.quotas.group_totals();
    summary.demand = this->models.demand.group_totals();
    summary.slot_demand = this->models.demand.slots().group_totals();
    summary.ready = this->models.fleet.ready_addresses(now);
    if (ready) {
        summary.ready.push_back(*ready);
    }
    std::shuffle(summary.ready.begin(), summary.ready.end(), this->random);
    summary.ready.resize(std::min(summary.ready.size(), max_group_ready_addresses));
    return summary;
}

group_summary group_exchange::remote_summary(monotonic_time now) const
{
    const auto merged = this->merge_groups(now);
    group_summary summary;
    summary.reporting_nodes = merged.reporting_nodes;
    summary.serving_nodes = merged.serving_nodes;
    summary.duty_holder = merged.duty_holder;
    summary.work = work_range{0, work_range{}.to, merged.work};
    summary.admitted = merged.admitted;
    summary.demand = merged.demand;
    summary.slot_demand = merged.slot_demand;
    summary.ready = merged.ready;
    std::shuffle(summary.ready.begin(), summary.ready.end(), this->random);
    summary.ready.resize(std::min(summary.ready.size(), max_remote_ready_addresses));
    return summary;
}

std::vector<network_address> group_exchange::representative_addresses(monotonic_time now)
{
    std::set<network_address> addresses;
    std::set<group_id> represented;
    for (const auto* node : this->models.fleet.alive_remote_nodes(now)) {
        if (!node->digest.is_leaving) {
            addresses.insert(node->digest.datagrams);
            represented.insert(
                this->models.fleet.groups().group_of(node->digest.node, node->digest.zone));
        }
    }
    ++this->search_rounds;
    for (const auto& [group, records] : this->models.fleet.groups().other_groups()) {
        if (represented.contains(group)) {
            continue;
        }
        for (std::size_t index = 0; index < std::min(representative_candidates, records.size());
             ++index) {
            addresses.insert(records[index].datagrams);
        }
        addresses.insert(records[this->search_rounds % records.size()].datagrams);
    }
    return {addresses.begin(), addresses.end()};
}

std::optional<network_address> group_exchange::remote_duty_holder(monotonic_time now) const
{
    const bool is_known = this->remote && now - this->remote->updated_at < node_report_timeout;
    return is_known ? this->remote->duty_holder : std::nullopt;
}

std::vector<network_address> group_exchange::remote_ready_addresses(monotonic_time now) const
{
    const bool is_known = this->remote && now - this->remote->updated_at < node_report_timeout;
    return is_known ? this->remote->ready : std::vector<network_address>{};
}

} // namespace eelgrassbend
