#include "eelgrassbend/net/descriptor_budget.h"

#include <algorithm>

namespace eelgrassbend {

/// Descriptors that deployments reserve for files.
static constexpr std::size_t file_descriptors = 200;
/// Standard streams, listening sockets, datagrams, and what the event loop uses; rounded up.
static constexpr std::size_t process_descriptors = 32;
/// Part of the usable descriptors that is left to new callers. Callers are counted at intervals, so
/// it has to cover those that arrive between two checks.
static constexpr std::size_t caller_reserve_part = 16;
/// Idle connections that are closed at once. Each search for the oldest ones visits all peers.
static constexpr std::size_t closed_at_once = 16;

descriptor_budget::descriptor_budget(std::size_t limit)
    : usable(std::max(limit / 2, limit - std::min(limit, file_descriptors))),
      caller_reserve(this->usable / caller_reserve_part)
{
}

void descriptor_budget::add(connection_owner& owner)
{
    this->owners.push_back(&owner);
}

void descriptor_budget::remove(connection_owner& owner)
{
    std::erase(this->owners, &owner);
}

void descriptor_budget::add_counter(counter open)
{
    this->counters.push_back(std::move(open));
}

connection_counts descriptor_budget::outgoing() const
{
    connection_counts sum;
    for (const auto* owner : this->owners) {
        const auto counts = owner->connections();
        sum.open += counts.open;
        sum.idle += counts.idle;
        sum.opened += counts.opened;
        sum.reused += counts.reused;
    }
    return sum;
}

std::size_t descriptor_budget::open() const
{
    auto sum = process_descriptors + this->outgoing().open;
    for (const auto& count : this->counters) {
        sum += count();
    }
    return sum;
}

bool descriptor_budget::make_room()
{
    const auto open_now = this->open();
    if (open_now < this->outgoing_bound()) {
        return true;
    }
    const auto excess = open_now - this->outgoing_bound() + 1;
    const auto wanted = std::max(excess, closed_at_once);
    std::size_t closed = 0;
    for (auto* owner : this->owners) {
        closed += owner->close_idle(wanted - closed);
    }
    return closed >= excess;
}

bool descriptor_budget::can_serve() const
{
    return this->open() - this->outgoing().idle < this->outgoing_bound();
}

} // namespace eelgrassbend
