#include "update_queue.h"

#include "eelgrassbend/peers/peer_message.h"

#include <algorithm>
#include <tuple>

namespace eelgrassbend {

void update_queue::push(const member& update)
{
    this->waiting.insert_or_assign(update.id, item{update, 0, this->next_order++});
}

std::vector<member> update_queue::take(std::size_t byte_budget, std::uint32_t send_limit)
{
    std::vector<item*> order;
    order.reserve(this->waiting.size());
    for (auto& [id, waiting_item] : this->waiting) {
        order.push_back(&waiting_item);
    }
    std::ranges::sort(order, {}, [](const item* next) {
        return std::tuple{next->sent, -static_cast<std::int64_t>(next->order)};
    });
    std::vector<member> taken;
    std::size_t used = 0;
    for (auto* next : order) {
        const auto cost = encoded_member_bytes(next->update);
        if (used + cost > byte_budget) {
            break;
        }
        used += cost;
        ++next->sent;
        taken.push_back(next->update);
    }
    std::erase_if(this->waiting,
                  [&](const auto& entry) { return entry.second.sent >= send_limit; });
    return taken;
}

} // namespace eelgrassbend
