#ifndef EELGRASSBEND_SERVING_PLAIN_FLOW_H
#define EELGRASSBEND_SERVING_PLAIN_FLOW_H

#include "eelgrassbend/claims/claim_service.h"
#include "eelgrassbend/serving/request_flow.h"

#include <string>

namespace eelgrassbend {

/// A request to a plain service. The answer is buffered until it is complete.
class plain_flow : public request_flow {
public:
    /// `path` is the target sent to the service. A request that is not repeatable needs a key.
    plain_flow(const serving_services& services, admitted_request admitted, std::string path,
               bool can_repeat, idempotency_key key, ended_handler on_ended);

    void begin() override;
    void on_head(int status, const header_list& headers) override;
    void on_body(std::string_view bytes) override;

protected:
    endpoint_request make_attempt_request() override;
    [[nodiscard]] route_request make_route_request() const override;
    result<void> check_dispatch_allowed() override;
    void handle_attempt_not_sent() override;
    result<void> handle_answer_complete() override;

    [[nodiscard]] bool is_repeatable() const override { return this->can_repeat; }

    void handle_closing() override;

private:
    void handle_claim_answer(const claim_answer& answer);
    void replay(const recorded_outcome& outcome);
    void deliver(exchange::delivered_handler delivered);

    std::string path;
    bool can_repeat;
    idempotency_key key;
    int status = 0;
    std::string content_type;
    std::string answer_body;
    bool is_claim_granted = false;
    bool is_outcome_recorded = false;
};

} // namespace eelgrassbend

#endif
