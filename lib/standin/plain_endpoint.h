#ifndef EELGRASSBEND_LIB_STANDIN_PLAIN_ENDPOINT_H
#define EELGRASSBEND_LIB_STANDIN_PLAIN_ENDPOINT_H

#include "eelgrassbend/standin/endpoint.h"
#include "eelgrassbend/support/scheduler.h"

#include "eelgrassbend/engine_model/load_history.h"
#include "eelgrassbend/standin/engine_standin.h"

#include <deque>
#include <memory>

namespace eelgrassbend::standin {

/// A plain service: each call takes a time and gets a number of its own.
class plain_endpoint : public endpoint {
public:
    plain_endpoint(const engine_standin_settings& settings, scheduler& loop,
                   execution_log& executions);

    void serve(const http_request& request, const answer_pointer& answer) override;
    [[nodiscard]] load_report load() const override;

    void set_faults(const endpoint_faults& wanted) override { this->faults = wanted; }

private:
    struct call {
        http_request request;
        answer_pointer answer;
        std::shared_ptr<execution> record;
    };

    using call_pointer = std::shared_ptr<call>;

    void start_next();
    void start(const call_pointer& entry);
    void finish(const call_pointer& entry);
    [[nodiscard]] std::string answer_body(const http_request& request) const;
    void send_truncated(const call_pointer& entry, const std::string& body) const;
    void note_load();

    const engine_standin_settings& settings;
    scheduler& loop;
    execution_log& executions;
    endpoint_faults faults;
    load_history history;
    std::deque<call_pointer> waiting;
    std::uint32_t running = 0;
    std::uint64_t finished = 0;
};

} // namespace eelgrassbend::standin

#endif
