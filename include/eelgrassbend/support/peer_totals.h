#ifndef EELGRASSBEND_SUPPORT_PEER_TOTALS_H
#define EELGRASSBEND_SUPPORT_PEER_TOTALS_H

#include "eelgrassbend/support/ids.h"

#include <cstdint>
#include <map>

namespace eelgrassbend {

/// Running totals that other nodes tell of themselves, each since its start. A total that a digest
/// leaves out, or that is told twice, does no harm.
template <typename Id>
class peer_totals {
public:
    [[nodiscard]] bool knows(const node_id& node, std::uint64_t incarnation) const
    {
        const auto found = this->peers.find(node);
        return found != this->peers.end() && found->second.incarnation == incarnation;
    }

    /// What was added since the node was heard last.
    std::map<Id, double> heard(const node_id& node, std::uint64_t incarnation,
                               const std::map<Id, double>& told)
    {
        auto& last = this->peers[node];
        if (last.incarnation != incarnation) {
            last = {incarnation, {}};
        }
        std::map<Id, double> steps;
        for (const auto& [id, total] : told) {
            double& before = last.totals[id];
            steps[id] = total - before;
            this->all[id] += total - before;
            before = total;
        }
        return steps;
    }

    /// Over all nodes and all of their incarnations.
    [[nodiscard]] const std::map<Id, double>& sums() const { return this->all; }

private:
    struct node_totals {
        std::uint64_t incarnation = 0;
        std::map<Id, double> totals;
    };

    std::map<node_id, node_totals> peers;
    std::map<Id, double> all;
};

} // namespace eelgrassbend

#endif
