#ifndef EELGRASSBEND_NET_CLIENT_REPORT_H
#define EELGRASSBEND_NET_CLIENT_REPORT_H

#include "eelgrassbend/net/http_server.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace eelgrassbend {

class event_log;
class metrics;

/// Counts refused and closed clients by reason, and logs at most one line in ten seconds.
class client_report : public client_observer {
public:
    /// Without `counters`, only the log tells.
    client_report(const clock_source& time, event_log& log, metrics* counters)
        : time(time), log(log), counters(counters)
    {
    }

    void on_refused(std::string_view reason) override;
    void on_closed(std::string_view reason) override;

private:
    void count(const char* metric, std::string_view reason);

    const clock_source& time;
    event_log& log;
    metrics* counters;
    std::map<std::string, std::uint64_t, std::less<>> since_last_line; ///< by reason
    std::optional<monotonic_time> last_line;
};

/// Sets the gauges of the budget.
void report_budget(const client_budget& budget, metrics& gauges);

} // namespace eelgrassbend

#endif
