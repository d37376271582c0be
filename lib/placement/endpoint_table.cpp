#include "eelgrassbend/placement/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// How long other nodes are notified of a draining endpoint; by then they have received its updated
/// record from the store.
static constexpr std::chrono::seconds draining_report_time{5};
/// How long the state of an endpoint outlives its record, which can be restored after a store
/// outage or by a write that is executed late.
static constexpr std::chrono::minutes departed_state_lifetime{2};

bool has_same_state(const endpoint_record& before, const endpoint_record& after)
{
    auto normalized = after;
    normalized.cold_start_left = before.cold_start_left;
    normalized.sequence = before.sequence;
    return normalized == before;
}

// Without the start of the incarnation, a lower number may be that of a new one.
bool endpoint_table::is_outdated(const endpoint_record& written) const
{
    const auto found = this->newest_versions.find(written.id);
    if (found == this->newest_versions.end() || written.started == 0 ||
        found->second.started == 0) {
        return false;
    }
    const auto& newest = found->second;
    if (written.started != newest.started) {
        return written.started < newest.started;
    }
    return written.sequence && newest.sequence && *written.sequence < *newest.sequence;
}

bool endpoint_table::put(const endpoint_record& written, monotonic_time now)
{
    if (this->is_outdated(written)) {
        return false;
    }
    this->newest_versions.insert_or_assign(written.id,
                                           record_version{written.started, written.sequence, now});
    auto record = written;
    auto& entry = this->endpoints[record.id];
    if (const auto reported = this->reported_states.find(record.id);
        reported != this->reported_states.end()) {
        if (reported->second.started == record.started) {
            record.is_draining = record.is_draining || reported->second.is_draining;
            entry.paused_until = reported->second.paused_until;
        }
        else {
            this->reported_states.erase(reported);
            entry.paused_until.reset();
        }
    }
    const bool is_new = entry.record.id != record.id ||
                        entry.record.is_draining != record.is_draining ||
                        entry.record.started != record.started;
    const bool is_moved = entry.record.address != record.address;
    const auto previous = std::exchange(entry.record, record);
    entry.received_at = now;
    const auto missing_since = std::exchange(entry.missing_since, std::nullopt);
    if (!previous.id.value().empty() && previous.address != record.address && this->handle_change) {
        this->handle_change(previous, true);
    }
    if (is_new && this->handle_change) {
        this->handle_change(record, false);
    }
    if (is_new || is_moved) {
        this->require_check(entry, std::nullopt);
    }
    else if (missing_since && entry.is_checked) {
        this->require_check(entry, *missing_since + this->missing_grace);
    }
    return true;
}

// The handler may mark the endpoint as checked at once.
void endpoint_table::require_check(known_endpoint& entry,
                                   std::optional<monotonic_time> usable_until)
{
    if (!this->handle_unchecked) {
        return;
    }
    entry.is_checked = false;
    entry.usable_until = usable_until;
    if (!entry.record.is_draining) {
        this->handle_unchecked(endpoint_record{entry.record});
    }
}

void endpoint_table::mark_checked(const endpoint_incarnation& checked)
{
    const auto found = this->endpoints.find(checked.endpoint);
    if (found != this->endpoints.end() && found->second.record.started == checked.started) {
        found->second.is_checked = true;
        found->second.usable_until.reset();
    }
}

void endpoint_table::check_all(monotonic_time now)
{
    for (auto& [id, entry] : this->endpoints) {
        if (entry.is_checked) {
            this->require_check(entry, now + this->missing_grace);
        }
    }
}

void endpoint_table::remove(const endpoint_id& id, monotonic_time now, bool after_gap)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
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

endpoint_table::reported_state& endpoint_table::reported_state_of(const known_endpoint& endpoint,
                                                                  monotonic_time now)
{
    auto& reported = this->reported_states[endpoint.record.id];
    if (reported.started != endpoint.record.started) {
        reported = {};
    }
    reported.started = endpoint.record.started;
    reported.reported_at = now;
    return reported;
}

