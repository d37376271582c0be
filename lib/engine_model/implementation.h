#ifndef EELGRASSBEND_LIB_ENGINE_MODEL_IMPLEMENTATION_H
#define EELGRASSBEND_LIB_ENGINE_MODEL_IMPLEMENTATION_H

#include "cache_event_log.h"
#include "prefix_cache.h"

#include "eelgrassbend/engine_model/engine_model.h"
#include "eelgrassbend/engine_model/load_history.h"

#include <compare>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// The state of one engine. Scheduler callbacks hold weak pointers to it.
class engine_model::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(engine_settings settings, scheduler& timers, random_source& random);

    result<void> submit(engine_request request, engine_observer& observer);
    bool cancel(const attempt_id& attempt);
    void stop();

    /// The load as it was `load_report_lag` ago.
    [[nodiscard]] load_report lagging_load() const;
    [[nodiscard]] load_report current_load() const;

    void export_kv(const attempt_id& attempt, export_handler handler);
    void import_kv(kv_snapshot snapshot, import_handler handler);
    void order(const engine_order& requested, order_handler handler);
    [[nodiscard]] engine_state state() const;

    engine_settings settings;
    scheduler& timers;
    cache_event_log events;
    engine_totals totals;
    double slowdown = 1.0;

private:
    /// One waiting or running attempt.
    struct stream {
        engine_request request;
        engine_observer* observer = nullptr;
        std::uint64_t arrival = 0;
        block_chain sequence; ///< prompt, text emitted by an earlier engine, and emitted tokens
        std::int64_t cached = 0;
        std::int64_t prefill_remaining = 0;
        std::int64_t chunk = 0; ///< prefill tokens in the current step
        std::int64_t emitted = 0;
        std::int64_t answer_tokens = 0; ///< length of the whole answer, known from the start
        finish_reason reason = finish_reason::stop;
        std::optional<monotonic_time> deadline;
        bool is_ended = false;
    };

    using stream_pointer = std::shared_ptr<stream>;

    struct queue_key {
        std::int32_t priority = 0;
        std::uint64_t arrival = 0;

        // Orders by descending priority, then by arrival.
        friend std::strong_ordering operator<=>(const queue_key& left, const queue_key& right)
        {
            if (left.priority != right.priority) {
                return right.priority <=> left.priority;
            }
            return left.arrival <=> right.arrival;
        }

        friend bool operator==(const queue_key&, const queue_key&) = default;
    };

    static queue_key key_of(const stream& entry);
    static engine_usage usage_of(const stream& entry);

    [[nodiscard]] result<void> validate(const engine_request& request) const;
    [[nodiscard]] bool is_loaded(const model_id& model) const;
    stream_pointer make_stream(engine_request request, engine_observer& observer);

    void begin_step();
    void admit();
    duration plan_step();
    void end_step();
    bool advance(stream& entry);
    void emit(const stream_pointer& entry);

    void finish(const stream_pointer& entry);
    void cancel_stream(const stream_pointer& entry);
    void cancel_expired();
    void cancel_model(const model_id& model);
    void remove(const stream_pointer& entry);

    void store_blocks(const std::vector<std::uint64_t>& chain);
    void clear_cache();
    void record_load();
    [[nodiscard]] const std::vector<std::uint64_t>* find_blocks(const attempt_id& attempt) const;
    [[nodiscard]] duration apply_slowdown(double seconds) const;
    [[nodiscard]] duration transfer_time(token_count tokens) const;
    void call_after(duration delay, std::function<void()> action);
    void load(const engine_order& requested);
    void unload(const engine_order& requested);

    prefix_cache cache;
    load_history history;
    std::map<queue_key, stream_pointer> waiting;
    std::vector<stream_pointer> running;
    std::unordered_map<std::string, stream_pointer> streams; ///< by attempt
    std::map<std::pair<monotonic_time, std::uint64_t>, stream_pointer>
        deadlines; ///< by time and arrival
    /// Block hashes of the last ended attempts, which can still be exported.
    std::deque<std::pair<attempt_id, std::vector<std::uint64_t>>> ended_attempt_blocks;
    std::int64_t waiting_prompt_tokens = 0;
    std::uint64_t next_arrival = 0;
    double output_tokens_per_second = 0.0; ///< in the last step

    bool is_step_running = false;
    bool is_stopped = false;
    monotonic_time step_started;
    timer_id step_timer;

    std::vector<loaded_model> models;
    std::string role = "both";
    fencing_token highest_order_token; ///< orders with a lower token are rejected
};

} // namespace eelgrassbend

#endif
