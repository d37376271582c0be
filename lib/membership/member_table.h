#ifndef EELGRASSBEND_LIB_MEMBERSHIP_MEMBER_TABLE_H
#define EELGRASSBEND_LIB_MEMBERSHIP_MEMBER_TABLE_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Bits of an incarnation that count refutations; the rest is the start of the process.
constexpr unsigned int refutation_bits = 16;

/// Milliseconds since the Unix epoch at which the process of an incarnation started.
constexpr std::uint64_t incarnation_start(std::uint64_t incarnation)
{
    return incarnation >> refutation_bits;
}

/// How often the process of an incarnation had to refute or announced a change.
constexpr std::uint64_t refutations(std::uint64_t incarnation)
{
    return incarnation & ((std::uint64_t{1} << refutation_bits) - 1);
}

struct table_entry {
    member record;
    std::optional<monotonic_time> suspected_until; ///< set while the member is suspected
    bool is_suspected_locally = false;             ///< suspected by this node's own probe
    monotonic_time died_at;                        ///< with state dead
};

/// The members that a node knows beside itself, with the rules by which updates replace records.
class member_table {
public:
    static constexpr std::size_t bucket_count = 64;
    using buckets = std::vector<std::uint32_t>;

    [[nodiscard]] table_entry* find(const node_id& id);
    [[nodiscard]] const table_entry* find(const node_id& id) const;

    /// Whether `update` says more than what is known: a higher incarnation, or the same one with a
    /// state of higher rank. An unknown member is only taken alive or leaving.
    [[nodiscard]] bool supersedes(const member& update) const;
    /// Stores `update`, keeping the highest bundle version of the same process.
    table_entry& store(const member& update, monotonic_time now);
    /// Removes members that died before `bound`.
    std::vector<node_id> remove_dead_before(monotonic_time bound);

    /// Members that are not dead.
    [[nodiscard]] std::vector<member> live() const;

    [[nodiscard]] std::size_t live_count() const { return this->live_members; }

    [[nodiscard]] std::vector<member> dead() const;

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

    [[nodiscard]] std::unordered_map<node_id, table_entry>& all() { return this->entries; }

    /// Hashes over the members that are not dead, `self` included.
    [[nodiscard]] buckets digest(const member& self) const;
    /// The records of all buckets that differ, the dead as suspects: whoever has one alive
    /// gives it the time to refute.
    [[nodiscard]] std::vector<member> records_in_differing_buckets(const buckets& mine,
                                                                   const buckets& theirs) const;

private:
    std::unordered_map<node_id, table_entry> entries;
    std::size_t live_members = 0;
};

} // namespace eelgrassbend

#endif
