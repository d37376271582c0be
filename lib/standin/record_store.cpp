#include "record_store.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend::standin {

/// Payload in one page, but for a single larger record.
static constexpr std::size_t page_bytes = 1'000'000;

record_store::record_store(duration retention_time, std::size_t retention_records)
    : retention_time(retention_time), retention_records(retention_records)
{
}

std::uint64_t record_store::append(const std::string& stream, std::vector<stored_record> records,
                                   wall_time now)
{
    auto& entry = this->streams[stream];
    const auto first = entry.end;
    for (auto& record : records) {
        record.offset = entry.end++;
        record.appended_at = now;
        entry.records.push_back(std::move(record));
    }
    this->expire(entry, now);
    return first;
}

void record_store::expire(stream& entry, wall_time now) const
{
    const auto oldest_kept = now - this->retention_time;
    while (!entry.records.empty() && (entry.records.size() > this->retention_records ||
                                      entry.records.front().appended_at < oldest_kept)) {
        entry.records.pop_front();
    }
}

stored_page record_store::read(const std::string& stream, std::uint64_t from, std::size_t limit,
                               wall_time now)
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return {};
    }
    auto& entry = found->second;
    this->expire(entry, now);
    stored_page page;
    page.end = entry.end;
    page.first = entry.end - entry.records.size();
    const auto skipped = std::clamp(from, page.first, page.end) - page.first;
    const auto begin = entry.records.begin() + static_cast<std::ptrdiff_t>(skipped);
    std::size_t bytes = 0;
    for (auto record = begin; record != entry.records.end() && page.records.size() < limit;
         ++record) {
        bytes += record->payload.size();
        if (bytes > page_bytes && !page.records.empty()) {
            break;
        }
        page.records.push_back(*record);
    }
    return page;
}

} // namespace eelgrassbend::standin
