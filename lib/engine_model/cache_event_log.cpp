#include "cache_event_log.h"

#include <utility>

namespace eelgrassbend {

cache_event_log::cache_event_log(std::size_t limit, duration delay, random_source& random)
    : limit(limit), delay(delay), random(random)
{
}

void cache_event_log::record(monotonic_time now, cache_event_kind kind,
                             std::vector<std::uint64_t> blocks)
{
    const auto sequence = this->next_sequence++;
    if (random_unit(this->random) < this->loss) {
        return;
    }
    this->entries.push_back({now + this->delay, {sequence, kind, std::move(blocks)}});
    if (this->entries.size() > this->limit) {
        this->entries.pop_front();
    }
}

cache_event_page cache_event_log::read(monotonic_time now, std::uint64_t from) const
{
    cache_event_page page;
    for (const auto& entry : this->entries) {
        if (entry.visible_from > now) {
            break;
        }
        page.next_sequence = entry.event.sequence + 1;
        if (entry.event.sequence >= from) {
            page.events.push_back(entry.event);
        }
    }
    return page;
}

} // namespace eelgrassbend
