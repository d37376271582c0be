#include "version_exchange.h"

#include "member_table.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>

namespace eelgrassbend {

static constexpr std::size_t max_fresh = 256;
static constexpr std::uint32_t fresh_send_limit = 4;

std::uint32_t version_key(const member& record)
{
    return static_cast<std::uint32_t>(
        stable_hash(record.id.value(), incarnation_start(record.incarnation)));
}

void version_exchange::add(const member& record)
{
    const auto key = version_key(record);
    if (this->members.insert_or_assign(key, record.id).second) {
        this->keys.push_back(key);
    }
}

void version_exchange::remove(const member& record)
{
    const auto key = version_key(record);
    if (this->members.erase(key) > 0) {
        std::erase(this->keys, key);
    }
}

void version_exchange::changed(const member& record)
{
    if (this->fresh.size() < max_fresh) {
        this->fresh.push_back({version_key(record), 0});
    }
}

const node_id* version_exchange::find(std::uint32_t key) const
{
    const auto found = this->members.find(key);
    return found == this->members.end() ? nullptr : &found->second;
}

std::vector<std::uint32_t> version_exchange::take(random_source& random)
{
    std::vector<std::uint32_t> taken;
    const auto rounds = std::min(this->fresh.size(), samples_per_message);
    for (std::size_t round = 0; round < rounds; ++round) {
        auto next = this->fresh.front();
        this->fresh.pop_front();
        taken.push_back(next.key);
        if (++next.sent < fresh_send_limit) {
            this->fresh.push_back(next);
        }
    }
    while (taken.size() < std::min(samples_per_message, this->keys.size())) {
        taken.push_back(this->keys[random_below(random, this->keys.size())]);
    }
    return taken;
}

} // namespace eelgrassbend
