#include "update_queue.h"

#include "member_table.h"

#include "eelgrassbend/peers/peer_message.h"

#include <algorithm>
#include <tuple>

namespace eelgrassbend {

// Arrivals come in crowds and are learnt by the comparison of tables as well; they must not hold
// up suspicions, refutations, deaths and leaving.
static bool is_arrival(const member& update)
{
    return update.state == member_state::alive && refutations(update.incarnation) == 0;
}

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
        return std::tuple{is_arrival(next->update), next->sent,
                          -static_cast<std::int64_t>(next->order)};
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
