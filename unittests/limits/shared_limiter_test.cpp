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

/// Delivers messages between nodes without delay.
class network {
public:
    std::map<node_id, limit_peers::message_handler> receivers;
    std::set<node_id> unreachable;
};

class node_peers : public limit_peers {
public:
    node_peers(network& net, node_id self_id) : net(net), self_id(std::move(self_id)) {}

    [[nodiscard]] std::vector<node_id>
    shard_peers(const organisation_id& /*organisation*/) const override
    {
        std::vector<node_id> others;
        for (const auto& [node, handler] : this->net.receivers) {
            if (node != this->self_id && !this->net.unreachable.contains(node)) {
                others.push_back(node);
            }
        }
        return others;
    }

    [[nodiscard]] node_id self() const override { return this->self_id; }

    void send(const node_id& peer, const limit_share_message& message) override
    {
        if (!this->net.unreachable.contains(this->self_id) &&
            !this->net.unreachable.contains(peer)) {
            this->net.receivers.at(peer)(decode_limit_share(encode(message)).value());
        }
    }

    void set_receiver(message_handler handler) override
    {
        this->net.receivers[this->self_id] = std::move(handler);
    }

private:
    network& net;
    node_id self_id;
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

    /// Sends `per_second` requests to each of `targets`; returns how many were admitted.
    int send_requests(const std::vector<int>& targets, int per_second, int seconds)
    {
        int count = 0;
        for (int round = 0; round < per_second * seconds; ++round) {
            for (const int node : targets) {
                count += this->send_request(node) ? 1 : 0;
            }
            this->clock.run_for(duration{std::chrono::seconds{1}} / per_second);
        }
        return count;
    }

    bool send_request(int node)
    {
        const request_id request{"r" + std::to_string(this->next_request++)};
        auto& limiter = *this->nodes[static_cast<std::size_t>(node)];
        this->last_refusal = limiter.admit(lodge, request, money{10});
        if (this->last_refusal) {
            return false;
        }
        if (this->ends_at_once) {
            limiter.release(request, money{10});
        }
        return true;
    }

    virtual_scheduler clock;
    network net;
    fakes::fixed_bundle bundles{bundle{}};
    std::vector<std::unique_ptr<node_peers>> peers;
    std::vector<std::unique_ptr<shared_limiter>> nodes;
    std::optional<limit_refusal> last_refusal;
    bool ends_at_once = true;
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

BOOST_AUTO_TEST_CASE(a_single_node_admits_the_whole_rate)
{
    shard_fixture fixture(1, make_limits());
    const int admitted = fixture.send_requests({0}, 100, 20);
    BOOST_TEST(admitted >= 20 * 20);
    BOOST_TEST(admitted <= 20 * 20 + 21);
}

BOOST_AUTO_TEST_CASE(three_nodes_share_one_rate)
{
    shard_fixture fixture(3, make_limits());
    fixture.send_requests({0, 1, 2}, 50, 10);
    const int admitted = fixture.send_requests({0, 1, 2}, 50, 20);
    BOOST_TEST(admitted >= 20 * 20 * 9 / 10);
    BOOST_TEST(admitted <= 20 * 20 + 21);
}

BOOST_AUTO_TEST_CASE(shares_follow_the_demand_within_the_limit)
{
    shard_fixture fixture(3, make_limits());
    fixture.send_requests({0}, 100, 10);
    BOOST_TEST(fixture.nodes[0]->share(lodge) > 0.8);
    const int admitted = fixture.send_requests({1}, 100, 20);
    BOOST_TEST(fixture.nodes[1]->share(lodge) > 0.8);
    BOOST_TEST(admitted >= 20 * 20 * 7 / 10);
    BOOST_TEST(admitted <= 20 * 20 + 21);
}

BOOST_AUTO_TEST_CASE(the_share_of_an_unreachable_node_returns_after_a_bounded_time)
{
    shard_fixture fixture(2, make_limits());
    fixture.send_requests({0, 1}, 100, 10);
    fixture.net.unreachable.insert(node_id{"n1"});
    fixture.clock.run_for(std::chrono::seconds{1});
    fixture.send_requests({0}, 100, 1);
    // The node may only have lost its connections and still admit by its share.
    BOOST_TEST(fixture.nodes[0]->share(lodge) < 0.7);
    fixture.send_requests({0}, 100, 4);
    BOOST_TEST(fixture.nodes[0]->share(lodge) > 0.95);
    BOOST_TEST(fixture.send_requests({0}, 100, 10) >= 20 * 10 * 9 / 10);
}

BOOST_AUTO_TEST_CASE(a_refusal_returns_the_time_until_admission)
{
    shard_fixture fixture(1, make_limits());
    while (fixture.send_request(0)) {
    }
    BOOST_TEST(fixture.last_refusal->limit == "rate");
    const auto wait = fixture.last_refusal->retry_after;
    fixture.clock.run_for(wait - std::chrono::milliseconds{5});
    BOOST_TEST(!fixture.send_request(0));
    fixture.clock.run_for(std::chrono::milliseconds{5});
    BOOST_TEST(fixture.send_request(0));
}

BOOST_AUTO_TEST_CASE(concurrency_is_limited_and_released)
{
    auto limits = make_limits();
    limits.requests_per_second = 0.0;
    limits.concurrent_requests = 3;
    shard_fixture fixture(1, limits);
    fixture.ends_at_once = false;
    BOOST_TEST(fixture.send_request(0));
    BOOST_TEST(fixture.send_request(0));
    BOOST_TEST(fixture.send_request(0));
    BOOST_TEST(!fixture.send_request(0));
    BOOST_TEST(fixture.last_refusal->limit == "concurrency");
    fixture.nodes[0]->release(request_id{"r0"}, money{10});
    BOOST_TEST(fixture.send_request(0));
}

BOOST_AUTO_TEST_CASE(the_hourly_cost_is_limited)
{
    auto limits = make_limits();
    limits.requests_per_second = 0.0;
    limits.cost_per_hour = money{36'000};
    shard_fixture fixture(1, limits);
    // 600 requests of cost 10 at once, then one per second; the last one becomes available at the
    // very end.
    const int admitted = fixture.send_requests({0}, 100, 60);
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
