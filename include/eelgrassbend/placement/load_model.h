#ifndef EELGRASSBEND_PLACEMENT_LOAD_MODEL_H
#define EELGRASSBEND_PLACEMENT_LOAD_MODEL_H

#include "eelgrassbend/placement/pace_table.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace eelgrassbend {

/// Work that one node has in flight at one endpoint.
struct endpoint_work {
    std::int32_t requests = 0;
    std::int64_t waiting_prompt = 0; ///< tokens to prefill for requests without a first token
    std::int64_t memory = 0;         ///< tokens that its requests will occupy at their end

    endpoint_work& operator+=(const endpoint_work& other);
    endpoint_work& operator-=(const endpoint_work& other);
    friend bool operator==(const endpoint_work&, const endpoint_work&) = default;
};

/// Hash of an endpoint id, for the compact exchange of work between groups. Endpoints with equal
/// hashes are rare; the work of each then counts for both.
using endpoint_key = std::uint32_t;
using compact_work = std::map<endpoint_key, endpoint_work>;
endpoint_key key_of(const endpoint_id& endpoint);

/// The load that an endpoint reports with an answer.
struct reported_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    double slowdown = 1.0; ///< current time for work relative to normal
};

/// The outcome of an attempt, as it counts for its endpoint.
enum class attempt_result { succeeded, failed, refused, cancelled };

/// Resources that a request needs at an endpoint.
struct work_estimate {
    std::int64_t uncached_prompt = 0; ///< tokens to prefill; 0 for plain services
    std::int64_t memory = 0;          ///< tokens occupied at the end
    /// Whether the time until the first byte counts for the shared pace of the endpoint.
    bool shares_pace = false;
};

/// Estimates the load and the speed of each endpoint from this node's own attempts, the digests of
/// other nodes and the load reports on answers.
class load_model {
public:
    using attempt_number = std::uint64_t;

    attempt_number begin_attempt(const endpoint_id& endpoint, const work_estimate& work,
                                 duration predicted, monotonic_time now);
    /// Records the arrival of the first byte of the answer.
    void record_first_byte(attempt_number attempt, monotonic_time now);
    void end_attempt(attempt_number attempt, attempt_result result, monotonic_time now);

    void record_report(const endpoint_id& endpoint, const reported_load& load, monotonic_time now);
    /// Replaces the work that `node` has in flight.
    void set_peer_work(const node_id& node, std::map<endpoint_id, endpoint_work> work);
    void forget_peer(const node_id& node);
    /// Discards the observations of an endpoint: a new incarnation may behave differently.
    void forget(const endpoint_id& endpoint);

    /// Work of this node alone, for its digest.
    [[nodiscard]] std::map<endpoint_id, endpoint_work> own_work() const;

    /// Whether this node's own work has changed so much since the last digest that a new one should
    /// be sent at once.
    [[nodiscard]] bool needs_digest() const
    {
        return this->unreported_prompt_tokens > urgent_prompt_tokens;
    }

    /// Called after a digest with this node's own work was sent.
    void on_digest_sent() { this->unreported_prompt_tokens = 0; }

    /// Number of nodes whose work is included, counting this one.
    [[nodiscard]] std::size_t node_count() const
    {
        return this->peers.size() + this->remote_node_count + 1;
    }

    /// Work of this node and its peers, without remote groups.
    [[nodiscard]] compact_work group_work() const;
    /// Replaces the work that remote groups have in flight at the endpoints with keys in
    /// [from, to).
    void set_remote_work(std::uint64_t from, std::uint64_t to, const compact_work& work);

    void set_remote_node_count(std::size_t count) { this->remote_node_count = count; }

    /// Work of all nodes at an endpoint, as far as known.
    [[nodiscard]] endpoint_work total(const endpoint_id& endpoint) const;
    /// Ratio of actual to predicted time at an endpoint; 1 without observations.
    [[nodiscard]] double slowdown(const endpoint_id& endpoint, monotonic_time now) const;
    /// The same from the attempts of all nodes of the group and from the load that the endpoint
    /// reports; for attempts that share their pace.
    [[nodiscard]] double shared_slowdown(const endpoint_id& endpoint, monotonic_time now) const;

    [[nodiscard]] pace_table& paces() { return this->pace_of_endpoints; }

    /// Share of recent attempts at an endpoint that failed, from 0 to 1.
    [[nodiscard]] double failure_share(const endpoint_id& endpoint, monotonic_time now) const;
    /// Whether attempts should avoid the endpoint if there are others.
    [[nodiscard]] bool is_suspended(const endpoint_id& endpoint, monotonic_time now) const;
    /// How far the first byte of this node's oldest attempt at an endpoint is behind its predicted
    /// time; zero if none is late.
    [[nodiscard]] duration overdue_time(const endpoint_id& endpoint, monotonic_time now) const;

private:
    struct attempt_state {
        endpoint_id endpoint;
        work_estimate work;
        duration predicted{};
        monotonic_time began_at;
        bool has_first_byte = false;
    };

    /// Observations of an endpoint.
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
        /// Attempts without a first byte, by its predicted time.
        std::set<std::pair<monotonic_time, attempt_number>> awaiting_first_byte;
    };

    [[nodiscard]] static double reported_slowdown(const behaviour& observed, monotonic_time now);
    void update_slowdown(behaviour& observed, const attempt_state& attempt, monotonic_time now);
    static void update_failures(behaviour& observed, attempt_result result, monotonic_time now);

    /// Change in prompt tokens that is sent to other nodes at once; about 80 ms of engine time.
    static constexpr std::int64_t urgent_prompt_tokens = 4'000;

    attempt_number next_attempt = 1;
    std::int64_t unreported_prompt_tokens = 0;
    pace_table pace_of_endpoints;
    std::unordered_map<attempt_number, attempt_state> attempts;
    std::map<endpoint_id, endpoint_state> endpoints;
    std::map<node_id, std::map<endpoint_id, endpoint_work>> peers;
    std::map<endpoint_id, endpoint_work> peer_sums; ///< over `peers`
    compact_work remote_work;                       ///< of remote groups
    std::size_t remote_node_count = 0;
};

} // namespace eelgrassbend

#endif
