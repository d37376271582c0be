#include "claim_interleaving.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace eelgrassbend {

static std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// EELGRASSBEND_FIRST_SEED and EELGRASSBEND_SEEDS select the runs.
BOOST_AUTO_TEST_CASE(no_interleaving_runs_a_key_twice_or_blocks_it)
{
    const auto first = number_from_environment("EELGRASSBEND_FIRST_SEED", 1);
    const auto count = number_from_environment("EELGRASSBEND_SEEDS", 10'000);
    std::size_t failures = 0;
    std::size_t executions = 0;
    std::map<claim_state, std::size_t> answers;
    for (auto seed = first; seed < first + count && failures < 5; ++seed) {
        claim_interleaving one{seed};
        const auto wrong = one.run();
        failures += wrong.empty() ? 0 : 1;
        BOOST_TEST(wrong.empty(), "seed " << seed << ": " << wrong);
        executions += one.executions;
        for (const auto& [state, number] : one.answers) {
            answers[state] += number;
        }
    }
    BOOST_TEST_MESSAGE("executions " << executions << ", granted " << answers[claim_state::granted]
                                     << ", finished " << answers[claim_state::finished]
                                     << ", running " << answers[claim_state::running]
                                     << ", unknown " << answers[claim_state::unknown]
                                     << ", refused " << answers[claim_state::refused]);
    // The runs must reach every kind of answer, or they prove nothing.
    for (const auto state : {claim_state::granted, claim_state::finished, claim_state::running,
                             claim_state::unknown, claim_state::refused}) {
        BOOST_TEST(answers[state] >= count / 20);
    }
}

} // namespace eelgrassbend
