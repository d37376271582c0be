#include "entry/fault_run.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

BOOST_AUTO_TEST_CASE(promises_hold_under_combined_faults)
{
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        fakes::fault_run run{seed};
        run.run();
        for (const auto& violation : run.violations) {
            BOOST_ERROR("eelgrassbend-bench faults --seeds=1 --first_seed=" << seed << ": "
                                                                            << violation);
        }
    }
}

} // namespace eelgrassbend
