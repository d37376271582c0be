#ifndef EELGRASSBEND_SERVING_FORWARD_FLOW_H
#define EELGRASSBEND_SERVING_FORWARD_FLOW_H

#include "eelgrassbend/endpoints/endpoint_client.h"
#include "eelgrassbend/placement/placer.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/serving/exchange.h"
#include "eelgrassbend/serving/forward_protocol.h"
#include "eelgrassbend/serving/forward_services.h"
#include "eelgrassbend/serving/run_mover.h"
#include "eelgrassbend/serving/sse.h"
#include "eelgrassbend/support/byte_budget.h"
#include "eelgrassbend/support/scheduler.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace eelgrassbend {

/// A request that is allowed: its route, its organisation and what its headers say.
struct forwarded_request {
    std::shared_ptr<const route_table> table;
    const route* chosen = nullptr;           ///< within `table`
    const routed_service* service = nullptr; ///< within `table`; null if not declared
    service_id target;
    std::optional<organisation_id> caller;
    int priority = 0;
    double units = 0.0; ///< charged to the quota
    forward_request facts;
    http_request http;
    std::shared_ptr<exchange> answer;
    monotonic_time received;
};

/// Carries one request to an endpoint and the endpoint's own answer back, byte for byte. What may
/// be repeated goes to another endpoint when one fails; a stream goes on after the last event
/// that the caller got.
class forward_flow : public std::enable_shared_from_this<forward_flow>, public attempt_observer {
public:
    using ended_handler = std::function<void(forward_flow&)>;

    forward_flow(const forward_services& services, forwarded_request request,
                 ended_handler on_ended);
    ~forward_flow() override;
    forward_flow(const forward_flow&) = delete;
    forward_flow& operator=(const forward_flow&) = delete;

    void begin();
    /// The endpoint will be taken away; a run there goes on elsewhere if it will not end before.
    void endpoint_leaving(const endpoint_record& leaving);

    /// Whether an attempt is under way there.
    [[nodiscard]] bool is_at(const endpoint_id& endpoint) const
    {
        return this->handle != nullptr && this->where.endpoint == endpoint;
    }

    void on_head(int status, const header_list& headers) override;
    void on_body(std::string_view bytes) override;
    void on_completed() override;
    void on_failed(const error& reason, dispatch_state dispatched) override;

private:
    /// A run on its way from one engine to another.
    struct run_move {
        placement target;
        std::optional<stopped_run> stopped;
        bool stream_ended = false; ///< the stream from the engine that it leaves
    };

    [[nodiscard]] bool is_stream() const;
    [[nodiscard]] monotonic_time final_time() const;
    [[nodiscard]] bool may_go_elsewhere() const;
    [[nodiscard]] placement_request describe() const;
    [[nodiscard]] std::optional<engine_traits> engine() const;
    /// Longest wait behind other prompts at the engine that is chosen.
    [[nodiscard]] std::optional<duration> longest_wait() const;
    void place();
    void wait_for_room(const placement_answer& answer);
    void dispatch(const placement& where);
    [[nodiscard]] endpoint_request make_attempt(const placement& where) const;
    void arm_first_byte_timer(const placement& where);
    void first_byte_overdue();
    void log_placement(const placement& where) const;
    void take_notices();
    void answer_began();
    void gather(std::string_view bytes);
    void expect_event();
    void stream_stalled();
    void pass_events(std::string_view bytes);
    void start_stream();
    void attempt_refused();
    void attempt_broke(const error& reason);
    void end_attempt(attempt_result how);
    void go_elsewhere();
    void move_later(duration pause);
    void move_run();
    void run_stopped(const result<stopped_run>& stopped);
    /// Whether the end of a stream belongs to a move.
    bool ended_for_move();
    void go_on_moved();
    void time_passed();
    void caller_gone();
    /// Answers that the request did not run and will not.
    void refuse_not_run(error reason, std::optional<duration> retry_after);
    /// Answers that it may have run, or breaks off an answer that has begun.
    void give_up(int status, const error& reason);
    void deliver();
    void count_usage();
    void count_demand(const placement_answer& found);
    void close(const char* outcome);
    /// Takes `step` after `delay` unless the flow has ended; replaces what `timer` was set for.
    void run_after(duration delay, std::optional<timer_id> forward_flow::* timer,
                   void (forward_flow::*step)());
    void cancel_timer(std::optional<timer_id>& timer);

    const forward_services& services;
    forwarded_request request;
    ended_handler on_ended;
    std::unique_ptr<attempt_handle> handle;
    load_model::attempt_number attempt = 0;
    std::set<endpoint_id> excluded;
    placement where;
    std::optional<forward_answer> answer; ///< of the current attempt
    std::string answer_body;
    byte_reservation gathered; ///< for `answer_body`
    sse_splitter events;
    std::string last_event; ///< that the caller got
    std::optional<timer_id> final_timer;
    std::optional<timer_id> place_timer;
    std::optional<timer_id> first_byte_timer;
    std::optional<timer_id> stall_timer;
    std::optional<timer_id> move_timer;
    std::optional<run_move> move;
    std::string memory_source;                 ///< for the next attempt of a moved run
    std::optional<forward_answer> stream_head; ///< of the run that the caller hears
    std::optional<monotonic_time> waiting_since;
    int endpoints_tried = 0;
    bool may_have_run = false;
    bool is_new_run = true; ///< the current attempt begins with the first event
    bool usage_counted = false;
    bool demand_counted = false;
    bool stream_started = false;
    bool open = true;
};

} // namespace eelgrassbend

#endif
