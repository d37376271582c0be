#ifndef EELGRASSBEND_SERVING_REQUEST_FLOW_H
#define EELGRASSBEND_SERVING_REQUEST_FLOW_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/serving/refusal.h"
#include "eelgrassbend/serving/services.h"
#include "eelgrassbend/support/scheduler.h"

#include <memory>
#include <optional>
#include <string>

namespace eelgrassbend {

/// A request that was admitted: whose it is and what applies to it.
struct admitted_request {
    request_id id;
    std::shared_ptr<const bundle> rules;
    const organisation_spec* organisation = nullptr; ///< within `rules`
    const service_spec* service = nullptr;           ///< within `rules`
    http_request http;
    std::shared_ptr<exchange> answer;
};

class rival_attempt;

/// Carries one admitted request from its first attempt to its last byte. Owned by its callbacks
/// and by the front until it ends.
class request_flow : public std::enable_shared_from_this<request_flow>, public attempt_observer {
public:
    using ended_handler = std::function<void(const request_id&)>;

    request_flow(const serving_services& services, admitted_request admitted,
                 ended_handler on_ended);
    ~request_flow() override;

    /// Starts the first attempt.
    virtual void begin() = 0;
    /// Called for every change of an endpoint.
    void endpoint_changed(const endpoint_info& changed);

    void on_completed() override;
    void on_failed(const error& reason, dispatch_state dispatched) override;

    /// Whether the bytes hold the first event of the attempt's answer; an error if they cannot be
    /// the beginning of its answer.
    [[nodiscard]] virtual result<bool> has_event(const attempt_id& /*attempt*/,
                                                 std::string_view /*bytes*/) const
    {
        return false;
    }

    /// The hedge emitted the first token: the request goes on with it.
    void rival_won();
    /// Ends the hedge; nothing that it says later is heard.
    void drop_rival(attempt_end how);

protected:
    /// Whether a second attempt may run beside the first.
    [[nodiscard]] virtual bool hedgeable() const { return false; }

    /// What a hedge sends; leaves the current attempt as it is.
    virtual endpoint_request hedge_attempt() { return {}; }

    /// The request goes on with another attempt that is under way.
    virtual void attempt_replaced() {}

    /// What the next attempt sends.
    virtual endpoint_request next_attempt() = 0;
    virtual route_request describe() const = 0;

    /// Asked right before an attempt is sent; an error ends the request.
    virtual result<void> may_dispatch() { return boost::outcome_v2::success(); }

    /// The attempt failed before a byte of it was sent.
    virtual void attempt_not_sent() {}

    /// The attempt's answer is whole as HTTP; answers an error if its content is not.
    virtual result<void> answer_complete() = 0;
    /// Whether the request may be sent again after an attempt that may have run.
    [[nodiscard]] virtual bool repeatable() const = 0;

    /// Whether an attempt can be given up for one at another endpoint.
    [[nodiscard]] virtual bool movable() const { return this->repeatable(); }

    /// Ends the exchange without success.
    virtual void give_up(const refusal& refused);

    /// The answer was whole, but the caller did not get all of it.
    virtual void undelivered() {}

    /// The flow ends; called once.
    virtual void closing() {}

    void arm_deadline();
    void attempt_now();
    void attempt_failed(const error& reason, dispatch_state dispatched);
    /// Ends the current attempt without an answer.
    void cancel_attempt(attempt_end how);
    void refuse_request(error reason, request_outcome outcome,
                        std::optional<duration> retry_after = std::nullopt);
    /// Keeps the line, lets `send` deliver the last bytes, and confirms or cancels the line.
    void bill_and_deliver(ledger_line line, std::function<void(exchange::delivered_handler)> send);
    void note_progress(token_count total);
    /// Goes on with a request that another flow began: `used` attempt numbers are taken.
    void continue_from(int used, wall_time accepted);

    [[nodiscard]] int attempts_made() const { return this->attempts; }

    [[nodiscard]] bool is_delivering() const { return this->delivering; }

    void close(const char* result);
    [[nodiscard]] ledger_line make_line(token_count prompt, token_count output,
                                        std::string digest) const;

    [[nodiscard]] bool is_open() const { return this->open; }

    /// Whether an endpoint can have begun the request.
    [[nodiscard]] bool may_have_run() const { return this->may_have_begun || this->handle; }

    const serving_services& services;
    admitted_request admitted;
    monotonic_time accepted_at;
    wall_time accepted_wall;
    attempt_id attempt;
    endpoint_info target;
    bool answer_started = false; ///< bytes have gone to the caller

private:
    void choose_failed(const error& reason);
    void dispatch(const route_decision& decision, const route_request& wanted);
    void log_decision(const route_decision& decision) const;
    void schedule_move(const endpoint_info& leaving);
    void move_elsewhere();
    void deadline_passed();
    void plan_hedge(const route_request& wanted, const route_decision& decision);
    void arm_hedge_timer();
    void check_hedge();
    bool start_hedge(const char* reason);
    void adopt_rival();
    [[nodiscard]] request_outcome outcome_so_far() const;

    ended_handler on_ended;
    std::shared_ptr<rival_attempt> rival;   ///< the hedge, while no token has arrived
    std::shared_ptr<rival_attempt> adopted; ///< the hedge that won; outlives `handle`
    std::unique_ptr<attempt_handle> handle;
    std::vector<endpoint_id> excluded;
    std::optional<timer_id> deadline_timer;
    std::optional<timer_id> retry_timer;
    std::optional<timer_id> move_timer;
    std::optional<timer_id> hedge_timer;
    monotonic_time hedge_due;
    duration next_pause;
    int attempts = 0;
    money billed;
    bool first_progress = true;
    bool hedged = false;
    bool dispatched_once = false;
    bool may_have_begun = false; ///< by attempts that have ended
    bool open = true;
    bool delivering = false;
};

/// What a request costs by the tariff.
money price_of(const tariff& prices, token_count prompt, token_count output);

} // namespace eelgrassbend

#endif
