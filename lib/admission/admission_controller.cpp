#include "eelgrassbend/admission/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace eelgrassbend {

/// Slots that each priority leaves free in addition to the next more urgent one, as a multiple of
/// the square root of the slots: the usual error of an engine's load, as reports are up to 500 ms
/// old and many nodes choose at once.
static constexpr double reserve_per_priority = 0.5;
/// Slots of an endpoint while none is known.
static constexpr double default_slots = 12.0;
static constexpr double max_reserve = 0.6;
/// Requests that may wait at a plain endpoint beyond those in its slots, as a share of the slots.
/// Its requests are short, so that a short queue costs less than a refusal.
static constexpr double plain_queue_share = 0.25;
/// A kind is served at least this often, relative to all requests of its service, before it gets a
/// part of its reserve back. The requirement is a quarter; the rest is the error of the control.
static constexpr double min_kind_share = 0.55;
/// The same for the largest tenth, relative to its kind. The requirement is a half.
static constexpr double min_large_share = 0.75;
/// Shortfall, as a share of the least share, at which the whole reserve is given back.
static constexpr double full_shortfall = 0.5;
/// Requests that must have been counted before the share served is trusted.
static constexpr double min_counted = 4.0;
/// Time over which the share of admitted requests is averaged.
static constexpr std::chrono::seconds served_memory{3};
/// Largest requests: one in so many.
static constexpr std::size_t large_part = 10;
/// Fraction of a request's objective for which it may wait for capacity.
static constexpr double wait_fraction = 0.12;
/// The same for returning callers, counted from their first attempt: most do not try again.
static constexpr double returning_wait_fraction = 0.85;
/// Fraction of an objective until which a return is promised. The rest is for the answer.
static constexpr double promise_fraction = 0.75;
/// Callers honour a return time up to this fraction of the time that they have left.
static constexpr double honoured_fraction = 1.0 / 3.0;
/// Least time until a return.
static constexpr std::chrono::milliseconds min_return{100};
/// A return time that is not promised is spread over this last part of what callers honour.
static constexpr double unpromised_spread = 0.2;
/// Callers return up to this much later than told.
static constexpr std::chrono::milliseconds return_delay{50};
/// Reserve that a returning caller of any priority leaves, relative to that of the second most
/// urgent newcomers.
static constexpr double returning_reserve = 0.5;
/// Slots are kept for the promises that are due within this time, on average over the longer
/// window: a single node has made only a few of them.
static constexpr std::chrono::milliseconds promise_time{250};
static constexpr std::chrono::milliseconds window_before{300};
static constexpr std::chrono::milliseconds window_after{600};
/// Greatest share of the slots kept for promises.
static constexpr double max_promised_share = 0.25;
/// With a smaller share of reporting nodes, a node keeps to its own part of the slots.
static constexpr double min_reporting_share = 0.5;
/// Share of a service's slots in use from which on they count as short.
static constexpr double contended_share = 0.6;
/// Reserve that an organisation leaves for each multiple of its fair share that it uses beyond it.
static constexpr double reserve_per_excess = 2.0;
static constexpr double max_organisation_reserve = 0.6;
/// Upper bound of all reserves: each request may find a free endpoint.
static constexpr double max_total_reserve = 0.75;
/// An organisation is served at least this often, relative to all, before it gets its part of the
/// reserve back. The requirement is a quarter.
static constexpr double min_organisation_service = 0.35;
/// Between two sums over the endpoints of a service.
static constexpr std::chrono::milliseconds capacity_interval{50};
/// Bounds of `node_scale`: a node with little work of its own knows little of that of others.
static constexpr double min_node_scale = 0.5;
static constexpr double max_node_scale = 4.0;
/// Added before slots are rounded down, so that a share of n slots admits at n - 1 requests.
static constexpr double rounding_margin = 1e-6;

admission_controller::kind_state::kind_state() : served(served_memory), large_served(served_memory)
{
}

admission_controller::service_state::service_state() : served(served_memory) {}

void admission_controller::size_sample::add(std::int64_t size)
{
    this->sizes[this->count++ % this->sizes.size()] = size;
}

