#ifndef EELGRASSBEND_PEERS_FRAME_AUTHENTICATOR_H
#define EELGRASSBEND_PEERS_FRAME_AUTHENTICATOR_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Id of a key, as set in the settings.
using peer_key_id = strong_number<struct peer_key_id_tag, std::uint32_t>;

/// A secret that all entry nodes share, and its id.
struct peer_key {
    peer_key_id id;
    std::string secret; ///< at least 16 bytes
};

/// The keys that are valid at present. To rotate keys without downtime, first add the new key on
/// all nodes, then sign with it on all nodes, then remove the old key.
class peer_key_ring {
public:
    /// Replaces all keys; errors: `invalid_argument` if `signing_id` is not among them, an id
    /// is duplicated or a secret is too short. On an error the keys do not change.
    result<void> replace(std::vector<peer_key> keys, peer_key_id signing_id);

    /// Null if there is no such key.
    [[nodiscard]] const peer_key* find(peer_key_id id) const;
    /// Null before the first `replace`.
    [[nodiscard]] const peer_key* signing_key() const;

private:
    std::vector<peer_key> keys;
    peer_key_id signing_id;
};

/// The content of an authenticated frame.
struct opened_frame {
    std::string bytes;
    std::string frame_id; ///< unique for each sealed frame
};

/// Authenticates messages between peers with HMAC-SHA256. The MAC covers the recipient, the
/// sender's instance, the time and a counter, so a frame is accepted only once and only by its
/// recipient.
class frame_authenticator {
public:
    /// Size of the header and the MAC that a frame adds to a message.
    static constexpr std::size_t overhead_bytes = 45;

    frame_authenticator(const peer_key_ring& keys, const clock_source& clock,
                        random_source& random);

    /// Returns the frame of a message. Errors: `unauthenticated` if there is no key.
    result<std::string> seal(std::string_view recipient, std::string_view message);
    /// Verifies a frame and returns its message. Errors: `unauthenticated` (unknown key or wrong
    /// MAC), `stale` (outside the time window), `conflict` (replayed), `unavailable` (too many
    /// senders), `invalid_argument` (not a frame).
    result<opened_frame> open(std::string_view recipient, std::string_view frame);

    /// Number of senders whose counters are stored; bounded.
    [[nodiscard]] std::size_t sender_count() const { return this->senders.size(); }

private:
    static constexpr std::size_t replay_window = 512;

    struct sender_state {
        std::uint64_t highest_counter = 0;
        std::bitset<replay_window> received; ///< bit i: counter `highest_counter - i`
        wall_time last_received;
    };

    result<void> check_replay(std::uint64_t instance, std::uint64_t counter);
    void remove_expired_senders();

    const peer_key_ring& keys;
    const clock_source& clock;
    std::uint64_t instance;
    std::uint64_t counter = 0;
    std::unordered_map<std::uint64_t, sender_state> senders;
};

} // namespace eelgrassbend

#endif
