#include "eelgrassbend/claims/log_claim_service.h"
#include "eelgrassbend/support/uuid.h"

#include "experiments.h"
#include "fakes/fake_node.h"
#include "limited_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <string>

namespace eelgrassbend::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration log_latency = milliseconds{5};
constexpr duration run_time = milliseconds{50}; // from dispatch to outcome
constexpr int warm_up_seconds = 2;
constexpr int measured_seconds = 10;

enum class batching {
    none,       ///< each record is appended alone, by its own node
    node,       ///< each node batches its own records
    partitions, ///< a partition's owner batches for all nodes
};

const char* name_of(batching mode)
{
    switch (mode) {
    case batching::none:
        return "none";
    case batching::node:
        return "node";
    case batching::partitions:
        return "partition owner";
    }
    return "";
}

struct load_shape {
    batching mode = batching::partitions;
    std::uint32_t partitions = 16;
    duration append_interval = milliseconds{100};
};

claim_settings settings_of(const load_shape& shape)
{
    claim_settings settings;
    settings.partitions = shape.partitions;
    settings.append_interval = shape.append_interval;
    if (shape.mode == batching::none) {
        settings.batch_records = 1;
        settings.batch_window = duration::zero();
        settings.append_interval = duration::zero();
    }
    return settings;
}

/// Nodes that claim keys and record outcomes at a constant rate.
class claims_load {
public:
    claims_load(std::uint64_t seed, std::size_t count, const load_shape& shape)
        : world(seed), shape(shape), nodes(make_fake_nodes(world, count, 10))
    {
        for (auto& node : this->nodes) {
            node->client.faults.latency = log_latency;
            if (shape.mode != batching::partitions) {
                this->isolate(*node);
            }
            this->logs.push_back(
                std::make_unique<limited_log>(node->log, node->timer, this->limit));
            const claim_dependencies dependencies{node->timer,        this->world.random,
                                                  *this->logs.back(), node->peers,
                                                  node->members,      node->events};
            this->services.push_back(
                std::make_unique<log_claim_service>(settings_of(shape), dependencies));
            if (shape.mode == batching::partitions) { // alone, there are no owners to serve or mark
                this->services.back()->start();
            }
        }
    }

    nlohmann::json run(double per_second)
    {
        this->world.time.run_for(seconds{1});
        this->offer(per_second, warm_up_seconds);
        const auto before = this->totals();
        const auto refused_appends = this->limit.refused;
        const auto network_bytes = this->world.network.bytes;
        const auto appended_bytes = this->limit.bytes;
        const auto carried = this->carried();
        this->latencies.clear();
        this->refused = 0;
        const auto cpu = std::clock();
        this->offer(per_second, measured_seconds);
        const auto cpu_seconds = static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
        const auto after = this->totals();
        this->world.time.run_for(seconds{5});
        std::sort(this->latencies.begin(), this->latencies.end());
        const auto rate = [](std::uint64_t more) {
            return static_cast<double>(more) / measured_seconds;
        };
        const auto appends = after.appends - before.appends;
        const auto records = after.appended_records - before.appended_records;
        const auto count = static_cast<double>(this->nodes.size());
        return {{"experiment", "claims"},
                {"nodes", this->nodes.size()},
                {"batching", name_of(this->shape.mode)},
                {"partitions", this->shape.partitions},
                {"offered_per_second", per_second},
                {"granted", this->latencies.size()},
                {"refused", this->refused},
                {"p50_ms", this->percentile(0.50)},
                {"p95_ms", this->percentile(0.95)},
                {"p99_ms", this->percentile(0.99)},
                {"appends_per_second", rate(appends)},
                {"rate_limited_per_second", rate(this->limit.refused - refused_appends)},
                {"records_per_append", appends == 0 ? 0.0 : rate(records) / rate(appends)},
                {"reads_per_second", rate(after.reads - before.reads)},
                {"records_read_per_second", rate(after.read_records - before.read_records)},
                {"append_bytes_per_second", rate(this->limit.bytes - appended_bytes)},
                {"peer_bytes_per_second_and_node",
                 rate(this->world.network.bytes - network_bytes) / count},
                {"bytes_per_second_at_the_busiest_node", rate(this->most_carried(carried))},
                {"keys_at_the_busiest_node", this->most_keys()},
                {"cpu_us_per_claim_all_nodes_and_fakes",
                 cpu_seconds * 1e6 / (per_second * measured_seconds)}};
    }

private:
    void isolate(fake_node& node)
    {
        for (auto peer : node.members.peers()) {
            peer.state = member_state::dead;
            node.members.set(peer);
        }
    }

