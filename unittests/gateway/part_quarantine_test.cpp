#include "gateway_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bound of the time between the fifth crash under a part and the last request with it.
static constexpr seconds max_reaction_time{3};
static constexpr int max_crashes_unbounded = 5;
/// Time that an engine is down after a crash.
static constexpr seconds restart_time{3};
static constexpr int max_requests_after_reaction = 3;

namespace {

/// How far an engine gets with its answer before it crashes.
enum class crash_moment { after_head, after_first_event, after_third_event, as_end_of_answer };

/// A fleet before engines that crash when an answer to a request with the part "d0" begins.
struct crashing_fleet : gateway_fleet {
    explicit crashing_fleet(int nodes, int zones = 1) : gateway_fleet(nodes, zones)
    {
        this->logs.write(
            {"op", true}, "config",
            R"({"version":2,"routes":[{"name":"s","host":"f.example","pathPrefix":"/s/",)"
            R"("kind":"stream","timeoutMs":9000,"goalMs":900,"service":"llm","maxAttempts":1}],)"
            R"("services":[{"name":"llm"}],)"
            R"("tenants":[{"name":"lodge","apiKeys":["k-1"]}]})");
        for (int number = 1; number <= 8; ++number) {
            this->write_engine(number);
        }
        this->time.run_for(seconds{3});
    }

    void write_engine(int number)
    {
        ++this->incarnations;
        this->logs.write({"servers", true}, "e-" + std::to_string(number),
                         R"({"service":"llm","address":"10.0.3.)" + std::to_string(number) +
                             R"(:80","zone":"a","slots":1000,"state":"ready","born":)" +
                             std::to_string(this->incarnations) + R"(,"seq":1})");
    }

    /// Sends a request through a node and plays the engine that it reaches. Returns whether one was
    /// reached.
    bool request(gateway_node& node, const std::string& parts)
    {
        const auto before = node.client.attempts.size();
        const auto id = "r-" + std::to_string(++this->sent);
        this->last = node.send("/s/1", id,
                               {{"X-Eelgrassbend-Prefix-Hash", parts + "," + id + ":10"},
                                {"X-Eelgrassbend-Token-Usage", "100,10"}});
        this->refuse_at_crashed_engines(node);
        if (node.client.attempts.size() == before || node.client.last().observer == nullptr) {
            return false;
        }
        auto& attempt = node.client.last();
        header_list headers{{"X-Eelgrassbend-Request-Id", id},
                            {"X-Eelgrassbend-Response-Seal", "p"}};
        if (this->moment != crash_moment::as_end_of_answer) {
            headers.emplace_back("Transfer-Encoding", "chunked");
        }
        attempt.observer->on_head(200, headers);
        if (parts.find("d0") == std::string::npos && !this->has_other_crash) {
            attempt.observer->on_body("id: 1\ndata: x\n\n");
            attempt.observer->on_completed();
            node.probes.answer_all(reachability::accepting);
            return true;
        }
        const auto address = attempt.address;
        this->begin_answer(attempt);
        if (this->moment == crash_moment::as_end_of_answer) {
            attempt.observer->on_completed();
        }
        else {
            attempt.observer->on_failed(make_error(errc::truncated, "call", address.to_string()),
                                        dispatch_state::maybe_sent);
        }
        node.probes.answer_all(reachability::refused);
        this->crashed.push_back(address);
        if (this->has_other_crash) {
            this->back_at[address] = this->time.now() + restart_time;
            this->write_engine(address.ip.back() - '0');
        }
        return true;
    }

    /// Engines that have not restarted yet refuse connections.
    void refuse_at_crashed_engines(gateway_node& node)
    {
        while (!node.client.attempts.empty() && node.client.last().observer != nullptr &&
               this->time.now() < this->back_at[node.client.last().address]) {
            node.client.last().observer->on_failed(
                make_error(errc::unavailable, "connect", "engine"), dispatch_state::not_sent);
        }
    }

    /// Sends the events that the engine writes before it crashes.
    void begin_answer(fake_endpoint_client::sent_attempt& attempt)
    {
        const int events = this->moment == crash_moment::after_head          ? 0
                           : this->moment == crash_moment::after_third_event ? 3
                                                                             : 1;
        for (int number = 1; number <= events; ++number) {
            attempt.observer->on_body("id: " + std::to_string(number) + "\ndata: x\n\n");
            this->time.run_for(milliseconds{100});
        }
    }

    /// Sends requests with the part "d0" until some engines have crashed under them.
    void crash_engines()
    {
        for (int round = 0; round < 8; ++round) {
            this->request(this->any_node(), "a0:50,d0:20");
            this->time.run_for(milliseconds{400});
        }
        this->time.run_for(seconds{2});
    }

    [[nodiscard]] bool is_refused_everywhere(const std::string& parts)
    {
        bool is_refused = true;
        for (const auto& node : this->nodes) {
            is_refused = !this->request(*node, parts) && this->last->status == 503 && is_refused;
        }
        return is_refused;
    }

    gateway_node& any_node()
    {
        return *this->nodes[random_below(this->random, this->nodes.size())];
    }

    std::shared_ptr<fake_exchange> last;
    std::vector<network_address> crashed;
    std::map<network_address, monotonic_time> back_at;
    crash_moment moment = crash_moment::after_head;
    bool has_other_crash = false; ///< engines crash whatever the parts of the next request
    int sent = 0;
    std::int64_t incarnations = 0;
};

} // namespace

