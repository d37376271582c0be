#ifndef EELGRASSBEND_BENCH_EXPERIMENT_H
#define EELGRASSBEND_BENCH_EXPERIMENT_H

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace eelgrassbend::bench {

struct experiment_options {
    std::uint64_t seed = 1;
    std::uint32_t nodes = 0; ///< 0: all sizes that the experiment knows
    std::string deployment = "kilimanjaro";
    bool brief = false; ///< only a few of the cases
    std::uint64_t seeds = 1000;
    std::uint64_t first_seed = 1;
};

/// One measurement; writes its results as JSON lines.
class experiment {
public:
    virtual ~experiment() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// One line that says what is measured.
    [[nodiscard]] virtual std::string_view help() const = 0;
    /// Answers the exit status of the program.
    virtual int run(const experiment_options& options, std::ostream& out) = 0;
};

} // namespace eelgrassbend::bench

#endif
