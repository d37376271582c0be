#include "experiments.h"
#include "json_line.h"
#include "member_traffic.h"

#include <array>
#include <cmath>
#include <map>
#include <string>

namespace eelgrassbend::bench {

using namespace std::chrono_literals;
using fakes::member_cluster;

static constexpr std::array<std::uint32_t, 4> all_sizes{8, 32, 128, 390};
static constexpr duration join_limit = 120s;
static constexpr duration settle_limit = 120s;
static constexpr duration partition_span = 180s;
static constexpr duration peak_window = 1s;

namespace {

/// How a cluster got over a fault.
struct recovery {
    std::optional<duration> settled;
    double peak_bytes = 0.0; ///< largest mean over the nodes, bytes a second and node
    double mean_bytes = 0.0;
};

} // namespace

static recovery observe(member_cluster& cluster)
{
    recovery seen;
    const auto nodes = static_cast<double>(cluster.running());
    const auto start = total_traffic(cluster);
    const auto began = cluster.time.now();
    while (!seen.settled && cluster.time.now() - began < settle_limit) {
        const auto before = total_traffic(cluster).bytes;
        const auto window_start = cluster.time.now();
        const auto settled = cluster.run_until([&] { return cluster.agrees(); }, peak_window);
        const auto window = to_seconds(cluster.time.now() - window_start);
        if (settled) {
            seen.settled = cluster.time.now() - began;
        }
        if (window > 0.5) {
            const auto bytes = static_cast<double>(total_traffic(cluster).bytes - before);
            seen.peak_bytes = std::max(seen.peak_bytes, bytes / window / nodes);
        }
    }
    const auto end = total_traffic(cluster);
    const auto span = std::max(to_seconds(cluster.time.now() - began), 0.05);
    seen.mean_bytes = static_cast<double>(end.bytes - start.bytes) / span / nodes;
    return seen;
}

static nlohmann::json report(const std::string& fault, std::uint32_t size, std::uint64_t seed,
                             const recovery& seen)
{
    return {{"experiment", "membership_faults"},
            {"fault", fault},
            {"nodes", size},
            {"seed", seed},
            {"settled_s", optional_seconds(seen.settled)},
            {"peak_bytes_per_second_and_node", std::round(seen.peak_bytes)},
            {"mean_bytes_per_second_and_node", std::round(seen.mean_bytes)}};
}

static std::unique_ptr<member_cluster> steady_cluster(std::uint32_t size, std::uint64_t seed)
{
    auto cluster = std::make_unique<member_cluster>(size, seed);
    cluster->network.set_delay(300us, 40ms);
    cluster->start();
    cluster->run_until([&] { return cluster->agrees(); }, join_limit);
    cluster->time.run_for(30s);
    return cluster;
}

// An availability zone of ten dies at once.
static nlohmann::json lose_zone(std::uint32_t size, std::uint64_t seed)
{
    const auto cluster = steady_cluster(size, seed);
    const auto zone = cluster->nodes[0]->swim.self().zone;
    for (std::size_t index = 0; index < size; ++index) {
        if (cluster->nodes[index]->swim.self().zone == zone) {
            cluster->kill(index);
        }
    }
    return report("zone lost", size, seed, observe(*cluster));
}

// Two regions lose each other for minutes.
static nlohmann::json part_regions(std::uint32_t size, std::uint64_t seed)
{
    const auto cluster = steady_cluster(size, seed);
    std::map<network_address, region_name> regions;
    for (const auto& node : cluster->nodes) {
        regions[node->swim.self().datagrams] = node->swim.self().region;
    }
    cluster->network.set_filter([&](const network_address& from, const network_address& to) {
        return regions[from] == regions[to];
    });
    cluster->time.run_for(partition_span);
    cluster->network.set_filter({});
    return report("regions parted for 3 min, from the end of it", size, seed, observe(*cluster));
}

// A node dies and another one takes its place under a new name.
static nlohmann::json replace_node(std::uint32_t size, std::uint64_t seed)
{
    const auto cluster = steady_cluster(size, seed);
    cluster->kill(1);
    cluster->add(member_cluster::place_of(size + 1)).swim.start();
    return report("node replaced", size, seed, observe(*cluster));
}

namespace {

class membership_faults_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "membership_faults"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "time to settle and bytes after a lost zone, parted regions and a replaced node";
    }

    int run(const experiment_options& options, std::ostream& out) override
    {
        for (const auto size : all_sizes) {
            if (options.nodes != 0 && options.nodes != size) {
                continue;
            }
            write_json_line(out, replace_node(size, options.seed));
            write_json_line(out, lose_zone(size, options.seed));
            write_json_line(out, part_regions(size, options.seed));
        }
        return 0;
    }
};

} // namespace

std::unique_ptr<experiment> make_membership_faults_experiment()
{
    return std::make_unique<membership_faults_experiment>();
}

} // namespace eelgrassbend::bench
