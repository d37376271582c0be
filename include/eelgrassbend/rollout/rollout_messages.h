#ifndef EELGRASSBEND_ROLLOUT_ROLLOUT_MESSAGES_H
#define EELGRASSBEND_ROLLOUT_ROLLOUT_MESSAGES_H

#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Identifies an order by its content; an order that is written again unchanged is the same order.
using rollout_order_id = strong_number<struct rollout_order_id_tag, std::uint64_t>;

/// The operators' order to move a service to a version.
struct rollout_order {
    service_id service;
    software_version target;
    duration length{}; ///< from the order until the roll-out is to be complete
    rollout_order_id id;

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_phase : std::uint8_t {
    waiting, ///< the target gets no requests
    canary,  ///< the target gets a small share
    moving,  ///< the target gets all new requests; work at the other versions ends or migrates
    complete,
    rolled_back,
};

/// Name of a phase in records and log lines.
const char* phase_name(rollout_phase phase);

inline bool is_final(rollout_phase phase)
{
    return phase == rollout_phase::complete || phase == rollout_phase::rolled_back;
}

/// Permission of the duty holder to send a share of a service's requests to the target version.
struct rollout_grant {
    service_id service;
    software_version target;
    rollout_order_id order;
    std::uint64_t step = 0; ///< increases with each change of the grant
    rollout_phase phase = rollout_phase::waiting;
    double share = 0.0;
    /// Number of the target's endpoints that are used during the canary phase, so that their load
    /// is that of the other endpoints; 0: all.
    std::size_t max_endpoints = 0;
    duration age{};     ///< since the holder last confirmed the grant
    duration elapsed{}; ///< since the order
    /// Targets of earlier orders that were not completed; they get no requests.
    std::vector<software_version> unproven;

    friend bool operator==(const rollout_grant&, const rollout_grant&) = default;
};

/// Counts of answers by the ratio of their time to the expected time. Each bucket covers a factor
/// of the square root of 2.
using slowness_counts = std::array<std::uint32_t, 20>;
/// Bucket whose lower limit is a ratio of 1.
constexpr std::size_t normal_slowness = 4;
std::size_t slowness_bucket(double ratio);

/// What was observed of the attempts at one version; running totals.
struct version_totals {
    std::uint64_t requests = 0; ///< sent
    std::uint64_t failures = 0;
    slowness_counts slowness{}; ///< of the answers

    [[nodiscard]] std::uint64_t answers() const;

    /// Attempts with a known outcome.
    [[nodiscard]] std::uint64_t finished() const { return this->answers() + this->failures; }

    version_totals& operator+=(const version_totals& other);
    /// Totals must not be below those of `earlier`; where they are, the difference is zero.
    [[nodiscard]] version_totals since(const version_totals& earlier) const;

    friend bool operator==(const version_totals&, const version_totals&) = default;
};

/// Totals of one route: of the target, and of all other versions.
struct route_totals {
    version_totals target;
    version_totals base;

    friend bool operator==(const route_totals&, const route_totals&) = default;
};

using rollout_totals = std::map<std::string, route_totals>; ///< by route

/// Sum over the routes.
route_totals sum_of_routes(const rollout_totals& totals);

/// Observations of one node in one roll-out.
struct rollout_observations {
    service_id service;
    rollout_order_id order;
    rollout_totals totals;

    friend bool operator==(const rollout_observations&, const rollout_observations&) = default;
};

} // namespace eelgrassbend

#endif
