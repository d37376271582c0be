#ifndef EELGRASSBEND_LIB_CLAIMS_PARTITION_OWNERS_H
#define EELGRASSBEND_LIB_CLAIMS_PARTITION_OWNERS_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <vector>

namespace eelgrassbend {

/// Which nodes batch for which partition, as this node sees the members. No node owns more
/// partitions than its even share, rounded up.
class partition_owners {
public:
    partition_owners(membership& members, const clock_source& clock, std::uint32_t partitions);

    /// The owner of `partition` first, then its stand-in; this node may be one of them.
    const std::vector<member>& of(std::uint32_t partition);

    /// To be called when the members have changed.
    void invalidate() { this->valid = false; }

private:
    void refresh();

    membership& members;
    const clock_source& clock;
    std::vector<std::vector<member>> owners; ///< by partition
    bool valid = false;
    monotonic_time valid_until{};
};

} // namespace eelgrassbend

#endif
