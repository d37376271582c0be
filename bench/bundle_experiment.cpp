#include "experiments.h"
#include "json_line.h"

#include "bundle/follower_world.h"

#include <algorithm>
#include <array>

namespace eelgrassbend::bench {

using namespace std::chrono_literals;

static constexpr std::array<std::uint32_t, 4> all_sizes{8, 32, 128, 390};
static constexpr int versions = 20;
static constexpr duration warm_up = 30s;
// From the target: in force everywhere within 17 s.
static constexpr duration target = 17s;
static constexpr duration step = 10ms;

/// Publishes one version and answers how long it took until all nodes had it; `target` if not.
static duration roll_out(follower_world& world, std::uint64_t version)
{
    const auto begun = world.shared.time.now();
    world.publish(version, version - 1);
    while (!world.all_have(version) && world.shared.time.now() - begun < target) {
        world.run(step);
    }
    return world.shared.time.now() - begun;
}

static nlohmann::json measure(std::uint32_t size, bool hints, std::uint64_t seed)
{
    follower_world world{size, seed};
    world.rumours.loss = hints ? 0.0 : 1.0;
    world.run(warm_up);
    const auto reads_before = [&] {
        std::size_t reads = 0;
        for (const auto& node : world.nodes) {
            reads += node->base.client.reads;
        }
        return reads;
    };
    const auto reads = reads_before();
    const auto begun = world.shared.time.now();
    std::vector<double> seconds;
    for (std::uint64_t version = 1; version <= versions; ++version) {
        seconds.push_back(std::chrono::duration<double>(roll_out(world, version)).count());
        world.run(duration{static_cast<std::int64_t>(
            random_below(world.shared.random, static_cast<std::uint64_t>(duration{5s}.count())))});
    }
    const auto span = std::chrono::duration<double>(world.shared.time.now() - begun).count();
    std::ranges::sort(seconds);
    return {{"experiment", "bundle"},
            {"nodes", size},
            {"hints", hints},
            {"seed", seed},
            {"versions", versions},
            {"median_s", seconds[seconds.size() / 2]},
            {"last_s", seconds.back()},
            {"log_reads_per_node_and_second",
             static_cast<double>(reads_before() - reads) / span / size}};
}

namespace {

class bundle_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "bundle"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "time until a bundle is in force on all nodes, by reads alone and with 200 ms hints";
    }

    int run(const experiment_options& options, std::ostream& out) override
    {
        for (const auto size : all_sizes) {
            if (options.nodes != 0 && options.nodes != size) {
                continue;
            }
            for (const bool hints : {false, true}) {
                write_json_line(out, measure(size, hints, options.seed));
            }
        }
        return 0;
    }
};

} // namespace

std::unique_ptr<experiment> make_bundle_experiment()
{
    return std::make_unique<bundle_experiment>();
}

} // namespace eelgrassbend::bench
