#include "eelgrassbend/placement/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Time for which other nodes are told of an endpoint that leaves; by then their own news of the
/// store has come.
static constexpr std::chrono::seconds telling_time{5};
/// Time for which a notice outlives the endpoint's record, which a store outage can bring back.
static constexpr std::chrono::minutes notice_time{2};

bool is_repeated(const endpoint_record& before, const endpoint_record& after)
{
    auto same_time = after;
    same_time.cold_left = before.cold_left;
    return same_time == before;
}

void endpoint_table::put(const endpoint_record& written, monotonic_time now)
{
    auto record = written;
    auto& entry = this->known[record.id];
    if (const auto said = this->notices.find(record.id); said != this->notices.end()) {
        if (said->second.started == record.started) {
            record.is_draining = record.is_draining || said->second.is_leaving;
            entry.no_work_until = said->second.no_work_until;
        }
        else {
            this->notices.erase(said);
            entry.no_work_until.reset();
        }
    }
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

endpoint_table::notice& endpoint_table::notice_of(const known_endpoint& endpoint,
                                                  monotonic_time now)
{
    auto& said = this->notices[endpoint.record.id];
    if (said.started != endpoint.record.started) {
        said = {};
    }
    said.started = endpoint.record.started;
    said.heard = now;
    return said;
}

void endpoint_table::mark_leaving(const endpoint_id& id, bool is_own, monotonic_time now)
{
    auto& entry = this->known.at(id);
    auto& said = this->notice_of(entry, now);
    said.is_leaving = true;
    said.is_own = said.is_own || is_own;
    if (std::exchange(entry.record.is_draining, true) || !this->changed) {
        return;
    }
    const auto record = entry.record;
    this->changed(record, false);
}

void endpoint_table::says_leaving(const endpoint_id& id, monotonic_time now)
{
    if (this->known.contains(id)) {
        this->mark_leaving(id, true, now);
    }
}

void endpoint_table::heard_leaving(const endpoint_incarnation& leaving, monotonic_time now)
{
    const auto found = this->known.find(leaving.endpoint);
    if (found != this->known.end() && found->second.record.started == leaving.started) {
        this->mark_leaving(leaving.endpoint, false, now);
    }
}

void endpoint_table::says_no_work(const endpoint_id& id, monotonic_time until, monotonic_time now)
{
    const auto found = this->known.find(id);
    if (found == this->known.end()) {
        return;
    }
    auto& said = this->notice_of(found->second, now);
    said.no_work_until = std::max(until, said.no_work_until.value_or(until));
    found->second.no_work_until = said.no_work_until;
}

std::vector<endpoint_incarnation> endpoint_table::told_leaving(monotonic_time now) const
{
    std::vector<endpoint_incarnation> leaving;
    for (const auto& [id, said] : this->notices) {
        if (said.is_leaving && said.is_own && now - said.heard < telling_time) {
            leaving.push_back({id, said.started});
        }
    }
    return leaving;
}

void endpoint_table::expire(monotonic_time now)
{
    std::erase_if(this->notices, [&](const auto& entry) {
        const auto& [id, said] = entry;
        const bool is_binding = said.no_work_until && now < *said.no_work_until;
        return !this->known.contains(id) && !is_binding && now - said.heard > notice_time;
    });

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