    [[nodiscard]] claim_statistics totals() const
    {
        claim_statistics sum;
        for (const auto& each : this->services) {
            sum.appends += each->statistics().appends;
            sum.appended_records += each->statistics().appended_records;
            sum.reads += each->statistics().reads;
            sum.read_records += each->statistics().read_records;
        }
        return sum;
    }

    /// Bytes that each node has exchanged with peers and the log.
    [[nodiscard]] std::vector<std::uint64_t> carried() const
    {
        std::vector<std::uint64_t> all;
        for (std::size_t node = 0; node < this->nodes.size(); ++node) {
            all.push_back(this->nodes[node]->peers.bytes_carried + this->logs[node]->bytes);
        }
        return all;
    }

    [[nodiscard]] std::uint64_t most_carried(const std::vector<std::uint64_t>& before) const
    {
        const auto after = this->carried();
        std::uint64_t most = 0;
        for (std::size_t node = 0; node < after.size(); ++node) {
            most = std::max(most, after[node] - before[node]);
        }
        return most;
    }

    [[nodiscard]] std::size_t most_keys() const
    {
        std::size_t most = 0;
        for (const auto& each : this->services) {
            most = std::max(most, each->keys());
        }
        return most;
    }

    [[nodiscard]] double percentile(double share) const
    {
        if (this->latencies.empty()) {
            return 0.0;
        }
        const auto index =
            static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1));
        return std::chrono::duration<double, std::milli>(this->latencies[index]).count();
    }

    void offer(double per_second, int length)
    {
        const auto apart =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{1.0 / per_second});
        const auto end = this->world.time.now() + seconds{length};
        while (this->world.time.now() < end) {
            this->claim(random_below(this->world.random, this->nodes.size()));
            this->world.time.run_for(apart);
        }
    }

    void claim(std::size_t node)
    {
        const request_id request{this->nodes[node]->members.self().id.value() + "-" +
                                 make_uuid_v7(this->world.time.wall_now(), this->world.random)};
        const idempotency_key key{make_uuid_v7(this->world.time.wall_now(), this->world.random)};
        const auto begun = this->world.time.now();
        this->services[node]->claim("lodges/order-desk", key, request,
                                    [this, node, request, begun](const claim_answer& answer) {
                                        this->on_answer(node, request, begun, answer);
                                    });
    }

    void on_answer(std::size_t node, const request_id& request, monotonic_time begun,
                   const claim_answer& answer)
    {
        if (answer.state != claim_state::granted) {
            ++this->refused;
            return;
        }
        this->latencies.push_back(this->world.time.now() - begun);
        this->services[node]->dispatch_allowed(request);
        this->world.time.call_after(run_time, [this, node, request] {
            this->services[node]->finish(
                request, {200, "application/json", std::string(200, 'x'), std::string(64, 'd')},
                [](const result<void>&) {});
        });
    }

    fake_world world;
    load_shape shape;
    append_limit limit;
    std::vector<std::unique_ptr<fake_node>> nodes;
    std::vector<std::unique_ptr<limited_log>> logs;
    std::vector<std::unique_ptr<log_claim_service>> services;
    std::vector<duration> latencies;
    std::size_t refused = 0;
};

class claims_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "claims"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "claims a second and their latency against appends, alone and batched";
    }

    int run(const experiment_options& options, std::ostream& out) override
    {
        for (const std::size_t count : {1, 8, 32, 128, 390}) {
            if (options.nodes != 0 && options.nodes != count) {
                continue;
            }
            for (const auto& shape : shapes) {
                for (const double rate : {30.0, 120.0, 300.0, 1'200.0}) {
                    claims_load load{options.seed, count, shape};
                    out << load.run(rate).dump() << "\n" << std::flush;
                }
            }
        }
        return 0;
    }

private:
    // The batched ones append at most 160 times a second.
    static constexpr load_shape shapes[] = {{batching::none, 16, duration::zero()},
                                            {batching::node, 16, milliseconds{100}},
                                            {batching::partitions, 4, milliseconds{25}},
                                            {batching::partitions, 8, milliseconds{50}},
                                            {batching::partitions, 16, milliseconds{100}}};
};

} // namespace

std::unique_ptr<experiment> make_claims_experiment()
{
    return std::make_unique<claims_experiment>();
}

} // namespace eelgrassbend::bench
