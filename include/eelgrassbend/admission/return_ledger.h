#ifndef EELGRASSBEND_ADMISSION_RETURN_LEDGER_H
#define EELGRASSBEND_ADMISSION_RETURN_LEDGER_H

#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace eelgrassbend {

/// Expected ends of this node's running requests of one kind, and the return times promised to
/// refused callers. Each promise is matched with an expected end, so that a returning caller finds
/// room. All nodes do the same, so the promises of this node are compared with its own part of the
/// ends of the fleet.
class return_ledger {
public:
    using work_number = std::uint64_t;

    /// Work that is begun again, at another endpoint, counts from the later begin.
    void begin(work_number work, monotonic_time now);
    /// With `was_served`, the time since the begin counts as a usual one.
    void end(work_number work, bool was_served, monotonic_time now);

    /// Promises a time of return in [`earliest`, `latest`], or none if there is no room until then.
    /// `scale` is the part of the fleet's running work that one node has on average, relative to
    /// this node's.
    std::optional<monotonic_time> promise(monotonic_time earliest, monotonic_time latest,
                                          double scale, random_source& random, monotonic_time now);
    /// Number of promises that are due in [`from`, `until`].
    [[nodiscard]] std::size_t promises_due(monotonic_time from, monotonic_time until) const;

    [[nodiscard]] std::size_t running() const { return this->begun.size(); }

    /// Time that a request usually takes; empty while unknown.
    [[nodiscard]] std::optional<duration> usual_time() const;
    /// Time that hardly any request falls short of; zero while unknown.
    [[nodiscard]] duration least_time() const;

private:
    [[nodiscard]] std::vector<monotonic_time> expected_ends(monotonic_time now) const;
    /// Time of the expected end with this number, counted from zero; ends beyond the running work
    /// follow at its usual rate.
    [[nodiscard]] std::optional<monotonic_time>
    end_time(std::size_t number, const std::vector<monotonic_time>& ends, monotonic_time now) const;

    std::map<work_number, monotonic_time> begun;
    std::multiset<monotonic_time> promises;
    std::uint64_t observed = 0;
    double mean_seconds = 0.0;
    double deviation_seconds = 0.0;
};

} // namespace eelgrassbend

#endif
