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

/// One attempt, as submitted to an engine.
struct engine_request {
    attempt_id attempt;
    model_id model; ///< empty: any loaded model
    engine_prompt prompt;
    token_count max_tokens{256};
    std::optional<token_count> answer_length; ///< overrides the length derived from the prompt
    std::int32_t priority = 0;                ///< higher values are scheduled first
    std::optional<duration> deadline;         ///< from now; the engine cancels the attempt then
    std::string resumed_text;                 ///< already emitted by another engine
    token_count resumed_tokens;               ///< tokens in `resumed_text`
};

/// Tokens that an attempt used.
struct engine_usage {
    token_count prompt_tokens;
    token_count output_tokens; ///< including resumed tokens
    token_count cached_tokens; ///< of prompt and resumed text, found in the cache
    token_count resumed_tokens;
};

enum class finish_reason { stop, length };

/// Receives the progress of an attempt. No function is called after `on_finished` or
/// `on_cancelled`.
class engine_observer {
public:
    virtual ~engine_observer() = default;
    /// Token `index` of the answer, counted from 0; resumed tokens are not repeated.
    virtual void on_token(const attempt_id& attempt, std::int64_t index,
                          const std::string& text) = 0;
    virtual void on_finished(const attempt_id& attempt, const engine_usage& usage,
                             finish_reason reason) = 0;
    /// Called after `cancel`, at the deadline or when an order unloads the model.
    virtual void on_cancelled(const attempt_id& attempt, const engine_usage& usage) = 0;
};

/// Events of the prefix cache that are visible at the time of the call.
struct cache_event_page {
    std::uint64_t next_sequence = 0; ///< first sequence to request in the next call
    std::vector<cache_event> events;
};

/// The cached state of one attempt, for import by another engine.
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

/// Work done since the engine started.
struct engine_totals {
    token_count prefilled_tokens; ///< prompt and resumed tokens that were computed
    token_count cached_tokens;    ///< prompt and resumed tokens found in the cache
    token_count output_tokens;    ///< emitted by this engine
    duration busy_time{};         ///< time with at least one attempt running
};

/// Simulates a model engine with continuous batching, without I/O. Each step computes one token for
/// every decoding attempt and a chunk of the prompts that wait for prefill. The answer depends only
/// on the prompt, so that a resumed answer can be compared with an uninterrupted one.
class engine_model {
public:
    using order_handler = std::function<void(result<engine_state>)>;
    using export_handler = std::function<void(result<kv_snapshot>)>;
    using import_handler = std::function<void(result<token_count>)>;

    engine_model(engine_settings settings, scheduler& timers, random_source& random);
    ~engine_model();
    engine_model(const engine_model&) = delete;
    engine_model& operator=(const engine_model&) = delete;

    /// Queues an attempt. `observer` must outlive the call of `on_finished` or `on_cancelled`, or
    /// the engine; it is never called from within `submit`. Errors: `unavailable` if the queue is
    /// full, `not_found` if the model is not loaded, `conflict` if the attempt already exists,
    /// `timed_out` if the deadline is not in the future, `invalid_argument` if a token count is
    /// out of bounds.
    result<void> submit(engine_request request, engine_observer& observer);
    /// Ends an attempt and calls `on_cancelled` before it returns. Returns false if there is no
    /// such attempt.
    bool cancel(const attempt_id& attempt);

    /// The load as it was `load_report_lag` ago.
    [[nodiscard]] load_report lagging_load() const;
    /// The load at this moment; for measurements only, since engines do not report it.
    [[nodiscard]] load_report current_load() const;
    /// Visible events with a sequence of at least `from`.
    [[nodiscard]] cache_event_page cache_events(std::uint64_t from) const;

    /// Multiplies the duration of every step and transfer that begins after the call. 1 is the
    /// normal speed; must be positive.
    void set_slowdown(double factor);
    /// Sets the share of cache events that are lost, from 0 to 1.
    void set_cache_event_loss(double probability);

    /// Calls `handler` after the transfer time. Recently ended attempts can be exported. Errors:
    /// `not_found` if the attempt is unknown or not yet prefilled.
    void export_kv(const attempt_id& attempt, export_handler handler);
    /// Calls `handler` after the transfer time, when the blocks are cached.
    void import_kv(kv_snapshot snapshot, import_handler handler);

    /// Calls `handler` when the order has taken effect. Errors: `conflict` if the engine checks
    /// fencing tokens and has received a higher one.
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
