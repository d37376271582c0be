#include "experiments.h"
#include "json_line.h"

#include "entry/fault_run.h"

namespace eelgrassbend::bench {

namespace {

class faults_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "faults"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "promises that hold under random combinations of faults; --seeds, --first_seed";
    }

    int run(const experiment_options& options, std::ostream& out) override
    {
        std::uint64_t failed = 0;
        for (std::uint64_t number = 0; number < options.seeds; ++number) {
            failed += run_seed(options.first_seed + number, out) ? 0 : 1;
        }
        write_json_line(out, {{"experiment", "faults"},
                              {"first_seed", options.first_seed},
                              {"seeds", options.seeds},
                              {"failed", failed}});
        return failed == 0 ? 0 : 1;
    }

private:
    static bool run_seed(std::uint64_t seed, std::ostream& out)
    {
        fakes::fault_run run{seed};
        run.run();
        auto line = run.summary();
        line["experiment"] = "faults";
        line["seed"] = seed;
        line["violations"] = run.violations;
        if (!run.violations.empty()) {
            line["repeat"] =
                "eelgrassbend-bench faults --seeds=1 --first_seed=" + std::to_string(seed);
        }
        write_json_line(out, line);
        return run.violations.empty();
    }
};

} // namespace

std::unique_ptr<experiment> make_faults_experiment()
{
    return std::make_unique<faults_experiment>();
}

} // namespace eelgrassbend::bench
