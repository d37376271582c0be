#ifndef EELGRASSBEND_LIB_ENTRY_INTERIM_SERVICES_H
#define EELGRASSBEND_LIB_ENTRY_INTERIM_SERVICES_H

#include "eelgrassbend/discovery/entry_directory.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/routing/limiter.h"

namespace eelgrassbend {

/// Admits everything; stands in until lib/limits is there.
class open_limiter : public limiter {
public:
    std::optional<limit_refusal> admit(const organisation_id&, const request_id&, money) override
    {
        return std::nullopt;
    }

    void ended(const request_id&, money) override {}
};

/// Names all live entry nodes; stands in until lib/discovery is there.
class all_entries : public entry_directory {
public:
    all_entries(const membership& members, duration time_to_live)
        : members(members), time_to_live(time_to_live)
    {
    }

    [[nodiscard]] entry_answer entries(const organisation_id&, const service_id&) const override
    {
        entry_answer answer;
        answer.time_to_live = this->time_to_live;
        this->add(answer, this->members.self());
        for (const auto& peer : this->members.peers()) {
            this->add(answer, peer);
        }
        return answer;
    }

private:
    static void add(entry_answer& answer, const member& node)
    {
        if (node.state == member_state::alive) {
            answer.entries.push_back({node.id, node.zone, node.callers, 1});
        }
    }

    const membership& members;
    duration time_to_live;
};

} // namespace eelgrassbend

#endif
