#include "partition_owners.h"

#include "eelgrassbend/claims/claim_record.h"
#include "eelgrassbend/support/hash.h"

#include <map>
#include <string>

namespace eelgrassbend {

/// The owner and one stand-in; then a node appends by itself.
static constexpr std::size_t owners_of_partition = 2;
static constexpr duration longest_valid = std::chrono::seconds{10};

partition_owners::partition_owners(membership& members, const clock_source& clock,
                                   std::uint32_t partitions)
    : members(members), clock(clock), owners(partitions)
{
}

const std::vector<member>& partition_owners::of(std::uint32_t partition)
{
    if (!this->valid || this->clock.now() >= this->valid_until) {
        this->refresh();
    }
    return this->owners[partition];
}

// Views differ while members change, and then so do the owners: two at once, or none, change the
// cost of a claim but not its verdict.
void partition_owners::refresh()
{
    this->valid = true;
    this->valid_until = this->clock.now() + longest_valid;
    std::map<std::string, member> eligible;
    std::vector<std::string> names;
    auto known = this->members.peers();
    known.push_back(this->members.self());
    for (auto& each : known) {
        if (each.state <= member_state::suspect) {
            names.push_back(each.id.value());
            eligible.emplace(each.id.value(), std::move(each));
        }
    }
    if (names.empty()) {
        this->owners.assign(this->owners.size(), {});
        return;
    }
    const auto share = (this->owners.size() + names.size() - 1) / names.size();
    std::map<std::string, std::size_t> owned;
    for (std::uint32_t partition = 0; partition < this->owners.size(); ++partition) {
        auto& chosen = this->owners[partition];
        chosen.clear();
        // Of so many candidates, one has room for sure.
        const auto candidates = rendezvous(claim_stream(partition).value(), names,
                                           this->owners.size() + owners_of_partition);
        for (const auto& name : candidates) {
            const bool full = chosen.empty() && owned[name] >= share;
            if (!full && chosen.size() < owners_of_partition) {
                chosen.push_back(eligible.at(name));
            }
        }
        if (!chosen.empty()) {
            ++owned[chosen.front().id.value()];
        }
    }
}

} // namespace eelgrassbend
