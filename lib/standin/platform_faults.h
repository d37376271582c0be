#ifndef EELGRASSBEND_LIB_STANDIN_PLATFORM_FAULTS_H
#define EELGRASSBEND_LIB_STANDIN_PLATFORM_FAULTS_H

#include "eelgrassbend/support/units.h"

namespace eelgrassbend::standin {

/// Faults that the platform shows from here on.
struct platform_faults {
    bool log_down = false;
    duration log_slow{};
    double log_lose_answers = 0.0; ///< share of appends that take effect without an answer
    bool hosts_down = false;
    duration hosts_lag{};
    bool cloud_down = false;
    double cloud_lose_answers = 0.0;
    bool cloud_refuse = false;   ///< there is no host to give
    bool cloud_no_start = false; ///< hosts can be ordered, but do not start
};

} // namespace eelgrassbend::standin

#endif
