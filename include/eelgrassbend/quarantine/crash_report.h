#ifndef EELGRASSBEND_QUARANTINE_CRASH_REPORT_H
#define EELGRASSBEND_QUARANTINE_CRASH_REPORT_H

#include "eelgrassbend/placement/prompt_cache.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <vector>

namespace eelgrassbend {

/// Identifies a prompt part within a service: a hash that is the same on every node.
using part_key = strong_type<struct part_key_tag, std::uint64_t>;
/// Sorted, without repeats.
using part_keys = std::vector<part_key>;
/// Identifies the crash of one incarnation of an endpoint.
using crash_id = strong_type<struct crash_id_tag, std::uint64_t>;

/// Most parts of one request that are examined.
constexpr std::size_t max_examined_parts = 16;

/// Returns the keys of the parts that other requests may share, which are all but the last one.
part_keys shared_part_keys(const service_id& service, const std::vector<prompt_part>& parts);

/// Returns the id of the crash of an incarnation that started at `started` (see `endpoint_record`).
crash_id make_crash_id(const endpoint_id& endpoint, std::int64_t started);

/// Returns the names of parts as logs show them, separated by spaces.
std::string part_names(const part_keys& parts);

/// A request that had no confirmed answer when its endpoint crashed.
struct crash_suspect {
    crash_id crash;
    std::uint64_t request = 0;     ///< hash of the request's id
    bool has_answer_begun = false; ///< the head of its answer had arrived
    part_keys parts;               ///< those not known to be sound
    duration age{};                ///< since the crash

    friend bool operator==(const crash_suspect&, const crash_suspect&) = default;
};

/// A part of a request whose answer has been confirmed.
struct sound_part {
    part_key part;
    duration age{}; ///< since the answer

    friend bool operator==(const sound_part&, const sound_part&) = default;
};

/// Requests with all of these parts are refused.
struct quarantined_set {
    part_keys parts;
    std::uint32_t level = 0; ///< number of failed trials
    duration age{};          ///< since the decision

    friend bool operator==(const quarantined_set&, const quarantined_set&) = default;
};

/// What a node reports to others about prompt parts that crash endpoints. Receivers may apply a
/// report repeatedly and in any order.
struct crash_report {
    std::vector<crash_suspect> suspects;
    std::vector<sound_part> sound;
    std::vector<quarantined_set> quarantined;

    [[nodiscard]] bool is_empty() const
    {
        return this->suspects.empty() && this->sound.empty() && this->quarantined.empty();
    }

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace eelgrassbend

#endif
