#ifndef EELGRASSBEND_SERVING_FORWARD_FLOW_H
#define EELGRASSBEND_SERVING_FORWARD_FLOW_H

#include "eelgrassbend/admission/admission_controller.h"
#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/placement/placer.h"
#include "eelgrassbend/quarantine/crash_detector.h"
#include "eelgrassbend/quarantine/crash_report.h"
#include "eelgrassbend/rollout/rollout_table.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/serving/forward_protocol.h"
#include "eelgrassbend/serving/forward_services.h"
#include "eelgrassbend/serving/held_exchange.h"
#include "eelgrassbend/serving/run_history.h"
#include "eelgrassbend/serving/run_migrator.h"
#include "eelgrassbend/serving/sse.h"
#include "eelgrassbend/support/byte_budget.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend {

/// An admitted request with its route, its organisation and its parsed headers.
struct forwarded_request {
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr;    ///< within `table`
    const routed_service* service = nullptr; ///< within `table`; null if not declared
    service_id target;
    std::optional<organisation_id> caller;
    int priority = 0;
    double units = 0.0; ///< charged to the quota
    forward_request_fields fields;
    part_keys shared_parts; ///< of the prompt
    http_request http;
    std::shared_ptr<exchange> answer;
    monotonic_time received_at;
};

/// When a request with a route has to be answered.
monotonic_time deadline_of(const forwarded_request& request);

/// Forwards one request to an endpoint and the endpoint's answer back, byte for byte. A repeatable
/// request is retried at another endpoint if an attempt fails; a resumable stream continues after
/// the last event forwarded to the caller.
class forward_flow : public std::enable_shared_from_this<forward_flow>, public attempt_observer {
public:
    using ended_handler = std::function<void(forward_flow&)>;

    forward_flow(const forward_services& services, forwarded_request request,
                 ended_handler on_ended);
    ~forward_flow() override;
    forward_flow(const forward_flow&) = delete;
    forward_flow& operator=(const forward_flow&) = delete;

    void begin();
    /// The endpoint will be reclaimed; a run there migrates to another endpoint if it does not end
    /// before.
    void handle_endpoint_leaving(const endpoint_record& leaving);

    /// Ends the request if its prompt parts are now in quarantine and no answer has been produced.
    void handle_quarantine_started();

    /// Ends the request, as the process is about to stop.
    void handle_stop();

    /// Whether an attempt at the endpoint is in flight.
    [[nodiscard]] bool has_attempt_at(const endpoint_id& endpoint) const
    {
        return this->handle != nullptr && this->current_placement.endpoint == endpoint;
    }

    void on_sent() override;
    void on_head(int status, const header_list& headers) override;
    void on_body(std::string_view bytes) override;
    void on_completed() override;
    void on_failed(const error& reason, dispatch_state dispatched) override;

private:
    /// A run that migrates from one engine to another.
    struct run_migration {
        placement target;
        std::optional<stopped_run> stopped;
        bool is_stream_ended = false; ///< the stream of the source engine
        bool is_stream_whole = false; ///< it ended, and not within an event
    };

    /// A stopped run that an engine with a copy of its KV cache continues.
    struct run_continuation {
        std::string kv_cache_source;
        placement source;               ///< where the run was stopped
        std::vector<placement> holders; ///< of the KV cache, not tried yet; the last one is next
    };

    [[nodiscard]] bool is_stream() const;

    [[nodiscard]] monotonic_time deadline() const { return deadline_of(this->request); }

