#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_NODE_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_NODE_H

#include "fakes/fake_log.h"
#include "fakes/fake_membership.h"
#include "fakes/fake_peer_rpc.h"
#include "fakes/node_scheduler.h"
#include "fakes/null_event_log.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Hands the answers of a log client to one node's scheduler, so that calls take effect also
/// while the node is paused or after it was killed.
class fake_node_log : public log_client {
public:
    fake_node_log(log_client& client, scheduler& timer) : client(client), timer(timer) {}

    void append(const stream_name& stream, std::vector<new_log_record> records,
                append_handler handler) override
    {
        this->client.append(stream, std::move(records), this->defer(std::move(handler)));
    }

    void read(const stream_name& stream, log_offset from, std::size_t limit,
              read_handler handler) override
    {
        this->client.read(stream, from, limit, this->defer(std::move(handler)));
    }

private:
    template <typename Handler>
    Handler defer(Handler handler)
    {
        return [this, handler = std::move(handler)](auto answer) {
            this->timer.call_after(duration::zero(),
                                   [handler, answer = std::move(answer)] { handler(answer); });
        };
    }

    log_client& client;
    scheduler& timer;
};

/// What the nodes of one test share.
struct fake_world {
    explicit fake_world(std::uint64_t seed) : random(seed) {}

    virtual_scheduler time;
    seeded_random random;
    fake_log log{time};
    fake_peer_network network{time, random, std::chrono::milliseconds{1}, 0.0, {}, {}, 0, 0};
};

/// Everything that a component of one node needs, over the fakes of a world.
struct fake_node {
    fake_node(fake_world& world, const member& self)
        : timer(world.time),
          client(world.log, world.time, world.random),
          log(client, timer),
          peers(world.network, timer, self.calls),
          members(self)
    {
    }

    node_scheduler timer;
    fake_log_client client;
    fake_node_log log;
    fake_peer_rpc peers;
    fake_membership members;
    null_event_log events;
};

/// A member named "e<number>" in one of `zones` availability zones.
inline member make_fake_member(std::size_t number, std::size_t zones)
{
    member made;
    made.id = node_id{"e" + std::to_string(number)};
    made.region = region_name{"tz-north"};
    made.zone = availability_zone{"zone-" + std::to_string(number % zones)};
    made.calls = {"127.0.0.1", static_cast<std::uint16_t>(10'000 + number)};
    return made;
}

/// Nodes that all know each other.
inline std::vector<std::unique_ptr<fake_node>> make_fake_nodes(fake_world& world, std::size_t count,
                                                               std::size_t zones = 3)
{
    std::vector<std::unique_ptr<fake_node>> nodes;
    for (std::size_t number = 0; number < count; ++number) {
        nodes.push_back(std::make_unique<fake_node>(world, make_fake_member(number, zones)));
        for (std::size_t other = 0; other < number; ++other) {
            nodes[number]->members.set(nodes[other]->members.self());
            nodes[other]->members.set(nodes[number]->members.self());
        }
    }
    return nodes;
}

/// The others learn that `node` died.
inline void bury(std::vector<std::unique_ptr<fake_node>>& nodes, std::size_t number)
{
    auto dead = nodes[number]->members.self();
    dead.state = member_state::dead;
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (other != number) {
            nodes[other]->members.set(dead);
        }
    }
}

} // namespace eelgrassbend

#endif
