#include "experiments.h"
#include "json_line.h"

#include "fakes/member_cluster.h"

#include <malloc.h>

#include <array>
#include <cmath>

namespace eelgrassbend::bench {

using namespace std::chrono_literals;
using fakes::member_cluster;

static constexpr std::array<std::uint32_t, 4> all_sizes{8, 32, 128, 390};
static constexpr std::array losses{0.0, 0.1, 0.3};
static constexpr duration join_limit = 120s;
static constexpr duration steady_span = 60s;
static constexpr duration change_limit = 60s;
// The target's share for control, in bytes a second and node.
static constexpr double target_bytes_per_second = 22'000;

namespace {

struct traffic {
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t declared_dead = 0;
};

} // namespace

static double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

// Sent and received together, as the target counts what a node spends.
static traffic total(const member_cluster& cluster)
{
    traffic sum;
    for (const auto& node : cluster.nodes) {
        if (node) {
            const auto& channel = node->channel.counters();
            sum.bytes += channel.sent_bytes + channel.received_bytes;
            sum.datagrams += channel.sent + channel.received;
            sum.suspicions += node->swim.counters().suspicions;
            sum.declared_dead += node->swim.counters().declared_dead;
        }
    }
    return sum;
}

static bool nobody_sees(const member_cluster& cluster, const node_id& id)
{
    return std::ranges::none_of(cluster.nodes,
                                [&](const auto& node) { return node && node->sees(id); });
}

static nlohmann::json optional_seconds(const std::optional<duration>& span)
{
    return span ? nlohmann::json(to_seconds(*span)) : nlohmann::json();
}

// Runs with a new bundle version about every 10 s, as in the target.
static void run_steadily(member_cluster& cluster, std::uint64_t& version)
{
    for (duration spent{}; spent < steady_span; spent += 10s) {
        ++version;
        for (const auto& node : cluster.nodes) {
            if (node) {
                node->swim.set_bundle_version(bundle_version{version});
            }
        }
        cluster.time.run_for(10s);
    }
}

static nlohmann::json measure(std::uint32_t size, double loss, std::uint64_t seed)
{
    const auto heap_before = mallinfo2().uordblks;
    member_cluster cluster{size, seed};
    cluster.network.set_delay(300us, 40ms);
    cluster.start();
    const auto joined = cluster.run_until([&] { return cluster.agrees(); }, join_limit);
    cluster.time.run_for(30s);
    cluster.network.set_loss(loss);
    std::uint64_t version = 1;
    const auto before = total(cluster);
    run_steadily(cluster, version);
    const auto after = total(cluster);
    const auto heap = mallinfo2().uordblks - heap_before;
    const auto node_seconds = to_seconds(steady_span) * size;
    const auto victim = member_cluster::place_of(1).id;
    cluster.kill(1);
    const auto first = cluster.run_until(
        [&] {
            return std::ranges::any_of(
                cluster.nodes, [&](const auto& node) { return node && !node->sees(victim); });
        },
        change_limit);
    const auto rest = cluster.run_until([&] { return nobody_sees(cluster, victim); }, change_limit);
    const auto bytes = static_cast<double>(after.bytes - before.bytes) / node_seconds;
    return {{"experiment", "membership"},
            {"nodes", size},
            {"loss", loss},
            {"seed", seed},
            {"join_s", optional_seconds(joined)},
            {"bytes_per_second_and_node", std::round(bytes)},
            {"share_of_target_bytes", bytes / target_bytes_per_second},
            {"datagrams_per_second_and_node",
             static_cast<double>(after.datagrams - before.datagrams) / node_seconds},
            {"state_bytes_per_node", heap / size},
            {"suspicions_per_node_and_minute",
             static_cast<double>(after.suspicions - before.suspicions) * 60 / node_seconds},
            {"false_deaths", after.declared_dead - before.declared_dead},
            {"failure_seen_by_first_s", optional_seconds(first)},
            {"failure_seen_by_all_s",
             first && rest ? optional_seconds(*first + *rest) : nlohmann::json()}};
}

namespace {

class membership_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "membership"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "bytes, state, failure detection and false suspicions by size and loss";
    }

    int run(const experiment_options& options, std::ostream& out) override
    {
        for (const auto size : all_sizes) {
            if (options.nodes != 0 && options.nodes != size) {
                continue;
            }
            for (const auto loss : losses) {
                write_json_line(out, measure(size, loss, options.seed));
            }
        }
        return 0;
    }
};

} // namespace

std::unique_ptr<experiment> make_membership_experiment()
{
    return std::make_unique<membership_experiment>();
}

} // namespace eelgrassbend::bench
