#include "gateway_fleet.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet large enough to be divided: 45 nodes in 3 zones.
struct divided_fleet : gateway_fleet {
    static constexpr int node_count = 45;
    static constexpr int zones = 3;

    divided_fleet() : gateway_fleet(node_count, zones) {}

    /// Removes all nodes of the zone of node `zone`.
    void remove_zone(int zone)
    {
        std::erase_if(this->nodes, [&](const auto& node) {
            return node->settings.zone == gateway_node::settings_for(zone, zones).zone;
        });
    }

    [[nodiscard]] std::uint64_t reported_usage() const
    {
        std::uint64_t reported = 0;
        for (const auto& node : this->nodes) {
            for (const auto& report : node->duties.reports) {
                for (const auto& [id, count] : report.counts) {
                    reported += count;
                }
            }
        }
        return reported;
    }
};

/// Datagrams per second of each node, in descending order.
std::vector<double> datagram_rates(gateway_fleet& fleet)
{
    constexpr int span = 3;
    std::map<network_address, double> sent;
    fleet.network.set_tap([&](const network_address& from, const network_address&,
                              const std::string&) { sent[from] += 1.0 / span; });
    fleet.time.run_for(seconds{span});
    fleet.network.set_tap({});
    std::vector<double> rates;
    for (const auto& [from, count] : sent) {
        rates.push_back(count);
    }
    std::sort(rates.rbegin(), rates.rend());
    return rates;
}

/// The last `route` event; null if there is none.
nlohmann::json last_route(const gateway_node& node)
{
    for (auto line = node.log.events.rbegin(); line != node.log.events.rend(); ++line) {
        if (line->first == "route") {
            return line->second;
        }
    }
    return {};
}

double mean(const std::vector<double>& values)
{
    double sum = 0.0;
    for (const double value : values) {
        sum += value;
    }
    return sum / static_cast<double>(values.size());
}

} // namespace

BOOST_AUTO_TEST_CASE(groups_follow_zones_and_have_a_bounded_size)
{
    fleet_groups groups{node_id{"n0"}, availability_zone{"a"}};
    for (int number = 1; number < 30; ++number) {
        groups.add({node_id{"n" + std::to_string(number)}, {}, availability_zone{"a"}});
    }
    BOOST_TEST(groups.other_groups().empty());
    for (int number = 30; number < 400; ++number) {
        groups.add({node_id{"n" + std::to_string(number)},
                    {},
                    availability_zone{number < 50 ? "b" : "c"}});
    }
    BOOST_TEST(groups.is_in_own_group(node_id{"n7"}, availability_zone{"a"}));
    BOOST_TEST(!groups.is_in_own_group(node_id{"n31"}, availability_zone{"b"}));
    BOOST_TEST(groups.remote_node_count() == 370U);
    for (const auto& [group, records] : groups.other_groups()) {
        BOOST_TEST(records.size() <= 90U);
        BOOST_TEST(records.size() >= 20U);
    }
}

BOOST_AUTO_TEST_CASE(a_summary_is_split_into_parts_that_fit_a_datagram)
{
    group_summary whole;
    whole.group = group_id{"a/0"};
    whole.work.emplace();
    for (endpoint_key key = 0; key < 300; ++key) {
        whole.work->work[key * 7'654'321U] = {20, 90'000, 700'000};
        whole.admitted[key * 7'654'321U] = 1e9 + key;
    }
    whole.ready.assign(32, {"10.200.100.50", 8221});
    compact_work work;
    compact_units admitted;
    std::uint64_t next = 0;
    for (const auto& part : split_summary(whole)) {
        node_digest digest;
        digest.node = node_id{"front-mobile-bay-1"};
        digest.summary = part;
        const auto bytes = encode_digest(digest);
        BOOST_TEST(bytes.size() <= max_digest_bytes);
        const auto read = decode_digest(bytes).value().summary.value();
        if (read.work) {
            BOOST_TEST(read.work->from == next);
            next = read.work->to;
            work.insert(read.work->work.begin(), read.work->work.end());
        }
        admitted.insert(read.admitted.begin(), read.admitted.end());
    }
    BOOST_TEST(next == work_range{}.to);
    BOOST_TEST((work == whole.work->work));
    BOOST_TEST((admitted == whole.admitted));
}

BOOST_AUTO_TEST_CASE(datagram_rate_of_a_node_does_not_grow_with_the_fleet)
{
    gateway_fleet small{30};
    const auto before = datagram_rates(small);
    gateway_fleet large{120, 4};
    const auto after = datagram_rates(large);
    BOOST_TEST(after.size() == 120U);
    BOOST_TEST(mean(after) <= 2.0 * mean(before));
    // A representative sends more; a link of 10 Mbit/s carries over 1,000 datagrams of the maximum
    // size per second.
    BOOST_TEST(after.front() <= 500.0);
}

BOOST_FIXTURE_TEST_CASE(the_directory_lists_nodes_of_all_zones, divided_fleet)
{
    this->time.run_for(seconds{2});
    for (const auto& node : this->nodes) {
        BOOST_TEST(node->node.is_ready());
        std::set<network_address> listed;
        for (const auto& address : node->node.ready_addresses()) {
            listed.insert(address);
        }
        BOOST_TEST(listed.size() >= 20U);
        BOOST_TEST(listed.contains(node->settings.callers));
    }
}

BOOST_FIXTURE_TEST_CASE(one_node_reads_the_store_for_all_groups, divided_fleet)
{
    int before = 0;
    int after = 0;
    for (const auto& node : this->nodes) {
        before += node->store.calls;
    }
    for (int second = 0; second < 20; ++second) {
        this->write_endpoint("i-1", "ready");
        this->time.run_for(seconds{1});
    }
    for (const auto& node : this->nodes) {
        BOOST_TEST(node->node.is_ready());
        after += node->store.calls;
    }
    // Two topics, lease and usage by one node, and the infrequent reads of the node records by each
    // node.
    BOOST_TEST(after - before <= 120 + node_count);
}

