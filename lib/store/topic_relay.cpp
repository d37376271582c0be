#include "eelgrassbend/store/topic_relay.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Reads whose changes are repeated; a change is missed only if all of their datagrams are lost.
static constexpr std::size_t max_window_reads = 3;
/// Overhead of a record in a position besides its key and value, in bytes.
static constexpr std::size_t record_overhead = 32;

static std::size_t size_in_position(const store_record& record)
{
    return record_overhead + record.key.size() + (record.value ? record.value->size() : 0);
}

void relay_window::restart(log_offset from)
{
    this->next_offset = from;
    this->reads.clear();
}

void relay_window::add(log_offset to, std::vector<store_record> changes, bool after_gap)
{
    const auto oversized =
        std::find_if(changes.rbegin(), changes.rend(), [](const store_record& record) {
            return size_in_position(record) > max_position_bytes;
        });
    if (oversized != changes.rend()) {
        this->restart(oversized->offset + log_offset{1});
        changes.erase(changes.begin(), oversized.base());
    }
    this->reads.push_back({this->next_offset, to, std::move(changes), after_gap});
    this->next_offset = to;
    if (this->reads.size() > max_window_reads) {
        this->reads.pop_front();
    }
}

std::vector<topic_position> relay_window::positions(const std::string& topic, duration age,
                                                    bool reaches_end) const
{
    const auto start = this->reads.empty() ? this->next_offset : this->reads.front().from;
    std::vector<topic_position> positions;
    topic_position current{topic, start, start, age, false, false, {}};
    std::size_t bytes = 0;
    for (const auto& read : this->reads) {
        for (const auto& record : read.changes) {
            const auto size = size_in_position(record);
            if (bytes + size > max_position_bytes) {
                current.to = record.offset;
                positions.push_back(std::exchange(
                    current, {topic, record.offset, record.offset, age, false, false, {}}));
                bytes = 0;
            }
            bytes += size;
            current.changes.push_back(record);
            current.after_gap = current.after_gap || read.after_gap;
        }
    }
    current.to = this->next_offset;
    current.is_end = reaches_end;
    positions.push_back(std::move(current));
    return positions;
}

} // namespace eelgrassbend
