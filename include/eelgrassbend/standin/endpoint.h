#ifndef EELGRASSBEND_STANDIN_ENDPOINT_H
#define EELGRASSBEND_STANDIN_ENDPOINT_H

#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/standin/execution_log.h"
#include "eelgrassbend/standin/http_server.h"

#include <cstdint>
#include <memory>
#include <string>

namespace eelgrassbend {
class scheduler;
} // namespace eelgrassbend

namespace eelgrassbend::standin {

/// Faults that an endpoint shows from here on.
struct endpoint_faults {
    double slowdown = 1.0;
    bool refuse = false;
    std::int64_t truncate_after_tokens = -1; ///< bytes for plain services; below 0: never
    double cache_event_loss = 0.0;
};

/// What the two modes of a stand-in have in common.
class endpoint {
public:
    using answer_pointer = std::shared_ptr<http_answer>;

    virtual ~endpoint() = default;
    virtual void serve(const http_request& request, const answer_pointer& answer) = 0;
    [[nodiscard]] virtual load_report load() const = 0;
    virtual void set_faults(const endpoint_faults& wanted) = 0;
};

struct engine_standin_settings;

/// The endpoint behind the HTTP server of a stand-in; all references must outlive it.
std::unique_ptr<endpoint> make_endpoint(const engine_standin_settings& settings, scheduler& timers,
                                        execution_log& executions);

http_fields json_fields();

/// Answers with a JSON object that holds `message` as "error".
void refuse(http_answer& answer, int status, const std::string& message, http_fields fields = {});

} // namespace eelgrassbend::standin

#endif
