#ifndef EELGRASSBEND_ROUTING_ROUTER_H
#define EELGRASSBEND_ROUTING_ROUTER_H

#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

enum class request_class : std::uint8_t { quick, normal, long_running };

/// Properties of a request that are known before it is dispatched.
struct route_request {
    request_id request;
    organisation_id organisation;
    service_id service;
    request_class size = request_class::normal;
    std::int32_t priority = 0;
    token_count prompt_tokens;
    token_count expected_output;
    std::vector<std::uint64_t> prefix; ///< chained block hashes of the prompt
    bool idempotent = true;
    std::optional<monotonic_time> deadline;
    std::vector<endpoint_id> excluded; ///< endpoints already tried
};

struct candidate_score {
    endpoint_id endpoint;
    duration predicted{}; ///< until the first token
    money cost;
    std::int64_t cached_tokens = 0;
    std::string rejection_reason;   ///< why it is not eligible; empty if it is
    duration slot_wait{};           ///< part of `predicted` spent waiting for a slot
    duration token_time{};          ///< predicted time between tokens
    duration completion{};          ///< predicted until the last token
    double load = 0.0;              ///< estimated in-flight attempts of all nodes
    std::uint32_t own_attempts = 0; ///< in-flight attempts of this node
    std::uint32_t slots = 0;
    std::int64_t prompt_work = 0; ///< uncached prompt tokens, including those queued before
    money price_per_hour;
    bool meets_target = false;
};

struct route_decision {
    endpoint_id endpoint;
    std::string policy;
    std::string reason;
    bundle_version version;
    std::vector<candidate_score> candidates; ///< selected one first; bounded
    std::uint32_t considered = 0;            ///< number of candidates compared
    std::uint32_t near_equals = 0;           ///< of these, equivalent to the best
};

/// How an attempt ended.
enum class attempt_end { completed, failed, cancelled };

/// Selects endpoints, using feedback from the progress and the outcome of attempts.
class router {
public:
    virtual ~router() = default;

    /// Errors: `not_found` if the service has no endpoint, `unavailable` if no endpoint can take
    /// the request now, `rate_limited` if it is shed.
    virtual result<route_decision> choose(const route_request& request) = 0;

    virtual void on_dispatched(const attempt_id& attempt, const endpoint_id& endpoint,
                               const route_request& request) = 0;
    /// `total` is the number of output tokens received so far.
    virtual void on_progress(const attempt_id& attempt, token_count total) = 0;

    /// Usage reported by the endpoint, if any; called before `on_ended`.
    virtual void on_usage(const attempt_id& /*attempt*/, token_count /*prompt*/,
                          token_count /*cached*/)
    {
    }

    virtual void on_ended(const attempt_id& attempt, attempt_end outcome) = 0;

    virtual void report_load(const endpoint_id& endpoint, const load_report& report) = 0;
    virtual void report_cache(const endpoint_id& endpoint, const cache_event& event) = 0;

    /// Whether the endpoint is slow or makes no progress, so that its requests are hedged at once.
    [[nodiscard]] virtual bool is_suspected(const endpoint_id& /*endpoint*/) const { return false; }

    /// Time after which a refused request of the service should be retried.
    [[nodiscard]] virtual duration retry_after(const service_id& /*service*/) const
    {
        return std::chrono::seconds{1};
    }
};

/// Tokens in one block of the prefix cache.
constexpr std::int64_t prefix_block_tokens = 16;

/// Splits a text into tokens as the engines count them: runs of letters and digits, and each other
/// character except white space.
std::vector<std::string> split_tokens(const std::string& text);

/// One hash per whole block of the prompt; each hash also covers all previous blocks.
std::vector<std::uint64_t> prefix_blocks(const std::vector<std::string>& tokens);

} // namespace eelgrassbend

#endif
