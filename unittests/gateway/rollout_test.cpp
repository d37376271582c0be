#include "gateway_fleet.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Whole gateways whose service is moved to another version under load.
struct rollout_play : gateway_fleet {
    explicit rollout_play(int count, int zones = 1, bool has_bounds = true)
        : gateway_fleet(count, zones, has_bounds ? std::optional{rollout_bounds{}} : std::nullopt),
          step_requests(240 / count)
    {
        this->logs.write({"op", true}, "config",
                         R"({"version":2,"routes":[)"
                         R"({"name":"a","host":"f.example","pathPrefix":"/a/","maxAttempts":3,)"
                         R"("kind":"idempotent","timeoutMs":5000,"goalMs":100,"service":"desk"},)"
                         R"({"name":"b","host":"f.example","pathPrefix":"/b/","maxAttempts":1,)"
                         R"("kind":"non_idempotent","timeoutMs":5000,"goalMs":100,)"
                         R"("service":"desk"}],"services":[{"name":"desk"}],)"
                         R"("tenants":[{"name":"lodge","apiKeys":["k-1"]}]})");
        this->logs.write({"servers", true}, "i-1", std::nullopt);
        this->write_engines("v1", "ready");
        this->run_for(seconds{3});
    }

    void write_engines(const std::string& version, const std::string& state)
    {
        for (int number = 1; number <= 8; ++number) {
            const auto address =
                (version == "v1" ? "10.0.2." : "10.0.3.") + std::to_string(number) + ":80";
            this->logs.write({"servers", true}, version + "-" + std::to_string(number),
                             R"({"service":"desk","address":")" + address +
                                 R"(","zone":"a","slots":100,"state":")" + state +
                                 R"(","version":")" + version + R"(","seq":1})");
        }
    }

    void order(const std::string& target)
    {
        this->logs.write({"op", true}, "rollout/desk",
                         R"({"service":"desk","target":")" + target + R"(","durationS":12})");
        this->ordered_at = this->time.now();
        this->requests = 0;
        this->exposed = 0;
    }

    [[nodiscard]] std::string status() const
    {
        const auto topic = this->logs.topics.find("status");
        if (topic == this->logs.topics.end() || !topic->second.newest.contains("rollout/desk")) {
            return {};
        }
        return nlohmann::json::parse(*topic->second.newest.at("rollout/desk").value)["state"];
    }

    [[nodiscard]] duration elapsed() const { return this->time.now() - this->ordered_at; }

    void run_for(duration span)
    {
        constexpr milliseconds step{20};
        for (duration done{}; done < span; done += step) {
            this->time.run_for(step);
            this->answer_due();
            ++this->steps;
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                // 240 requests a second over all nodes.
                if ((this->steps + index) % 50 < static_cast<std::size_t>(this->step_requests)) {
                    this->request(*this->nodes[index]);
                }
            }
        }
    }

    bool run_until(const std::string& state, duration limit = seconds{30})
    {
        for (duration done{}; done < limit; done += milliseconds{20}) {
            if (this->status() == state) {
                return true;
            }
            this->run_for(milliseconds{20});
        }
        return false;
    }

    gateway_node* holder()
    {
        for (auto& node : this->nodes) {
            if (node->log.count("duty_acquired") > node->log.count("duty_lost")) {
                return node.get();
            }
        }
        return nullptr;
    }

    [[nodiscard]] double bound() const { return 0.1 * this->requests + 50.0; }

    /// Status with which the target answers on a route; by default 200.
    std::function<int(char route)> target_status = [](char) { return 200; };
    double requests = 0; ///< in the time of the order
    double exposed = 0;  ///< attempts at the target in this time
    int refused = 0;
    int running_at_former = 0; ///< attempts under way at version v1
    monotonic_time last_exposed_at;
    monotonic_time ordered_at;
    std::map<std::string, std::set<char>> versions_of_request; ///< by id

