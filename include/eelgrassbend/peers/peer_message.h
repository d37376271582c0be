#ifndef EELGRASSBEND_PEERS_PEER_MESSAGE_H
#define EELGRASSBEND_PEERS_PEER_MESSAGE_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrassbend {

/// Maximum size of an encoded message, which fits a datagram of 1,200 bytes with its frame.
constexpr std::size_t max_message_bytes = 1'150;
/// Maximum payload of a gossip message, in bytes.
constexpr std::size_t max_gossip_payload_bytes = 900;
/// Maximum topic of a gossip message, in bytes.
constexpr std::size_t max_topic_bytes = 32;
/// Maximum number of gossip ids in a message.
constexpr std::size_t max_gossip_ids = 120;

struct no_body {};

struct probe {
    std::uint64_t nonce = 0;
};

struct probe_ack {
    std::uint64_t nonce = 0;
};

/// Requests that the receiver probes `target` and relays its ack.
struct probe_request {
    std::uint64_t nonce = 0;
    node_id target;
    network_address address;
};

struct relayed_ack {
    std::uint64_t nonce = 0;
    node_id target;
};

/// The hashes of the buckets of the member table.
struct table_digest {
    std::vector<std::uint32_t> buckets;
    bool is_answer = false; ///< whether it answers another digest; such a digest is not answered
};

/// The bundle version of the member whose `version_key` is `key`.
struct version_sample {
    std::uint32_t key = 0;
    bundle_version version;
};

/// A message of the failure detector with piggybacked updates.
struct swim_message {
    member sender;
    std::variant<no_body, probe, probe_ack, probe_request, relayed_ack, table_digest> body;
    std::vector<member> updates;
    std::vector<version_sample> versions;
};

/// A disseminated message.
struct gossip_message {
    std::uint64_t id = 0;
    std::uint32_t age_ms = 0; ///< time since it was published
    std::string topic;
    std::string payload;
};

/// Ids of the gossip messages that the sender stores.
struct gossip_digest {
    std::vector<std::uint64_t> ids;
};

/// Ids of the gossip messages that the sender requests.
struct gossip_request {
    std::vector<std::uint64_t> ids;
};

using peer_message = std::variant<swim_message, gossip_message, gossip_digest, gossip_request>;

/// Encodes a message. Errors: `invalid_argument` if an address is not an IP address or a field is
/// too long.
result<std::string> encode_message(const peer_message& message);
/// Decodes bytes from a peer. Errors: `invalid_argument` if they are malformed or out of bounds.
result<peer_message> decode_message(std::string_view bytes);

/// Returns an upper bound of the bytes that a member adds to an encoded message.
std::size_t encoded_member_bytes(const member& record);

/// A call between entry nodes.
struct peer_call {
    std::uint16_t method = 0;
    std::string body;
};

/// The answer to a call: a body, or the error at the peer.
struct peer_answer {
    std::string body;
    error failure; ///< has a code if the peer answered with an error
};

std::string encode_call(const peer_call& call);
result<peer_call> decode_call(std::string_view bytes);
std::string encode_answer(const result<std::string>& answer);
result<peer_answer> decode_answer(std::string_view bytes);

} // namespace eelgrassbend

#endif
