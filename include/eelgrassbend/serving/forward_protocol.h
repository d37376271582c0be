#ifndef EELGRASSBEND_SERVING_FORWARD_PROTOCOL_H
#define EELGRASSBEND_SERVING_FORWARD_PROTOCOL_H

#include "eelgrassbend/placement/load_model.h"
#include "eelgrassbend/placement/prompt_cache.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// What the headers of a caller's request say.
struct forward_request_fields {
    request_id id;
    std::string host;
    std::string key;                   ///< empty: none
    std::optional<duration> time_left; ///< that the caller waits, from the arrival
    bool has_token_counts = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;          ///< tokens
    std::optional<std::int64_t> expected_output; ///< tokens; often far off
    std::vector<prompt_part> parts;
    std::string last_event; ///< id of the last event that the caller has seen
};

/// What this node adds to a request that it sends to an endpoint.
struct forward_attempt_fields {
    endpoint_id endpoint; ///< any other one refuses the request
    organisation_id organisation;
    std::optional<duration> time_left;
    std::optional<int> urgency;  ///< 0 is the most urgent, 9 the least
    std::string last_event;      ///< replaces the caller's if not empty
    std::string kv_cache_source; ///< where a copy of the request's KV cache is kept
};

/// What the head of an endpoint's answer says.
struct forward_answer_fields {
    int status = 0;
    request_id id;           ///< empty if the endpoint did not echo it
    bool is_not_run = false; ///< the endpoint states that it did not run the request
    bool is_signed = false;  ///< carries the endpoint's signature of the answer
    bool is_leaving = false; ///< the endpoint will be gone soon
    /// the endpoint wants no requests of this node meanwhile
    std::optional<duration> no_work_duration;
    std::string unreadable_header; ///< a header that could not be read, with its value
    std::optional<reported_load> load;
    header_list headers; ///< for the caller

    [[nodiscard]] bool is_success() const { return this->status >= 200 && this->status < 300; }
};

/// An answer of this node's own.
struct forward_refusal {
    int status = 503;
    error reason;
    std::optional<duration> retry_after;
    bool closes_connection = false;
};

/// Translates between the headers on the wire and what the flows decide upon.
class forward_protocol {
public:
    virtual ~forward_protocol() = default;
    [[nodiscard]] virtual forward_request_fields
    parse_request(const http_request& request) const = 0;
    /// Headers for the endpoint: the caller's, without those that concern only its connection or
    /// that are this system's to set.
    [[nodiscard]] virtual header_list
    endpoint_headers(const http_request& request,
                     const forward_attempt_fields& attempt_fields) const = 0;
    [[nodiscard]] virtual forward_answer_fields parse_answer(int status,
                                                             const header_list& headers) const = 0;
    [[nodiscard]] virtual header_list refusal_headers(const forward_refusal& refused) const = 0;
};

} // namespace eelgrassbend

#endif
