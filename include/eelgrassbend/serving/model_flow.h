#ifndef EELGRASSBEND_SERVING_MODEL_FLOW_H
#define EELGRASSBEND_SERVING_MODEL_FLOW_H

#include "eelgrassbend/serving/completion_codec.h"
#include "eelgrassbend/serving/request_flow.h"
#include "eelgrassbend/serving/sse.h"
#include "eelgrassbend/serving/stream_state.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Size estimate of a model request before it runs.
struct size_estimate {
    request_class size = request_class::normal;
    token_count prompt_tokens;
    token_count expected_output;
    std::vector<std::uint64_t> prefix;
};

/// A request to a model. It is always repeatable: emitted tokens are stored, and the next attempt
/// resumes after them.
class model_flow : public request_flow {
public:
    model_flow(const serving_services& services, admitted_request admitted,
               completion_request completion, size_estimate estimate, ended_handler on_ended);

    void begin() override;
    /// Resumes a stream of which the caller has received `seen` events. Call instead of `begin`;
    /// the flow must have the request id of `state`.
    void resume(stream_state state, std::uint64_t seen);
    /// Whether the stream can be resumed by another flow.
    [[nodiscard]] bool can_suspend() const;
    /// Closes this flow without completing the answer; another flow can resume from the returned
    /// state.
    stream_state suspend();
    void on_head(int status, const header_list& headers) override;
    void on_body(std::string_view bytes) override;
    [[nodiscard]] result<bool> has_event(const attempt_id& attempt,
                                         std::string_view bytes) const override;

protected:
    endpoint_request make_attempt_request() override;
    [[nodiscard]] route_request make_route_request() const override;
    result<void> handle_answer_complete() override;

    [[nodiscard]] bool is_repeatable() const override { return true; }

    [[nodiscard]] bool is_hedgeable() const override { return this->emitted.tokens == 0; }

    endpoint_request make_hedge_request() override;
    void handle_attempt_replaced() override;

    void handle_undelivered() override;

    void give_up(const refusal& refused) override;

private:
    void handle_event(const std::string& data);
    void emit(const std::string& text);
    void send_token(std::size_t index);
    void watch_caller();
    [[nodiscard]] stream_state state() const;
    void bill_whole_answer();
    void start_stream();
    void fail_content(errc code, const std::string& detail);
    void deliver(exchange::delivered_handler delivered);

    completion_request completion;
    size_estimate estimate;
    emitted_answer emitted;
    std::vector<std::uint32_t> token_ends; ///< end offset of each token in `emitted.text`
    sse_parser events;
    std::string finish_reason;
    token_usage usage;
    int status = 0;
    bool is_end_received = false;
};

/// Estimates the class, prompt tokens and expected output of a request. `declared` is the class
/// named by the caller: "quick", "normal", "long" or empty.
size_estimate estimate_size(const completion_request& request, std::string_view declared);

} // namespace eelgrassbend

#endif
