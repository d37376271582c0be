#ifndef EELGRASSBEND_LIMITS_FLEET_QUOTA_H
#define EELGRASSBEND_LIMITS_FLEET_QUOTA_H

#include "eelgrassbend/limits/token_bucket.h"
#include "eelgrassbend/routes/routing_configuration.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/peer_totals.h"

#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Units by organisation in the compact form sent between groups: organisations are keyed by a hash
/// of their name.
using organisation_key = std::uint32_t;
using compact_units = std::map<organisation_key, double>;

/// Enforces the quotas of organisations over all entry nodes: in any window, the rate times the
/// window plus the burst. Each node charges what it admits and what the digests of the others
/// report as admitted. A node that receives digests from only a part of the others admits by that
/// part of the rate, so that both sides of a partition together stay within one quota.
class fleet_quota {
public:
    /// Organisations named in a digest in addition to those with a recent change.
    static constexpr std::size_t rotating_totals_per_digest = 2;

    explicit fleet_quota(duration window) : window(window) {}

    void configure(const std::vector<organisation>& organisations, monotonic_time now);
    /// Share of the serving nodes that report to this one, in (0, 1].
    void set_reporting_share(double share, monotonic_time now);

    [[nodiscard]] double current_reporting_share() const { return this->reporting_share; }

    /// Charges `units` and returns nothing, or returns the time after which to retry.
    std::optional<duration> admit(const organisation_id& id, double units, monotonic_time now);
    /// Returns the units of a request that was refused after all and has not run.
    void refund(const organisation_id& id, double units, monotonic_time now);
    /// Records the running totals of another node since its start.
    void record_peer_totals(const node_id& node, std::uint64_t incarnation,
                            const std::map<organisation_id, double>& admitted, monotonic_time now);

    /// Whether enough was admitted since the last digest that the next one is urgent.
    [[nodiscard]] bool needs_digest() const { return this->is_urgent; }

    /// Called when a digest with the totals was sent.
    void on_digest_sent();

    /// This node's running totals for a digest: those changed in the last few digests, and some of
    /// the others in rotation.
    [[nodiscard]] std::map<organisation_id, double> totals_for_digest() const;
    /// Running totals of this node and of the peers that report to it, without other groups.
    [[nodiscard]] compact_units group_totals() const;
    /// Running total of one organisation over this node, its peers and all other groups, as far as
    /// known.
    [[nodiscard]] double fleet_total(const organisation_id& id) const;
    /// Records the running totals of all other groups, as far as they are known.
    void record_remote_totals(const compact_units& admitted, monotonic_time now);

private:
    struct account {
        void charge_expected_remote(monotonic_time now);
        /// The part of a first reported total that may have been admitted since this node began to
        /// count.
        [[nodiscard]] double chargeable_units(double total, monotonic_time now) const;
        /// Charges `step` units that other groups admitted since their last report.
        void charge_remote(double step, monotonic_time now);

        double rate = 0.0;
        double burst = 0.0;
        token_bucket bucket;
        double remote_rate = 0.0;      ///< units per second that other groups admit
        double expected_units = 0.0;   ///< units charged for that since the last report
        monotonic_time counting_since; ///< start of this node's account
        monotonic_time remote_reported_at;
        monotonic_time expected_charged_until;
    };

    /// Units that this node has admitted for an organisation.
    struct own_total {
        double units = 0.0;
        std::uint64_t changed_at_digest = 0; ///< number of digests sent before the last change
    };

    void add_to_total(const organisation_id& id, double units);

    duration window;
    double reporting_share = 1.0;
    bool is_urgent = false;
    std::map<organisation_id, double> since_digest;
    std::map<organisation_id, account> accounts;
    std::map<organisation_id, own_total> totals;
    peer_totals<organisation_id> peers;
    compact_units remote_totals;
    std::uint64_t digest_count = 0;
};

} // namespace eelgrassbend

#endif
