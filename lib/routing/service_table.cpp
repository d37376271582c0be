#include "eelgrassbend/routing/service_table.h"

#include <algorithm>

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
/// An endpoint is suspected if what is expected of it is overdue by this much.
constexpr duration suspect_overdue = std::chrono::milliseconds{400};
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

bool service_table::review(endpoint_index index, monotonic_time now)
{
    auto& record = this->records[index];
    const auto expected = static_cast<double>(this->expected_token_time(record).count());
    const auto recent = static_cast<double>(record.pace.recent_token_time().count());
    const double limit = expected * (record.suspected ? trusted_slowness : suspect_slowness);
    const bool slow = record.pace.tokens_seen() >= pace_samples && recent > limit;
    const bool suspected = slow || record.progress.overdue(now) > suspect_overdue;
    if (suspected == record.suspected) {
        return suspected;
    }
    record.suspected = suspected;
    if (suspected) {
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
    std::int64_t slots = 0;
    for (const auto index : this->live_list) {
        slots += this->records[index].load.slots();
    }
    return std::max(shortest, this->mean_hold / std::max<std::int64_t>(1, slots));
}

void service_table::load_changed(endpoint_index index)
{
    const auto& record = this->records[index];
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
    return static_cast<endpoint_index>(this->records.size() - 1);
}

} // namespace eelgrassbend
