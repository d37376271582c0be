#include "implementation.h"

#include "eelgrassbend/routing/router.h"

#include <algorithm>

namespace eelgrassbend {

/// Ended attempts whose blocks can still be exported.
static constexpr std::size_t max_ended_attempts = 64;

static load_report idle_report(const engine_settings& settings)
{
    load_report report;
    report.slots = settings.slots;
    return report;
}

engine_model::implementation::implementation(engine_settings settings, scheduler& timers,
                                             random_source& random)
    : settings(std::move(settings)),
      timers(timers),
      events(this->settings.cache_event_limit, this->settings.cache_event_delay, random),
      cache(this->settings.cache_blocks),
      history(this->settings.load_report_lag, timers.now(), idle_report(this->settings))
{
    this->events.set_loss(this->settings.cache_event_loss);
    if (!this->settings.initial_model.value().empty()) {
        this->models.push_back({this->settings.initial_model, {}, {}});
    }
}

engine_model::implementation::queue_key engine_model::implementation::key_of(const stream& entry)
{
    return {entry.request.priority, entry.arrival};
}

engine_usage engine_model::implementation::usage_of(const stream& entry)
{
    return {token_count{entry.request.prompt.tokens.tokens()}, token_count{entry.emitted},
            token_count{entry.cached}, entry.request.resumed_tokens};
}

result<void> engine_model::implementation::validate(const engine_request& request) const
{
    const std::string step = "submit to engine";
    if (request.max_tokens < token_count{1} || request.resumed_tokens < token_count{0}) {
        return make_error(errc::invalid_argument, step, {}, "token counts out of bounds");
    }
    if (request.deadline && *request.deadline <= duration::zero()) {
        return make_error(errc::timed_out, step, {}, "deadline has passed");
    }
    if (!this->is_loaded(request.model)) {
        return make_error(errc::not_found, step, {}, "model not loaded");
    }
    if (this->streams.contains(request.attempt.value())) {
        return make_error(errc::conflict, step, {}, "attempt is known");
    }
    if (this->waiting.size() >= this->settings.queue_limit) {
        return make_error(errc::unavailable, step, {}, "queue is full");
    }
    return boost::outcome_v2::success();
}

engine_model::implementation::stream_pointer
engine_model::implementation::make_stream(engine_request request, engine_observer& observer)
{
    auto entry = std::make_shared<stream>();
    entry->observer = &observer;
    entry->arrival = this->next_arrival++;
    entry->sequence = request.prompt.tokens;
    for (const auto& token : split_tokens(request.resumed_text)) {
        entry->sequence.append(token);
    }
    const auto full_length = request.answer_length.value_or(answer_length(request.prompt.seed));
    entry->answer_tokens = std::min(full_length, request.max_tokens).value();
    entry->reason = full_length > request.max_tokens ? finish_reason::length : finish_reason::stop;
    entry->emitted = request.resumed_tokens.value();
    if (request.deadline) {
        entry->deadline = this->timers.now() + *request.deadline;
    }
    entry->request = std::move(request);
    return entry;
}

result<void> engine_model::implementation::submit(engine_request request, engine_observer& observer)
{
    auto validation = this->validate(request);
    if (!validation) {
        return validation;
    }
    auto entry = this->make_stream(std::move(request), observer);
    this->streams.emplace(entry->request.attempt.value(), entry);
    if (entry->deadline) {
        this->deadlines.emplace(std::pair{*entry->deadline, entry->arrival}, entry);
    }
    this->waiting_prompt_tokens += entry->sequence.tokens();
    this->waiting.emplace(key_of(*entry), std::move(entry));
    this->record_load();
    if (!this->is_step_running) {
        this->begin_step();
    }
    return boost::outcome_v2::success();
}

bool engine_model::implementation::cancel(const attempt_id& attempt)
{
    const auto found = this->streams.find(attempt.value());
    if (found == this->streams.end()) {
        return false;
    }
    this->cancel_stream(stream_pointer{found->second});
    return true;
}

void engine_model::implementation::stop()
{
    this->is_stopped = true;
    if (this->is_step_running) {
        this->timers.cancel(this->step_timer);
    }
}

void engine_model::implementation::call_after(duration delay, std::function<void()> action)
{
    this->timers.call_after(delay, [weak = this->weak_from_this(), run = std::move(action)] {
        const auto self = weak.lock();
        if (self && !self->is_stopped) {
            run();
        }
    });
}

duration engine_model::implementation::apply_slowdown(double seconds) const
{
    const std::chrono::duration<double> span{seconds * this->slowdown};
    return std::chrono::duration_cast<duration>(span);
}

void engine_model::implementation::begin_step()
{
    this->admit();
    this->is_step_running = !this->running.empty();
    if (!this->is_step_running) {
        this->output_tokens_per_second = 0.0;
        this->record_load();
        return;
    }
    this->step_started = this->timers.now();
    this->record_load();
    const auto weak = this->weak_from_this();
    this->step_timer = this->timers.call_after(this->plan_step(), [weak] {
        if (const auto self = weak.lock()) {
            self->end_step();
        }
    });
}

void engine_model::implementation::admit()
{
    this->cancel_expired();
    while (this->running.size() < this->settings.slots && !this->waiting.empty()) {
        const auto entry = this->waiting.begin()->second;
        this->waiting.erase(this->waiting.begin());
        const auto tokens = entry->sequence.tokens();
        this->waiting_prompt_tokens -= tokens;
        const auto blocks = static_cast<std::int64_t>(this->cache.match(entry->sequence.blocks()));
        // The last token is always computed, since it yields the first output token.
        entry->cached =
            std::max<std::int64_t>(0, std::min(blocks * prefix_block_tokens, tokens - 1));
        entry->prefill_remaining = std::max<std::int64_t>(1, tokens - entry->cached);
        this->totals.cached_tokens += token_count{entry->cached};
        this->running.push_back(entry);
    }
}

// The prefill budget of each step goes to the attempts of the highest priority first, while all
// prefilled attempts continue to decode.
duration engine_model::implementation::plan_step()
{
    auto by_priority = this->running;
    std::sort(by_priority.begin(), by_priority.end(),
              [](const auto& left, const auto& right) { return key_of(*left) < key_of(*right); });
    std::int64_t decoding = 0;
    std::int64_t budget = this->settings.prefill_chunk_tokens;
    for (const auto& entry : by_priority) {
        if (entry->prefill_remaining == 0) {
            ++decoding;
            continue;
        }
        entry->chunk = std::min(entry->prefill_remaining, budget);
        budget -= entry->chunk;
    }
    const auto prefilled = this->settings.prefill_chunk_tokens - budget;
    const std::chrono::duration<double> decode_time =
        this->settings.step_base + this->settings.step_per_stream * decoding;
    const auto prefill_time =
        static_cast<double>(prefilled) / this->settings.prefill_tokens_per_second;
    return this->apply_slowdown(decode_time.count() + prefill_time);
}

void engine_model::implementation::end_step()
{
    const auto batch = this->running;
    const auto emitted_before = this->totals.output_tokens;
    for (const auto& entry : batch) {
        if (this->is_stopped) {
            return;
        }
        if (!entry->is_ended && this->advance(*entry)) {
            this->emit(entry);
        }
    }
    if (this->is_stopped) {
        return;
    }
    const auto span = this->timers.now() - this->step_started;
    this->totals.busy_time += span;
    const auto emitted = this->totals.output_tokens - emitted_before;
    const std::chrono::duration<double> seconds = span;
    this->output_tokens_per_second = static_cast<double>(emitted.value()) / seconds.count();
    this->begin_step();
}

/// Accounts for the prefill chunk of the step. Returns true if a token of the answer was computed.
bool engine_model::implementation::advance(stream& entry)
{
    if (entry.prefill_remaining == 0) {
        return true;
    }
    this->totals.prefilled_tokens += token_count{entry.chunk};
    entry.prefill_remaining -= entry.chunk;
    entry.chunk = 0;
    if (entry.prefill_remaining > 0) {
        return false;
    }
    this->store_blocks(entry.sequence.blocks());
    return true;
}

void engine_model::implementation::emit(const stream_pointer& entry)
{
    if (entry->emitted < entry->answer_tokens) {
        const auto index = entry->emitted++;
        const auto text = answer_token(entry->request.prompt.seed, index);
        const auto first_letter = text.find_first_not_of(' ');
        entry->sequence.append(std::string_view{text}.substr(first_letter));
        this->totals.output_tokens += token_count{1};
        entry->observer->on_token(entry->request.attempt, index, text);
    }
    if (!entry->is_ended && !this->is_stopped && entry->emitted >= entry->answer_tokens) {
        this->finish(entry);
    }
}

void engine_model::implementation::finish(const stream_pointer& entry)
{
    this->remove(entry);
    entry->observer->on_finished(entry->request.attempt, usage_of(*entry), entry->reason);
}

void engine_model::implementation::cancel_stream(const stream_pointer& entry)
{
    this->remove(entry);
    this->record_load();
    entry->observer->on_cancelled(entry->request.attempt, usage_of(*entry));
}

void engine_model::implementation::cancel_expired()
{
    const auto now = this->timers.now();
    while (!this->is_stopped && !this->deadlines.empty() &&
           this->deadlines.begin()->first.first <= now) {
        this->cancel_stream(stream_pointer{this->deadlines.begin()->second});
    }
}

void engine_model::implementation::remove(const stream_pointer& entry)
{
    entry->is_ended = true;
    this->streams.erase(entry->request.attempt.value());
    if (entry->deadline) {
        this->deadlines.erase({*entry->deadline, entry->arrival});
    }
    if (this->waiting.erase(key_of(*entry)) > 0) {
        this->waiting_prompt_tokens -= entry->sequence.tokens();
        return;
    }
    std::erase(this->running, entry);
    if (entry->prefill_remaining > 0) {
        return;
    }
    this->store_blocks(entry->sequence.blocks());
    this->ended_attempt_blocks.emplace_back(entry->request.attempt, entry->sequence.blocks());
    if (this->ended_attempt_blocks.size() > max_ended_attempts) {
        this->ended_attempt_blocks.pop_front();
    }
}

void engine_model::implementation::store_blocks(const std::vector<std::uint64_t>& chain)
{
    auto change = this->cache.insert(chain);
    const auto now = this->timers.now();
    if (!change.stored.empty()) {
        this->events.record(now, cache_event_kind::stored, std::move(change.stored));
    }
    if (!change.evicted.empty()) {
        this->events.record(now, cache_event_kind::evicted, std::move(change.evicted));
    }
}

load_report engine_model::implementation::current_load() const
{
    load_report report;
    report.measured_at = this->timers.wall_now();
    report.slots = this->settings.slots;
    report.running = static_cast<std::uint32_t>(this->running.size());
    report.queued = static_cast<std::uint32_t>(this->waiting.size());
    report.queued_prompt_tokens = token_count{this->waiting_prompt_tokens};
    report.tokens_per_second = this->output_tokens_per_second;
    return report;
}

load_report engine_model::implementation::lagging_load() const
{
    auto report = this->history.at(this->timers.now() - this->settings.load_report_lag);
    report.measured_at = this->timers.wall_now() - this->settings.load_report_lag;
    return report;
}

void engine_model::implementation::record_load()
{
    this->history.record(this->timers.now(), this->current_load());
}

} // namespace eelgrassbend