/// Plays requests with and without the part "d0" and checks that only the former stop reaching
/// engines.
static void check_reaction(crashing_fleet& fleet)
{
    std::optional<monotonic_time> fifth_crash;
    int late = 0;
    for (int round = 0; round < 60; ++round) {
        fleet.time.run_for(milliseconds{400});
        fleet.request(fleet.any_node(), "a0:50,b0:20");
        const bool reached = fleet.request(fleet.any_node(), "a0:50,b0:20,d0:20");
        if (fleet.crashed.size() == max_crashes_unbounded && !fifth_crash) {
            fifth_crash = fleet.time.now();
        }
        late += reached && fifth_crash && fleet.time.now() - *fifth_crash > max_reaction_time;
    }
    BOOST_TEST(late <= max_requests_after_reaction);
    for (const auto& node : fleet.nodes) {
        BOOST_TEST(fleet.request(*node, "a0:50,b0:20"));
        BOOST_TEST(fleet.last->status == 200);
    }
}

BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_engines_stop_reaching_engines)
{
    crashing_fleet fleet{4};
    check_reaction(fleet);
}

// The first event of an answer was taken as proof that the parts of its prompt are harmless.
BOOST_AUTO_TEST_CASE(requests_that_crash_engines_after_an_event_stop_reaching_engines)
{
    for (const auto moment : {crash_moment::after_first_event, crash_moment::after_third_event}) {
        crashing_fleet fleet{4};
        fleet.moment = moment;
        check_reaction(fleet);
    }
}

// The end of the connection ends such an answer, so a crash looks like a complete one.
BOOST_AUTO_TEST_CASE(requests_that_crash_engines_within_close_delimited_answers_stop_reaching_them)
{
    crashing_fleet fleet{4};
    fleet.moment = crash_moment::as_end_of_answer;
    check_reaction(fleet);
}

// Streams that had just begun are lost by each crash, whatever its cause.
BOOST_AUTO_TEST_CASE(crashes_of_other_causes_quarantine_no_part_of_sound_requests)
{
    for (const auto moment : {crash_moment::after_head, crash_moment::after_first_event,
                              crash_moment::after_third_event, crash_moment::as_end_of_answer}) {
        crashing_fleet fleet{4};
        fleet.moment = moment;
        for (int round = 0; round < 60; ++round) {
            fleet.time.run_for(milliseconds{300});
            const auto session = std::to_string(round % 4);
            fleet.has_other_crash = round % 3 == 2;
            fleet.request(fleet.any_node(), "a0:50,b" + session + ":20");
        }
        fleet.has_other_crash = false;
        fleet.time.run_for(seconds{3});
        for (const auto& node : fleet.nodes) {
            BOOST_TEST(node->log.count("quarantine_started") == 0U);
        }
        BOOST_TEST(fleet.crashed.size() == 20U);
    }
}

