#include "eelgrassbend/routing/service_table.h"

#include <algorithm>
#include <set>

namespace eelgrassbend {

namespace {

/// Price an hour of a host that the bundle does not price, so that priced ones go first.
constexpr std::int64_t unknown_price = 10'000'000;
/// Samples from which a learnt speed is relied on.
constexpr std::uint64_t enough_samples = 20;
/// An endpoint is suspected from this multiple of the expected time between tokens on.
constexpr double suspect_slowness = 2.5;
/// It is trusted again below this multiple.
constexpr double trusted_slowness = 1.5;
/// A report counts as slow from this multiple on; prompts under way make it look slower than it is.
constexpr double reported_slowness = 4.5;
/// What this node saw itself counts for this long against a report that says otherwise.
constexpr duration own_evidence_span = std::chrono::seconds{2};
/// Time until a suspected endpoint is probed; doubled with each probe up to the longest.
constexpr duration first_probe_delay = std::chrono::seconds{5};
constexpr duration longest_probe_delay = std::chrono::seconds{20};
/// Time between probes of an endpoint that reports its usual pace.
constexpr duration hinted_probe_delay = std::chrono::seconds{2};
/// Samples of the pace that a suspicion needs.
constexpr std::uint64_t pace_samples = 8;
/// Weight of a new sample of the time that a slot is held.
constexpr std::int64_t hold_samples = 32;

} // namespace

void service_table::configure(const bundle& declared)
{
    const auto found = std::ranges::find(declared.services, this->service, &service_spec::id);
    this->settings = found == declared.services.end() ? service_spec{} : *found;
    this->prices = declared.host_prices;
    std::set<std::int32_t> priorities;
    for (const auto& organisation : declared.organisations) {
        priorities.insert(organisation.priority);
    }
    this->levels.assign(priorities.begin(), priorities.end());
    for (const auto& [id, index] : this->by_id) {
        auto& record = this->records[index];
        record.price_per_hour = this->price_of(record.info);
        this->load_changed(index);
    }
}

void service_table::update(const endpoint_info& info)
{
    const auto found = this->by_id.find(info.id);
    if (found == this->by_id.end() && info.state == endpoint_state::gone) {
        return;
    }
    const auto index = found == this->by_id.end() ? this->allocate() : found->second;
    this->by_id[info.id] = index;
    auto& record = this->records[index];
    record.info = info;
    record.price_per_hour = this->price_of(info);
    this->set_usable(index, info.state == endpoint_state::live);
    if (info.state == endpoint_state::gone && record.load.own() == 0) {
        this->by_id.erase(info.id);
        this->prefix_blocks.forget(index);
        this->unused.push_back(index);
    }
}

std::optional<endpoint_index> service_table::find(const endpoint_id& id) const
{
    const auto found = this->by_id.find(id);
    if (found == this->by_id.end()) {
        return std::nullopt;
    }
    return found->second;
}

duration service_table::expected_token_time(const endpoint_record& record) const
{
    const auto found = this->paces.find(record.info.type);
    if (found == this->paces.end() || found->second.tokens_seen() < enough_samples) {
        return record.pace.token_time();
    }
    return found->second.token_time();
}

duration service_table::expected_prompt_time(const endpoint_record& record) const
{
    if (record.pace.prompts_seen() >= enough_samples) {
        return record.pace.prompt_token_time();
    }
    const auto found = this->paces.find(record.info.type);
    return found == this->paces.end() ? record.pace.prompt_token_time()
                                      : found->second.prompt_token_time();
}

void service_table::report_pace(endpoint_index index, const load_report& report, monotonic_time now)
{
    auto& record = this->records[index];
    record.reported_slow = false;
    record.reported_in_pace = false;
    if (report.running == 0 || report.tokens_per_second <= 0.0) {
        return;
    }
    const double gap = report.running / report.tokens_per_second;
    const double expected =
        std::chrono::duration<double>{this->expected_token_time(record)}.count();
    record.reported_slow = gap > expected * reported_slowness;
    record.reported_in_pace = gap < expected * suspect_slowness;
    if (record.reported_in_pace) {
        record.next_probe = std::min(record.next_probe, now + hinted_probe_delay);
    }
    this->review(index, now);
}

bool service_table::probe_due(endpoint_index index, request_class size, monotonic_time now) const
{
    const auto& record = this->records[index];
    // A normal request shows most and suffers least; quick ones do it only where others are rare.
    const auto due =
        size == request_class::normal ? record.next_probe : record.next_probe + record.probe_delay;
    return size != request_class::long_running && now >= due;
}

void service_table::probed(endpoint_index index, monotonic_time now)
{
    auto& record = this->records[index];
    record.next_probe = now + record.probe_delay;
    record.probe_delay = std::min(longest_probe_delay, record.probe_delay * 2);
}

bool service_table::review(endpoint_index index, monotonic_time now)
{
    auto& record = this->records[index];
    const auto expected = static_cast<double>(this->expected_token_time(record).count());
    const auto recent = static_cast<double>(record.pace.recent_token_time().count());
    const double limit = expected * (record.suspected ? trusted_slowness : suspect_slowness);
    const bool seen = record.pace.tokens_seen() >= pace_samples;
    const bool slow = seen && recent > limit;
    // A report counts only where this node has seen nothing itself lately.
    const bool own_evidence = seen && now - record.last_token < own_evidence_span;
    const bool told = record.reported_slow || record.load.suspecting_peers() > 0;
    const bool told_slow = told && !own_evidence;
    const bool late = record.progress.overdue(now) > duration::zero();
    record.own_suspicion = slow || late;
    const bool suspected = record.own_suspicion || told_slow;
    if (suspected == record.suspected) {
        return suspected;
    }
    record.suspected = suspected;
    if (suspected) {
        record.probe_delay = first_probe_delay;
        record.next_probe = now + record.probe_delay;
        this->by_load.remove(index);
        this->suspect_list.push_back(index);
        return true;
    }
    std::erase(this->suspect_list, index);
    this->load_changed(index);
    return false;
}

void service_table::learn_hold_time(duration held)
{
    this->mean_hold += (held - this->mean_hold) / hold_samples;
}

duration service_table::slot_release_time() const
{
    constexpr duration shortest = std::chrono::seconds{1};
    return std::max(shortest, this->mean_hold / std::max<std::int64_t>(1, this->all_slots));
}

double service_table::utilisation() const
{
    return this->all_slots == 0 ? 0.0 : this->used_slots / static_cast<double>(this->all_slots);
}

void service_table::count(endpoint_index index, const counted_load& load)
{
    auto& before = this->counted[index];
    this->used_slots += load.used - before.used;
    this->all_slots += load.slots - before.slots;
    before = load;
}

void service_table::load_changed(endpoint_index index)
{
    const auto& record = this->records[index];
    if (record.usable) {
        this->count(index, {record.load.total(), record.load.slots()});
    }
    if (!record.usable || record.suspected) {
        return;
    }
    this->by_load.place(index, record.price_per_hour, record.load.total() / record.load.slots());
}

money service_table::price_of(const endpoint_info& info) const
{
    for (const auto& price : this->prices) {
        if (price.zone == info.zone && price.type == info.type &&
            price.reclaimable == info.reclaimable) {
            return price.per_hour;
        }
    }
    return money{unknown_price};
}

void service_table::set_usable(endpoint_index index, bool usable)
{
    auto& record = this->records[index];
    if (record.usable == usable) {
        this->load_changed(index);
        return;
    }
    record.usable = usable;
    if (usable) {
        this->live_position[index] = this->live_list.size();
        this->live_list.push_back(index);
        this->load_changed(index);
        return;
    }
    this->by_load.remove(index);
    this->count(index, {});
    std::erase(this->suspect_list, index);
    record.suspected = false;
    const auto hole = this->live_position[index];
    this->live_list[hole] = this->live_list.back();
    this->live_position[this->live_list[hole]] = hole;
    this->live_list.pop_back();
}

endpoint_index service_table::allocate()
{
    if (!this->unused.empty()) {
        const auto index = this->unused.back();
        this->unused.pop_back();
        this->records[index] = {};
        return index;
    }
    this->records.emplace_back();
    this->live_position.push_back(0);
    this->counted.emplace_back();
    return static_cast<endpoint_index>(this->records.size() - 1);
}

} // namespace eelgrassbend
