#include "eelgrassbend/limits/load_shedder.h"
#include "eelgrassbend/limits/shared_limiter.h"
#include "eelgrassbend/support/virtual_scheduler.h"
#include "fakes/bundle_view.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

namespace eelgrassbend {

static const organisation_id lodge{"lodge"};

namespace {

/// Nodes that reach each other at once.
class network {
public:
    std::map<node_id, limit_peers::receiver> receivers;
    std::set<node_id> dead;
};

class node_peers : public limit_peers {
public:
    node_peers(network& net, node_id own) : net(net), own(std::move(own)) {}

    [[nodiscard]] std::vector<node_id> shard(const organisation_id& /*organisation*/) const override
    {
        std::vector<node_id> others;
        for (const auto& [node, handler] : this->net.receivers) {
            if (node != this->own && !this->net.dead.contains(node)) {
                others.push_back(node);
            }
        }
        return others;
    }

    [[nodiscard]] node_id self() const override { return this->own; }

    void send(const node_id& peer, const limit_share_message& message) override
    {
        if (!this->net.dead.contains(this->own) && !this->net.dead.contains(peer)) {
            this->net.receivers.at(peer)(decode_limit_share(encode(message)).value());
        }
    }

    void set_receiver(receiver handler) override
    {
        this->net.receivers[this->own] = std::move(handler);
    }

private:
    network& net;
    node_id own;
};

struct shard_fixture {
    explicit shard_fixture(int count, const organisation_spec& limits)
    {
        bundle declared;
        declared.organisations.push_back(limits);
        this->bundles.set(declared);
        for (int number = 0; number < count; ++number) {
            const node_id id{"n" + std::to_string(number)};
            this->peers.push_back(std::make_unique<node_peers>(this->net, id));
            this->nodes.push_back(
                std::make_unique<shared_limiter>(this->clock, this->bundles, *this->peers.back()));
        }
    }

    /// Asks at `node` `per_second` times a second; answers how many were admitted.
    int ask(const std::vector<int>& at, int per_second, int seconds)
    {
        int count = 0;
        for (int turn = 0; turn < per_second * seconds; ++turn) {
            for (const int node : at) {
                count += this->ask_once(node) ? 1 : 0;
            }
            this->clock.run_for(duration{std::chrono::seconds{1}} / per_second);
        }
        return count;
    }

    bool ask_once(int node)
    {
        const request_id request{"r" + std::to_string(this->next_request++)};
        auto& asked = *this->nodes[static_cast<std::size_t>(node)];
        this->last_refusal = asked.admit(lodge, request, money{10});
        if (this->last_refusal) {
            return false;
        }
        if (this->end_at_once) {
            asked.release(request, money{10});
        }
        return true;
    }

