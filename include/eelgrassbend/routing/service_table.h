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

/// What this node knows of one endpoint.
struct endpoint_record {
    endpoint_info info;
    money price_per_hour;
    load_estimate load;
    latency_model latency;
    progress_tracker progress;
    bool is_usable = false;            ///< takes new work
    bool is_suspected = false;         ///< slow or without progress, as this node saw itself
    bool is_reported_slow = false;     ///< by its last report
    bool is_reported_normal = false;   ///< by its last report, with work to show it
    bool is_locally_suspected = false; ///< by what this node saw itself
    monotonic_time last_token;         ///< when a token last came from there
    monotonic_time next_probe;         ///< not before, work is sent there although it is suspected
    duration probe_delay{};            ///< between two such probes
};

/// The endpoints of one service.
class service_table {
public:
    explicit service_table(service_id service) : service(std::move(service)) {}

    [[nodiscard]] const service_id& id() const { return this->service; }

    /// Takes the service's settings and prices from a bundle.
    void configure(const bundle& declared);
    /// Adds, changes or removes an endpoint.
    void update(const endpoint_info& info);

    [[nodiscard]] const service_spec& spec() const { return this->settings; }

    [[nodiscard]] endpoint_record& at(endpoint_index index) { return this->records[index]; }

    [[nodiscard]] const endpoint_record& at(endpoint_index index) const
    {
        return this->records[index];
    }

    [[nodiscard]] std::optional<endpoint_index> find(const endpoint_id& id) const;

    /// Endpoints that take new work, in no order.
    [[nodiscard]] const std::vector<endpoint_index>& live_endpoints() const
    {
        return this->live_indices;
    }

    [[nodiscard]] bool empty() const { return this->by_id.empty(); }

    [[nodiscard]] const candidate_index& candidates() const { return this->by_load; }

    [[nodiscard]] prefix_index& prefixes() { return this->prefix_blocks; }

    [[nodiscard]] const prefix_index& prefixes() const { return this->prefix_blocks; }

    /// Learnt speed of a machine class.
    [[nodiscard]] latency_model& class_latency(const machine_class& type)
    {
        return this->class_latencies[type];
    }

    /// Time between tokens expected of an endpoint in order, from its machine class.
    [[nodiscard]] duration expected_token_time(const endpoint_record& record) const;
    /// Time for each uncached prompt token.
    [[nodiscard]] duration expected_prompt_time(const endpoint_record& record) const;

    /// Takes the pace that a report tells.
    void update_reported_latency(endpoint_index index, const load_report& report,
                                 monotonic_time now);
    /// Whether a suspected endpoint should get a request, to see if it has recovered.
    [[nodiscard]] bool is_probe_due(endpoint_index index, request_class size,
                                    monotonic_time now) const;
    void record_probe(endpoint_index index, monotonic_time now);

    /// Decides anew whether the endpoint is suspected; true if it is.
    bool update_suspicion(endpoint_index index, monotonic_time now);

    [[nodiscard]] const std::vector<endpoint_index>& suspected_endpoints() const
    {
        return this->suspect_list;
    }

    /// An attempt held a slot for this long.
    void add_hold_time_sample(duration held);

    [[nodiscard]] duration mean_hold_time() const { return this->mean_hold; }

    /// Estimated time until a slot of the service is free.
    [[nodiscard]] duration slot_release_time() const;

    /// Share of the slots of all usable endpoints that are in use, as far as known.
    [[nodiscard]] double utilisation() const;

    /// Priorities that organisations have, in ascending order.
    [[nodiscard]] const std::vector<std::int32_t>& priority_levels() const
    {
        return this->priorities_in_use;
    }

    /// To be called after the load of an endpoint has changed.
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
    std::vector<counted_load> counted; ///< what each endpoint has in the sums
    double used_slots = 0.0;
    std::int64_t total_slots = 0;
    duration mean_hold = std::chrono::seconds{4};
};

} // namespace eelgrassbend

#endif
