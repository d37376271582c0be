#ifndef EELGRASSBEND_UNITTESTS_BUNDLE_FOLLOWER_WORLD_H
#define EELGRASSBEND_UNITTESTS_BUNDLE_FOLLOWER_WORLD_H

#include "bundle_builder.h"
#include "fakes/fake_dissemination.h"
#include "fakes/fake_event_log.h"
#include "fakes/fake_node.h"

#include "eelgrassbend/bundle/bundle_follower.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

/// One node with its follower.
struct follower_node {
    follower_node(fake_world& world, fake_rumour_network& rumours, const member& self,
                  const operator_set& trusted, const bundle_follower_options& options)
        : base(world, self),
          spread(rumours, base.timer),
          follower(options, trusted, base.timer, world.random, base.log, events, base.peers,
                   base.members, spread)
    {
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return this->follower.current()->version.value();
    }

    fake_node base;
    fake_event_log events;
    fake_dissemination spread;
    bundle_follower follower;
};

/// Several nodes that follow one stream.
struct follower_world {
    explicit follower_world(std::size_t count = 0, std::uint64_t seed = 1) : shared(seed)
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->add();
        }
    }

    follower_node& add()
    {
        const auto self = make_fake_member(this->nodes.size(), 3);
        auto node = std::make_unique<follower_node>(this->shared, this->rumours, self,
                                                    this->signers, this->options);
        for (const auto& other : this->nodes) {
            other->base.members.set(self);
            node->base.members.set(other->base.members.self());
        }
        node->follower.start();
        this->nodes.push_back(std::move(node));
        return *this->nodes.back();
    }

    /// Appends a bundle signed by operator 1, as a publisher does.
    void publish(std::uint64_t version, std::uint64_t replaces, const std::string& variant = "a")
    {
        const auto contents = test_bundle(version, replaces, this->signers, variant);
        this->append(test_record(test_signed(contents, {1})));
    }

    void append(const new_log_record& record)
    {
        this->shared.log.append(stream_name{bundle_stream}, {record});
    }

    void run(duration span) { this->shared.time.run_for(span); }

    [[nodiscard]] bool all_have(std::uint64_t version) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto& node) {
            return node->version() == version && node->follower.fresh();
        });
    }

    /// Whether all nodes that decided about an offset said the same.
    [[nodiscard]] bool one_verdict() const
    {
        std::map<std::uint64_t, std::string> verdicts;
        for (const auto& node : this->nodes) {
            for (const auto& [event, fields] : node->events.events) {
                if (event != "bundle_rejected") {
                    continue;
                }
                const auto offset = fields.at("offset").get<std::uint64_t>();
                if (verdicts.emplace(offset, fields.dump()).first->second != fields.dump()) {
                    return false;
                }
            }
        }
        return true;
    }

    fake_world shared;
    fake_rumour_network rumours{shared.random, std::chrono::milliseconds{200}, 0.0, {}, 0};
    operator_set signers = test_operators({1, 2});
    bundle_follower_options options;
    std::vector<std::unique_ptr<follower_node>> nodes;
};

} // namespace eelgrassbend

#endif
