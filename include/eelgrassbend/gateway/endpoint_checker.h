#ifndef EELGRASSBEND_GATEWAY_ENDPOINT_CHECKER_H
#define EELGRASSBEND_GATEWAY_ENDPOINT_CHECKER_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/serving/forward_protocol.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace eelgrassbend {

struct check_settings {
    /// Longest time for a check, including the connection.
    duration timeout = std::chrono::milliseconds{500};
    /// First pause after a check without a result; doubles up to the maximum, with jitter.
    duration retry_pause = std::chrono::milliseconds{100};
    duration max_retry_pause = std::chrono::seconds{2};
    std::size_t max_calls = 16; ///< in flight
};

/// Dependencies of the checks; all outlive them.
struct check_dependencies {
    endpoint_client& client;
    const forward_protocol& protocol;
    endpoint_table& endpoints;
    scheduler& time;
    random_source& random;
    event_log& log;
    metrics& counters;
};

/// Calls the health path of endpoints before their first use: the store may execute a write late,
/// so a record alone does not show that its endpoint still accepts work. An endpoint that answers
/// without a notice that it leaves is marked as checked, one that leaves as draining. One that is
/// failing or does not answer is called again as long as its record lasts. An endpoint of a service
/// without a health path is taken as checked.
class endpoint_checker {
public:
    endpoint_checker(const check_dependencies& dependencies, check_settings settings);
    ~endpoint_checker();
    endpoint_checker(const endpoint_checker&) = delete;
    endpoint_checker& operator=(const endpoint_checker&) = delete;

    /// Sets the health paths. Checks of services that were not declared before begin.
    void set_table(std::shared_ptr<const route_table> table);
    /// Checks an endpoint that is not checked yet.
    void request_check(const endpoint_record& record);

private:
    /// What an answer says of its endpoint.
    enum class verdict {
        no_answer,
        accepts_work,
        leaving,
        failing,
        other_endpoint, ///< another endpoint answers at the address
    };

    class health_call;
    struct pending_check;

    [[nodiscard]] static const char* to_text(verdict result);
    [[nodiscard]] static verdict judge(const endpoint_id& called,
                                       const forward_answer_fields& answer);
    /// Whether the endpoint is known, not draining, and not checked.
    [[nodiscard]] bool is_needed(const pending_check& pending) const;
    void start_waiting();
    void start(pending_check& next);
    /// Ends the call of a check; the check itself ends too unless it has to be repeated.
    void handle_result(const endpoint_id& id, verdict result, int status);
    void repeat_later(pending_check& failed);
    void remove(const endpoint_id& id);
    void report(const pending_check& ended, verdict result, int status) const;

    check_dependencies dependencies;
    check_settings settings;
    std::shared_ptr<const route_table> table;
    std::map<endpoint_id, std::unique_ptr<pending_check>> checks;
    std::vector<endpoint_id> waiting; ///< to be called; may have ids whose check has ended
    std::size_t calls = 0;            ///< in flight
};

} // namespace eelgrassbend

#endif
