#include "eelgrassbend/routing/service_table.h"

#include <algorithm>
#include <set>

namespace eelgrassbend {

namespace {

/// Hourly price assumed for hosts without a price in the bundle, so that priced hosts are
/// preferred.
constexpr std::int64_t unpriced_host_price = 10'000'000;
/// Number of samples from which a measured latency is used.
constexpr std::uint64_t min_trusted_samples = 20;
/// An endpoint is suspected above this multiple of the expected time between tokens.
constexpr double suspect_slowness = 2.5;
/// A suspected endpoint is trusted again at or below this multiple.
constexpr double trusted_slowness = 1.5;
/// A report counts as slow above this multiple; prompts in progress make an endpoint look slower
/// than it is.
constexpr double reported_slowness = 4.5;
/// Time for which this node's own measurements take precedence over a contradicting report.
constexpr duration own_evidence_window = std::chrono::seconds{2};
/// Time until a suspected endpoint is probed; doubled with each probe up to the maximum.
constexpr duration initial_probe_delay = std::chrono::seconds{5};
constexpr duration max_probe_delay = std::chrono::seconds{20};
/// Delay before the next probe of an endpoint that reports its usual token rate.
constexpr duration reported_normal_probe_delay = std::chrono::seconds{2};
/// Minimum number of token samples for a suspicion.
constexpr std::uint64_t min_latency_samples = 8;
/// A new sample of the slot hold time has a weight of one in this many.
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
    this->priorities_in_use.assign(priorities.begin(), priorities.end());
    for (const auto& [id, index] : this->by_id) {
        auto& record = this->records[index];
        record.price_per_hour = this->price_of(record.info);
        this->update_load(index);
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
    if (info.state == endpoint_state::gone && record.load.own_attempts() == 0) {
        this->by_id.erase(info.id);
        this->prefix_blocks.remove_endpoint(index);
        this->free_indices.push_back(index);
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
    const auto found = this->class_latencies.find(record.info.type);
    if (found == this->class_latencies.end() ||
        found->second.token_sample_count() < min_trusted_samples) {
        return record.latency.token_time();
    }
    return found->second.token_time();
}

duration service_table::expected_prompt_time(const endpoint_record& record) const
{
    if (record.latency.prompt_sample_count() >= min_trusted_samples) {
        return record.latency.prompt_token_time();
    }
    const auto found = this->class_latencies.find(record.info.type);
    return found == this->class_latencies.end() ? record.latency.prompt_token_time()
                                                : found->second.prompt_token_time();
}

void service_table::update_reported_latency(endpoint_index index, const load_report& report,
                                            monotonic_time now)
{
    auto& record = this->records[index];
    record.is_reported_slow = false;
    record.is_reported_normal = false;
    if (report.running == 0 || report.tokens_per_second <= 0.0) {
        return;
    }
    const double gap = report.running / report.tokens_per_second;
    const double expected =
        std::chrono::duration<double>{this->expected_token_time(record)}.count();
    record.is_reported_slow = gap > expected * reported_slowness;
    record.is_reported_normal = gap < expected * suspect_slowness;
    if (record.is_reported_normal) {
        record.next_probe = std::min(record.next_probe, now + reported_normal_probe_delay);
    }
    this->update_suspicion(index, now);
}

bool service_table::is_probe_due(endpoint_index index, request_class size, monotonic_time now) const
{
    const auto& record = this->records[index];
    // Normal requests probe first: they show most and suffer least. Quick requests probe only if no
    // normal request did within another probe delay.
    const auto due =
        size == request_class::normal ? record.next_probe : record.next_probe + record.probe_delay;
    return size != request_class::long_running && now >= due;
}

void service_table::record_probe(endpoint_index index, monotonic_time now)
{
    auto& record = this->records[index];
    record.next_probe = now + record.probe_delay;
    record.probe_delay = std::min(max_probe_delay, record.probe_delay * 2);
}

bool service_table::update_suspicion(endpoint_index index, monotonic_time now)
{
    auto& record = this->records[index];
    const auto expected = static_cast<double>(this->expected_token_time(record).count());
    const auto recent = static_cast<double>(record.latency.recent_token_time().count());
    const double limit = expected * (record.is_suspected ? trusted_slowness : suspect_slowness);
    const bool has_samples = record.latency.token_sample_count() >= min_latency_samples;
    const bool is_slow = has_samples && recent > limit;
    // Reports are used only if this node has no recent measurements of its own.
    const bool has_own_evidence = has_samples && now - record.last_token < own_evidence_window;
    const bool is_reported_by_others =
        record.is_reported_slow || record.load.suspecting_peer_count() > 0;
    const bool is_reported_slow = is_reported_by_others && !has_own_evidence;
    const bool is_late = record.progress.overdue(now) > duration::zero();
    record.is_locally_suspected = is_slow || is_late;
    const bool is_suspected = record.is_locally_suspected || is_reported_slow;
    if (is_suspected == record.is_suspected) {
        return is_suspected;
    }
    record.is_suspected = is_suspected;
    if (is_suspected) {
        record.probe_delay = initial_probe_delay;
        record.next_probe = now + record.probe_delay;
        this->by_load.remove(index);
        this->suspect_list.push_back(index);
        return true;
    }
    std::erase(this->suspect_list, index);
    this->update_load(index);
    return false;
}

void service_table::add_hold_time_sample(duration held)
{
    this->mean_hold += (held - this->mean_hold) / hold_samples;
}

duration service_table::slot_release_time() const
{
    constexpr duration shortest = std::chrono::seconds{1};
    return std::max(shortest, this->mean_hold / std::max<std::int64_t>(1, this->total_slots));
}

double service_table::utilisation() const
{
    return this->total_slots == 0 ? 0.0 : this->used_slots / static_cast<double>(this->total_slots);
}

void service_table::count_load(endpoint_index index, const counted_load& load)
{
    auto& before = this->counted[index];
    this->used_slots += load.used - before.used;
    this->total_slots += load.slots - before.slots;
    before = load;
}

void service_table::update_load(endpoint_index index)
{
    const auto& record = this->records[index];
    if (record.is_usable) {
        this->count_load(index, {record.load.total_attempts(), record.load.slots()});
    }
    if (!record.is_usable || record.is_suspected) {
        return;
    }
    this->by_load.place(index, record.price_per_hour,
                        record.load.total_attempts() / record.load.slots());
}

money service_table::price_of(const endpoint_info& info) const
{
    for (const auto& price : this->prices) {
        if (price.zone == info.zone && price.type == info.type &&
            price.reclaimable == info.reclaimable) {
            return price.per_hour;
        }
    }
    return money{unpriced_host_price};
}

void service_table::set_usable(endpoint_index index, bool is_usable)
{
    auto& record = this->records[index];
    if (record.is_usable == is_usable) {
        this->update_load(index);
        return;
    }
    record.is_usable = is_usable;
    if (is_usable) {
        this->live_positions[index] = this->live_indices.size();
        this->live_indices.push_back(index);
        this->update_load(index);
        return;
    }
    this->by_load.remove(index);
    this->count_load(index, {});
    std::erase(this->suspect_list, index);
    record.is_suspected = false;
    const auto vacant_position = this->live_positions[index];
    this->live_indices[vacant_position] = this->live_indices.back();
    this->live_positions[this->live_indices[vacant_position]] = vacant_position;
    this->live_indices.pop_back();
}

endpoint_index service_table::allocate()
{
    if (!this->free_indices.empty()) {
        const auto index = this->free_indices.back();
        this->free_indices.pop_back();
        this->records[index] = {};
        return index;
    }
    this->records.emplace_back();
    this->live_positions.push_back(0);
    this->counted.emplace_back();
    return static_cast<endpoint_index>(this->records.size() - 1);
}

} // namespace eelgrassbend
