#include "eelgrassbend/control/command.h"

#include <algorithm>
#include <array>

namespace eelgrassbend {

command_result failed_command(const error& failure)
{
    static constexpr std::array unsettled{errc::unavailable,     errc::timed_out,
                                          errc::outcome_unknown, errc::rate_limited,
                                          errc::stale,           errc::truncated};
    const bool open = std::any_of(unsettled.begin(), unsettled.end(),
                                  [&](errc code) { return failure.code == code; });
    command_result outcome;
    outcome.status = open ? exit_status::unavailable : exit_status::negative;
    outcome.data = {{"error", failure.to_string()}};
    outcome.text = failure.to_string() + "\n";
    return outcome;
}

} // namespace eelgrassbend
