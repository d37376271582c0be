#ifndef EELGRASSBEND_LIB_MEMBERSHIP_UPDATE_QUEUE_H
#define EELGRASSBEND_LIB_MEMBERSHIP_UPDATE_QUEUE_H

#include "eelgrassbend/membership/membership.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// A queue of updates to piggyback, one for each member. Joins have the lowest priority; then
/// updates that were sent less often come first.
class update_queue {
public:
    /// Queues an update and replaces an older one of the same member.
    void push(const member& update);
    /// Returns updates of at most `byte_budget` encoded bytes. Removes each update that was
    /// returned `send_limit` times.
    std::vector<member> take(std::size_t byte_budget, std::uint32_t send_limit);

    [[nodiscard]] std::size_t size() const { return this->items.size(); }

private:
    struct item {
        member update;
        std::uint32_t send_count = 0;
        std::uint64_t sequence = 0;
    };

    std::unordered_map<node_id, item> items;
    std::uint64_t next_sequence = 0;
};

} // namespace eelgrassbend

#endif
