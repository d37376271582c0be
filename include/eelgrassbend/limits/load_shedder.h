#ifndef EELGRASSBEND_LIMITS_LOAD_SHEDDER_H
#define EELGRASSBEND_LIMITS_LOAD_SHEDDER_H

#include <cstdint>
#include <vector>

namespace eelgrassbend {

/// Whether a request should be refused so that a busy service is left to those of higher priority.
/// `utilisation` is the share of the service's slots in use; `levels` are the priorities that
/// organisations have, in ascending order. The highest priority is never shed.
bool should_shed(double utilisation, std::int32_t priority,
                 const std::vector<std::int32_t>& levels);

} // namespace eelgrassbend

#endif
