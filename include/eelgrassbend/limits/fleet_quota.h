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

/// Units by organisation, for a compact form between groups of nodes: organisations go by a hash of
/// their name.
using organisation_key = std::uint32_t;
using compact_units = std::map<organisation_key, double>;

/// Holds the quotas of organisations over all entry nodes: the rate times a window plus the burst
/// in any window. Each node charges what it admits and what the others' digests say that they
/// admitted. A node that hears only a part of the others admits by that part of the rate, so that
/// two sides of a partition stay within one quota.
class fleet_quota {
public:
    /// Organisations that a digest names beside those that admitted something lately.
    static constexpr std::size_t rotating_totals_per_digest = 2;

    explicit fleet_quota(duration window) : window(window) {}

    void configure(const std::vector<organisation>& organisations, monotonic_time now);
    /// Share of the serving nodes that this one hears, above 0 and at most 1.
    void set_reporting_share(double share, monotonic_time now);

    /// Takes `units` and answers nothing, or answers when it is worth asking again.
    std::optional<duration> admit(const organisation_id& id, double units, monotonic_time now);
    /// The request was refused after all and has not run.
    void refund(const organisation_id& id, double units, monotonic_time now);
    /// Running totals of another node since its start.
    void record_peer_totals(const node_id& node, std::uint64_t incarnation,
                            const std::map<organisation_id, double>& admitted, monotonic_time now);

    /// Whether so much was admitted since the last digest that the others should hear of it now.
    [[nodiscard]] bool needs_digest() const { return this->is_urgent; }

    /// A digest with the totals was sent.
    void on_digest_sent();

    /// This node's running totals, for a digest: those that changed in the last few ones, and some
    /// of the others in turn.
    [[nodiscard]] std::map<organisation_id, double> totals_for_digest() const;
    /// Running totals of this node and of those that tell it theirs, without other groups.
    [[nodiscard]] compact_units group_totals() const;
    /// Running totals of all other groups, as far as they are known.
    void record_remote_totals(const compact_units& admitted, monotonic_time now);

private:
    struct account {
        void charge_expected_remote(monotonic_time now);
        /// The part of a total heard for the first time that may have been admitted since.
        [[nodiscard]] double chargeable_units(double total, monotonic_time now) const;
        /// Other groups have admitted `step` units since they were heard last.
        void charge_remote(double step, monotonic_time now);

        double rate = 0.0;
        double burst = 0.0;
        token_bucket bucket;
        double remote_rate = 0.0;      ///< units a second that other groups admit
        double expected_units = 0.0;   ///< units taken for that since they were heard
        monotonic_time counting_since; ///< this node counts
        monotonic_time remote_reported_at;
        monotonic_time expected_charged_until;
    };

    /// What this node has admitted for an organisation.
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
