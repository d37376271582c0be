#ifndef EELGRASSBEND_SERVING_PLAIN_FLOW_H
#define EELGRASSBEND_SERVING_PLAIN_FLOW_H

#include "eelgrassbend/claims/claim_service.h"
#include "eelgrassbend/serving/request_flow.h"

#include <string>

namespace eelgrassbend {

/// A request to a plain service. The answer is held back until it is whole.
class plain_flow : public request_flow {
public:
    /// `path` is what the service sees. A request that is not repeatable needs a key.
    plain_flow(const serving_services& services, admitted_request admitted, std::string path,
               bool can_repeat, idempotency_key key, ended_handler on_ended);

    void begin() override;
    void on_head(int status, const header_list& headers) override;
    void on_body(std::string_view bytes) override;

protected:
    endpoint_request next_attempt() override;
    [[nodiscard]] route_request describe() const override;
    result<void> may_dispatch() override;
    void attempt_not_sent() override;
    result<void> answer_complete() override;

    [[nodiscard]] bool repeatable() const override { return this->can_repeat; }

    void closing() override;

private:
    void claimed(const claim_answer& answer);
    void replay(const recorded_outcome& outcome);
    void deliver(exchange::delivered_handler delivered);

    std::string path;
    bool can_repeat;
    idempotency_key key;
    int status = 0;
    std::string content_type;
    std::string answer_body;
    bool granted = false;
    bool outcome_kept = false;
};

} // namespace eelgrassbend

#endif
