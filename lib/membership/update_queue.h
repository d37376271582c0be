#ifndef EELGRASSBEND_LIB_MEMBERSHIP_UPDATE_QUEUE_H
#define EELGRASSBEND_LIB_MEMBERSHIP_UPDATE_QUEUE_H

#include "eelgrassbend/membership/membership.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Updates that wait to be piggy-backed, one for each member: arrivals last, the least often sent
/// first.
class update_queue {
public:
    /// Replaces an older update of the same member.
    void push(const member& update);
    /// Takes updates of at most `byte_budget` encoded bytes; each is dropped once it was sent
    /// `send_limit` times.
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