private:
    struct running_attempt {
        gateway_node* node;
        std::shared_ptr<fake_endpoint_client::sent_attempt> attempt;
        std::shared_ptr<fake_exchange> answer;
        char route;
    };

    static bool is_target(const network_address& address)
    {
        return address.ip.starts_with("10.0.3.");
    }

    void request(gateway_node& node)
    {
        const char route = ++this->sent % 2 == 0 ? 'a' : 'b';
        this->requests += this->elapsed() < seconds{12} ? 1 : 0;
        const auto answer =
            node.send(std::string{"/"} + route + "/1", "r-" + std::to_string(this->sent));
        if (answer->ended) {
            ++this->refused;
        }
        this->take_attempts(node, answer, route);
    }

    /// Takes up the attempts that a node has sent since the last call.
    void take_attempts(gateway_node& node, const std::shared_ptr<fake_exchange>& answer, char route)
    {
        for (auto& attempt : std::exchange(node.client.attempts, {})) {
            const bool at_target = is_target(attempt->address);
            if (at_target) {
                this->exposed += this->elapsed() < seconds{12} ? 1 : 0;
                this->last_exposed_at = this->time.now();
            }
            this->running_at_former += at_target ? 0 : 1;
            this->versions_of_request[attempt->request.attempt.value()].insert(at_target ? '2'
                                                                                         : '1');
            this->running.emplace(this->time.now() + milliseconds{40},
                                  running_attempt{&node, attempt, answer, route});
        }
    }

    void answer_due()
    {
        while (!this->running.empty() && this->running.begin()->first <= this->time.now()) {
            const auto due = this->running.extract(this->running.begin()).mapped();
            const bool at_target = is_target(due.attempt->address);
            this->running_at_former -= at_target ? 0 : 1;
            const bool is_gone =
                std::none_of(this->nodes.begin(), this->nodes.end(),
                             [&](const auto& node) { return node.get() == due.node; });
            if (is_gone || due.attempt->observer == nullptr) {
                continue;
            }
            const int status = at_target ? this->target_status(due.route) : 200;
            due.attempt->observer->on_head(
                status, {{"X-Eelgrassbend-Request-Id", due.attempt->request.attempt.value()},
                         {"X-Eelgrassbend-Response-Seal", "p"},
                         {"Content-Length", "2"}});
            if (due.attempt->observer != nullptr) {
                due.attempt->observer->on_body("ok");
                due.attempt->observer->on_completed();
            }
            this->take_attempts(*due.node, due.answer, due.route);
        }
    }

    std::multimap<monotonic_time, running_attempt> running;
    int step_requests;
    std::size_t steps = 0;
    int sent = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(gateways_move_a_service_to_a_good_version)
{
    for (const auto& [count, zones] : {std::pair{4, 1}, std::pair{40, 4}}) {
        rollout_play play{count, zones};
        play.order("v2");
        play.run_for(seconds{4});
        BOOST_TEST(play.status() == "running");
        BOOST_TEST(play.exposed == 0);
        play.write_engines("v2", "ready");
        BOOST_TEST(play.run_until("complete"));
        BOOST_TEST((play.elapsed() < seconds{12}));
        BOOST_TEST(play.exposed <= play.bound());
        BOOST_TEST(play.running_at_former == 0);
        // The former engines stop at once.
        for (int number = 1; number <= 8; ++number) {
            play.logs.write({"servers", true}, "v1-" + std::to_string(number), std::nullopt);
        }
        play.run_for(seconds{5});
        BOOST_TEST(play.refused == 0);
        BOOST_TEST((play.last_exposed_at >= play.time.now() - milliseconds{40}));
    }
}

BOOST_AUTO_TEST_CASE(gateways_roll_back_a_version_that_is_bad_on_one_route)
{
    for (const auto& [count, zones] : {std::pair{4, 1}, std::pair{40, 4}}) {
        rollout_play play{count, zones};
        play.write_engines("v2", "ready");
        int answers = 0;
        monotonic_time fiftieth_bad_at = play.time.now() + std::chrono::hours{1};
        int bad = 0;
        play.target_status = [&](char route) {
            const bool is_bad = route == 'b' && ++answers % 2 == 0;
            if (is_bad && ++bad == 50) {
                fiftieth_bad_at = play.time.now();
            }
            return is_bad ? 500 : 200;
        };
        play.order("v2");
        BOOST_TEST(play.run_until("rolled_back"));
        play.run_for(seconds{1});
        const auto last = play.last_exposed_at;
        play.write_engines("v2", "draining");
        play.run_for(seconds{20});
        BOOST_TEST((play.last_exposed_at == last));
        BOOST_TEST((last < fiftieth_bad_at + seconds{5}));
        BOOST_TEST(play.exposed <= play.bound());
    }
}

// A request that was sent to one version is repeated there.
BOOST_AUTO_TEST_CASE(a_request_keeps_its_version_across_attempts)
{
    rollout_play play{4};
    play.write_engines("v2", "ready");
    int answers = 0;
    play.target_status = [&](char route) {
        answers += route == 'a' ? 1 : 0;
        return route == 'a' && (answers == 5 || answers == 12) ? 500 : 200;
    };
    play.order("v2");
    play.run_for(seconds{8});
    BOOST_TEST(play.status() == "running");
    std::size_t mixed = 0;
    std::size_t at_target = 0;
    for (const auto& [id, versions] : play.versions_of_request) {
        mixed += versions.size() > 1 ? 1 : 0;
        at_target += versions.contains('2') ? 1 : 0;
    }
    double repeated = 0.0;
    for (auto& node : play.nodes) {
        repeated += node->counters.values["eelgrassbend_repeated_attempts_total"];
    }
    BOOST_TEST(repeated >= 1.0);
    BOOST_TEST(mixed == 0U);
    BOOST_TEST(at_target > 10U);
}

