#include "routing_run.h"

#include "experiments.h"

#include <nlohmann/json.hpp>

#include <future>

namespace eelgrassbend::bench {

namespace {

/// Runs under way at a time.
constexpr std::size_t parallel_runs = 4;
/// Requests that are made; enough for the highest load.
constexpr std::size_t work_size = 12'000;

class routing_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "routing"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "cost, waits and tail latency of every policy on the same work";
    }

    int run(const experiment_options& options, std::ostream& out) override;
};

} // namespace

static std::vector<run_options> scenarios(const experiment_options& options)
{
    const std::vector<double> loads = options.brief ? std::vector<double>{0.5, 0.9}
                                                    : std::vector<double>{0.3, 0.5, 0.7, 0.9, 1.1};
    const std::vector<std::uint32_t> stragglers =
        options.brief ? std::vector<std::uint32_t>{0, 2} : std::vector<std::uint32_t>{0, 1, 2};
    std::vector<std::uint32_t> nodes{1, 8};
    if (options.nodes > 0) {
        nodes = {options.nodes};
    }
    std::vector<run_options> all;
    for (const bool closed : {false, true}) {
        for (const auto load : loads) {
            for (const auto slow : stragglers) {
                for (const auto count : nodes) {
                    all.push_back({"", load, closed, slow, count, options.seed});
                }
            }
        }
    }
    return all;
}

int routing_experiment::run(const experiment_options& options, std::ostream& out)
{
    const auto deployment = make_fleet(options.deployment);
    if (deployment.engines.empty()) {
        return 2;
    }
    const auto work = make_work(deployment, work_size, options.seed);
    std::vector<run_options> runs;
    for (auto scenario : scenarios(options)) {
        for (const auto* policy :
             {"random", "round_robin", "least_outstanding", "two_choices", "predictive"}) {
            scenario.policy = policy;
            runs.push_back(scenario);
        }
    }
    for (std::size_t first = 0; first < runs.size(); first += parallel_runs) {
        std::vector<std::future<nlohmann::json>> results;
        const auto end = std::min(first + parallel_runs, runs.size());
        for (auto index = first; index < end; ++index) {
            results.push_back(std::async(std::launch::async, [&, index] {
                return run_routing(deployment, work, runs[index]);
            }));
        }
        for (auto& pending : results) {
            auto fields = pending.get();
            fields["deployment"] = options.deployment;
            out << fields.dump() << "\n" << std::flush;
        }
    }
    return 0;
}

std::unique_ptr<experiment> make_routing_experiment()
{
    return std::make_unique<routing_experiment>();
}

} // namespace eelgrassbend::bench
