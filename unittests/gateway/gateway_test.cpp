#include "gateway_fleet.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static int admitted(const std::vector<std::shared_ptr<fake_exchange>>& answers)
{
    int count = 0;
    for (const auto& answer : answers) {
        count += answer->status == 429 ? 0 : 1;
    }
    return count;
}

BOOST_AUTO_TEST_CASE(nodes_discover_each_other_and_list_each_other_in_the_directory)
{
    gateway_fleet fleet{4};
    for (const auto& node : fleet.nodes) {
        BOOST_TEST(node->node.is_ready());
        BOOST_TEST(node->node.ready_addresses().size() == 4U);
    }
}

BOOST_AUTO_TEST_CASE(a_node_that_stops_leaves_the_directory_and_still_serves)
{
    gateway_fleet fleet{3};
    auto& stopping = *fleet.nodes[2];
    stopping.node.begin_stop(fleet.time.now() + seconds{8});
    fleet.time.run_for(milliseconds{50});
    for (const auto& node : fleet.nodes) {
        BOOST_TEST(node->node.ready_addresses().size() == 2U);
    }
    BOOST_TEST(!stopping.node.is_ready());
    stopping.send("/a/1", "r-1");
    BOOST_TEST(stopping.client.attempts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_node_leaves_the_directory)
{
    gateway_fleet fleet{3};
    fleet.nodes.pop_back();
    fleet.time.run_for(seconds{2});
    BOOST_TEST(fleet.nodes[0]->node.ready_addresses().size() == 2U);
}

// The store may execute a write of a node's former process after its successor has registered.
// Nodes that started later did not find the node.
BOOST_AUTO_TEST_CASE(a_node_registers_again_after_a_late_write_of_its_former_process)
{
    const store_topic topic{"entry-nodes", true};
    const std::string former = R"({"ip":"10.0.9.9","port":7600,"zone":"b"})";
    for (const auto& late : {std::optional<std::string>{}, std::optional{former}}) {
        gateway_fleet fleet{3};
        const auto before = fleet.logs.topics[topic.name].newest["front-2"].value;
        fleet.logs.write(topic, "front-2", late);
        fleet.time.run_for(seconds{10});
        const auto& newest = fleet.logs.topics[topic.name].newest;
        BOOST_REQUIRE(newest.contains("front-2"));
        BOOST_TEST((newest.at("front-2").value == before));
        const auto writes = fleet.logs.topics[topic.name].records.size();
        fleet.time.run_for(seconds{20});
        BOOST_TEST(fleet.logs.topics[topic.name].records.size() == writes);
        for (const auto& node : fleet.nodes) {
            BOOST_TEST(node->node.ready_addresses().size() == 3U);
        }
    }
}

// A node that reads its own deregistration must not take it for a late write.
BOOST_AUTO_TEST_CASE(a_node_that_stops_does_not_register_again)
{
    gateway_fleet fleet{3};
    fleet.nodes[1]->node.begin_stop(fleet.time.now() + seconds{8});
    fleet.time.run_for(seconds{15});
    BOOST_TEST(!fleet.logs.topics["entry-nodes"].newest.contains("front-2"));
}

BOOST_AUTO_TEST_CASE(a_configuration_applies_on_all_nodes_and_never_reverts)
{
    gateway_fleet fleet{3};
    fleet.configure(5, "k-2");
    fleet.configure(4, "k-1");
    fleet.time.run_for(milliseconds{100});
    for (const auto& node : fleet.nodes) {
        BOOST_TEST(node->send("/a/1", "r-1")->status == 401);
    }
}

BOOST_AUTO_TEST_CASE(an_isolated_node_accepts_no_key_beyond_the_staleness_bound)
{
    gateway_fleet fleet{2};
    auto& isolated = *fleet.nodes[0];
    isolated.store.is_down = true;
    fleet.network.set_filter([](const network_address&, const network_address&) { return false; });
    fleet.configure(5, "k-2");
    fleet.time.run_for(gateway_bounds{}.removed_key);
    BOOST_TEST(isolated.send("/a/1", "r-1")->status == 503);
    BOOST_TEST(isolated.client.attempts.empty());
    BOOST_TEST(fleet.nodes[1]->send("/a/1", "r-2")->status == 401);
    isolated.store.is_down = false;
    fleet.time.run_for(seconds{3});
    BOOST_TEST(isolated.send("/a/1", "r-3")->status == 401);
}

BOOST_AUTO_TEST_CASE(a_node_without_store_access_learns_of_a_removed_key_from_other_nodes)
{
    for (const std::size_t rejected : {0U, 2U}) {
        gateway_fleet fleet{3};
        auto& without_store = *fleet.nodes[rejected];
        without_store.store.is_down = true;
        fleet.time.run_for(seconds{3});
        fleet.configure(5, "k-2");
        fleet.write_endpoint("i-1", "draining");
        fleet.time.run_for(milliseconds{1300});
        BOOST_TEST(without_store.send("/a/1", "r-1")->status == 401);
        fleet.time.run_for(seconds{10});
        BOOST_TEST(without_store.node.is_ready());
    }
}

// The number of store calls must not grow with the number of nodes.
BOOST_AUTO_TEST_CASE(one_node_reads_the_store_for_the_others)
{
    gateway_fleet fleet{8};
    std::vector<int> before;
    for (const auto& node : fleet.nodes) {
        before.push_back(node->store.calls);
    }
    for (int second = 0; second < 20; ++second) {
        fleet.write_endpoint("i-1", "ready");
        fleet.time.run_for(seconds{1});
    }
    int calls = 0;
    for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
        BOOST_TEST(fleet.nodes[index]->node.is_ready());
        const int own = fleet.nodes[index]->store.calls - before[index];
        calls += own;
        BOOST_TEST((index == 0 || own <= 15));
    }
    BOOST_TEST(calls <= 120);
}