bool admission_controller::size_sample::is_large(std::int64_t size) const
{
    const auto known = std::min(this->count, this->sizes.size());
    const auto larger = static_cast<std::size_t>(
        std::count_if(this->sizes.begin(), this->sizes.begin() + static_cast<std::ptrdiff_t>(known),
                      [size](std::int64_t other) { return other >= size; }));
    return known >= large_part && larger <= known / large_part;
}

admission_controller::admission_controller(const capacity_source& fleet, random_source& random)
    : fleet(fleet), random(random)
{
}

void admission_controller::configure(const route_table& table)
{
    std::unordered_map<service_id, service_state> configured;
    if (table.has_slot_bound_service()) {
        std::set<int> organisation_priorities;
        for (const auto& entry : table.configuration().organisations) {
            if (entry.priority) {
                organisation_priorities.insert(*entry.priority);
            }
        }
        for (const auto& entry : table.configuration().services) {
            if (entry.engine && !entry.engine->is_slot_bound()) {
                continue;
            }
            auto known = this->services.find(entry.id);
            auto& state = configured[entry.id];
            if (known != this->services.end()) {
                state = std::move(known->second);
            }
            std::set<int> priorities = organisation_priorities;
            for (const auto& route : table.configuration().routes) {
                if (std::any_of(route.split.begin(), route.split.end(),
                                [&](const auto& share) { return share.service == entry.id; })) {
                    priorities.insert(route.priority);
                }
            }
            state.priorities.assign(priorities.begin(), priorities.end());
            state.has_engine = entry.engine.has_value();
        }
    }
    this->services = std::move(configured);
    std::set<organisation_id> declared;
    for (const auto& entry : table.configuration().organisations) {
        declared.insert(entry.id);
    }
    this->shares.retain(declared);
    std::set<std::string> names;
    for (const auto& entry : table.configuration().routes) {
        names.insert(entry.name);
    }
    std::erase_if(this->routes, [&](const auto& entry) { return !names.contains(entry.first); });
}

bool admission_controller::covers(const service_id& service) const
{
    return this->services.contains(service);
}

void admission_controller::record_arrival(const admission_request& request, monotonic_time now)
{
    const auto found = this->services.find(request.service);
    if (found == this->services.end()) {
        return;
    }
    if (request.stated_time_left) {
        this->routes[request.route].record(*request.stated_time_left);
    }
    if (!request.organisation.value().empty()) {
        this->shares.record_asked(request.organisation, now);
    }
    found->second.served.record_asked(now);
    auto& kind = found->second.kinds[request.priority];
    kind.served.record_asked(now);
    kind.sizes.add(request.size);
    if (kind.sizes.is_large(request.size)) {
        kind.large_served.record_asked(now);
    }
}

admission_controller::work_number
admission_controller::record_admitted(const admission_request& request, monotonic_time now)
{
    const auto work = this->next_work++;
    const auto found = this->services.find(request.service);
    if (found == this->services.end()) {
        return work;
    }
    found->second.served.record_admitted(now);
    auto& kind = found->second.kinds[request.priority];
    kind.served.record_admitted(now);
    if (kind.sizes.is_large(request.size)) {
        kind.large_served.record_admitted(now);
    }
    kind.ledger.begin(work, now);
    if (!request.organisation.value().empty()) {
        this->shares.record_admitted(request.organisation, now);
    }
    this->works.emplace(work, running_work{request.service, request.priority, request.organisation,
                                           request.units, now});
    return work;
}

void admission_controller::record_repeated(work_number work, monotonic_time now)
{
    const auto found = this->works.find(work);
    if (found == this->works.end()) {
        return;
    }
    const auto service = this->services.find(found->second.service);
    if (service != this->services.end()) {
        service->second.kinds[found->second.priority].ledger.begin(work, now);
    }
}

void admission_controller::record_ended(work_number work, bool was_served, monotonic_time now)
{
    const auto found = this->works.find(work);
    if (found == this->works.end()) {
        return;
    }
    const auto service = this->services.find(found->second.service);
    if (service != this->services.end()) {
        service->second.kinds[found->second.priority].ledger.end(work, was_served, now);
    }
    if (was_served && !found->second.organisation.value().empty()) {
        this->shares.record_ended(found->second.organisation, found->second.units,
                                  now - found->second.began_at);
    }
    this->works.erase(found);
}