BOOST_AUTO_TEST_CASE(a_quarantine_survives_a_restart_of_all_nodes)
{
    crashing_fleet fleet{4};
    fleet.crash_engines();
    BOOST_TEST(fleet.is_refused_everywhere("a0:50,d0:20"));
    fleet.nodes.clear();
    fleet.time.run_for(seconds{1});
    for (int number = 1; number <= 4; ++number) {
        fleet.nodes.push_back(
            std::make_unique<gateway_node>(fleet.time, fleet.logs, fleet.network, number));
    }
    fleet.time.run_for(seconds{5});
    BOOST_TEST(fleet.is_refused_everywhere("a0:50,d0:20"));
    BOOST_TEST(fleet.request(fleet.any_node(), "a0:50,b0:20"));
}

BOOST_AUTO_TEST_CASE(a_quarantine_needs_no_store_and_is_recorded_once_it_returns)
{
    crashing_fleet fleet{4};
    for (const auto& node : fleet.nodes) {
        node->store.is_down = true;
    }
    for (int round = 0; round < 8; ++round) {
        fleet.request(fleet.any_node(), "a0:50,d0:20");
        fleet.time.run_for(milliseconds{250});
    }
    const auto has_record = [&] {
        const auto& newest = fleet.logs.topics["entry-nodes"].newest;
        return std::any_of(newest.begin(), newest.end(), [](const auto& entry) {
            return entry.first.starts_with("quarantine/");
        });
    };
    BOOST_TEST(!has_record());
    for (const auto& node : fleet.nodes) {
        BOOST_TEST(node->log.count("quarantine_started") == 1U);
        node->store.is_down = false;
    }
    fleet.time.run_for(seconds{3});
    BOOST_TEST(has_record());
    BOOST_TEST(fleet.is_refused_everywhere("a0:50,d0:20"));
}

BOOST_AUTO_TEST_CASE(few_calls_record_a_quarantine)
{
    crashing_fleet fleet{12};
    fleet.crash_engines();
    fleet.time.run_for(seconds{30});
    std::size_t appended = 0;
    for (const auto& record : fleet.logs.topics["entry-nodes"].records) {
        appended += record.key.starts_with("quarantine/") ? 1 : 0;
    }
    BOOST_TEST(appended == 1U);
}

// In a divided fleet, nodes receive the reports of other groups through the representatives only.
BOOST_AUTO_TEST_CASE(all_groups_of_a_divided_fleet_refuse_a_part)
{
    crashing_fleet fleet{45, 3};
    fleet.crash_engines();
    BOOST_TEST(fleet.crashed.size() <= 6U);
    BOOST_TEST(fleet.is_refused_everywhere("a0:50,d0:20"));
    BOOST_TEST(fleet.request(fleet.any_node(), "a0:50,b0:20"));
}

// Other writers may write to the topic.
BOOST_AUTO_TEST_CASE(records_that_cannot_be_decoded_are_ignored)
{
    crashing_fleet fleet{2};
    for (const char* value :
         {"", "{", "[]", R"({"parts":["zz"],"failed_trials":0,"decided_ms":1})",
          R"({"parts":[1],"failed_trials":0,"decided_ms":1})",
          R"({"parts":["1"],"failed_trials":-1,"decided_ms":1})",
          R"({"parts":["1"],"failed_trials":0,"decided_ms":-9223372036854775808})"}) {
        fleet.logs.write(node_presence::topic(), "quarantine/1", value);
        fleet.time.run_for(seconds{6});
    }
    fleet.logs.write(node_presence::topic(), "quarantine/2",
                     R"({"parts":["1"],"failed_trials":0,"decided_ms":18446744073709551615})");
    fleet.time.run_for(seconds{6});
    for (const auto& node : fleet.nodes) {
        BOOST_TEST(node->log.count("quarantine_record_invalid") >= 1U);
        BOOST_TEST(node->log.count("quarantine_started") == 1U);
    }
}

} // namespace eelgrassbend
