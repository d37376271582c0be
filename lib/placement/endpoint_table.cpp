#include "eelgrassbend/placement/endpoint_table.h"

#include <utility>

namespace eelgrassbend {

bool is_repeated(const endpoint_record& before, const endpoint_record& after)
{
    auto same_time = after;
    same_time.cold_left = before.cold_left;
    return same_time == before;
}

void endpoint_table::put(const endpoint_record& record, monotonic_time now)
{
    auto& entry = this->known[record.id];
    const bool is_new = entry.record.id != record.id ||
                        entry.record.is_draining != record.is_draining ||
                        entry.record.started != record.started;
    entry.record = record;
    entry.heard = now;
    entry.missing_since.reset();
    if (is_new && this->changed) {
        this->changed(record, false);
    }
}

void endpoint_table::remove(const endpoint_id& id, monotonic_time now, bool after_gap)
{
    const auto found = this->known.find(id);
    if (found == this->known.end()) {
        return;
    }
    if (!after_gap || found->second.record.is_draining) {
        this->erase(id);
        return;
    }
    if (!found->second.missing_since) {
        found->second.missing_since = now;
    }
}

void endpoint_table::expire(monotonic_time now)
{
    std::vector<endpoint_id> gone;
    for (const auto& [id, entry] : this->known) {
        if (entry.missing_since && now - *entry.missing_since >= this->missing_time) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        this->erase(id);
    }
}

void endpoint_table::erase(const endpoint_id& id)
{
    const auto found = this->known.find(id);
    const auto record = std::move(found->second.record);
    this->known.erase(found);
    if (this->changed) {
        this->changed(record, true);
    }
}

const known_endpoint* endpoint_table::find(const endpoint_id& id) const
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

std::vector<const known_endpoint*> endpoint_table::usable(const service_id& service,
                                                          monotonic_time now) const
{
    std::vector<const known_endpoint*> usable;
    for (const auto& [id, entry] : this->known) {
        const bool is_missing =
            entry.missing_since && now - *entry.missing_since >= this->missing_time;
        if (entry.record.service == service && !entry.record.is_draining && !is_missing) {
            usable.push_back(&entry);
        }
    }
    return usable;
}

} // namespace eelgrassbend