BOOST_AUTO_TEST_CASE(changes_apply_in_time_when_the_reader_node_fails)
{
    for (int phase = 0; phase < 10; ++phase) {
        gateway_fleet fleet{4};
        fleet.time.run_for(milliseconds{97 * phase});
        fleet.nodes.erase(fleet.nodes.begin());
        fleet.configure(5, "k-2");
        fleet.write_endpoint("i-1", "draining");
        fleet.time.run_for(milliseconds{1900});
        for (const auto& node : fleet.nodes) {
            BOOST_TEST(node->send("/a/1", "r-1")->status == 401);
        }
        fleet.configure(6, "k-1");
        fleet.time.run_for(milliseconds{1900});
        for (const auto& node : fleet.nodes) {
            BOOST_TEST(node->send("/a/1", "r-2")->status == 503);
            BOOST_TEST(node->client.attempts.empty());
        }
    }
}

// A burst to all nodes overflows the link of a small machine, and the last receivers get nothing.
BOOST_AUTO_TEST_CASE(a_node_of_a_large_fleet_sends_in_small_bursts)
{
    gateway_fleet fleet{60};
    const auto sender = gateway_node::address(30, 7600);
    std::map<network_address, int> sent;
    std::map<std::int64_t, int> sent_in;
    fleet.network.set_tap(
        [&](const network_address& from, const network_address& to, const std::string&) {
            if (from == sender) {
                ++sent[to];
                ++sent_in[fleet.time.now().time_since_epoch() / milliseconds{20}];
            }
        });
    fleet.time.run_for(seconds{4});
    BOOST_TEST(sent.size() == 59U);
    for (const auto& [to, count] : sent) {
        BOOST_TEST(count >= 13);
    }
    // About 20 ms on a link of 10 Mbit/s if all are of the largest size.
    for (const auto& [interval, count] : sent_in) {
        BOOST_TEST(count <= 25);
    }
}

BOOST_AUTO_TEST_CASE(usage_of_many_nodes_is_reported_in_full)
{
    gateway_fleet fleet{40};
    constexpr int requests = 400;
    for (int index = 0; index < requests; ++index) {
        auto& node = *fleet.nodes[static_cast<std::size_t>(index) % fleet.nodes.size()];
        node.send("/a/1", "r-" + std::to_string(index));
        if (!node.client.attempts.empty() && node.client.attempts.back()->observer != nullptr) {
            node.client.attempts.back()->observer->on_head(200, {});
        }
        fleet.time.run_for(milliseconds{100});
    }
    fleet.time.run_for(seconds{20});
    std::uint64_t started = 0;
    std::uint64_t reported = 0;
    for (const auto& node : fleet.nodes) {
        started += node->client.attempts.size();
        for (const auto& report : node->duties.reports) {
            for (const auto& [id, count] : report.counts) {
                reported += count;
            }
        }
    }
    BOOST_TEST(started >= 300U);
    BOOST_TEST(reported == started);
}

BOOST_AUTO_TEST_CASE(the_directory_lists_nodes_in_random_order)
{
    gateway_fleet fleet{4};
    std::set<network_address> first;
    for (int index = 0; index < 50; ++index) {
        first.insert(fleet.nodes[0]->node.ready_addresses().front());
    }
    BOOST_TEST(first.size() == 4U);
}

