#include "implementation.h"

#include "eelgrassbend/routing/router.h"

#include <algorithm>

namespace eelgrassbend {

bool engine_model::implementation::is_loaded(const model_id& model) const
{
    if (model.value().empty()) {
        return !this->models.empty();
    }
    return std::any_of(this->models.begin(), this->models.end(),
                       [&](const loaded_model& loaded) { return loaded.model == model; });
}

const std::vector<std::uint64_t>*
engine_model::implementation::find_blocks(const attempt_id& attempt) const
{
    const auto active = this->streams.find(attempt.value());
    if (active != this->streams.end()) {
        // Nothing is computed yet of an attempt that waits or is in prefill.
        const auto& entry = *active->second;
        const auto computed = entry.prefill_left == 0 && !this->waiting.contains(key_of(entry));
        return computed ? &entry.sequence.blocks() : nullptr;
    }
    const auto ended =
        std::find_if(this->ended_lately.rbegin(), this->ended_lately.rend(),
                     [&](const auto& candidate) { return candidate.first == attempt; });
    return ended == this->ended_lately.rend() ? nullptr : &ended->second;
}

duration engine_model::implementation::transfer_time(token_count tokens) const
{
    const auto bytes = static_cast<double>(tokens.value() * this->settings.kv_bytes_per_token);
    return this->stretched(bytes / this->settings.kv_bytes_per_second);
}

void engine_model::implementation::export_kv(const attempt_id& attempt, export_handler handler)
{
    const auto* blocks = this->find_blocks(attempt);
    if (blocks == nullptr) {
        this->after(duration::zero(), [respond = std::move(handler)] {
            respond(make_error(errc::not_found, "export cache", {}, "no such attempt"));
        });
        return;
    }
    const auto tokens = static_cast<std::int64_t>(blocks->size()) * prefix_block_tokens;
    kv_snapshot snapshot{*blocks, token_count{tokens}};
    const auto delay = this->transfer_time(snapshot.tokens);
    this->after(delay,
                [taken = std::move(snapshot), respond = std::move(handler)] { respond(taken); });
}

void engine_model::implementation::import_kv(kv_snapshot snapshot, import_handler handler)
{
    const auto delay = this->transfer_time(snapshot.tokens);
    this->after(delay, [this, given = std::move(snapshot), respond = std::move(handler)] {
        this->store_blocks(given.blocks);
        respond(given.tokens);
    });
}

void engine_model::implementation::order(const engine_order& wanted, order_handler handler)
{
    if (this->settings.checks_fencing && wanted.token < this->highest_token) {
        this->after(duration::zero(), [respond = std::move(handler)] {
            respond(make_error(errc::conflict, "order to engine", {}, "old fencing token"));
        });
        return;
    }
    this->highest_token = std::max(this->highest_token, wanted.token);
    const auto bytes = static_cast<double>(this->settings.weight_bytes);
    const auto delay = wanted.kind == order_kind::load
                           ? this->stretched(bytes / this->settings.weight_bytes_per_second)
                           : duration::zero();
    this->after(delay, [this, wanted, respond = std::move(handler)] {
        switch (wanted.kind) {
        case order_kind::load:
            this->load(wanted);
            break;
        case order_kind::unload:
            this->unload(wanted);
            break;
        case order_kind::role:
            this->role = wanted.role;
            break;
        }
        respond(this->state());
    });
}

// Another version of a model computes other values, so that no cached block can be used again.
void engine_model::implementation::load(const engine_order& wanted)
{
    const loaded_model next{wanted.model, wanted.adapter, wanted.version};
    if (std::find(this->models.begin(), this->models.end(), next) != this->models.end()) {
        return;
    }
    std::erase_if(this->models, [&](const loaded_model& loaded) {
        return loaded.model == wanted.model && loaded.adapter == wanted.adapter;
    });
    this->models.push_back(next);
    this->clear_cache();
}

void engine_model::implementation::unload(const engine_order& wanted)
{
    const auto removed = std::erase_if(this->models, [&](const loaded_model& loaded) {
        return loaded.model == wanted.model && loaded.adapter == wanted.adapter;
    });
    if (removed == 0) {
        return;
    }
    if (!this->is_loaded(wanted.model)) {
        this->cancel_model(wanted.model);
    }
    this->clear_cache();
}

void engine_model::implementation::cancel_model(const model_id& model)
{
    std::vector<stream_pointer> affected;
    for (const auto& [attempt, entry] : this->streams) {
        const auto& asked = entry->request.model;
        if (asked == model || (asked.value().empty() && this->models.empty())) {
            affected.push_back(entry);
        }
    }
    std::sort(affected.begin(), affected.end(),
              [](const auto& left, const auto& right) { return left->arrival < right->arrival; });
    for (const auto& entry : affected) {
        if (!entry->ended && !this->stopped) {
            this->cancel_stream(entry);
        }
    }
}

void engine_model::implementation::clear_cache()
{
    this->cache.clear();
    this->ended_lately.clear();
    this->events.record(this->timers.now(), cache_event_kind::cleared, {});
}

engine_state engine_model::implementation::state() const
{
    return {this->models, this->role, this->highest_token};
}

} // namespace eelgrassbend
