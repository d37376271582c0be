#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/serving/forward_flow.h"
#include "eelgrassbend/serving/run_migrator.h"

#include "eelgrassbend/limits/retry_budget.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Between two attempts to migrate a run.
static constexpr std::chrono::milliseconds migration_retry_interval{200};
/// Maximum wait for the end of a stopped run's stream, which arrives at about the same time as the
/// answer to the migration.
static constexpr std::chrono::milliseconds stream_end_timeout{150};

// Starts late, because a run that ends before the engine is reclaimed needs no migration.
void forward_flow::handle_endpoint_leaving(const endpoint_record& leaving)
{
    if (!this->handle || this->current_placement.endpoint != leaving.id || !leaving.reclaim_in ||
        !this->is_stream() || this->migration_timer || this->migration) {
        return;
    }
    const auto wait = *leaving.reclaim_in - this->services.settings.migration_margin;
    this->schedule_migration(std::max<duration>(wait, duration::zero()));
}

void forward_flow::schedule_migration(duration pause)
{
    this->run_after(pause, &forward_flow::migration_timer, &forward_flow::start_migration);
}

void forward_flow::start_migration()
{
    if (!this->handle || this->migration) {
        return;
    }
    const auto traits = this->engine();
    const bool can_migrate = traits && traits->can_migrate;
    if (!can_migrate && !this->can_repeat_attempt()) {
        return; // it may still end before the engine is reclaimed
    }
    if (!can_migrate || (!this->answer && this->can_repeat_attempt())) {
        this->observed.reset(); // no failure of the endpoint
        // The run has no answer yet, so restarting it elsewhere costs least; or the engine does not
        // support migration.
        this->handle_attempt_failure(make_error(errc::unavailable, "await answer",
                                                this->current_placement.endpoint.value(),
                                                "endpoint is leaving"));
        return;
    }
    auto query = this->make_placement_request();
    query.max_slot_share.reset(); // the run was admitted when it began
    query.versions.required = this->endpoint_version;
    query.excluded = this->failed_targets;
    query.excluded.insert(this->current_placement.endpoint);
    const auto found =
        this->services.places.choose(query, this->engine(), this->services.time.now());
    if (!found.chosen) {
        this->failed_targets.clear();
        this->schedule_migration(migration_retry_interval);
        return;
    }
    this->migration = run_migration{*found.chosen, std::nullopt};
    this->services.migrator.migrate(
        this->current_placement.address, this->request.fields.id, found.chosen->address,
        [weak = this->weak_from_this()](const result<stopped_run>& answer) {
            if (const auto self = weak.lock(); self && self->is_open) {
                self->handle_run_stopped(answer);
            }
        });
}

void forward_flow::handle_run_stopped(const result<stopped_run>& stopped)
{
    const auto self = this->shared_from_this();
    this->services.log.write(log_level::info, "move",
                             {{"request", this->request.fields.id.value()},
                              {"from", this->current_placement.endpoint.value()},
                              {"to", this->migration->target.endpoint.value()},
                              {"last_event", this->last_event},
                              {"outcome", !stopped                    ? stopped.error().to_string()
                                          : stopped.value().is_copied ? "copied"
                                                                      : "stopped"}});
    if (!stopped) {
        const auto ended = *std::exchange(this->migration, std::nullopt);
        if (ended.is_stream_whole && stopped.error().code == errc::not_found) {
            this->finish_stream(); // the run had ended by itself
            return;
        }
        if (ended.is_stream_ended) {
            this->handle_attempt_failure(stopped.error());
            return;
        }
        this->schedule_migration(migration_retry_interval);
        return;
    }
    this->migration->stopped = stopped.value();
    if (this->migration->is_stream_ended) {
        this->resume_migrated_run();
        return;
    }
    this->run_after(stream_end_timeout, &forward_flow::migration_timer,
                    &forward_flow::resume_migrated_run);
}

bool forward_flow::handle_end_in_migration(bool is_whole)
{
    if (!this->migration) {
        return false;
    }
    this->migration->is_stream_ended = true;
    this->migration->is_stream_whole = is_whole;
    if (this->migration->stopped) {
        this->cancel_timer(this->migration_timer);
        this->resume_migrated_run();
    }
    return true;
}

// The engine where the run was stopped keeps the KV cache, also of a run that was copied.
void forward_flow::resume_migrated_run()
{
    const auto migrated = *std::exchange(this->migration, std::nullopt);
    this->end_attempt(attempt_result::cancelled);
    this->runs.record_possible_run();
    this->services.counters.count("eelgrassbend_moved_runs_total",
                                  {{"service", this->request.target.value()}}, 1);
    auto source = this->current_placement;
    source.work.uncached_prompt = 0;
    this->continuation = run_continuation{migrated.stopped->kv_cache_source, source, {source}};
    if (migrated.stopped->is_copied) {
        auto target = migrated.target;
        target.work.uncached_prompt = 0;
        this->continuation->holders.push_back(target);
    }
    this->continue_run();
}

// The same run continues: this does not count as an attempt, and the prompt is not processed again.
// At its source, the run is to be migrated again, since that engine is leaving.
void forward_flow::continue_run()
{
    const auto next = this->continuation->holders.back();
    this->continuation->holders.pop_back();
    if (next.endpoint == this->continuation->source.endpoint) {
        this->schedule_migration(migration_retry_interval);
    }
    this->dispatch(next);
}

void forward_flow::handle_continuation_failed(const error& reason)
{
    const auto& failed = this->current_placement.endpoint;
    this->services.log.write(log_level::warning, "run_not_continued",
                             {{"request", this->request.fields.id.value()},
                              {"endpoint", failed.value()},
                              {"last_event", this->last_event},
                              {"holders_left", this->continuation->holders.size()},
                              {"error", reason.to_string()}});
    this->services.counters.count("eelgrassbend_runs_not_continued_total",
                                  {{"service", this->request.target.value()}}, 1);
    if (failed != this->continuation->source.endpoint) {
        this->failed_targets.insert(failed);
    }
    if (!this->continuation->holders.empty()) {
        this->continue_run();
        return;
    }
    this->continuation.reset();
    this->cancel_timer(this->migration_timer);
    this->choose_endpoint();
}

} // namespace eelgrassbend