void admission_controller::read_capacity(const service_id& id, service_state& service,
                                         monotonic_time now) const
{
    if (!service.capacity_read_at || now - *service.capacity_read_at >= capacity_interval) {
        service.capacity = this->fleet.capacity(id, now);
        service.capacity_read_at = now;
    }
}

double admission_controller::node_scale(const service_state& service) const
{
    double own = 0.0;
    for (const auto& [priority, kind] : service.kinds) {
        own += static_cast<double>(kind.ledger.running());
    }
    const double average = service.capacity.running / std::max(1.0, this->fleet.node_count());
    return own <= 0.0 ? max_node_scale : std::clamp(average / own, min_node_scale, max_node_scale);
}

// The other nodes have promised as much as this one, on average.
double admission_controller::promised_share(const service_state& service, int priority,
                                            monotonic_time now) const
{
    std::size_t due = 0;
    for (auto kind = service.kinds.begin(); kind != service.kinds.end() && kind->first <= priority;
         ++kind) {
        due += kind->second.ledger.promises_due(now - window_before, now + window_after);
    }
    const std::chrono::duration<double> kept{promise_time};
    const std::chrono::duration<double> window{window_before + window_after};
    const double slots = std::max(1.0, service.capacity.slots);
    return std::min(max_promised_share,
                    kept / window * static_cast<double>(due) * this->fleet.node_count() / slots);
}

duration admission_controller::time_spent(const admission_request& request) const
{
    const auto route = this->routes.find(request.route);
    if (!request.stated_time_left || route == this->routes.end()) {
        return request.age;
    }
    return request.age +
           route->second.time_spent(*request.stated_time_left).value_or(duration::zero());
}

bool admission_controller::is_returning(const admission_request& request) const
{
    const auto before = this->time_spent(request) - request.age;
    const auto limit = request.objective > duration::zero()
                           ? part_of(promise_fraction, request.objective)
                           : duration::max() - return_delay;
    return before >= min_return - return_delay && before <= limit + return_delay;
}

return_offer admission_controller::refuse(const admission_request& request, duration wait,
                                          monotonic_time now)
{
    return_offer offer;
    const auto honoured = part_of(honoured_fraction, request.time_left);
    offer.after = std::max<duration>(
        min_return, part_of(1.0 - unpromised_spread * random_unit(this->random), honoured));
    const auto found = this->services.find(request.service);
    if (found == this->services.end()) {
        return offer;
    }
    auto& service = found->second;
    this->read_capacity(request.service, service, now);
    auto bound = honoured;
    if (request.objective > duration::zero()) {
        bound = std::min(bound,
                         part_of(promise_fraction, request.objective) - this->time_spent(request));
    }
    // Callers of an organisation beyond its share would take the promised room from the others.
    const double use = this->shares.relative_use(request.organisation);
    const auto earliest = std::max<duration>(min_return, wait);
    if (bound < earliest || (use > 1.0 && random_unit(this->random) > 1.0 / use)) {
        return offer;
    }
    auto& ledger = service.kinds[request.priority].ledger;
    if (!ledger.usual_time()) {
        // Nothing is known of the ends yet; a return in time has a chance, a late one has none.
        offer.after = earliest + part_of(random_unit(this->random), bound - earliest);
        return offer;
    }
    const auto promised =
        ledger.promise(now + earliest, now + bound, this->node_scale(service), this->random, now);
    if (promised) {
        offer = {*promised - now, true};
    }
    return offer;
}

// Work of nodes that do not report is missing from the loads, so the reserve doubles without
// reports.
double admission_controller::reserve_of_rank(const service_state& service, double rank) const
{
    const double slots = service.capacity.endpoints > 0.0
                             ? service.capacity.slots / service.capacity.endpoints
                             : default_slots;
    const double unseen = 1.0 - this->fleet.reporting_share();
    return std::min(max_reserve, reserve_per_priority / std::sqrt(slots) * rank * (1.0 + unseen));
}