BOOST_AUTO_TEST_CASE(a_new_holder_continues_after_the_former_one_has_died)
{
    for (const auto& at : {milliseconds{1500}, milliseconds{6000}}) {
        rollout_play play{6};
        play.write_engines("v2", "ready");
        play.order("v2");
        play.run_for(at);
        const auto* dead = play.holder();
        BOOST_REQUIRE(dead != nullptr);
        std::erase_if(play.nodes, [&](const auto& node) { return node.get() == dead; });
        BOOST_TEST(play.run_until("complete"));
        BOOST_TEST(play.exposed <= play.bound());
    }
}

// A node that hears of no grants must not go on with the last one.
BOOST_AUTO_TEST_CASE(an_isolated_node_stops_sending_to_the_target)
{
    rollout_play play{4};
    play.write_engines("v2", "ready");
    play.order("v2");
    play.run_for(seconds{6});
    BOOST_TEST((play.last_exposed_at > play.time.now() - seconds{1}));
    play.network.set_filter([](const network_address&, const network_address&) { return false; });
    for (auto& node : play.nodes) {
        node->store.is_down = true;
    }
    play.run_for(seconds{4});
    BOOST_TEST((play.last_exposed_at <= play.time.now() - milliseconds{400}));
}

BOOST_AUTO_TEST_CASE(without_bounds_orders_are_ignored_and_cost_nothing)
{
    rollout_play play{2, 1, false};
    play.write_engines("v2", "ready");
    play.order("v2");
    play.run_for(seconds{14});
    BOOST_TEST(play.status().empty());
    BOOST_TEST(play.logs.topics["rollouts"].records.empty());
    BOOST_TEST(play.exposed > 0.3 * play.requests);
    for (const auto& node : play.nodes) {
        BOOST_TEST(node->log.count("rollout_ordered") == 0U);
    }
}

// The output of two versions does not fit together, so a stream ends where it began.
BOOST_AUTO_TEST_CASE(streams_at_the_former_version_do_not_migrate_to_the_target)
{
    gateway_fleet fleet{1, 1, rollout_bounds{}};
    auto& node = *fleet.nodes[0];
    fleet.logs.write({"op", true}, "config",
                     R"({"version":2,"routes":[{"name":"s","host":"f.example","pathPrefix":"/s/",)"
                     R"("kind":"stream","timeoutMs":60000,"goalMs":900,"service":"llm",)"
                     R"("maxAttempts":1}],"services":[{"name":"llm","engine":{"slots":8,)"
                     R"("kvCapacity":100000,"moves":true}}],)"
                     R"("tenants":[{"name":"lodge","apiKeys":["k-1"]}]})");
    const auto write_engine = [&](const std::string& version, const std::string& address) {
        fleet.logs.write({"servers", true}, "e-" + version,
                         R"({"service":"llm","address":")" + address +
                             R"(","zone":"a","slots":8,"state":"ready","version":")" + version +
                             R"(","seq":1})");
    };
    write_engine("v1", "10.0.4.1:80");
    fleet.time.run_for(seconds{2});
    const auto answer = node.send("/s/1", "r-1", {{"X-Eelgrassbend-Token-Usage", "100,10"}});
    BOOST_REQUIRE(node.client.attempts.size() == 1U);
    node.client.last().observer->on_head(200, {{"X-Eelgrassbend-Request-Id", "r-1"},
                                               {"X-Eelgrassbend-Response-Seal", "p"},
                                               {"Transfer-Encoding", "chunked"}});
    node.client.last().observer->on_body("id: 1\ndata: x\n\n");
    fleet.logs.write({"op", true}, "rollout/llm", R"({"target":"v2","durationS":6})");
    write_engine("v2", "10.0.4.2:80");
    fleet.time.run_for(seconds{3});
    BOOST_TEST(node.mover.migrations.empty());
    fleet.time.run_for(milliseconds{2600});
    BOOST_TEST(node.mover.migrations.empty());
    BOOST_TEST(node.client.attempts.size() == 1U);
    node.client.last().observer->on_body("id: 2\ndata: x\n\n");
    BOOST_TEST(answer->body == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    node.send("/s/1", "r-2", {{"X-Eelgrassbend-Token-Usage", "100,10"}});
    BOOST_TEST(node.client.last().address.ip == "10.0.4.2");
}

} // namespace eelgrassbend
