#ifndef EELGRASSBEND_BENCH_ROUTING_FIGURES_H
#define EELGRASSBEND_BENCH_ROUTING_FIGURES_H

#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/support/units.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace eelgrassbend::bench {

/// What is counted of the requests that arrive within the measured time.
class routing_figures {
public:
    /// `undisturbed` is the time on an engine with a full batch of streams that all decode, no
    /// queue and the same part of the prompt cached.
    void first_token(request_class size, duration elapsed, duration undisturbed);
    void between_tokens(duration gap);
    void completed(request_class size, bool within_target, duration elapsed, std::int64_t tokens);
    void refused(request_class size);

    void hedged() { ++this->hedges; }

    void retried() { ++this->retries; }

    std::int64_t recomputed_tokens = 0; ///< prompt tokens that another engine had computed before
    double host_cost = 0.0; ///< millionths, of hosts for the time in which they had any work
    double slot_cost = 0.0; ///< millionths, of slots for the time in which they were in use

    [[nodiscard]] nlohmann::json to_json();

private:
    static constexpr std::size_t class_count = 3;
    static constexpr std::size_t gap_bins = 4000; ///< of a quarter of a millisecond

    [[nodiscard]] double gap_quantile(double share) const;

    std::array<std::vector<double>, class_count> first_tokens; ///< milliseconds
    std::array<std::vector<double>, class_count> completions;  ///< milliseconds
    std::vector<double> quick_waits;                           ///< milliseconds
    std::array<std::uint64_t, class_count> refusals{};
    std::vector<std::uint64_t> gaps = std::vector<std::uint64_t>(gap_bins);
    std::uint64_t within = 0;
    std::uint64_t whole = 0;
    std::int64_t tokens_within = 0; ///< output tokens of requests within the target
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
};

} // namespace eelgrassbend::bench

#endif
