#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/serving/forward_flow.h"
#include "eelgrassbend/serving/run_mover.h"

#include "eelgrassbend/limits/retry_budget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Between two tries to move a run that cannot be moved yet.
static constexpr std::chrono::milliseconds move_pause{200};
/// The stopped run's stream ends at about the time of the answer to the move.
static constexpr std::chrono::milliseconds stream_end_wait{150};

// What ends before the engine is taken needs no move; the rest moves while there is time for it.
void forward_flow::endpoint_leaving(const endpoint_record& leaving)
{
    if (!this->handle || this->where.endpoint != leaving.id || !leaving.reclaim_in ||
        !this->is_stream() || this->move_timer || this->move) {
        return;
    }
    const auto wait = *leaving.reclaim_in - this->services.settings.move_margin;
    this->move_later(std::max<duration>(wait, duration::zero()));
}

void forward_flow::move_later(duration pause)
{
    this->run_after(pause, &forward_flow::move_timer, &forward_flow::move_run);
}

void forward_flow::move_run()
{
    if (!this->handle || this->move) {
        return;
    }
    const auto traits = this->engine();
    const bool can_migrate = traits && traits->can_migrate;
    if (!can_migrate && !this->may_go_elsewhere()) {
        return; // it may still end before the engine is taken
    }
    if (!can_migrate || (!this->answer && this->may_go_elsewhere())) {
        // Nothing has come of it yet, so it costs least to send it elsewhere; or there is no other
        // way.
        this->attempt_broke(make_error(errc::unavailable, "await answer",
                                       this->where.endpoint.value(), "endpoint is leaving"));
        return;
    }
    auto wanted = this->describe();
    wanted.excluded = {this->where.endpoint};
    const auto found =
        this->services.places.choose(wanted, this->engine(), this->services.time.now());
    if (!found.chosen) {
        this->move_later(move_pause);
        return;
    }
    this->move = run_move{*found.chosen, std::nullopt, false};
    this->services.mover.move(this->where.address, this->request.facts.id, found.chosen->address,
                              [weak = this->weak_from_this()](const result<stopped_run>& answer) {
                                  if (const auto self = weak.lock(); self && self->open) {
                                      self->run_stopped(answer);
                                  }
                              });
}

void forward_flow::run_stopped(const result<stopped_run>& stopped)
{
    const auto self = this->shared_from_this();
    this->services.log.write(log_level::info, "move",
                             {{"request", this->request.facts.id.value()},
                              {"from", this->where.endpoint.value()},
                              {"to", this->move->target.endpoint.value()},
                              {"last_event", this->last_event},
                              {"outcome", !stopped                    ? stopped.error().to_string()
                                          : stopped.value().is_copied ? "copied"
                                                                      : "stopped"}});
    if (!stopped) {
        const bool stream_ended = this->move->stream_ended;
        this->move.reset();
        if (stream_ended) {
            this->attempt_broke(stopped.error());
            return;
        }
        this->move_later(move_pause);
        return;
    }
    this->move->stopped = stopped.value();
    if (this->move->stream_ended) {
        this->go_on_moved();
        return;
    }
    this->run_after(stream_end_wait, &forward_flow::move_timer, &forward_flow::go_on_moved);
}

bool forward_flow::ended_for_move()
{
    if (!this->move) {
        return false;
    }
    this->move->stream_ended = true;
    if (this->move->stopped) {
        this->cancel_timer(this->move_timer);
        this->go_on_moved();
    }
    return true;
}

// The same run goes on: it is neither another attempt nor does it read its prompt again.
void forward_flow::go_on_moved()
{
    const auto moved = *std::exchange(this->move, std::nullopt);
    this->end_attempt(attempt_result::cancelled);
    this->services.counters.count("eelgrassbend_moved_runs_total",
                                  {{"service", this->request.target.value()}}, 1);
    this->memory_source = moved.stopped->memory_source;
    --this->endpoints_tried;
    if (!moved.stopped->is_copied) {
        this->dispatch(this->where);
        return;
    }
    auto target = moved.target;
    target.work.uncached_prompt = 0;
    this->dispatch(target);
}

} // namespace eelgrassbend
