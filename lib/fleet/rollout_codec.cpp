#include "rollout_codec.h"

#include "eelgrassbend/codec/capnp_bytes.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Upper bound of the packed size of a grant without its names.
static constexpr std::size_t grant_bytes = 90;
static constexpr std::size_t name_bytes = 12;

std::size_t rollout_grant_bytes(const std::vector<rollout_grant>& grants)
{
    std::size_t bytes = 0;
    for (const auto& grant : grants) {
        bytes += grant_bytes + grant.service.value().size() + grant.target.value().size();
        for (const auto& version : grant.unproven) {
            bytes += name_bytes + version.value().size();
        }
    }
    return bytes;
}

static std::uint64_t to_micros(duration span)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::microseconds>(span).count()));
}

// A longer time would overflow the clock's representation.
static duration to_duration(std::uint64_t micros)
{
    constexpr std::chrono::hours max_span{24 * 365};
    constexpr auto max_micros =
        static_cast<std::uint64_t>(std::chrono::microseconds{max_span}.count());
    return std::chrono::microseconds{std::min(micros, max_micros)};
}

void write_grants(const std::vector<rollout_grant>& grants,
                  capnp::List<wire::RolloutGrant>::Builder out)
{
    unsigned index = 0;
    for (const auto& grant : grants) {
        auto entry = out[index++];
        entry.setService(grant.service.value());
        entry.setTarget(grant.target.value());
        entry.setOrder(grant.order.value());
        entry.setStep(grant.step);
        entry.setShare(grant.share);
        entry.setPhase(static_cast<std::uint8_t>(grant.phase));
        entry.setAgeMicros(to_micros(grant.age));
        entry.setElapsedMicros(to_micros(grant.elapsed));
        entry.setMaxEndpoints(static_cast<std::uint32_t>(grant.max_endpoints));
        auto unproven = entry.initUnproven(static_cast<unsigned>(grant.unproven.size()));
        for (unsigned position = 0; position < grant.unproven.size(); ++position) {
            unproven.set(position, grant.unproven[position].value());
        }
    }
}

std::vector<rollout_grant> read_grants(capnp::List<wire::RolloutGrant>::Reader in)
{
    std::vector<rollout_grant> grants;
    for (const auto entry : in) {
        const bool is_valid =
            entry.getPhase() <= static_cast<std::uint8_t>(rollout_phase::rolled_back) &&
            entry.getShare() >= 0.0 && entry.getShare() <= 1.0;
        if (!is_valid) {
            continue;
        }
        rollout_grant grant;
        grant.service = service_id{to_string(entry.getService())};
        grant.target = software_version{to_string(entry.getTarget())};
        grant.order = rollout_order_id{entry.getOrder()};
        grant.step = entry.getStep();
        grant.phase = static_cast<rollout_phase>(entry.getPhase());
        grant.share = entry.getShare();
        grant.max_endpoints = entry.getMaxEndpoints();
        grant.age = to_duration(entry.getAgeMicros());
        grant.elapsed = to_duration(entry.getElapsedMicros());
        for (const auto version : entry.getUnproven()) {
            grant.unproven.emplace_back(to_string(version));
        }
        grants.push_back(std::move(grant));
    }
    return grants;
}

static void write_totals(const version_totals& totals, wire::VersionTotals::Builder out)
{
    out.setRequests(totals.requests);
    out.setFailures(totals.failures);
    auto slowness = out.initSlowness(static_cast<unsigned>(totals.slowness.size()));
    for (unsigned index = 0; index < totals.slowness.size(); ++index) {
        slowness.set(index, totals.slowness[index]);
    }
}

static version_totals read_totals(wire::VersionTotals::Reader in)
{
    version_totals totals;
    totals.requests = in.getRequests();
    totals.failures = in.getFailures();
    const auto slowness = in.getSlowness();
    for (unsigned index = 0; index < std::min<std::size_t>(slowness.size(), totals.slowness.size());
         ++index) {
        totals.slowness[index] = slowness[index];
    }
    return totals;
}

void write_observations(const std::vector<rollout_observations>& observations,
                        capnp::List<wire::RolloutObservation>::Builder out)
{
    unsigned index = 0;
    for (const auto& observed : observations) {
        auto entry = out[index++];
        entry.setService(observed.service.value());
        entry.setOrder(observed.order.value());
        auto routes = entry.initRoutes(static_cast<unsigned>(observed.totals.size()));
        unsigned position = 0;
        for (const auto& [route, totals] : observed.totals) {
            auto written = routes[position++];
            written.setRoute(route);
            write_totals(totals.target, written.initTarget());
            write_totals(totals.base, written.initBase());
        }
    }
}

std::vector<rollout_observations>
read_observations(capnp::List<wire::RolloutObservation>::Reader in)
{
    std::vector<rollout_observations> observations;
    for (const auto entry : in) {
        rollout_observations observed;
        observed.service = service_id{to_string(entry.getService())};
        observed.order = rollout_order_id{entry.getOrder()};
        for (const auto route : entry.getRoutes()) {
            observed.totals[to_string(route.getRoute())] = {read_totals(route.getTarget()),
                                                            read_totals(route.getBase())};
        }
        observations.push_back(std::move(observed));
    }
    return observations;
}

} // namespace eelgrassbend
