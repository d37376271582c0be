#include "version_exchange.h"

#include "member_table.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>

namespace eelgrassbend {

static constexpr std::size_t max_changed_keys = 256;
static constexpr std::uint32_t changed_key_send_limit = 4;

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

void version_exchange::mark_changed(const member& record)
{
    if (this->changed_keys.size() < max_changed_keys) {
        this->changed_keys.push_back({version_key(record), 0});
    }
}

const node_id* version_exchange::find(std::uint32_t key) const
{
    const auto found = this->members.find(key);
    return found == this->members.end() ? nullptr : &found->second;
}

std::vector<std::uint32_t> version_exchange::sample_keys(random_source& random)
{
    std::vector<std::uint32_t> sampled;
    const auto rounds = std::min(this->changed_keys.size(), samples_per_message);
    for (std::size_t round = 0; round < rounds; ++round) {
        auto next = this->changed_keys.front();
        this->changed_keys.pop_front();
        sampled.push_back(next.key);
        if (++next.send_count < changed_key_send_limit) {
            this->changed_keys.push_back(next);
        }
    }
    while (sampled.size() < std::min(samples_per_message, this->keys.size())) {
        sampled.push_back(this->keys[random_below(random, this->keys.size())]);
    }
    return sampled;
}

} // namespace eelgrassbend