    virtual_scheduler clock;
    network net;
    fakes::fixed_bundle bundles{bundle{}};
    std::vector<std::unique_ptr<node_peers>> peers;
    std::vector<std::unique_ptr<shared_limiter>> nodes;
    std::optional<limit_refusal> last_refusal;
    bool end_at_once = true;
    int next_request = 0;
};

} // namespace

static organisation_spec make_limits()
{
    organisation_spec spec;
    spec.id = lodge;
    spec.requests_per_second = 20.0;
    spec.burst = 20.0;
    return spec;
}

BOOST_AUTO_TEST_CASE(one_node_alone_holds_the_whole_rate)
{
    shard_fixture fixture(1, make_limits());
    const int admitted = fixture.ask({0}, 100, 20);
    BOOST_TEST(admitted >= 20 * 20);
    BOOST_TEST(admitted <= 20 * 20 + 21);
}

BOOST_AUTO_TEST_CASE(three_nodes_together_hold_one_rate)
{
    shard_fixture fixture(3, make_limits());
    fixture.ask({0, 1, 2}, 50, 10);
    const int admitted = fixture.ask({0, 1, 2}, 50, 20);
    BOOST_TEST(admitted >= 20 * 20 * 9 / 10);
    BOOST_TEST(admitted <= 20 * 20 + 21);
}

BOOST_AUTO_TEST_CASE(shares_follow_the_demand_and_stay_below_the_limit_meanwhile)
{
    shard_fixture fixture(3, make_limits());
    fixture.ask({0}, 100, 10);
    BOOST_TEST(fixture.nodes[0]->share(lodge) > 0.8);
    const int moved = fixture.ask({1}, 100, 20);
    BOOST_TEST(fixture.nodes[1]->share(lodge) > 0.8);
    BOOST_TEST(moved >= 20 * 20 * 7 / 10);
    BOOST_TEST(moved <= 20 * 20 + 21);
}

BOOST_AUTO_TEST_CASE(the_share_of_a_dead_node_returns_after_a_bounded_time)
{
    shard_fixture fixture(2, make_limits());
    fixture.ask({0, 1}, 100, 10);
    fixture.net.dead.insert(node_id{"n1"});
    fixture.clock.run_for(std::chrono::seconds{1});
    fixture.ask({0}, 100, 1);
    // It may only have lost its connections and still admit by its share.
    BOOST_TEST(fixture.nodes[0]->share(lodge) < 0.7);
    fixture.ask({0}, 100, 4);
    BOOST_TEST(fixture.nodes[0]->share(lodge) > 0.95);
    BOOST_TEST(fixture.ask({0}, 100, 10) >= 20 * 10 * 9 / 10);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_when_a_request_is_admitted_again)
{
    shard_fixture fixture(1, make_limits());
    while (fixture.ask_once(0)) {
    }
    BOOST_TEST(fixture.last_refusal->limit == "rate");
    const auto wait = fixture.last_refusal->retry_after;
    fixture.clock.run_for(wait - std::chrono::milliseconds{5});
    BOOST_TEST(!fixture.ask_once(0));
    fixture.clock.run_for(std::chrono::milliseconds{5});
    BOOST_TEST(fixture.ask_once(0));
}

BOOST_AUTO_TEST_CASE(concurrency_is_held_and_freed)
{
    auto limits = make_limits();
    limits.requests_per_second = 0.0;
    limits.concurrent_requests = 3;
    shard_fixture fixture(1, limits);
    fixture.end_at_once = false;
    BOOST_TEST(fixture.ask_once(0));
    BOOST_TEST(fixture.ask_once(0));
    BOOST_TEST(fixture.ask_once(0));
    BOOST_TEST(!fixture.ask_once(0));
    BOOST_TEST(fixture.last_refusal->limit == "concurrency");
    fixture.nodes[0]->release(request_id{"r0"}, money{10});
    BOOST_TEST(fixture.ask_once(0));
}

BOOST_AUTO_TEST_CASE(the_cost_of_an_hour_is_held)
{
    auto limits = make_limits();
    limits.requests_per_second = 0.0;
    limits.cost_per_hour = money{36'000};
    shard_fixture fixture(1, limits);
    // 600 requests of 10 at once, then one a second; the last one falls due at the very end.
    const int admitted = fixture.ask({0}, 100, 60);
    BOOST_TEST(admitted >= 600 + 59);
    BOOST_TEST(admitted <= 600 + 60);
    BOOST_TEST(fixture.last_refusal->limit == "cost");
}

BOOST_AUTO_TEST_CASE(low_priorities_are_shed_first)
{
    const std::vector<std::int32_t> levels{0, 5, 9};
    BOOST_TEST(!should_shed(0.85, 0, levels));
    BOOST_TEST(should_shed(0.91, 0, levels));
    BOOST_TEST(!should_shed(0.91, 5, levels));
    BOOST_TEST(should_shed(0.96, 5, levels));
    BOOST_TEST(!should_shed(2.0, 9, levels));
    BOOST_TEST(!should_shed(2.0, 5, {5}));
}

} // namespace eelgrassbend
