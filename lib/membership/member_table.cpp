#include "member_table.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>

namespace eelgrassbend {

static std::size_t bucket_of(const node_id& id)
{
    return stable_hash(id.value()) % member_table::bucket_count;
}

// Hashes a suspect like an alive member: suspicions are transient, so digests ignore them.
static std::uint32_t record_hash(const member& record)
{
    const auto leaving = record.state == member_state::leaving ? 1U : 0U;
    return static_cast<std::uint32_t>(
        stable_hash(record.id.value(), record.incarnation * 2 + leaving));
}

table_entry* member_table::find(const node_id& id)
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

const table_entry* member_table::find(const node_id& id) const
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

bool member_table::supersedes(const member& update) const
{
    const auto* known = this->find(update.id);
    if (known == nullptr) {
        return update.state == member_state::alive || update.state == member_state::leaving;
    }
    if (update.incarnation != known->record.incarnation) {
        return update.incarnation > known->record.incarnation;
    }
    return update.state > known->record.state;
}

table_entry& member_table::store(const member& update, monotonic_time now)
{
    const auto [position, added] = this->entries.try_emplace(update.id);
    auto& entry = position->second;
    const auto was_live = !added && entry.record.state != member_state::dead;
    const auto is_live = update.state != member_state::dead;
    const auto same_process = !added && incarnation_start(entry.record.incarnation) ==
                                            incarnation_start(update.incarnation);
    const auto version =
        same_process ? std::max(entry.record.bundle, update.bundle) : update.bundle;
    entry.record = update;
    entry.record.bundle = version;
    if (update.state != member_state::suspect) {
        entry.suspected_until.reset();
        entry.is_suspected_locally = false;
    }
    if (!is_live) {
        entry.died_at = now;
    }
    this->live_members += is_live ? 1 : 0;
    this->live_members -= was_live ? 1 : 0;
    return entry;
}

std::vector<node_id> member_table::remove_dead_before(monotonic_time bound)
{
    std::vector<node_id> removed;
    std::erase_if(this->entries, [&](const auto& item) {
        const auto& entry = item.second;
        const auto old = entry.record.state == member_state::dead && entry.died_at < bound;
        if (old) {
            removed.push_back(item.first);
        }
        return old;
    });
    return removed;
}

std::vector<member> member_table::live() const
{
    std::vector<member> found;
    found.reserve(this->live_members);
    for (const auto& [id, entry] : this->entries) {
        if (entry.record.state != member_state::dead) {
            found.push_back(entry.record);
        }
    }
    return found;
}

std::vector<member> member_table::dead() const
{
    std::vector<member> found;
    for (const auto& [id, entry] : this->entries) {
        if (entry.record.state == member_state::dead) {
            found.push_back(entry.record);
        }
    }
    return found;
}

member_table::buckets member_table::digest(const member& self) const
{
    buckets hashes(bucket_count, 0);
    hashes[bucket_of(self.id)] ^= record_hash(self);
    for (const auto& [id, entry] : this->entries) {
        if (entry.record.state != member_state::dead) {
            hashes[bucket_of(id)] ^= record_hash(entry.record);
        }
    }
    return hashes;
}

std::vector<member> member_table::records_in_differing_buckets(const buckets& mine,
                                                               const buckets& theirs) const
{
    std::vector<member> records;
    if (mine.size() != bucket_count || theirs.size() != bucket_count) {
        return records;
    }
    for (const auto& [id, entry] : this->entries) {
        const auto bucket = bucket_of(id);
        if (mine[bucket] == theirs[bucket]) {
            continue;
        }
        records.push_back(entry.record);
        if (entry.record.state == member_state::dead) {
            records.back().state = member_state::suspect;
        }
    }
    return records;
}

} // namespace eelgrassbend