// Digests sent while this process is paused wait in its socket and arrive late.
BOOST_AUTO_TEST_CASE(a_delayed_confirmation_by_another_node_is_ignored)
{
    gateway_fleet fleet{2};
    auto& paused = *fleet.nodes[1];
    std::vector<std::string> delayed;
    const auto to_paused = gateway_node::address(2, 7600);
    fleet.network.set_tap(
        [&](const network_address&, const network_address& to, const std::string& bytes) {
            if (to == to_paused) {
                delayed.push_back(bytes);
            }
        });
    fleet.time.run_for(seconds{1});
    fleet.network.set_tap({});
    fleet.network.set_filter([](const network_address&, const network_address&) { return false; });
    paused.store.is_down = true;
    fleet.time.run_for(gateway_bounds{}.removed_key);
    for (const auto& bytes : delayed) {
        auto digest = decode_digest(bytes).value();
        digest.sequence += 1'000'000;
        paused.datagrams.receive(gateway_node::address(1, 7600), encode_digest(digest));
    }
    BOOST_REQUIRE(!delayed.empty());
    BOOST_TEST(!paused.node.is_ready());
    BOOST_TEST(paused.send("/a/1", "r-1")->status == 503);
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_no_new_requests)
{
    gateway_fleet fleet{1};
    fleet.write_endpoint("i-1", "draining");
    fleet.time.run_for(milliseconds{800});
    BOOST_TEST(fleet.nodes[0]->send("/a/1", "r-1")->status == 503);
}

// 100 tokens a second and a burst of 1,000 in any 8 s, 10 tokens for each request.
BOOST_AUTO_TEST_CASE(a_quota_holds_across_nodes)
{
    gateway_fleet fleet{3};
    std::vector<std::shared_ptr<fake_exchange>> answers;
    for (int index = 0; index < 1000; ++index) {
        auto& node = *fleet.nodes[static_cast<std::size_t>(index) % 3];
        answers.push_back(node.send("/a/1", "r-" + std::to_string(index)));
        fleet.time.run_for(milliseconds{8});
    }
    BOOST_TEST(admitted(answers) <= 180);
    BOOST_TEST(admitted(answers) >= 150);
}

BOOST_AUTO_TEST_CASE(one_node_reports_usage_and_another_takes_over)
{
    gateway_fleet fleet{3};
    const auto reporting = [&] {
        std::vector<std::size_t> holders;
        for (std::size_t index = 0; index < fleet.nodes.size(); ++index) {
            if (!fleet.nodes[index]->duties.reports.empty()) {
                holders.push_back(index);
            }
            fleet.nodes[index]->duties.reports.clear();
        }
        return holders;
    };
    reporting();
    fleet.time.run_for(seconds{20});
    const auto first = reporting();
    BOOST_REQUIRE(first.size() == 1U);
    fleet.nodes.erase(fleet.nodes.begin() + static_cast<std::ptrdiff_t>(first[0]));
    fleet.time.run_for(seconds{20});
    BOOST_TEST(reporting().size() == 1U);
}

BOOST_AUTO_TEST_CASE(all_nodes_can_start_again_at_once)
{
    gateway_fleet fleet{3};
    fleet.nodes.clear();
    fleet.time.run_for(seconds{1});
    for (int number = 1; number <= 3; ++number) {
        fleet.nodes.push_back(
            std::make_unique<gateway_node>(fleet.time, fleet.logs, fleet.network, number));
    }
    fleet.time.run_for(seconds{8});
    int holders = 0;
    for (const auto& node : fleet.nodes) {
        BOOST_TEST(node->node.is_ready());
        BOOST_TEST(node->node.ready_addresses().size() == 3U);
        holders += node->log.count("duty_acquired") > 0 ? 1 : 0;
    }
    BOOST_TEST(holders == 1);
}

// Connections to endpoints that had left used up the descriptors of the process.
BOOST_AUTO_TEST_CASE(connections_to_an_endpoint_are_closed_once_no_endpoint_has_its_address)
{
    gateway_fleet fleet{1};
    const auto& forgotten = fleet.nodes[0]->client.forgotten;
    fleet.write_endpoint("i-2", "ready");
    fleet.write_endpoint("i-3", "ready", "10.0.2.3:80");
    fleet.time.run_for(seconds{3});
    fleet.logs.write({"servers", true}, "i-1", std::nullopt);
    fleet.write_endpoint("i-3", "draining", "10.0.2.3:80");
    fleet.time.run_for(seconds{3});
    BOOST_TEST(forgotten.empty()); // i-2 has the address of i-1, and i-3 still runs requests
    fleet.logs.write({"servers", true}, "i-2", std::nullopt);
    fleet.write_endpoint("i-3", "ready", "10.0.2.4:80");
    fleet.time.run_for(seconds{3});
    const std::vector<network_address> expected{{"10.0.2.1", 80}, {"10.0.2.3", 80}};
    BOOST_TEST((forgotten == expected));
}

} // namespace eelgrassbend