void endpoint_table::mark_draining(const endpoint_id& id, bool is_from_answer, monotonic_time now)
{
    auto& entry = this->endpoints.at(id);
    auto& reported = this->reported_state_of(entry, now);
    reported.is_draining = true;
    reported.is_from_answer = reported.is_from_answer || is_from_answer;
    if (std::exchange(entry.record.is_draining, true) || !this->handle_change) {
        return;
    }
    const auto record = entry.record;
    this->handle_change(record, false);
}

void endpoint_table::mark_draining_from_answer(const endpoint_id& id, monotonic_time now)
{
    if (this->endpoints.contains(id)) {
        this->mark_draining(id, true, now);
    }
}

void endpoint_table::mark_draining_from_peer(const endpoint_incarnation& draining,
                                             monotonic_time now)
{
    const auto found = this->endpoints.find(draining.endpoint);
    if (found != this->endpoints.end() && found->second.record.started == draining.started) {
        this->mark_draining(draining.endpoint, false, now);
    }
}

void endpoint_table::pause_work(const endpoint_id& id, monotonic_time until, monotonic_time now)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
        return;
    }
    auto& reported = this->reported_state_of(found->second, now);
    reported.paused_until = std::max(until, reported.paused_until.value_or(until));
    found->second.paused_until = reported.paused_until;
}

std::vector<endpoint_incarnation> endpoint_table::draining_to_report(monotonic_time now) const
{
    std::vector<endpoint_incarnation> draining;
    for (const auto& [id, reported] : this->reported_states) {
        if (reported.is_draining && reported.is_from_answer &&
            now - reported.reported_at < draining_report_time) {
            draining.push_back({id, reported.started});
        }
    }
    return draining;
}

void endpoint_table::expire(monotonic_time now)
{
    std::erase_if(this->reported_states, [&](const auto& entry) {
        const auto& [id, reported] = entry;
        const bool is_paused = reported.paused_until && now < *reported.paused_until;
        return !this->endpoints.contains(id) && !is_paused &&
               now - reported.reported_at > departed_state_lifetime;
    });
    std::erase_if(this->newest_versions, [&](const auto& entry) {
        return !this->endpoints.contains(entry.first) &&
               now - entry.second.received_at > departed_state_lifetime;
    });

    std::vector<endpoint_id> gone;
    for (const auto& [id, entry] : this->endpoints) {
        if (entry.missing_since && now - *entry.missing_since >= this->missing_grace) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        this->erase(id);
    }
}

void endpoint_table::erase(const endpoint_id& id)
{
    const auto found = this->endpoints.find(id);
    const auto record = std::move(found->second.record);
    this->endpoints.erase(found);
    if (this->handle_change) {
        this->handle_change(record, true);
    }
}

const known_endpoint* endpoint_table::find(const endpoint_id& id) const
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? nullptr : &found->second;
}

std::vector<const known_endpoint*> endpoint_table::usable(const service_id& service,
                                                          monotonic_time now) const
{
    std::vector<const known_endpoint*> usable;
    for (const auto& [id, entry] : this->endpoints) {
        const bool is_missing =
            entry.missing_since && now - *entry.missing_since >= this->missing_grace;
        const bool is_trusted =
            entry.is_checked || (entry.usable_until && now < *entry.usable_until);
        if (entry.record.service == service && !entry.record.is_draining && !is_missing &&
            is_trusted) {
            usable.push_back(&entry);
        }
    }
    return usable;
}

std::optional<software_version> endpoint_table::only_version(const service_id& service) const
{
    std::optional<software_version> only;
    for (const auto& [id, entry] : this->endpoints) {
        if (entry.record.service != service) {
            continue;
        }
        if (only && *only != entry.record.version) {
            return std::nullopt;
        }
        only = entry.record.version;
    }
    return only;
}

bool endpoint_table::has_version(const service_id& service, const software_version& version) const
{
    return std::any_of(this->endpoints.begin(), this->endpoints.end(), [&](const auto& each) {
        const auto& record = each.second.record;
        return record.service == service && record.version == version && !record.is_draining;
    });
}

bool endpoint_table::awaits_check(const service_id& service) const
{
    return std::any_of(this->endpoints.begin(), this->endpoints.end(), [&](const auto& each) {
        const known_endpoint& entry = each.second;
        return entry.record.service == service && !entry.record.is_draining &&
               !entry.missing_since && !entry.is_checked;
    });
}

} // namespace eelgrassbend
