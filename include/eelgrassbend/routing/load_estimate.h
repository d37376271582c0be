#ifndef EELGRASSBEND_ROUTING_LOAD_ESTIMATE_H
#define EELGRASSBEND_ROUTING_LOAD_ESTIMATE_H

#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/routing/load_digest.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <deque>
#include <map>

namespace eelgrassbend {

/// Estimated load of one endpoint: the attempts of this node, and those of other nodes as far as
/// delayed reports and digests show them.
class load_estimate {
public:
    /// `uncached` is the number of prompt tokens that are still to be processed.
    void add_attempt(monotonic_time now, request_class size, std::int64_t uncached);
    /// Subtracts the prompt tokens of an attempt whose prompt has been processed.
    void remove_pending_prompt(std::int64_t uncached);
    void remove_attempt(monotonic_time now, request_class size);
    /// `age` is the time since the endpoint measured the report.
    void apply_report(monotonic_time now, duration age, const load_report& report);

    /// Replaces the in-flight attempts reported by a peer; an empty usage removes them.
    void set_peer_usage(monotonic_time now, const node_id& peer, const endpoint_usage& usage);

    /// Number of peers that report the endpoint as slow.
    [[nodiscard]] std::size_t suspecting_peer_count() const;

    /// In-flight attempts of this node.
    [[nodiscard]] std::uint32_t own_attempts() const { return this->own_count; }

    [[nodiscard]] std::uint32_t own_long_attempts() const { return this->own_long_count; }

    /// Attempts of other nodes, running or queued.
    [[nodiscard]] double other_attempts() const;

    /// Attempts of all nodes, running or queued.
    [[nodiscard]] double total_attempts() const { return this->own_count + this->other_attempts(); }

    [[nodiscard]] std::int64_t pending_prompt_tokens() const;

    /// Uncached prompt tokens of this node's attempts.
    [[nodiscard]] std::int64_t own_pending_tokens() const { return this->own_pending; }

    [[nodiscard]] std::uint32_t slots() const;

private:
    struct sample {
        monotonic_time time;
        std::int64_t known_attempts = 0; ///< attempts of this node and its peers
        std::int64_t pending_tokens = 0; ///< their uncached prompt tokens
    };

    void record_sample(monotonic_time now);
    [[nodiscard]] sample current_sample(monotonic_time time) const;
    [[nodiscard]] sample sample_at(monotonic_time time) const;

    std::uint32_t own_count = 0;
    std::uint32_t own_long_count = 0;
    std::int64_t own_pending = 0;
    std::int64_t peer_count = 0;
    std::int64_t peer_pending = 0;
    std::map<node_id, endpoint_usage> by_peer;
    std::uint32_t slot_count = 0;
    double unattributed_attempts = 0.0; ///< attempts that neither this node nor a peer sent
    std::int64_t unattributed_tokens = 0;
    std::deque<sample> history;
};

} // namespace eelgrassbend

#endif
