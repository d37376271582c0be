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
        // Waiting attempts and attempts in prefill have no computed blocks.
        const auto& entry = *active->second;
        const auto computed =
            entry.prefill_remaining == 0 && !this->waiting.contains(key_of(entry));
        return computed ? &entry.sequence.blocks() : nullptr;
    }
    const auto ended =
        std::find_if(this->ended_attempt_blocks.rbegin(), this->ended_attempt_blocks.rend(),
                     [&](const auto& candidate) { return candidate.first == attempt; });
    return ended == this->ended_attempt_blocks.rend() ? nullptr : &ended->second;
}

duration engine_model::implementation::transfer_time(token_count tokens) const
{
    const auto bytes = static_cast<double>(tokens.value() * this->settings.kv_bytes_per_token);
    return this->apply_slowdown(bytes / this->settings.kv_bytes_per_second);
}

void engine_model::implementation::export_kv(const attempt_id& attempt, export_handler handler)
{
    const auto* blocks = this->find_blocks(attempt);
    if (blocks == nullptr) {
        this->call_after(duration::zero(), [respond = std::move(handler)] {
            respond(make_error(errc::not_found, "export cache", {}, "no such attempt"));
        });
        return;
    }
    const auto tokens = static_cast<std::int64_t>(blocks->size()) * prefix_block_tokens;
    kv_snapshot snapshot{*blocks, token_count{tokens}};
    const auto delay = this->transfer_time(snapshot.tokens);
    this->call_after(delay, [exported = std::move(snapshot), respond = std::move(handler)] {
        respond(exported);
    });
}

void engine_model::implementation::import_kv(kv_snapshot snapshot, import_handler handler)
{
    const auto delay = this->transfer_time(snapshot.tokens);
    this->call_after(delay, [this, imported = std::move(snapshot), respond = std::move(handler)] {
        this->store_blocks(imported.blocks);
        respond(imported.tokens);
    });
}

void engine_model::implementation::order(const engine_order& requested, order_handler handler)
{
    if (this->settings.checks_fencing && requested.token < this->highest_order_token) {
        this->call_after(duration::zero(), [respond = std::move(handler)] {
            respond(make_error(errc::conflict, "order to engine", {}, "old fencing token"));
        });
        return;
    }
    this->highest_order_token = std::max(this->highest_order_token, requested.token);
    const auto bytes = static_cast<double>(this->settings.weight_bytes);
    const auto delay = requested.kind == order_kind::load
                           ? this->apply_slowdown(bytes / this->settings.weight_bytes_per_second)
                           : duration::zero();
    this->call_after(delay, [this, requested, respond = std::move(handler)] {
        switch (requested.kind) {
        case order_kind::load:
            this->load(requested);
            break;
        case order_kind::unload:
            this->unload(requested);
            break;
        case order_kind::role:
            this->role = requested.role;
            break;
        }
        respond(this->state());
    });
}

// A different model version computes different values, so cached blocks cannot be reused.
void engine_model::implementation::load(const engine_order& requested)
{
    const loaded_model next{requested.model, requested.adapter, requested.version};
    if (std::find(this->models.begin(), this->models.end(), next) != this->models.end()) {
        return;
    }
    std::erase_if(this->models, [&](const loaded_model& loaded) {
        return loaded.model == requested.model && loaded.adapter == requested.adapter;
    });
    this->models.push_back(next);
    this->clear_cache();
}

void engine_model::implementation::unload(const engine_order& requested)
{
    const auto removed = std::erase_if(this->models, [&](const loaded_model& loaded) {
        return loaded.model == requested.model && loaded.adapter == requested.adapter;
    });
    if (removed == 0) {
        return;
    }
    if (!this->is_loaded(requested.model)) {
        this->cancel_model(requested.model);
    }
    this->clear_cache();
}

void engine_model::implementation::cancel_model(const model_id& model)
{
    std::vector<stream_pointer> affected;
    for (const auto& [attempt, entry] : this->streams) {
        const auto& requested_model = entry->request.model;
        if (requested_model == model || (requested_model.value().empty() && this->models.empty())) {
            affected.push_back(entry);
        }
    }
    std::sort(affected.begin(), affected.end(),
              [](const auto& left, const auto& right) { return left->arrival < right->arrival; });
    for (const auto& entry : affected) {
        if (!entry->is_ended && !this->is_stopped) {
            this->cancel_stream(entry);
        }
    }
}

void engine_model::implementation::clear_cache()
{
    this->cache.clear();
    this->ended_attempt_blocks.clear();
    this->events.record(this->timers.now(), cache_event_kind::cleared, {});
}

engine_state engine_model::implementation::state() const
{
    return {this->models, this->role, this->highest_order_token};
}

} // namespace eelgrassbend
