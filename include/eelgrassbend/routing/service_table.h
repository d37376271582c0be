#ifndef EELGRASSBEND_ROUTING_SERVICE_TABLE_H
#define EELGRASSBEND_ROUTING_SERVICE_TABLE_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/routing/candidate_index.h"
#include "eelgrassbend/routing/latency_model.h"
#include "eelgrassbend/routing/load_estimate.h"
#include "eelgrassbend/routing/prefix_index.h"
#include "eelgrassbend/routing/progress_tracker.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// State of one endpoint as known to this node.
struct endpoint_record {
    endpoint_info info;
    money price_per_hour;
    load_estimate load;
    latency_model latency;
    progress_tracker progress;
    bool is_usable = false;            ///< accepts new work
    bool is_suspected = false;         ///< slow or without progress, by any source
    bool is_reported_slow = false;     ///< according to its last report
    bool is_reported_normal = false;   ///< according to its last report, under load
    bool is_locally_suspected = false; ///< according to this node's measurements
    monotonic_time last_token;         ///< time of the last token received
    monotonic_time next_probe;         ///< earliest time of the next probe while suspected
    duration probe_delay{};            ///< interval between two probes
};

/// The endpoints of one service.
class service_table {
public:
    explicit service_table(service_id service) : service(std::move(service)) {}

    [[nodiscard]] const service_id& id() const { return this->service; }

    /// Applies the settings and prices of the service from a bundle.
    void configure(const bundle& declared);
    /// Adds, updates or removes an endpoint.
    void update(const endpoint_info& info);

    [[nodiscard]] const service_spec& spec() const { return this->settings; }

    [[nodiscard]] endpoint_record& at(endpoint_index index) { return this->records[index]; }

    [[nodiscard]] const endpoint_record& at(endpoint_index index) const
    {
        return this->records[index];
    }

    [[nodiscard]] std::optional<endpoint_index> find(const endpoint_id& id) const;

    /// Endpoints that accept new work, in no particular order.
    [[nodiscard]] const std::vector<endpoint_index>& live_endpoints() const
    {
        return this->live_indices;
    }

    [[nodiscard]] bool empty() const { return this->by_id.empty(); }

    [[nodiscard]] const candidate_index& candidates() const { return this->by_load; }

    [[nodiscard]] prefix_index& prefixes() { return this->prefix_blocks; }

    [[nodiscard]] const prefix_index& prefixes() const { return this->prefix_blocks; }

    /// Measured latencies of a machine class.
    [[nodiscard]] latency_model& class_latency(const machine_class& type)
    {
        return this->class_latencies[type];
    }

    /// Time between tokens expected of a healthy endpoint of the same machine class.
    [[nodiscard]] duration expected_token_time(const endpoint_record& record) const;
    /// Expected processing time per uncached prompt token.
    [[nodiscard]] duration expected_prompt_time(const endpoint_record& record) const;

    /// Compares the token rate in a report with the expected one.
    void update_reported_latency(endpoint_index index, const load_report& report,
                                 monotonic_time now);
    /// Whether a suspected endpoint should get a request to probe its recovery.
    [[nodiscard]] bool is_probe_due(endpoint_index index, request_class size,
                                    monotonic_time now) const;
    void record_probe(endpoint_index index, monotonic_time now);

    /// Re-evaluates whether the endpoint is suspected, and returns the result.
    bool update_suspicion(endpoint_index index, monotonic_time now);

    [[nodiscard]] const std::vector<endpoint_index>& suspected_endpoints() const
    {
        return this->suspect_list;
    }

    /// Adds the time for which an attempt occupied a slot.
    void add_hold_time_sample(duration held);

    [[nodiscard]] duration mean_hold_time() const { return this->mean_hold; }

    /// Estimated time until a slot of the service is free.
    [[nodiscard]] duration slot_release_time() const;

    /// Estimated share of the slots of all usable endpoints that are in use.
    [[nodiscard]] double utilisation() const;

    /// Priorities of the organisations in the bundle, in ascending order.
    [[nodiscard]] const std::vector<std::int32_t>& priority_levels() const
    {
        return this->priorities_in_use;
    }

    /// Must be called after each change of the load of an endpoint.
    void update_load(endpoint_index index);

private:
    struct counted_load {
        double used = 0.0;
        std::int64_t slots = 0;
    };

    void count_load(endpoint_index index, const counted_load& load);
    [[nodiscard]] money price_of(const endpoint_info& info) const;
    void set_usable(endpoint_index index, bool is_usable);
    [[nodiscard]] endpoint_index allocate();

    service_id service;
    service_spec settings;
    std::vector<host_price> prices;
    std::vector<endpoint_record> records;
    std::vector<endpoint_index> free_indices;
    std::unordered_map<endpoint_id, endpoint_index> by_id;
    std::vector<endpoint_index> live_indices;
    std::vector<std::size_t> live_positions;
    candidate_index by_load;
    prefix_index prefix_blocks;
    std::map<machine_class, latency_model> class_latencies;
    std::vector<endpoint_index> suspect_list;
    std::vector<std::int32_t> priorities_in_use;
    std::vector<counted_load> counted; ///< contribution of each endpoint to the sums below
    double used_slots = 0.0;
    std::int64_t total_slots = 0;
    duration mean_hold = std::chrono::seconds{4};
};

} // namespace eelgrassbend

#endif
