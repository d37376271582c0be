#ifndef EELGRASSBEND_SUPPORT_UNITS_H
#define EELGRASSBEND_SUPPORT_UNITS_H

#include "eelgrassbend/support/strong_type.h"

#include <chrono>
#include <cstdint>

namespace eelgrassbend {

/// A length of time.
using duration = std::chrono::nanoseconds;

/// Time since an arbitrary start; never goes back; differs from node to node.
struct monotonic_clock_tag {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    static constexpr bool is_steady = true;
};

using monotonic_time = std::chrono::time_point<monotonic_clock_tag, duration>;

/// Time since the Unix epoch as this host believes it to be.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// `part` times `whole`, such as a share of a bound.
constexpr duration part_of(double part, duration whole)
{
    return std::chrono::duration_cast<duration>(part * whole);
}

/// Rounded towards zero, for log lines, headers and records.
constexpr std::int64_t whole_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

using token_count = strong_number<struct token_count_tag, std::int64_t>;
using byte_count = strong_number<struct byte_count_tag, std::int64_t>;
/// Millionths of the currency unit of the deployment.
using money = strong_number<struct money_tag, std::int64_t>;

} // namespace eelgrassbend

#endif
