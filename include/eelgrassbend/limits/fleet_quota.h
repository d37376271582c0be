#ifndef EELGRASSBEND_LIMITS_FLEET_QUOTA_H
#define EELGRASSBEND_LIMITS_FLEET_QUOTA_H

#include "eelgrassbend/limits/token_bucket.h"
#include "eelgrassbend/routes/routing_configuration.h"
#include "eelgrassbend/support/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// Holds the quotas of organisations over all entry nodes: the rate times a window plus the burst
/// in any window. Each node charges what it admits and
/// what the others' digests say that they admitted. A node that hears only a part of the others
/// admits by that part of the rate, so that two sides of a partition stay within one quota.
class fleet_quota {
public:
    explicit fleet_quota(duration window) : window(window) {}

    void configure(const std::vector<organisation>& organisations, monotonic_time now);
    /// Share of the serving nodes that this one hears, above 0 and at most 1.
    void set_heard_share(double share, monotonic_time now);

    /// Takes `units` and answers nothing, or answers when it is worth asking again.
    std::optional<duration> admit(const organisation_id& id, double units, monotonic_time now);
    /// The request was refused after all and has not run.
    void give_back(const organisation_id& id, double units, monotonic_time now);
    /// Running totals of another node since its start.
    void heard(const node_id& node, std::uint64_t incarnation,
               const std::map<organisation_id, double>& admitted, monotonic_time now);

    /// Whether so much was admitted since the last digest that the others should hear of it now.
    [[nodiscard]] bool needs_digest() const { return this->is_urgent; }

    /// A digest with the totals was sent.
    void digest_sent();

    /// This node's running totals.
    [[nodiscard]] const std::map<organisation_id, double>& admitted() const { return this->totals; }

private:
    struct account {
        double rate = 0.0;
        double burst = 0.0;
        token_bucket bucket;
    };

    struct peer_totals {
        std::uint64_t incarnation = 0;
        std::map<organisation_id, double> admitted;
    };

    duration window;
    double share = 1.0;
    bool is_urgent = false;
    std::map<organisation_id, double> since_digest;
    std::map<organisation_id, account> accounts;
    std::map<organisation_id, double> totals;
    std::map<node_id, peer_totals> peers;
};

} // namespace eelgrassbend

#endif