double admission_controller::reserve(const service_state& service, int priority) const
{
    const auto rank =
        std::lower_bound(service.priorities.begin(), service.priorities.end(), priority) -
        service.priorities.begin();
    return this->reserve_of_rank(service, static_cast<double>(rank));
}

/// How far `served` is below `least`, from 0 to 1.
static double shortfall_below(double served, double least)
{
    return least <= 0.0 ? 0.0 : std::clamp((1.0 - served / least) / full_shortfall, 0.0, 1.0);
}

void admission_controller::update_fair_shares(monotonic_time now)
{
    service_capacity total;
    for (auto& [id, service] : this->services) {
        this->read_capacity(id, service, now);
        total.endpoints += service.capacity.endpoints;
        total.slots += service.capacity.slots;
        total.running += service.capacity.running;
    }
    this->shares.update(this->fleet, total, now);
}

double admission_controller::organisation_reserve(const service_state& service,
                                                  const admission_request& request,
                                                  monotonic_time now) const
{
    const double excess = this->shares.relative_use(request.organisation) - 1.0;
    if (excess <= 0.0 || service.capacity.running < contended_share * service.capacity.slots) {
        return 0.0;
    }
    const auto service_level = this->shares.relative_service(request.organisation, now);
    const double back =
        service_level ? shortfall_below(*service_level, min_organisation_service) : 0.0;
    return (1.0 - back) * std::min(max_organisation_reserve, reserve_per_excess * excess);
}

// Without most reports, engines seem free that are full. This node then keeps to its own part of
// all slots.
bool admission_controller::exceeds_own_part(const service_state& service, double reserve) const
{
    const double reporting = this->fleet.reporting_share();
    return reporting < min_reporting_share &&
           service.capacity.running >= service.capacity.slots * reporting * (1.0 - reserve);
}

/// Share of the reserve that a request needs back because its kind or its size is shut out.
double admission_controller::shortfall(const service_state& service, const kind_state& kind,
                                       const admission_request& request, monotonic_time now) const
{
    double part = 0.0;
    if (kind.served.asked(now) >= min_counted) {
        part = shortfall_below(kind.served.share(now), min_kind_share * service.served.share(now));
    }
    if (kind.large_served.asked(now) >= min_counted && kind.sizes.is_large(request.size)) {
        part = std::max(part, shortfall_below(kind.large_served.share(now),
                                              min_large_share * kind.served.share(now)));
    }
    return part;
}

admission_decision admission_controller::decide(const admission_request& request,
                                                monotonic_time now)
{
    admission_decision decision;
    const auto found = this->services.find(request.service);
    if (found == this->services.end()) {
        return decision;
    }
    auto& service = found->second;
    this->update_fair_shares(now);
    decision.organisation_use = this->shares.relative_use(request.organisation);
    decision.is_returning = this->is_returning(request);
    decision.max_wait = part_of(wait_fraction, request.objective);
    double reserve = this->reserve(service, request.priority);
    if (const auto kind = service.kinds.find(request.priority); kind != service.kinds.end()) {
        reserve *= 1.0 - this->shortfall(service, kind->second, request, now);
        decision.is_too_late = request.time_left < kind->second.ledger.least_time();
    }
    if (decision.is_returning || request.is_repeat) {
        reserve = std::min(reserve, returning_reserve * this->reserve_of_rank(service, 1.0));
        decision.max_wait =
            std::max(decision.max_wait, part_of(returning_wait_fraction, request.objective) -
                                            (this->time_spent(request) - request.age));
    }
    else {
        reserve =
            std::min(max_reserve, reserve + this->promised_share(service, request.priority, now));
        reserve += this->organisation_reserve(service, request, now);
    }
    const double all = service.has_engine ? 1.0 : 1.0 + plain_queue_share;
    if (this->exceeds_own_part(service, reserve)) {
        decision.slot_share = 0.0;
        return decision;
    }
    decision.slot_share = all - std::min(max_total_reserve, reserve) + rounding_margin;
    return decision;
}

} // namespace eelgrassbend
