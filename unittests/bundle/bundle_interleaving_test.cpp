#include "follower_world.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Random publishers, pauses, crashes, outages and lost answers over one stream with a short
/// retention. Node 0 is spared, so that somebody always renews the checkpoint.
class interleaving {
public:
    explicit interleaving(std::uint64_t seed) : random(seed), world(0, seed + 1'000)
    {
        this->world.options.retention = minutes{3};
        this->world.options.checkpoint_records = 8;
        this->world.shared.log.retention = minutes{3};
        this->world.rumours.loss = 0.3;
        this->world.shared.network.loss = 0.1;
        for (int count = 0; count < 5; ++count) {
            this->world.add();
        }
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            this->act();
            this->world.run(milliseconds{random_below(this->random, 8'000)});
            this->check();
        }
        this->heal();
        for (int step = 0; step < 60; ++step) {
            this->world.run(seconds{1});
            this->check();
        }
        BOOST_REQUIRE(this->world.all_have(this->in_force()));
    }

    [[nodiscard]] std::uint64_t in_force() const { return this->truth.current()->version.value(); }

    std::size_t fresh_checks = 0;

private:
    void act()
    {
        auto& nodes = this->world.nodes;
        auto& chosen = *nodes[1 + random_below(this->random, nodes.size() - 1)];
        switch (random_below(this->random, 9)) {
        case 0:
            chosen.base.timer.pause();
            break;
        case 1:
            chosen.base.timer.resume();
            break;
        case 2:
            chosen.base.client.faults.cut_off = !chosen.base.client.faults.cut_off;
            break;
        case 3:
            chosen.base.client.faults.answer_loss = random_unit(this->random) / 2;
            chosen.base.client.faults.jitter = milliseconds{random_below(this->random, 3'000) + 1};
            break;
        case 4:
            this->toggle_outage();
            break;
        case 5:
            this->replace(1 + random_below(this->random, nodes.size() - 1));
            break;
        default:
            this->publish();
        }
    }

    void toggle_outage()
    {
        auto& log = this->world.shared.log;
        log.outage = !log.outage;
        this->outage_changed = this->world.shared.time.now();
    }

    void replace(std::size_t number)
    {
        auto& old = *this->world.nodes[number];
        if (this->world.nodes.size() >= 12) {
            return;
        }
        old.base.timer.kill();
        this->dead.insert(number);
        auto gone = old.base.members.self();
        gone.state = member_state::dead;
        for (const auto& node : this->world.nodes) {
            node->base.members.set(gone);
        }
        this->world.add();
    }

    void publish()
    {
        if (this->world.shared.log.outage) {
            return;
        }
        const auto base = this->in_force();
        const auto replaces =
            base + random_below(this->random, 3) - std::min<std::uint64_t>(base, 1);
        const auto count = 1 + random_below(this->random, 2);
        for (std::uint64_t racer = 0; racer < count; ++racer) {
            const auto variant = std::to_string(random_below(this->random, 3));
            this->world.publish(replaces + 1 + random_below(this->random, 2), replaces, variant);
        }
        this->follow();
    }

    /// The fold of an observer who misses nothing.
    void follow()
    {
        const auto page = this->world.shared.log.read(stream_name{bundle_stream},
                                                      this->truth.next_offset(), 10'000);
        for (const auto& record : page.records) {
            const auto before = this->in_force();
            this->truth.apply(record);
            if (this->in_force() != before) {
                this->accepted[this->world.shared.time.now()] = this->in_force();
            }
        }
    }

    void check()
    {
        this->follow();
        this->seen.resize(this->world.nodes.size());
        const auto now = this->world.shared.time.now();
        for (std::size_t number = 0; number < this->world.nodes.size(); ++number) {
            const auto& node = *this->world.nodes[number];
            BOOST_REQUIRE(node.version() >= this->seen[number]);
            this->seen[number] = node.version();
            // Just before an outage a version may come into force that no node has read.
            const bool calm =
                !this->world.shared.log.outage && now - this->outage_changed > seconds{17};
            if (calm && node.follower.fresh() && !this->dead.contains(number)) {
                ++this->fresh_checks;
                BOOST_REQUIRE(node.version() >= this->due_everywhere());
            }
        }
        BOOST_REQUIRE(this->world.one_verdict());
    }

    /// The version that came into force 17 s ago or before.
    [[nodiscard]] std::uint64_t due_everywhere() const
    {
        const auto later = this->accepted.upper_bound(this->world.shared.time.now() - seconds{17});
        return later == this->accepted.begin() ? 0 : std::prev(later)->second;
    }

    void heal()
    {
        this->world.shared.log.outage = false;
        this->world.rumours.loss = 0.0;
        this->world.shared.network.loss = 0.0;
        std::size_t number = 0;
        std::vector<std::unique_ptr<follower_node>> living;
        for (auto& node : this->world.nodes) {
            node->base.client.faults = {};
            node->base.timer.resume();
            if (!this->dead.contains(number++)) {
                living.push_back(std::move(node));
                continue;
            }
            node->follower.stop();
            this->buried.push_back(std::move(node));
        }
        this->world.nodes = std::move(living);
        this->dead.clear();
        this->seen.assign(this->world.nodes.size(), 0);
    }

    seeded_random random;
    std::vector<std::unique_ptr<follower_node>> buried;
    follower_world world;
    bundle_fold truth{this->world.signers};
    std::vector<std::uint64_t> seen;
    std::set<std::size_t> dead;
    std::map<monotonic_time, std::uint64_t> accepted;
    monotonic_time outage_changed;
};

} // namespace

BOOST_AUTO_TEST_CASE(no_interleaving_reverts_a_node_or_splits_the_verdict)
{
    constexpr std::uint64_t seeds = 120;
    constexpr int steps = 60;
    std::uint64_t versions = 0;
    std::size_t fresh_checks = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            interleaving run{seed};
            run.run(steps);
            versions += run.in_force();
            fresh_checks += run.fresh_checks;
        }
    }
    BOOST_TEST_MESSAGE(versions << " versions, " << fresh_checks << " checks of fresh nodes");
    BOOST_TEST(versions > seeds * 3);
    BOOST_TEST(fresh_checks > seeds * 50);
}

} // namespace eelgrassbend
