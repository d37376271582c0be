#include "eelgrassbend/engine_model/engine_model.h"

#include "implementation.h"

#include <cassert>
#include <utility>

namespace eelgrassbend {

engine_model::engine_model(engine_settings settings, scheduler& timers, random_source& random)
    : inner(std::make_shared<implementation>(std::move(settings), timers, random))
{
}

engine_model::~engine_model()
{
    this->inner->stop();
}

result<void> engine_model::submit(engine_request request, engine_observer& observer)
{
    return this->inner->submit(std::move(request), observer);
}

bool engine_model::cancel(const attempt_id& attempt)
{
    return this->inner->cancel(attempt);
}

load_report engine_model::lagging_load() const
{
    return this->inner->lagging_load();
}

load_report engine_model::current_load() const
{
    return this->inner->current_load();
}

cache_event_page engine_model::cache_events(std::uint64_t from) const
{
    return this->inner->events.read(this->inner->timers.now(), from);
}

void engine_model::set_slowdown(double factor)
{
    assert(factor > 0.0 && "an engine takes some time");
    this->inner->slowdown = factor;
}

void engine_model::set_cache_event_loss(double probability)
{
    this->inner->events.set_loss(probability);
}

void engine_model::export_kv(const attempt_id& attempt, export_handler handler)
{
    this->inner->export_kv(attempt, std::move(handler));
}

void engine_model::import_kv(kv_snapshot snapshot, import_handler handler)
{
    this->inner->import_kv(std::move(snapshot), std::move(handler));
}

void engine_model::order(const engine_order& requested, order_handler handler)
{
    this->inner->order(requested, std::move(handler));
}

engine_state engine_model::state() const
{
    return this->inner->state();
}

const engine_totals& engine_model::totals() const
{
    return this->inner->totals;
}

const engine_settings& engine_model::settings() const
{
    return this->inner->settings;
}

} // namespace eelgrassbend
