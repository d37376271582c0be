#ifndef EELGRASSBEND_ENGINE_MODEL_ENGINE_MODEL_H
#define EELGRASSBEND_ENGINE_MODEL_ENGINE_MODEL_H

#include "eelgrassbend/endpoints/load_report.h"
#include "eelgrassbend/engine_model/engine_settings.h"
#include "eelgrassbend/engine_model/prompt.h"
#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// One attempt as an engine takes it.
struct engine_request {
    attempt_id attempt;
    model_id model; ///< empty: any that is loaded
    engine_prompt prompt;
    token_count max_tokens{256};
    std::optional<token_count>
        answer_length;                ///< in place of the length that follows from the prompt
    std::int32_t priority = 0;        ///< higher goes first
    std::optional<duration> deadline; ///< from now; the engine cancels the attempt then
    std::string resumed_text;         ///< already emitted elsewhere
    token_count resumed_tokens;       ///< tokens in `resumed_text`
};

/// What an attempt used.
struct engine_usage {
    token_count prompt_tokens;
    token_count output_tokens; ///< resumed ones too
    token_count cached_tokens; ///< of prompt and resumed text, found in the cache
    token_count resumed_tokens;
};

enum class finish_reason { stop, length };

/// Hears what becomes of an attempt. After `finished` or `cancelled` nothing more is called.
class engine_observer {
public:
    virtual ~engine_observer() = default;
    /// Token `index` of the answer, counted from 0; resumed tokens are not repeated.
    virtual void on_token(const attempt_id& attempt, std::int64_t index,
                          const std::string& text) = 0;
    virtual void on_finished(const attempt_id& attempt, const engine_usage& usage,
                             finish_reason reason) = 0;
    /// By `cancel`, the deadline or an order that unloads the model.
    virtual void on_cancelled(const attempt_id& attempt, const engine_usage& usage) = 0;
};

/// Events of the prefix cache that can be seen by now.
struct cache_event_page {
    std::uint64_t next_sequence = 0; ///< to ask from next time
    std::vector<cache_event> events;
};

/// The cached state of one attempt, to be imported elsewhere.
struct kv_snapshot {
    std::vector<std::uint64_t> blocks;
    token_count tokens; ///< covered by `blocks`
};

enum class order_kind { load, unload, role };

struct engine_order {
    fencing_token token;
    order_kind kind = order_kind::load;
    model_id model;
    std::string adapter;
    std::string version;
    std::string role;
};

struct loaded_model {
    model_id model;
    std::string adapter;
    std::string version;

    friend bool operator==(const loaded_model&, const loaded_model&) = default;
};

struct engine_state {
    std::vector<loaded_model> models;
    std::string role;
    fencing_token highest_token;
};

/// Work done since the start.
struct engine_totals {
    token_count prefilled_tokens; ///< prompt and resumed tokens that were computed
    token_count cached_tokens;    ///< prompt and resumed tokens that the cache held
    token_count output_tokens;    ///< emitted here
    duration busy_time{};         ///< time with at least one attempt running
};

/// A model engine with continuous batching, free of I/O. Each step computes one token for every
/// attempt that decodes and a chunk of the prompts that wait for prefill. The answer depends on
/// the prompt alone, so that a resumed answer can be compared with an undisturbed one.
class engine_model {
public:
    using order_handler = std::function<void(result<engine_state>)>;
    using export_handler = std::function<void(result<kv_snapshot>)>;
    using import_handler = std::function<void(result<token_count>)>;

    engine_model(engine_settings settings, scheduler& timers, random_source& random);
    ~engine_model();
    engine_model(const engine_model&) = delete;
    engine_model& operator=(const engine_model&) = delete;

    /// Queues an attempt. `observer` must live until it hears `finished` or `cancelled`, or the
    /// engine is gone, and is never called from within. Errors: `unavailable` if the queue is
    /// full, `not_found` if the model is not loaded, `conflict` if the attempt is known,
    /// `timed_out` if the deadline is not in the future.
    result<void> submit(engine_request request, engine_observer& observer);
    /// Ends an attempt; `cancelled` is called from within. False if it is not there.
    bool cancel(const attempt_id& attempt);

    /// The load as it was `load_report_lag` ago.
    [[nodiscard]] load_report lagging_load() const;
    /// The load at this moment; for measurements, engines do not tell it.
    [[nodiscard]] load_report current_load() const;
    /// Events with a sequence of at least `from` that are old enough to be seen.
    [[nodiscard]] cache_event_page cache_events(std::uint64_t from) const;

    /// Stretches every step and transfer that begins from here on; 1 is the normal speed, 0 and
    /// less are not allowed.
    void set_slowdown(double factor);
    /// Share of cache events that get lost.
    void set_cache_event_loss(double probability);

    /// Answers after the transfer time. Errors: `not_found`. Attempts that ended lately are known.
    void export_kv(const attempt_id& attempt, export_handler handler);
    /// Answers after the transfer time, once the blocks are cached here.
    void import_kv(kv_snapshot snapshot, import_handler handler);

    /// Answers once the order has taken effect. Errors: `conflict` if the engine checks fencing
    /// tokens and has seen a higher one.
    void order(const engine_order& requested, order_handler handler);
    [[nodiscard]] engine_state state() const;

    [[nodiscard]] const engine_totals& totals() const;
    [[nodiscard]] const engine_settings& settings() const;

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace eelgrassbend

#endif
