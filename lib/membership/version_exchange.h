#ifndef EELGRASSBEND_LIB_MEMBERSHIP_VERSION_EXCHANGE_H
#define EELGRASSBEND_LIB_MEMBERSHIP_VERSION_EXCHANGE_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_message.h"
#include "eelgrassbend/support/random_source.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Names one process of a member in a version sample.
std::uint32_t version_key(const member& record);

/// Chooses the bundle versions that go with a message: those that changed lately, then any.
class version_exchange {
public:
    static constexpr std::size_t samples_per_message = 16;

    void add(const member& record);
    void remove(const member& record);
    /// Remembers that the version of `record` changed.
    void mark_changed(const member& record);
    /// The member with this key; null if none is known.
    [[nodiscard]] const node_id* find(std::uint32_t key) const;
    /// Keys for the next message.
    std::vector<std::uint32_t> sample_keys(random_source& random);

private:
    struct changed_key {
        std::uint32_t key = 0;
        std::uint32_t send_count = 0;
    };

    std::unordered_map<std::uint32_t, node_id> members;
    std::vector<std::uint32_t> keys;
    std::deque<changed_key> changed_keys;
};

} // namespace eelgrassbend

#endif
