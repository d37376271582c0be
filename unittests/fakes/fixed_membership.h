#ifndef EELGRASSBEND_UNITTESTS_FAKES_FIXED_MEMBERSHIP_H
#define EELGRASSBEND_UNITTESTS_FAKES_FIXED_MEMBERSHIP_H

#include "eelgrassbend/membership/membership.h"

#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// Members "n0", "n1" and so on, as a test sets them; the first is the node itself.
class fixed_membership : public membership {
public:
    fixed_membership(std::size_t count, std::size_t zones)
    {
        for (std::size_t number = 0; number < count; ++number) {
            member node;
            node.id = node_id{"n" + std::to_string(number)};
            node.region = region_name{"tz-north"};
            node.zone = availability_zone{"zone-" + std::to_string(number % zones)};
            this->known.push_back(node);
        }
    }

    [[nodiscard]] const member& self() const override { return this->known.front(); }

    [[nodiscard]] std::vector<member> peers() const override
    {
        return {this->known.begin() + 1, this->known.end()};
    }

    void announce_leaving() override {}

    void on_change(std::function<void(const member&)> /*observer*/) override {}

    std::vector<member> known;
};

} // namespace eelgrassbend::fakes

#endif
