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

/// Number of a key in the settings.
using peer_key_id = strong_number<struct peer_key_id_tag, std::uint32_t>;

/// A secret that all entry nodes share.
struct peer_key {
    peer_key_id id;
    std::string secret; ///< at least 16 bytes
};

/// The keys that are valid at present. To rotate without a stop: accept the new key on all
/// nodes, then sign with it on all nodes, then drop the old key.
class peer_key_ring {
public:
    /// Replaces all keys; errors: `invalid_argument` if `signing_id` is not among them, an id
    /// stands twice or a secret is too short. The keys then stay as they were.
    result<void> replace(std::vector<peer_key> keys, peer_key_id signing_id);

    [[nodiscard]] const peer_key* find(peer_key_id id) const;
    /// Null before the first `replace`.
    [[nodiscard]] const peer_key* signing_key() const;

private:
    std::vector<peer_key> keys;
    peer_key_id signing_id;
};

/// What a sealed frame was: its bytes and the numbers that name it.
struct opened_frame {
    std::string bytes;
    std::string frame_id; ///< unique for each sealed frame
};

/// Seals messages with HMAC-SHA256 and opens those of peers. A frame names its recipient, the
/// instance that sent it, the time and a counter; a frame is opened once and by its recipient only.
class frame_authenticator {
public:
    /// Bytes that a frame adds to a message.
    static constexpr std::size_t overhead_bytes = 45;

    frame_authenticator(const peer_key_ring& keys, const clock_source& clock,
                        random_source& random);

    /// Errors: `unauthenticated` if there is no key.
    result<std::string> seal(std::string_view recipient, std::string_view message);
    /// Errors: `unauthenticated` (key unknown or code wrong), `stale` (outside the time window),
    /// `conflict` (opened before), `invalid_argument` (too short).
    result<opened_frame> open(std::string_view recipient, std::string_view frame);

    /// Senders whose counters are remembered; bounded.
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
