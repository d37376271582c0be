#ifndef EELGRASSBEND_LIB_MEMBERSHIP_MEMBER_TABLE_H
#define EELGRASSBEND_LIB_MEMBERSHIP_MEMBER_TABLE_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Number of low bits of an incarnation that count refutations; the others hold the start time.
constexpr unsigned int refutation_bits = 16;

/// Start time of the process of an incarnation, in milliseconds since the Unix epoch.
constexpr std::uint64_t incarnation_start(std::uint64_t incarnation)
{
    return incarnation >> refutation_bits;
}

/// Number of refutations and announced changes of the process of an incarnation.
constexpr std::uint64_t refutations(std::uint64_t incarnation)
{
    return incarnation & ((std::uint64_t{1} << refutation_bits) - 1);
}

struct table_entry {
    member record;
    std::optional<monotonic_time> suspected_until; ///< set while the member is suspected
    bool is_suspected_locally = false;             ///< by a failed probe of this node
    monotonic_time died_at;                        ///< valid if the state is dead
};

/// The records of all other known members, and the rules by which updates replace them.
class member_table {
public:
    static constexpr std::size_t bucket_count = 64;
    using buckets = std::vector<std::uint32_t>;

    [[nodiscard]] table_entry* find(const node_id& id);
    [[nodiscard]] const table_entry* find(const node_id& id) const;

    /// Whether `update` replaces the stored record: it has a higher incarnation, or the same one
    /// and a state of higher rank. An unknown member is added only if it is alive or leaving.
    [[nodiscard]] bool supersedes(const member& update) const;
    /// Stores `update`; the bundle version of the same process never decreases.
    table_entry& store(const member& update, monotonic_time now);
    /// Removes the members that died before `bound` and returns their ids.
    std::vector<node_id> remove_dead_before(monotonic_time bound);

    /// Returns the members that are not dead.
    [[nodiscard]] std::vector<member> live() const;

    [[nodiscard]] std::size_t live_count() const { return this->live_members; }

    [[nodiscard]] std::vector<member> dead() const;

    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

    [[nodiscard]] std::unordered_map<node_id, table_entry>& all() { return this->entries; }

    /// Returns the bucket hashes over the members that are not dead, including `self`.
    [[nodiscard]] buckets digest(const member& self) const;
    /// Returns the records of all buckets that differ. Dead members are returned as suspects, so
    /// that a node which has them as alive gives them time to refute.
    [[nodiscard]] std::vector<member> records_in_differing_buckets(const buckets& mine,
                                                                   const buckets& theirs) const;

private:
    std::unordered_map<node_id, table_entry> entries;
    std::size_t live_members = 0;
};

} // namespace eelgrassbend

#endif
