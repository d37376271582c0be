#include "experiments.h"
#include "json_line.h"

#include "fakes/dissemination_cluster.h"

#include <array>

namespace eelgrassbend::bench {

using namespace std::chrono_literals;
using fakes::dissemination_cluster;
using fakes::overlay;

static constexpr std::array<std::uint32_t, 4> all_sizes{8, 32, 128, 390};
static constexpr std::array losses{0.0, 0.1, 0.3};
static constexpr std::array dead_shares{0.0, 0.1, 0.3};
static constexpr duration join_limit = 120s;
static constexpr int messages = 20;
static constexpr duration message_distance = 500ms;
// From the target: in force everywhere within 17 s.
static constexpr duration observed_span = 17s;
static constexpr std::size_t payload_bytes = 900;

namespace {

struct traffic {
    std::uint64_t bytes = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t repaired = 0;
};

/// When the deliveries of each message happened, after its publication.
using delivery_times = std::vector<std::vector<duration>>;

} // namespace

static traffic total(const dissemination_cluster& cluster)
{
    traffic sum;
    for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
        if (cluster.nodes[index]) {
            const auto& counters = cluster.dissemination_nodes[index]->service->counters();
            sum.bytes += cluster.nodes[index]->channel.counters().sent_bytes;
            sum.duplicates += counters.duplicates;
            sum.forwarded += counters.forwarded;
            sum.repaired += counters.repaired;
        }
    }
    return sum;
}

static void observe(dissemination_cluster& cluster, delivery_times& times,
                    const std::vector<monotonic_time>& published)
{
    for (auto& each : cluster.dissemination_nodes) {
        if (each) {
            each->service->subscribe("bench", [&](const std::string& payload) {
                const auto number = static_cast<std::size_t>(std::stoul(payload));
                times[number].push_back(cluster.time.now() - published[number]);
            });
        }
    }
}

static double percentile(std::vector<duration> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return std::chrono::duration<double>(values[index]).count();
}

static nlohmann::json measure(overlay kind, std::uint32_t size, double loss, double dead_share,
                              std::uint64_t seed)
{
    dissemination_cluster cluster{size, seed, kind};
    cluster.network.set_delay(300us, 40ms);
    cluster.start_all();
    const auto joined = cluster.run_until([&] { return cluster.agrees(); }, join_limit);
    cluster.time.run_for(30s);
    cluster.network.set_loss(loss);
    const auto dead = static_cast<std::size_t>(dead_share * size);
    for (std::size_t index = 0; index < dead; ++index) {
        cluster.stop_node(index * size / dead);
    }
    std::vector<std::size_t> alive;
    for (std::size_t index = 0; index < size; ++index) {
        if (cluster.nodes[index]) {
            alive.push_back(index);
        }
    }
    delivery_times times(messages);
    std::vector<monotonic_time> published;
    observe(cluster, times, published);
    const auto before = total(cluster);
    for (int number = 0; number < messages; ++number) {
        auto payload = std::to_string(number) + " ";
        payload.resize(payload_bytes, 'x');
        published.push_back(cluster.time.now());
        const auto publisher = alive[random_below(cluster.random, alive.size())];
        cluster.dissemination_nodes[publisher]->service->publish("bench", payload);
        cluster.time.run_for(message_distance);
    }
    cluster.time.run_for(observed_span);
    const auto after = total(cluster);
    std::vector<duration> all;
    std::size_t on_time = 0;
    std::size_t complete = 0;
    for (const auto& each : times) {
        const auto in_time = static_cast<std::size_t>(std::ranges::count_if(
            each, [](duration after_publish) { return after_publish <= observed_span; }));
        on_time += in_time;
        complete += in_time + 1 == alive.size() ? 1 : 0;
        all.insert(all.end(), each.begin(), each.end());
    }
    const auto expected = static_cast<double>(messages * (alive.size() - 1));
    return {{"experiment", "dissemination"},
            {"overlay", kind == overlay::ring ? "ring" : "rumour"},
            {"nodes", size},
            {"loss", loss},
            {"dead_share", dead_share},
            {"seed", seed},
            {"joined", joined.has_value()},
            {"share_reached_in_17_s", static_cast<double>(on_time) / expected},
            {"messages_complete_in_17_s", complete},
            {"messages", messages},
            {"median_s", percentile(all, 0.5)},
            {"p99_s", percentile(all, 0.99)},
            {"last_s", percentile(all, 1.0)},
            {"duplicates_per_delivery",
             static_cast<double>(after.duplicates - before.duplicates) / expected},
            {"sends_per_delivery", static_cast<double>(after.forwarded - before.forwarded +
                                                       after.repaired - before.repaired) /
                                       expected},
            {"bytes_sent_per_delivery_all_traffic",
             static_cast<double>(after.bytes - before.bytes) / expected}};
}

namespace {

class dissemination_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "dissemination"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "share reached, time, duplicates and bytes of both overlays under loss and deaths";
    }

    int run(const experiment_options& options, std::ostream& out) override
    {
        for (const auto size : all_sizes) {
            if (options.nodes == 0 || options.nodes == size) {
                run_size(size, options, out);
            }
        }
        return 0;
    }

private:
    static void run_size(std::uint32_t size, const experiment_options& options, std::ostream& out)
    {
        for (const auto loss : losses) {
            for (const auto dead : dead_shares) {
                if (options.brief && loss != dead) {
                    continue;
                }
                for (const auto kind : {overlay::gossip, overlay::ring}) {
                    write_json_line(out, measure(kind, size, loss, dead, options.seed));
                }
            }
        }
    }
};

} // namespace

std::unique_ptr<experiment> make_dissemination_experiment()
{
    return std::make_unique<dissemination_experiment>();
}

} // namespace eelgrassbend::bench
