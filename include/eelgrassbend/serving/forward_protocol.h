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

/// Parsed headers of a caller's request.
struct forward_request_fields {
    request_id id;
    std::string host;
    std::string key;                   ///< empty if absent
    std::optional<duration> time_left; ///< until the caller's deadline, counted from arrival
    bool has_token_counts = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;          ///< tokens
    std::optional<std::int64_t> expected_output; ///< tokens; often inaccurate
    std::vector<prompt_part> parts;
    std::string last_event; ///< id of the last event that the caller has received
    /// With `last_event`: the request in whose answer the caller received the stream's first event.
    request_id resumed_stream;
};

/// Headers that this node adds to a request it sends to an endpoint.
struct forward_attempt_fields {
    endpoint_id endpoint; ///< other endpoints refuse the request
    organisation_id organisation;
    std::optional<duration> time_left;
    std::optional<int> urgency;  ///< 0 is the most urgent, 9 the least
    std::string last_event;      ///< replaces the caller's value if not empty
    std::string kv_cache_source; ///< where a copy of the request's KV cache is stored
};

/// Parsed head of an endpoint's answer.
struct forward_answer_fields {
    int status = 0;
    request_id id;                   ///< empty if the endpoint did not echo it
    endpoint_id endpoint;            ///< that answered; empty if the answer does not name it
    bool is_not_run = false;         ///< the endpoint reports that it did not run the request
    bool is_signed = false;          ///< carries the endpoint's signature of the answer
    bool is_leaving = false;         ///< the endpoint will stop soon
    bool is_close_delimited = false; ///< the body ends with the connection
    /// The endpoint requests a pause of new work from this node.
    std::optional<duration> no_work_duration;
    std::string unreadable_header; ///< name and value of a header that could not be parsed
    std::optional<reported_load> load;
    std::string content_type;
    header_list headers; ///< for the caller

    [[nodiscard]] bool is_success() const { return this->status >= 200 && this->status < 300; }
};

/// A refusal by this node itself.
struct forward_refusal {
    int status = 503;
    error reason;
    std::optional<duration> retry_after;
    bool closes_connection = false;
};

/// Translates between headers on the wire and the fields that the flows use.
class forward_protocol {
public:
    virtual ~forward_protocol() = default;
    [[nodiscard]] virtual forward_request_fields
    parse_request(const http_request& request) const = 0;
    /// Returns the headers for the endpoint: the caller's, without hop-by-hop headers and headers
    /// that only this system sets, plus `attempt_fields`.
    [[nodiscard]] virtual header_list
    endpoint_headers(const http_request& request,
                     const forward_attempt_fields& attempt_fields) const = 0;
    [[nodiscard]] virtual forward_answer_fields parse_answer(int status,
                                                             const header_list& headers) const = 0;
    [[nodiscard]] virtual header_list refusal_headers(const forward_refusal& refused) const = 0;
};

} // namespace eelgrassbend

#endif