// The calls of each node are: the newest records of three topics, the node's own record, two reads
// of the node records, the configuration and the lease, and the endpoints until one node reads for
// all.
BOOST_AUTO_TEST_CASE(a_start_makes_few_store_calls)
{
    gateway_fleet fleet{45, 3};
    int calls = 0;
    int duty_acquisitions = 0;
    for (const auto& node : fleet.nodes) {
        calls += node->store.calls;
        duty_acquisitions += node->log.count("duty_acquired") > 0 ? 1 : 0;
    }
    BOOST_TEST(duty_acquisitions == 1);
    BOOST_TEST(calls <= 12 * 45);
}

BOOST_AUTO_TEST_CASE(changes_apply_in_time_when_the_zone_of_the_reader_fails)
{
    for (int phase = 0; phase < 4; ++phase) {
        divided_fleet fleet;
        fleet.time.run_for(milliseconds{211 * phase});
        fleet.remove_zone(3);
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

// 8 s at 100 tokens per second and a burst of 1,000 tokens allow 180 requests of 10 tokens each;
// the upper bound is 10 % above that.
BOOST_FIXTURE_TEST_CASE(a_quota_holds_across_groups, divided_fleet)
{
    std::size_t admitted = 0;
    for (int index = 0; index < 1000; ++index) {
        auto& node = *this->nodes[static_cast<std::size_t>(index) % this->nodes.size()];
        const auto before = node.client.attempts.size();
        node.send("/a/1", "r-" + std::to_string(index));
        admitted += node.client.attempts.size() - before;
        this->time.run_for(milliseconds{8});
    }
    BOOST_TEST(admitted <= 198U);
    BOOST_TEST(admitted >= 120U);
}

// The other groups learn of a group's use of the quota only from summaries, which stop while a
// representative is being replaced.
BOOST_FIXTURE_TEST_CASE(a_quota_holds_while_representatives_fail, divided_fleet)
{
    std::size_t admitted = 0;
    for (int index = 0; index < 1000; ++index) {
        if (index % 250 == 100) {
            this->nodes.erase(this->nodes.begin(), this->nodes.begin() + 3);
        }
        auto& node = *this->nodes[static_cast<std::size_t>(index) % this->nodes.size()];
        const auto before = node.client.attempts.size();
        node.send("/a/1", "r-" + std::to_string(index));
        admitted += node.client.attempts.size() - before;
        this->time.run_for(milliseconds{8});
    }
    BOOST_TEST(admitted <= 198U);
}

BOOST_FIXTURE_TEST_CASE(usage_of_all_groups_is_reported_in_full, divided_fleet)
{
    std::uint64_t started = 0;
    for (int index = 0; index < 300; ++index) {
        auto& node = *this->nodes[static_cast<std::size_t>(index) % this->nodes.size()];
        const auto before = node.client.attempts.size();
        node.send("/a/1", "r-" + std::to_string(index));
        if (node.client.attempts.size() > before) {
            node.client.attempts.back()->observer->on_head(200, {});
            ++started;
        }
        this->time.run_for(milliseconds{100});
    }
    this->time.run_for(seconds{20});
    BOOST_TEST(started >= 200U);
    BOOST_TEST(this->reported_usage() == started);
    int holders = 0;
    for (const auto& node : this->nodes) {
        holders += node->log.count("duty_acquired") > 0 ? 1 : 0;
    }
    BOOST_TEST(holders == 1);
}

// Requests running at an engine count in the routing decisions of nodes in other zones.
BOOST_FIXTURE_TEST_CASE(work_of_other_groups_counts_in_routing, divided_fleet)
{
    this->logs.write({"servers", true}, "i-2",
                     R"({"service":"desk","address":"10.0.2.2:80","zone":"a","slots":1000,)"
                     R"("state":"ready","seq":1})");
    this->time.run_for(seconds{3});
    auto& busy = *this->nodes[0];
    for (int index = 0; index < 40; ++index) {
        busy.send("/a/1", "r-" + std::to_string(index));
    }
    std::map<std::string, int> attempts_by_ip;
    for (const auto& attempt : busy.client.attempts) {
        ++attempts_by_ip[attempt->address.ip];
    }
    this->time.run_for(seconds{2});
    const auto sent = busy.client.attempts.size();
    BOOST_TEST(sent >= 10U);
    BOOST_TEST(std::abs(attempts_by_ip["10.0.2.1"] - attempts_by_ip["10.0.2.2"]) <= 6);
    for (const std::size_t index : {1U, 2U}) {
        const auto response = this->nodes[index]->send("/a/1", "other");
        BOOST_TEST(response->status == 0);
        const auto route = last_route(*this->nodes[index]);
        BOOST_TEST(route["running"].get<int>() >= static_cast<int>(sent) / 2 - 3);
    }
}

BOOST_FIXTURE_TEST_CASE(all_nodes_of_a_divided_fleet_can_start_again_at_once, divided_fleet)
{
    this->nodes.clear();
    this->time.run_for(seconds{1});
    for (int number = 1; number <= node_count; ++number) {
        this->nodes.push_back(
            std::make_unique<gateway_node>(this->time, this->logs, this->network, number, zones));
    }
    this->time.run_for(seconds{4});
    for (const auto& node : this->nodes) {
        BOOST_TEST(node->node.is_ready());
    }
}

} // namespace eelgrassbend
