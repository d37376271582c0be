#include "gateway_fleet.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two nodes whose endpoints are checked before their first use.
struct late_records_fixture {
    late_records_fixture()
    {
        this->fleet.health_path = "/healthz";
        this->fleet.configure(2, "k-1");
        this->fleet.write_endpoint("i-1", "draining");
        this->fleet.time.run_for(seconds{1});
    }

    /// A record of the endpoint under test.
    void write(int sequence, const std::string& state)
    {
        this->fleet.logs.write({"servers", true}, "i-2",
                               R"({"service":"desk","address":"10.0.2.2:80","zone":"a",)"
                               R"("slots":1000,"born":17,"state":")" +
                                   state + R"(","seq":)" + std::to_string(sequence) + "}");
    }

    void remove() { this->fleet.logs.write({"servers", true}, "i-2", std::nullopt); }

    /// Answers the checks in flight and returns their number.
    int answer_checks(int status, const header_list& headers)
    {
        int checks = 0;
        for (const auto& node : this->fleet.nodes) {
            const auto attempts = node->client.attempts;
            for (const auto& attempt : attempts) {
                if (attempt->observer == nullptr || attempt->request.target != "/healthz") {
                    continue;
                }
                attempt->observer->on_head(status, headers);
                attempt->observer->on_completed();
                ++checks;
            }
        }
        return checks;
    }

    /// Answers the checks that are in flight at any time in `span` and returns their number.
    int answer_checks_for(duration span, int status, const header_list& headers)
    {
        int checks = 0;
        for (const auto end = this->fleet.time.now() + span; this->fleet.time.now() < end;) {
            checks += this->answer_checks(status, headers);
            this->fleet.time.run_for(milliseconds{10});
        }
        return checks;
    }

    /// Sends an order to each node and returns how many reach the endpoint.
    int count_forwarded_orders()
    {
        int forwarded = 0;
        for (const auto& node : this->fleet.nodes) {
            const auto before = node->client.attempts.size();
            node->send("/a/1", "r-" + std::to_string(this->orders++));
            for (auto next = before; next < node->client.attempts.size(); ++next) {
                forwarded += node->client.attempts[next]->request.target == "/a/1" ? 1 : 0;
            }
        }
        return forwarded;
    }

    gateway_fleet fleet{2};
    int orders = 0;
};

static const header_list leaving{{"X-Eelgrassbend-Instance-Id", "i-2"}, {"Server-Leaving", "1"}};
static const header_list accepting{{"X-Eelgrassbend-Instance-Id", "i-2"}};

// Orders reached an endpoint that had been removed while it served its last requests, because its
// last record was written late, with a higher number than all before.
BOOST_FIXTURE_TEST_CASE(a_late_record_of_a_removed_endpoint_brings_it_no_orders,
                        late_records_fixture)
{
    this->write(1, "ready");
    this->fleet.time.run_for(seconds{1});
    BOOST_TEST(this->answer_checks(200, accepting) == 2);
    BOOST_TEST(this->count_forwarded_orders() == 2);
    this->remove();
    this->fleet.time.run_for(milliseconds{2500});
    this->write(2, "ready");
    this->fleet.time.run_for(milliseconds{450});
    BOOST_TEST(this->count_forwarded_orders() == 0);
    BOOST_TEST(this->answer_checks(503, leaving) == 2);
    this->fleet.time.run_for(seconds{2});
    BOOST_TEST(this->count_forwarded_orders() == 0);
}

// A process that started just after a late write took the older record for the truth.
BOOST_FIXTURE_TEST_CASE(a_new_process_sends_no_orders_by_a_late_record, late_records_fixture)
{
    this->write(1, "ready");
    this->fleet.time.run_for(seconds{1});
    this->answer_checks(200, accepting);
    this->write(3, "draining");
    this->fleet.time.run_for(milliseconds{2500});
    this->write(2, "ready");
    this->fleet.nodes[1] =
        std::make_unique<gateway_node>(this->fleet.time, this->fleet.logs, this->fleet.network, 2);
    this->fleet.time.run_for(milliseconds{300});
    BOOST_TEST(this->fleet.nodes[1]->node.is_ready());
    BOOST_TEST(this->count_forwarded_orders() == 0);
    BOOST_TEST(this->answer_checks(503, leaving) == 1);
    this->fleet.time.run_for(seconds{3});
    BOOST_TEST(this->count_forwarded_orders() == 0);
}

// A node that has to list the records anew may have missed that an endpoint drains.
BOOST_FIXTURE_TEST_CASE(a_node_that_missed_records_sends_no_orders_by_a_late_one,
                        late_records_fixture)
{
    this->write(1, "ready");
    this->fleet.time.run_for(seconds{1});
    this->answer_checks(200, accepting);
    for (const auto& node : this->fleet.nodes) {
        node->store.is_down = true;
    }
    this->fleet.time.run_for(milliseconds{500});
    this->write(3, "draining");
    this->write(2, "ready");
    this->fleet.logs.forget_history("servers");
    for (const auto& node : this->fleet.nodes) {
        node->store.is_down = false;
    }
    BOOST_TEST(this->answer_checks_for(seconds{2}, 503, leaving) == 2);
    BOOST_TEST(this->count_forwarded_orders() == 0);
    this->fleet.time.run_for(seconds{3});
    BOOST_TEST(this->count_forwarded_orders() == 0);
}

// An order that arrives while the only endpoint is being checked waits for the result.
BOOST_FIXTURE_TEST_CASE(an_order_waits_for_the_check_of_a_returning_endpoint, late_records_fixture)
{
    this->write(1, "ready");
    this->fleet.time.run_for(milliseconds{450});
    auto& node = *this->fleet.nodes[0];
    const auto answer = node.send("/a/1", "r-1");
    BOOST_TEST(!answer->ended);
    this->fleet.time.run_for(milliseconds{5});
    this->answer_checks(200, accepting);
    this->fleet.time.run_for(milliseconds{100});
    BOOST_TEST(!answer->ended);
    BOOST_TEST(node.client.last().request.target == "/a/1");
}

} // namespace eelgrassbend
