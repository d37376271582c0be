#include "eelgrassbend/store/topic_relay.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Reads whose changes are repeated; all of their datagrams would have to be lost.
static constexpr std::size_t reads_in_window = 3;
/// What a record adds to a position beside its key and value, in bytes.
static constexpr std::size_t record_overhead = 32;

static std::size_t size_in_position(const store_record& record)
{
    return record_overhead + record.key.size() + (record.value ? record.value->size() : 0);
}

void relay_window::restart(log_offset from)
{
    this->next = from;
    this->reads.clear();
}

void relay_window::add(log_offset to, std::vector<store_record> changes, bool after_gap)
{
    const auto too_large =
        std::find_if(changes.rbegin(), changes.rend(), [](const store_record& record) {
            return size_in_position(record) > longest_position;
        });
    if (too_large != changes.rend()) {
        this->restart(too_large->offset + log_offset{1});
        changes.erase(changes.begin(), too_large.base());
    }
    this->reads.push_back({this->next, to, std::move(changes), after_gap});
    this->next = to;
    if (this->reads.size() > reads_in_window) {
        this->reads.pop_front();
    }
}

std::vector<topic_position> relay_window::positions(const std::string& topic, duration age) const
{
    const auto start = this->reads.empty() ? this->next : this->reads.front().from;
    std::vector<topic_position> done;
    topic_position open{topic, start, start, age, false, false, {}};
    std::size_t bytes = 0;
    for (const auto& read : this->reads) {
        for (const auto& record : read.changes) {
            const auto size = size_in_position(record);
            if (bytes + size > longest_position) {
                open.to = record.offset;
                done.push_back(std::exchange(
                    open, {topic, record.offset, record.offset, age, false, false, {}}));
                bytes = 0;
            }
            bytes += size;
            open.changes.push_back(record);
            open.after_gap = open.after_gap || read.after_gap;
        }
    }
    open.to = this->next;
    open.is_end = true;
    done.push_back(std::move(open));
    return done;
}

} // namespace eelgrassbend
