#include "gateway_fleet.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Two nodes before a service of which endpoints of two versions serve.
struct two_version_fleet {
    two_version_fleet()
    {
        this->write_endpoint(1, "v1", "ready");
        this->fleet.logs.write(
            {"op", true}, "config",
            R"({"version":2,"routes":[{"name":"s","host":"f.example","pathPrefix":"/s/",)"
            R"("kind":"stream","resumable":true,"timeoutMs":10000,"goalMs":500,"service":"draft",)"
            R"("maxAttempts":2}],"services":[{"name":"draft","healthPath":""}],)"
            R"("tenants":[{"name":"lodge","apiKeys":["k-1"]}]})");
        this->fleet.time.run_for(seconds{8});
        this->write_endpoint(2, "v2", "ready");
        this->fleet.time.run_for(seconds{2});
    }

    void write_endpoint(int number, const std::string& version, const std::string& state)
    {
        this->fleet.logs.write({"servers", true}, "d-" + std::to_string(number),
                               R"({"service":"draft","address":"10.0.3.)" + std::to_string(number) +
                                   R"(:80","zone":"a","slots":1000,"version":")" + version +
                                   R"(","state":")" + state + R"(","seq":)" +
                                   std::to_string(++this->sequence) + "}");
    }

    void remove_endpoint(int number)
    {
        this->fleet.logs.write({"servers", true}, "d-" + std::to_string(number), std::nullopt);
    }

    /// The address of the latest attempt of a node.
    static std::string address_of(gateway_node& node)
    {
        return node.client.attempts.back()->address.to_string();
    }

    /// Begins a stream and returns the address of its endpoint.
    std::string begin(gateway_node& node, const std::string& id)
    {
        const auto answer = node.send("/s/1", id);
        BOOST_REQUIRE(!node.client.attempts.empty());
        const auto address = address_of(node);
        auto& attempt = *node.client.attempts.back();
        attempt.observer->on_head(
            200, {{"X-Eelgrassbend-Request-Id", id}, {"X-Eelgrassbend-Response-Seal", "p"}});
        attempt.observer->on_body("id: 1\ndata: a\n\n");
        this->fleet.time.run_for(milliseconds{100});
        BOOST_TEST(answer->body == "id: 1\ndata: a\n\n");
        return address;
    }

    /// All nodes end at once and start again.
    void restart_all()
    {
        this->fleet.nodes.clear();
        this->fleet.time.run_for(seconds{1});
        for (int number = 1; number <= 2; ++number) {
            this->fleet.nodes.push_back(std::make_unique<gateway_node>(
                this->fleet.time, this->fleet.logs, this->fleet.network, number));
        }
        this->fleet.time.run_for(milliseconds{300});
    }

    gateway_fleet fleet{2};
    int sequence = 0;
};

} // namespace

// Streams that were taken up after all nodes had ended went on at any version.
BOOST_FIXTURE_TEST_CASE(a_resumed_stream_keeps_its_version_after_all_nodes_were_restarted,
                        two_version_fleet)
{
    std::map<std::string, std::string> began;
    for (int stream = 0; stream < 12; ++stream) {
        const auto id = "q-" + std::to_string(stream);
        began[id] = this->begin(*this->fleet.nodes[stream % 2], id);
    }
    this->restart_all();
    for (const auto& [id, address] : began) {
        auto& node = *this->fleet.nodes[0];
        node.send("/s/1", id + "-again", {{"Last-Event-Id", "1"}, {"Resumes", id}});
        this->fleet.time.run_for(milliseconds{50});
        BOOST_REQUIRE(!node.client.attempts.empty());
        BOOST_TEST_CONTEXT(id)
        {
            BOOST_TEST(address_of(node) == address);
        }
        node.client.attempts.clear();
    }
}

BOOST_FIXTURE_TEST_CASE(a_resumed_stream_is_refused_once_its_version_has_left, two_version_fleet)
{
    std::string id;
    for (int stream = 0; id.empty(); ++stream) {
        const auto next = "q-" + std::to_string(stream);
        id = this->begin(*this->fleet.nodes[0], next) == "10.0.3.1:80" ? next : "";
    }
    this->write_endpoint(1, "v1", "draining");
    this->fleet.time.run_for(seconds{1});
    this->remove_endpoint(1);
    this->restart_all();
    auto& node = *this->fleet.nodes[1];
    const auto answer = node.send("/s/1", "again", {{"Last-Event-Id", "1"}, {"Resumes", id}});
    this->fleet.time.run_for(milliseconds{50});
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(node.client.attempts.empty());
}

} // namespace eelgrassbend
