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

/// Returns the key that identifies the process of a member in version samples. It is derived from
/// the id and the start time, so refutations do not change it.
std::uint32_t version_key(const member& record);

/// Selects the bundle versions to piggyback on a message: recently changed ones first, then random
/// ones.
class version_exchange {
public:
    static constexpr std::size_t samples_per_message = 16;

    void add(const member& record);
    void remove(const member& record);
    /// Records that the version of `record` changed.
    void mark_changed(const member& record);
    /// Returns the member with this key; null if it is unknown.
    [[nodiscard]] const node_id* find(std::uint32_t key) const;
    /// Selects the keys of the next message.
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
