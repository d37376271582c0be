#include "update_queue.h"

#include "member_table.h"

#include "eelgrassbend/peers/peer_message.h"

#include <algorithm>
#include <tuple>

namespace eelgrassbend {

// Many nodes may join at once, and digest exchanges transfer joins as well, so joins must not delay
// suspicions, refutations, deaths and leaving nodes.
static bool is_join(const member& update)
{
    return update.state == member_state::alive && refutations(update.incarnation) == 0;
}

void update_queue::push(const member& update)
{
    this->items.insert_or_assign(update.id, item{update, 0, this->next_sequence++});
}

std::vector<member> update_queue::take(std::size_t byte_budget, std::uint32_t send_limit)
{
    std::vector<item*> sorted;
    sorted.reserve(this->items.size());
    for (auto& [id, queued_item] : this->items) {
        sorted.push_back(&queued_item);
    }
    std::ranges::sort(sorted, {}, [](const item* next) {
        return std::tuple{is_join(next->update), next->send_count,
                          -static_cast<std::int64_t>(next->sequence)};
    });
    std::vector<member> batch;
    std::size_t used = 0;
    for (auto* next : sorted) {
        const auto cost = encoded_member_bytes(next->update);
        if (used + cost > byte_budget) {
            break;
        }
        used += cost;
        ++next->send_count;
        batch.push_back(next->update);
    }
    std::erase_if(this->items,
                  [&](const auto& entry) { return entry.second.send_count >= send_limit; });
    return batch;
}

} // namespace eelgrassbend
