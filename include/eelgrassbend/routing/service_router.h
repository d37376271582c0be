#ifndef EELGRASSBEND_ROUTING_SERVICE_ROUTER_H
#define EELGRASSBEND_ROUTING_SERVICE_ROUTER_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/routing/load_digest.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/routing/routing_policy.h"
#include "eelgrassbend/routing/service_table.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <memory>
#include <unordered_map>

namespace eelgrassbend {

/// Selects endpoints by the routing policy that the bundle sets for each service.
class service_router : public router {
public:
    service_router(const clock_source& clock, random_source& random, endpoint_directory& endpoints,
                   const bundle_view& bundles);

    result<route_decision> choose(const route_request& request) override;
    void on_dispatched(const attempt_id& attempt, const endpoint_id& endpoint,
                       const route_request& request) override;
    void on_progress(const attempt_id& attempt, token_count total) override;
    void on_usage(const attempt_id& attempt, token_count prompt, token_count cached) override;
    void on_ended(const attempt_id& attempt, attempt_end outcome) override;
    void report_load(const endpoint_id& endpoint, const load_report& report) override;
    void report_cache(const endpoint_id& endpoint, const cache_event& event) override;
    [[nodiscard]] bool is_suspected(const endpoint_id& endpoint) const override;
    [[nodiscard]] duration retry_after(const service_id& service) const override;

    /// Digest of this node's in-flight attempts, for its peers.
    [[nodiscard]] load_digest make_digest(const node_id& self) const;
    /// Replaces the last digest of a peer.
    void apply_digest(const load_digest& digest);
    /// Removes a peer and its in-flight attempts from the estimates.
    void remove_peer(const node_id& peer);

private:
    struct service_state {
        explicit service_state(const service_id& service) : table(service) {}

        service_table table;
        std::unique_ptr<routing_policy> policy;
    };

    struct outstanding_attempt {
        service_state* service = nullptr;
        endpoint_index endpoint = 0;
        request_class size = request_class::normal;
        std::vector<std::uint64_t> expected_blocks; ///< expected to be cached at dispatch
        std::int64_t uncached = 0;
        std::int64_t prompt_work = 0; ///< uncached prompt tokens, including those queued before
        bool had_free_slot = false;
        duration predicted{}; ///< time to the first token
        monotonic_time sent;
        monotonic_time last_progress;
        monotonic_time due; ///< when the next token is expected
        std::int64_t tokens = 0;
    };

    /// The last digest of a peer.
    struct peer_state {
        monotonic_time last_digest_time;
        std::vector<endpoint_id> endpoints;
    };

    void set_peer_usage(const node_id& peer, const endpoint_usage& usage);
    void expire_peers();
    service_state* find_service(const service_id& service);
    void refresh_bundle();
    void configure(service_state& state);
    void on_endpoint_changed(const endpoint_info& info);
    [[nodiscard]] service_state* find_service_of(const endpoint_id& endpoint) const;
    /// Creates the table of the endpoint's service if there is none yet.
    service_state* ensure_service_of(const endpoint_id& endpoint);
    void record_first_token(outstanding_attempt& attempt, monotonic_time now);
    void record_next_tokens(outstanding_attempt& attempt, monotonic_time now, std::int64_t total);

    const clock_source& clock;
    random_source& random;
    endpoint_directory& endpoints;
    const bundle_view& bundles;
    std::shared_ptr<const bundle> current_bundle;
    std::unordered_map<service_id, std::unique_ptr<service_state>> services;
    std::unordered_map<endpoint_id, service_id> service_by_endpoint;
    std::unordered_map<attempt_id, outstanding_attempt> attempts;
    std::unordered_map<node_id, peer_state> peers;
};

} // namespace eelgrassbend

#endif
