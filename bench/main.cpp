#include "experiments.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random numbers");
ABSL_FLAG(std::uint32_t, nodes, 0, "number of nodes; 0 runs all sizes of the experiment");
ABSL_FLAG(std::string, deployment, "kilimanjaro", "kilimanjaro or magnolia; routing only");
ABSL_FLAG(bool, brief, false, "run only a few of the cases");

namespace eelgrassbend::bench {

static experiment_list make_experiments()
{
    experiment_list known;
    known.push_back(make_audit_experiment());
    known.push_back(make_load_experiment());
    known.push_back(make_routing_experiment());
    known.push_back(make_claims_experiment());
    known.push_back(make_ledger_experiment());
    known.push_back(make_membership_experiment());
    known.push_back(make_dissemination_experiment());
    known.push_back(make_decision_experiment());
    return known;
}

static int list(const experiment_list& experiments)
{
    std::cerr << "usage: eelgrassbend-bench [--seed=N] [--nodes=N] <experiment>\n";
    for (const auto& known : experiments) {
        std::cerr << "  " << known->name() << ": " << known->help() << "\n";
    }
    return 2;
}

static int run(const std::vector<char*>& arguments)
{
    const auto experiments = make_experiments();
    if (arguments.size() != 2) {
        return list(experiments);
    }
    const experiment_options options{absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_nodes),
                                     absl::GetFlag(FLAGS_deployment), absl::GetFlag(FLAGS_brief)};
    for (const auto& known : experiments) {
        if (known->name() == arguments[1]) {
            return known->run(options, std::cout);
        }
    }
    std::cerr << "unknown experiment: " << arguments[1] << "\n";
    return list(experiments);
}

} // namespace eelgrassbend::bench

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("eelgrassbend-bench [--seed=N] [--nodes=N] <experiment>");
    return eelgrassbend::bench::run(absl::ParseCommandLine(argc, argv));
}