    [[nodiscard]] bool can_repeat_attempt() const;
    [[nodiscard]] placement_request make_placement_request() const;
    /// Whether the request competes for capacity under `admission_controller`. A stream that has
    /// started does not: it can only be resumed or lost.
    [[nodiscard]] bool is_subject_to_admission() const;
    [[nodiscard]] admission_request make_admission_request() const;
    /// Whether the request is subject to admission and cannot be served within its time limit.
    [[nodiscard]] bool is_too_late(const placement_answer& found) const;
    void refuse_too_late();
    /// Records a dispatch of a request that is subject to admission.
    void record_admission();
    /// Responds that the request did not run for lack of capacity. `wait` is the least time until
    /// the caller should return if the request is not subject to admission.
    void refuse_for_capacity(const char* cause, const error& reason, duration wait);
    void log_admission_refusal(const char* cause, const return_offer& offer) const;
    /// Time for which the request may wait for an endpoint with capacity.
    [[nodiscard]] duration max_capacity_wait() const;
    /// Longest wait for an endpoint, by the reason why there is none now.
    [[nodiscard]] duration max_placement_wait(placement_failure failure) const;
    [[nodiscard]] std::optional<engine_traits> engine() const;
    /// Maximum wait behind other prompts at the chosen engine.
    [[nodiscard]] std::optional<duration> max_prompt_wait() const;
    void choose_endpoint();
    [[nodiscard]] placement_answer find_endpoint();
    /// Whether the request may be sent to an endpoint as a new run.
    [[nodiscard]] bool may_start_run() const;
    void wait_for_capacity(const placement_answer& found);
    [[nodiscard]] bool is_resumable_stream() const;
    /// Whether the caller goes on with a stream of which it has received events.
    [[nodiscard]] bool resumes_stream() const;
    void find_origin();
    void handle_origin_found(const result<software_version>& found);
    /// Records the version of a new run; its first event is held until that is done.
    void record_origin();
    /// Whether the request must go on at a version that no endpoint offers any more.
    [[nodiscard]] bool is_version_gone() const;
    void end_for_missing_version();
    void dispatch(const placement& chosen);
    [[nodiscard]] endpoint_request make_attempt_request(const placement& chosen) const;
    /// Whether a later attempt may send the request again.
    [[nodiscard]] bool may_be_sent_again() const;
    void release_body();
    void arm_first_byte_timer(const placement& chosen);
    void handle_first_byte_timeout();
    /// Begins to observe the current attempt for a roll-out of the service, if there is one.
    void observe_attempt(const known_endpoint* endpoint);
    void observe_answer();
    void observe_failure();
    void log_placement(const placement& chosen) const;
    void apply_endpoint_notices();
    void handle_answer_started();
    /// Record what the current attempt shows of the costs of a slot-bound service.
    void learn_first_event();
    void learn_answer();
    void buffer_answer(std::string_view bytes);
    void arm_stall_timer();
    void handle_stall_timeout();
    void forward_events(std::string_view bytes);
    void start_stream();
    /// Why the head of the answer is not accepted; null if it is.
    [[nodiscard]] const char* answer_head_defect() const;
    /// Why the stream that has ended is incomplete; null if it is complete.
    [[nodiscard]] const char* stream_end_defect() const;
    /// The endpoint has produced a part of its answer.
    void handle_answer_produced();
    void handle_attempt_refused();
    /// The connection of the current attempt has ended before its answer was complete.
    void handle_attempt_lost(const error& reason);
    /// The answer of the current attempt is complete as far as its framing shows.
    void handle_answer_ended();
    /// Whether the endpoint of the current attempt has lived on since it began to answer.
    [[nodiscard]] bool is_answer_confirmed() const;
    [[nodiscard]] attempt_evidence current_evidence() const;
    void handle_attempt_failure(const error& reason);
    void end_attempt(attempt_result outcome);
    void repeat_attempt();
    void schedule_migration(duration pause);
    void start_migration();
    void handle_run_stopped(const result<stopped_run>& stopped);
    /// Records the end of the stream if a migration is in flight; returns whether one is.
    bool handle_end_in_migration(bool is_whole);
    void finish_stream();
    void resume_migrated_run();
    void continue_run();
    /// The engine that was to continue the run has not begun to.
    void handle_continuation_failed(const error& reason);
    void handle_deadline();
    /// Ends the request with `status`, or as not run if it was never sent.
    void cancel_request(int status, const error& reason, duration retry_after);
    void handle_caller_disconnected();
    /// Responds that the request did not run.
    void refuse_not_run(error reason, std::optional<duration> retry_after);
    /// Responds that the request may have run, or aborts an answer that has started.
    void give_up(int status, const error& reason);
    void deliver();
    void count_usage();
    void count_demand(const placement_answer& found);
    void close(const char* outcome);
    /// Calls `step` after `delay` unless the flow has ended by then. Replaces a pending call of
    /// `timer`.
    void run_after(duration delay, std::optional<timer_id> forward_flow::* timer,
                   void (forward_flow::*step)());
    void cancel_timer(std::optional<timer_id>& timer);

    const forward_services& services;
    forwarded_request request;
    ended_handler on_ended;
    std::unique_ptr<attempt_handle> handle;
    load_model::attempt_number attempt = 0;
    monotonic_time attempt_began_at;
    std::optional<monotonic_time> first_event_at; ///< of a new run of a slot-bound service
    std::set<endpoint_id> excluded;
    std::set<endpoint_id> attempted; ///< have been sent the request
    placement current_placement;
    std::int64_t endpoint_started = 0; ///< incarnation at `current_placement`
    software_version endpoint_version; ///< of the run at `current_placement`
    /// Of the run whose events the caller has; only endpoints of this version may go on with it.
    std::optional<software_version> stream_version;
    std::shared_ptr<held_exchange> held_answer;  ///< of a stream whose origin is recorded
    std::optional<forward_answer_fields> answer; ///< of the current attempt
    std::string answer_body;
    byte_reservation buffer_reservation; ///< for `answer_body`
    sse_splitter events;
    std::string last_event; ///< id of the last event forwarded to the caller
    std::optional<timer_id> deadline_timer;
    std::optional<timer_id> placement_timer;
    std::optional<timer_id> first_byte_timer;
    std::optional<timer_id> stall_timer;
    std::optional<timer_id> migration_timer;
    std::optional<run_migration> migration;
    std::optional<run_continuation> continuation;     ///< until an engine has continued the run
    std::set<endpoint_id> failed_targets;             ///< of migrations of this run
    std::optional<forward_answer_fields> stream_head; ///< of the run whose events are forwarded
    std::optional<monotonic_time> waiting_since;
    std::optional<admission_controller::work_number> admitted_work;
    int endpoints_tried = 0;
    int attempts_lost_unconfirmed = 0;
    /// The first event, or the answer without events, of the current attempt.
    std::optional<monotonic_time> answered_at;
    run_history runs;
    bool is_new_run = true;                  ///< the current attempt starts at the first event
    bool is_suspected = false;               ///< its answer had begun when an endpoint was lost
    std::optional<rollout_attempt> observed; ///< the current attempt
    bool wants_target = false;               ///< to be sent to the target version of a roll-out
    bool is_usage_counted = false;
    bool is_demand_counted = false;
    bool is_stream_started = false;
    bool is_body_released = false;
    bool is_open = true;
};

} // namespace eelgrassbend

#endif
