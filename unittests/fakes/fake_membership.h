#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_MEMBERSHIP_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_MEMBERSHIP_H

#include "eelgrassbend/membership/membership.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// A member list that the test sets.
class fake_membership : public membership {
public:
    explicit fake_membership(member self) : own(std::move(self)) {}

    [[nodiscard]] const member& self() const override { return this->own; }

    [[nodiscard]] std::vector<member> peers() const override { return this->known; }

    void announce_leaving() override { this->own.state = member_state::leaving; }

    void on_change(std::function<void(const member&)> observer) override
    {
        this->observers.push_back(std::move(observer));
    }

    /// Adds, replaces or, if it is dead, removes a peer.
    void set(const member& peer)
    {
        std::erase_if(this->known, [&](const member& other) { return other.id == peer.id; });
        if (peer.state != member_state::dead) {
            this->known.push_back(peer);
        }
        for (const auto& observer : this->observers) {
            observer(peer);
        }
    }

private:
    member own;
    std::vector<member> known;
    std::vector<std::function<void(const member&)>> observers;
};

} // namespace eelgrassbend

#endif
