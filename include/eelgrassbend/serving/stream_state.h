#ifndef EELGRASSBEND_SERVING_STREAM_STATE_H
#define EELGRASSBEND_SERVING_STREAM_STATE_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// State of a streamed answer from which any entry node can resume it.
struct stream_state {
    request_id request;
    organisation_id organisation;
    service_id service;
    std::string body_digest; ///< SHA-256 of the caller's body
    std::string text;
    std::vector<std::uint32_t> token_ends; ///< end of each token in `text`, in bytes
    std::uint32_t attempts = 0;            ///< attempt numbers already used
    wall_time accepted_at;
    std::string finish_reason; ///< empty if the answer is incomplete
    token_count prompt_tokens; ///< only of a complete answer
    token_count cached_tokens; ///< only of a complete answer
    attempt_id attempt;        ///< whose answer is complete
    endpoint_id endpoint;      ///< of that attempt
    bundle_version version;    ///< whose tariff applies

    /// Approximate size in memory, in bytes.
    [[nodiscard]] std::size_t size() const;
};

std::string encode_stream_state(const stream_state& state);
/// Errors: `invalid_argument`.
result<stream_state> decode_stream_state(std::string_view bytes);

enum class stream_fetch_result { not_here, busy, found };

struct stream_fetch_answer {
    stream_fetch_result outcome = stream_fetch_result::not_here;
    stream_state state; ///< if `outcome` is `found`
};

std::string encode_stream_fetch(const request_id& request);
result<request_id> decode_stream_fetch(std::string_view bytes);
std::string encode_stream_fetch_answer(const stream_fetch_answer& answer);
result<stream_fetch_answer> decode_stream_fetch_answer(std::string_view bytes);

/// An event id on the wire: "<request>:<number>".
struct event_position {
    request_id request;
    std::uint64_t number = 0;
};

/// Returns nothing if `text` is not an event id.
std::optional<event_position> parse_event_id(std::string_view text);

/// Returns the node that generated a request id; nothing if the id is malformed.
std::optional<node_id> find_owner(const request_id& request);

} // namespace eelgrassbend

#endif
