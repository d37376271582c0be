#ifndef EELGRASSBEND_ROLLOUT_ROLLOUT_TABLE_H
#define EELGRASSBEND_ROLLOUT_ROLLOUT_TABLE_H

#include "eelgrassbend/placement/version_filter.h"
#include "eelgrassbend/rollout/rollout_messages.h"
#include "eelgrassbend/support/random_source.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// An attempt at an endpoint of a service with a roll-out.
struct rollout_attempt {
    service_id service;
    rollout_order_id order;
    std::string route;
    bool is_target = false;
    bool is_compared = false; ///< both versions get requests
    bool is_cold = false;     ///< the endpoint has not reached its normal speed
    duration expected{};      ///< time until its answer
    monotonic_time began_at;
};

/// A roll-out as this node knows it.
struct known_rollout {
    rollout_order order;
    monotonic_time ordered_at;  ///< by this node's clock
    bool is_from_grant = false; ///< this node has not read the order itself
    std::optional<rollout_grant> grant;
    monotonic_time granted_at;   ///< when this node received the grant
    monotonic_time confirmed_at; ///< when the duty holder last confirmed the grant
    rollout_totals totals;       ///< of this node's attempts
};

/// The roll-outs that this node takes part in: the orders from the store and what the duty holder
/// grants. Decides for each request whether it goes to the target version. A grant that is not
/// confirmed for `grant_timeout` is void until it is confirmed again; the target then gets no
/// requests. Final states remain.
class rollout_table {
public:
    rollout_table(random_source& random, duration grant_timeout)
        : random(random), grant_timeout(grant_timeout)
    {
    }

    /// Called with each grant that begins a phase.
    using phase_handler = std::function<void(const known_rollout&)>;

    void on_phase(phase_handler handler) { this->handle_phase = std::move(handler); }

    /// Returns whether the order is new.
    bool put_order(const rollout_order& order, monotonic_time now);
    void remove_order(const service_id& service);
    /// Applies a grant of the duty holder, received directly or from another node.
    void apply_grant(const rollout_grant& grant, monotonic_time now);
    /// Grants to relay to other nodes, with their present age. Without `with_settled`, final ones
    /// only for some seconds: all nodes have them by then, except those that start later.
    [[nodiscard]] std::vector<rollout_grant> grants(monotonic_time now,
                                                    bool with_settled = true) const;

    /// Whether a grant changed after the last digest.
    [[nodiscard]] bool needs_digest() const { return this->has_new_grant; }

    void on_digest_sent() { this->has_new_grant = false; }

    /// Whether a new request goes to the target version.
    [[nodiscard]] bool draw_target(const service_id& service, monotonic_time now) const;
    /// Versions to which an attempt may go now. `wants_target`: as drawn for the request.
    [[nodiscard]] version_filter filter(const service_id& service, bool wants_target,
                                        monotonic_time now) const;

    /// Records that an attempt is sent; nothing if no roll-out of the service is under way.
    std::optional<rollout_attempt> begin_attempt(const known_endpoint& endpoint,
                                                 const std::string& route, duration expected,
                                                 monotonic_time now);
    /// The endpoint has produced its answer, or the first event of it.
    void record_answer(const rollout_attempt& attempt, monotonic_time now);
    void record_failure(const rollout_attempt& attempt);
    /// The attempt was cancelled before its answer; counts as an answer if that is late.
    void record_cancelled(const rollout_attempt& attempt, monotonic_time now);

    /// This node's observations in the roll-outs under way.
    [[nodiscard]] std::vector<rollout_observations> observations() const;

    [[nodiscard]] const std::map<service_id, known_rollout>& rollouts() const
    {
        return this->known;
    }

    /// Targets of earlier orders of the service that were not completed, as far as known.
    [[nodiscard]] std::set<software_version> unproven(const service_id& service) const;

private:
    [[nodiscard]] double current_share(const known_rollout& rollout, monotonic_time now) const;
    version_totals* totals_of(const rollout_attempt& attempt);
    void mark_unproven(const known_rollout& rollout);

    random_source& random;
    duration grant_timeout;
    std::map<service_id, known_rollout> known;
    std::map<service_id, std::set<software_version>> unproven_versions;
    phase_handler handle_phase;
    bool has_new_grant = false;
};

} // namespace eelgrassbend

#endif
