#ifndef EELGRASSBEND_SERVING_REQUEST_FLOW_H
#define EELGRASSBEND_SERVING_REQUEST_FLOW_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/ledger/ledger.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/serving/refusal.h"
#include "eelgrassbend/serving/run_history.h"
#include "eelgrassbend/serving/serving_services.h"
#include "eelgrassbend/support/scheduler.h"

#include <memory>
#include <optional>
#include <string>

namespace eelgrassbend {

/// An admitted request with its organisation, its service and the bundle that applies.
struct admitted_request {
    request_id id;
    std::shared_ptr<const bundle> rules;
    const organisation_spec* organisation = nullptr; ///< within `rules`
    const service_spec* service = nullptr;           ///< within `rules`
    http_request http;
    std::shared_ptr<exchange> answer;
};

class hedge_attempt;

/// Serves one admitted request from its first attempt to its last byte. Owned by its callbacks and
/// by the entry handler until it ends.
class request_flow : public std::enable_shared_from_this<request_flow>, public attempt_observer {
public:
    using ended_handler = std::function<void(const request_id&)>;

    request_flow(const serving_services& services, admitted_request admitted,
                 ended_handler on_ended);
    ~request_flow() override;

    /// Starts the first attempt.
    virtual void begin() = 0;
    /// Must be called for every change of an endpoint.
    void handle_endpoint_changed(const endpoint_info& changed);

    void on_completed() override;
    void on_failed(const error& reason, dispatch_state dispatched) override;

    /// Whether `bytes` contain the first event of the attempt's answer; an error if they cannot be
    /// the start of its answer.
    [[nodiscard]] virtual result<bool> has_event(const attempt_id& /*attempt*/,
                                                 std::string_view /*bytes*/) const
    {
        return false;
    }

    /// The hedge emitted the first token: the request continues with it.
    void handle_hedge_won();
    /// Cancels the hedge and ignores the rest of its answer.
    void drop_hedge(attempt_end outcome);

protected:
    /// Whether a second attempt may run concurrently with the first.
    [[nodiscard]] virtual bool is_hedgeable() const { return false; }

    /// Builds the request of a hedge without changing the current attempt.
    virtual endpoint_request make_hedge_request() { return {}; }

    /// The request continues with another attempt that is already in flight.
    virtual void handle_attempt_replaced() {}

    /// Builds the request of the next attempt.
    virtual endpoint_request make_attempt_request() = 0;
    virtual route_request make_route_request() const = 0;

    /// Called immediately before an attempt is sent; an error ends the request.
    virtual result<void> check_dispatch_allowed() { return boost::outcome_v2::success(); }

    /// The attempt failed before any byte of it was sent.
    virtual void handle_attempt_not_sent() {}

    /// The HTTP answer of the attempt is complete; returns an error if its content is not.
    virtual result<void> handle_answer_complete() = 0;
    /// Whether the request may be sent again after an attempt that may have run.
    [[nodiscard]] virtual bool is_repeatable() const = 0;

    /// Whether an attempt can be cancelled in favour of one at another endpoint.
    [[nodiscard]] virtual bool is_migratable() const { return this->is_repeatable(); }

    /// Ends the exchange with a refusal.
    virtual void give_up(const refusal& refused);

    /// The answer was complete, but the caller did not receive all of it.
    virtual void handle_undelivered() {}

    /// Called once when the flow ends.
    virtual void handle_closing() {}

    void arm_deadline();
    void start_attempt();
    void handle_attempt_failure(const error& reason, dispatch_state dispatched);
    /// Ends the current attempt without an answer.
    void cancel_attempt(attempt_end outcome);
    void refuse_request(error reason, request_outcome outcome,
                        std::optional<duration> retry_after = std::nullopt);
    /// Records the ledger entry, calls `send` to deliver the last bytes, and then confirms or
    /// cancels the entry.
    void record_and_deliver(ledger_line line,
                            std::function<void(exchange::delivered_handler)> send);
    void record_progress(token_count total);
    /// Continues a request that another flow started and that has used `used` attempt numbers.
    void continue_from(int used, wall_time accepted);

    [[nodiscard]] int attempts_made() const { return this->attempts; }

    [[nodiscard]] bool is_delivering() const { return this->delivering; }

    void close(const char* result);
    [[nodiscard]] ledger_line make_ledger_line(token_count prompt, token_count output,
                                               std::string digest) const;

    [[nodiscard]] bool is_open() const { return this->open; }

    /// Whether an endpoint may have run the request.
    [[nodiscard]] bool may_have_run() const { return this->runs.may_have_run() || this->handle; }

    const serving_services& services;
    admitted_request admitted;
    monotonic_time accepted_at;
    wall_time accepted_wall_time;
    attempt_id attempt;
    endpoint_info target;
    bool answer_started = false; ///< bytes have been sent to the caller

private:
    void handle_no_endpoint(const error& reason);
    void dispatch(const route_decision& decision, const route_request& query);
    void log_decision(const route_decision& decision) const;
    void schedule_migration(const endpoint_info& leaving);
    void migrate();
    void handle_deadline();
    void plan_hedge(const route_request& query, const route_decision& decision);
    void arm_hedge_timer();
    void check_hedge();
    bool start_hedge(const char* reason);
    void adopt_hedge();
    [[nodiscard]] request_outcome outcome_so_far() const;

    ended_handler on_ended;
    std::shared_ptr<hedge_attempt> hedge;         ///< null once a token has arrived
    std::shared_ptr<hedge_attempt> adopted_hedge; ///< the hedge that won; must outlive `handle`
    std::unique_ptr<attempt_handle> handle;
    std::vector<endpoint_id> excluded;
    std::optional<timer_id> deadline_timer;
    std::optional<timer_id> retry_timer;
    std::optional<timer_id> migration_timer;
    std::optional<timer_id> hedge_timer;
    monotonic_time hedge_due;
    duration next_pause;
    int attempts = 0;
    money billed;
    bool awaits_first_progress = true;
    bool has_hedge_started = false;
    bool has_dispatched = false;
    run_history runs; ///< of ended attempts, also by another flow
    bool open = true;
    bool delivering = false;
};

/// Returns the price of a request under the tariff.
money compute_price(const tariff& prices, token_count prompt, token_count output);

} // namespace eelgrassbend

#endif
