#ifndef EELGRASSBEND_QUARANTINE_CRASH_ANALYSIS_H
#define EELGRASSBEND_QUARANTINE_CRASH_ANALYSIS_H

#include "eelgrassbend/quarantine/crash_report.h"

#include <vector>

namespace eelgrassbend {

/// A suspect with the time of its crash.
struct crash_observation {
    crash_id crash;
    std::uint64_t request = 0; ///< hash of the request's id
    bool has_answer_begun = false;
    part_keys parts;
    monotonic_time crashed_at;
};

/// Returns the sets of parts that explain crashes: each is common to suspects of two requests and
/// of three crashes at different moments, or of five if some of these suspects have further parts
/// in common. A set is returned when `settle_time` has passed since the first of its crashes.
std::vector<part_keys> find_common_parts(std::vector<crash_observation> observations,
                                         duration settle_time, monotonic_time now);

} // namespace eelgrassbend

#endif
