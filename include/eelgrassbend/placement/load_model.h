#ifndef EELGRASSBEND_PLACEMENT_LOAD_MODEL_H
#define EELGRASSBEND_PLACEMENT_LOAD_MODEL_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace eelgrassbend {

/// What one node has under way at one endpoint.
struct endpoint_work {
    std::int32_t requests = 0;
    std::int64_t waiting_prompt = 0; ///< tokens to be read by requests without a first token
    std::int64_t memory = 0;         ///< tokens that its requests will hold at their end

    endpoint_work& operator+=(const endpoint_work& other);
    endpoint_work& operator-=(const endpoint_work& other);
    friend bool operator==(const endpoint_work&, const endpoint_work&) = default;
};

/// Work by endpoint, for a compact form between groups of nodes: endpoints go by a hash of their
/// name. Two with one hash are rare, and each counts for both.
using endpoint_key = std::uint32_t;
using compact_work = std::map<endpoint_key, endpoint_work>;
endpoint_key key_of(const endpoint_id& endpoint);

/// What an endpoint says of its load with an answer.
struct reported_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    double slowdown = 1.0; ///< time that work takes there now, against the usual
};

/// How an attempt ended, for what is learnt about its endpoint.
enum class attempt_result { succeeded, failed, refused, cancelled };

/// A request's demands.
struct work_estimate {
    std::int64_t uncached_prompt = 0; ///< tokens to be read; 0 for plain services
    std::int64_t memory = 0;          ///< tokens held at the end
};

/// What the load on each endpoint is and how fast it works: from this node's own attempts, the
/// digests of the other nodes and the reports on answers.
class load_model {
public:
    using attempt_number = std::uint64_t;

    attempt_number begin_attempt(const endpoint_id& endpoint, const work_estimate& work,
                                 duration predicted, monotonic_time now);
    /// The first byte of the answer arrived.
    void record_first_byte(attempt_number attempt, monotonic_time now);
    void end_attempt(attempt_number attempt, attempt_result result, monotonic_time now);

    void record_report(const endpoint_id& endpoint, const reported_load& load, monotonic_time now);
    /// Replaces what `node` has under way.
    void set_peer_work(const node_id& node, std::map<endpoint_id, endpoint_work> work);
    void forget_peer(const node_id& node);
    /// Forgets what was observed of it: another incarnation may behave differently.
    void forget(const endpoint_id& endpoint);

    /// Work of this node alone, for its digest.
    [[nodiscard]] std::map<endpoint_id, endpoint_work> own_work() const;

    /// Whether this node's own work has changed so much since the last digest that the others
    /// should hear of it now.
    [[nodiscard]] bool needs_digest() const
    {
        return this->unreported_prompt_tokens > urgent_prompt_tokens;
    }

    /// A digest with the own work was sent.
    void on_digest_sent() { this->unreported_prompt_tokens = 0; }

    /// Nodes whose work counts, this one included.
    [[nodiscard]] std::size_t node_count() const
    {
        return this->peers.size() + this->remote_node_count + 1;
    }

    /// Work of this node and of those that tell it theirs, without that of other groups.
    [[nodiscard]] compact_work group_work() const;
    /// Replaces what the nodes of other groups have under way at the endpoints with keys in
    /// [from, to).
    void set_remote_work(std::uint64_t from, std::uint64_t to, const compact_work& work);

    void set_remote_node_count(std::size_t count) { this->remote_node_count = count; }

    /// Work of all nodes, as far as known.
    [[nodiscard]] endpoint_work total(const endpoint_id& endpoint) const;
    /// How long work takes there against the prediction; 1 without any observation.
    [[nodiscard]] double slowdown(const endpoint_id& endpoint, monotonic_time now) const;
    /// Share of recent attempts that failed there, from 0 to 1.
    [[nodiscard]] double failure_share(const endpoint_id& endpoint, monotonic_time now) const;
    /// Whether attempts should go elsewhere if they can.
    [[nodiscard]] bool is_suspended(const endpoint_id& endpoint, monotonic_time now) const;
    /// How long the oldest attempt of this node has waited there for its first byte beyond its
    /// prediction; zero if none has.
    [[nodiscard]] duration overdue_time(const endpoint_id& endpoint, monotonic_time now) const;

private:
    struct attempt_state {
        endpoint_id endpoint;
        work_estimate work;
        duration predicted{};
        monotonic_time began_at;
        bool has_first_byte = false;
    };

    /// What was observed of an endpoint.
    struct behaviour {
        double observed_slowdown = 1.0;
        monotonic_time observed_at;
        double reported_slowdown = 1.0;
        monotonic_time reported_at;
        double failure_share = 0.0;
        monotonic_time failure_share_at;
        int consecutive_failures = 0;
        std::optional<monotonic_time> suspended_until;
    };

    struct endpoint_state {
        endpoint_work own;
        behaviour observed;
        /// Attempts without a first byte, by the time for which it is predicted.
        std::set<std::pair<monotonic_time, attempt_number>> awaiting_first_byte;
    };

    void update_slowdown(behaviour& observed, const attempt_state& attempt, monotonic_time now);
    static void update_failures(behaviour& observed, attempt_result result, monotonic_time now);

    /// Prompt tokens that others should hear of at once; about 80 ms of an engine's time.
    static constexpr std::int64_t urgent_prompt_tokens = 4'000;

    attempt_number next_attempt = 1;
    std::int64_t unreported_prompt_tokens = 0;
    std::unordered_map<attempt_number, attempt_state> attempts;
    std::map<endpoint_id, endpoint_state> endpoints;
    std::map<node_id, std::map<endpoint_id, endpoint_work>> peers;
    std::map<endpoint_id, endpoint_work> peer_sums; ///< over `peers`
    compact_work remote_work;                       ///< of other groups
    std::size_t remote_node_count = 0;
};

} // namespace eelgrassbend

#endif
