#include "fakes/virtual_fleet.h"

#include "eelgrassbend/support/uuid.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace eelgrassbend {

using fakes::example_bundle;
using fakes::virtual_exchange;
using fakes::virtual_fleet;
using fakes::virtual_node;
using standin::endpoint_mode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Four entry nodes and six endpoints in two availability zones, with a bundle in force.
struct fleet_fixture {
    fleet_fixture()
    {
        for (const char* zone : {"arusha-a", "moshi-a"}) {
            for (int number = 1; number <= 2; ++number) {
                this->fleet.add_endpoint("draft-" + std::string{zone} + std::to_string(number),
                                         "draft-llm", zone, endpoint_mode::model);
            }
            this->fleet.add_endpoint("desk-" + std::string{zone}, "order-desk", zone,
                                     endpoint_mode::plain);
            this->fleet.add_node(zone);
            this->fleet.add_node(zone);
        }
        this->fleet.publish(example_bundle());
        this->fleet.time.run_for(seconds{20});
    }

    virtual_node& node(std::size_t index) { return *this->fleet.nodes[index]; }

    std::shared_ptr<virtual_exchange> send_chat(virtual_node& at, int tokens,
                                                const std::string& text, header_list headers = {},
                                                const char* key = "key-1")
    {
        const nlohmann::json body{{"model", "draft-llm"},
                                  {"stream", true},
                                  {"max_tokens", tokens},
                                  {"messages", {{{"role", "user"}, {"content", text}}}}};
        headers.emplace_back("Authorization", std::string{"Bearer "} + key);
        return this->fleet.send(at, {"POST", "/v1/chat/completions", headers, body.dump()});
    }

    std::shared_ptr<virtual_exchange> send_order(virtual_node& at, const std::string& key,
                                                 int service_ms = 20)
    {
        return this->fleet.send(at, {"POST",
                                     "/services/order-desk/orders?ms=" + std::to_string(service_ms),
                                     {{"Authorization", "Bearer key-1"}, {"Idempotency-Key", key}},
                                     "{}"});
    }

    std::string make_key() { return make_uuid_v7(this->fleet.time.wall_now(), this->fleet.random); }

    /// Runs until the ledger entries are written to the log.
    void run_until_ledger_written() { this->fleet.time.run_for(seconds{40}); }

    /// Checks that each ledger entry matches one completed execution and each request has at most
    /// one entry.
    void check_ledger()
    {
        std::map<std::string, int> ended;
        for (const auto& run : this->fleet.executions()) {
            if (!run["ended_ms"].is_null() && !run["cancelled"].get<bool>()) {
                ++ended[run["attempt"].get<std::string>() + run["digest"].get<std::string>()];
            }
        }
        std::set<std::string> requests;
        for (const auto& line : this->fleet.billed()) {
            BOOST_TEST(ended[line.attempt.value() + line.answer_digest] == 1);
            BOOST_TEST(requests.insert(line.request.value()).second);
        }
    }

    int count_executions(const std::string& key) const
    {
        int count = 0;
        for (const auto& run : this->fleet.executions()) {
            count += run["idempotency_key"] == key ? 1 : 0;
        }
        return count;
    }

    virtual_fleet fleet{1};
};

} // namespace

/// Returns the text of a stream and the number of its last event.
static std::pair<std::string, std::int64_t> read_stream(const std::string& body)
{
    std::string text;
    std::int64_t events = 0;
    std::size_t position = 0;
    while (true) {
        const auto id = body.find("id: ", position);
        if (id == std::string::npos) {
            return {text, events};
        }
        const auto data = body.find("data: ", id);
        const auto end = body.find('\n', data);
        const auto event = nlohmann::json::parse(body.substr(data + 6, end - data - 6));
        text += event["choices"][0]["delta"].value("content", "");
        const auto line = body.substr(id, body.find('\n', id) - id);
        const auto number = std::stoll(line.substr(line.rfind(':') + 1));
        BOOST_TEST((events == 0 || number == events + 1));
        events = number;
        position = end;
    }
}

BOOST_FIXTURE_TEST_CASE(a_fleet_serves_and_bills_each_request_once, fleet_fixture)
{
    std::vector<std::shared_ptr<virtual_exchange>> answers;
    for (int number = 0; number < 24; ++number) {
        auto& at = this->node(static_cast<std::size_t>(number) % 4);
        answers.push_back(this->send_chat(at, 30, "badge " + std::to_string(number)));
        answers.push_back(this->send_order(at, this->make_key()));
        this->fleet.time.run_for(milliseconds{50});
    }
    this->run_until_ledger_written();
    for (const auto& answer : answers) {
        BOOST_TEST(answer->ended);
        BOOST_TEST((answer->status == 200 || answer->status == 201), answer->body);
    }
    BOOST_TEST(this->fleet.billed().size() == answers.size());
    this->check_ledger();
}

BOOST_FIXTURE_TEST_CASE(a_whole_zone_is_reclaimed_and_no_token_is_lost, fleet_fixture)
{
    std::vector<std::string> undisturbed;
    for (int number = 0; number < 8; ++number) {
        const auto answer = this->send_chat(this->node(2), 200, "layout " + std::to_string(number));
        this->fleet.time.run_for(seconds{30});
        BOOST_REQUIRE(answer->ended);
        undisturbed.push_back(read_stream(answer->body).first);
    }
    std::vector<std::shared_ptr<virtual_exchange>> answers;
    for (int number = 0; number < 8; ++number) {
        answers.push_back(this->send_chat(this->node(2 + static_cast<std::size_t>(number) % 2), 200,
                                          "layout " + std::to_string(number)));
    }
    this->fleet.time.run_for(seconds{1});
    for (const char* reclaimed : {"draft-arusha-a1", "draft-arusha-a2", "desk-arusha-a"}) {
        this->fleet.platform.announce(reclaimed, seconds{5});
    }
    this->fleet.time.run_for(seconds{5});
    for (const char* reclaimed : {"draft-arusha-a1", "draft-arusha-a2", "desk-arusha-a"}) {
        this->fleet.endpoints.kill(reclaimed);
    }
    this->run_until_ledger_written();
    for (std::size_t number = 0; number < answers.size(); ++number) {
        BOOST_TEST(answers[number]->ended);
        BOOST_TEST(read_stream(answers[number]->body).first == undisturbed[number]);
    }
    this->check_ledger();
    BOOST_TEST(this->fleet.billed().size() == 16);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_endpoint_gets_no_new_work_after_a_few_seconds, fleet_fixture)
{
    this->fleet.platform.announce("draft-arusha-a1", seconds{60});
    const auto announced = this->fleet.time.wall_now();
    for (int number = 0; number < 80; ++number) {
        this->send_chat(this->node(static_cast<std::size_t>(number) % 4), 10,
                        "x" + std::to_string(number));
        this->fleet.time.run_for(milliseconds{250});
    }
    this->run_until_ledger_written();
    constexpr std::int64_t max_delay_ms = 3000;
    const auto limit =
        std::chrono::duration_cast<milliseconds>(announced.time_since_epoch()).count() +
        max_delay_ms;
    const auto text = this->fleet.endpoints.named("draft-arusha-a1").executions.lines();
    std::istringstream lines{text};
    std::string line;
    while (std::getline(lines, line)) {
        BOOST_TEST(nlohmann::json::parse(line)["started_ms"].get<std::int64_t>() <= limit);
    }
}

BOOST_FIXTURE_TEST_CASE(the_same_key_at_all_nodes_at_once_runs_once, fleet_fixture)
{
    for (int round = 0; round < 10; ++round) {
        const auto key = this->make_key();
        std::vector<std::shared_ptr<virtual_exchange>> answers;
        for (std::size_t index = 0; index < 4; ++index) {
            answers.push_back(this->send_order(this->node(index), key, 300));
        }
        this->fleet.time.run_for(seconds{10});
        BOOST_TEST(this->count_executions(key) == 1);
        int ran = 0;
        for (const auto& answer : answers) {
            ran += answer->header("Eelgrassbend-Outcome") == "ran" ? 1 : 0;
            BOOST_TEST(answer->header("Eelgrassbend-Outcome") != "not-run");
        }
        BOOST_TEST(ran == 1);
        const auto again = this->send_order(this->node(3), key);
        this->fleet.time.run_for(seconds{5});
        BOOST_TEST(again->header("Eelgrassbend-Replayed") == "true");
        BOOST_TEST(this->count_executions(key) == 1);
    }
    this->run_until_ledger_written();
    this->check_ledger();
}

BOOST_FIXTURE_TEST_CASE(an_order_at_a_killed_endpoint_is_unknown_and_never_repeated, fleet_fixture)
{
    const auto key = this->make_key();
    const auto answer = this->send_order(this->node(0), key, 2000);
    this->fleet.time.run_for(seconds{1});
    this->fleet.endpoints.kill("desk-arusha-a");
    this->fleet.endpoints.kill("desk-moshi-a");
    this->fleet.time.run_for(seconds{5});
    BOOST_TEST(answer->header("Eelgrassbend-Outcome") == "unknown");
    const auto again = this->send_order(this->node(1), key);
    this->fleet.time.run_for(seconds{5});
    BOOST_TEST(again->header("Eelgrassbend-Outcome") == "unknown");
    BOOST_TEST(this->count_executions(key) == 1);
    this->run_until_ledger_written();
    BOOST_TEST(this->fleet.billed().empty());
}

BOOST_FIXTURE_TEST_CASE(a_bundle_is_in_force_everywhere_within_17_s_and_never_reverts,
                        fleet_fixture)
{
    std::vector<std::uint64_t> highest(4, 1);
    for (int round = 0; round < 5; ++round) {
        this->fleet.publish(example_bundle());
        const auto published = this->fleet.published.value();
        for (int step = 0; step < 170; ++step) {
            this->fleet.time.run_for(milliseconds{100});
            for (std::size_t index = 0; index < 4; ++index) {
                const auto version = this->node(index).bundle_version();
                BOOST_TEST(version >= highest[index]);
                highest[index] = version;
            }
        }
        for (std::size_t index = 0; index < 4; ++index) {
            BOOST_TEST(this->node(index).bundle_version() == published);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(a_paused_node_refuses_as_not_run_until_it_has_caught_up, fleet_fixture)
{
    this->node(0).clock.pause();
    this->fleet.time.run_for(seconds{60});
    this->fleet.publish(example_bundle());
    this->fleet.time.run_for(seconds{17});
    this->node(0).clock.resume();
    const auto early = this->send_chat(this->node(0), 10, "x");
    this->fleet.time.run_for(milliseconds{1});
    BOOST_TEST(early->status == 503);
    BOOST_TEST(early->header("Eelgrassbend-Outcome") == "not-run");
    this->fleet.time.run_for(seconds{17});
    BOOST_TEST(this->node(0).bundle_version() == 2);
    const auto later = this->send_chat(this->node(0), 10, "x");
    this->fleet.time.run_for(seconds{20});
    BOOST_TEST(later->status == 200);
}

BOOST_FIXTURE_TEST_CASE(unresponsive_connections_lose_no_accepted_request, fleet_fixture)
{
    std::vector<std::shared_ptr<virtual_exchange>> answers;
    for (int number = 0; number < 6; ++number) {
        answers.push_back(this->send_chat(this->node(0), 150, "layout " + std::to_string(number)));
    }
    this->fleet.time.run_for(seconds{1});
    for (const char* name :
         {"draft-arusha-a1", "draft-arusha-a2", "draft-moshi-a1", "draft-moshi-a2"}) {
        this->fleet.endpoints.silence(name);
    }
    this->run_until_ledger_written();
    for (const auto& answer : answers) {
        BOOST_TEST(answer->ended);
    }
    BOOST_TEST(this->fleet.billed().size() == answers.size());
    this->check_ledger();
}

BOOST_FIXTURE_TEST_CASE(a_killed_entry_node_bills_only_what_was_delivered, fleet_fixture)
{
    std::vector<std::shared_ptr<virtual_exchange>> answers;
    for (int number = 0; number < 40; ++number) {
        answers.push_back(this->send_chat(this->node(0), 5 + number, "n" + std::to_string(number)));
        this->fleet.time.run_for(milliseconds{60});
    }
    this->fleet.kill(this->node(0));
    std::set<std::string> delivered;
    for (const auto& answer : answers) {
        if (answer->ended) {
            delivered.insert(answer->header("Eelgrassbend-Request"));
        }
        answer->break_connection(false);
    }
    BOOST_TEST(!delivered.empty());
    BOOST_TEST(delivered.size() < answers.size());
    this->fleet.time.run_for(seconds{120});
    for (const auto& line : this->fleet.billed()) {
        BOOST_TEST(delivered.contains(line.request.value()));
    }
    this->check_ledger();
}

BOOST_FIXTURE_TEST_CASE(during_a_log_outage_models_are_served_and_orders_refused_as_not_run,
                        fleet_fixture)
{
    this->fleet.platform.log.outage = true;
    this->fleet.time.run_for(seconds{2});
    const auto key = this->make_key();
    const auto order = this->send_order(this->node(0), key);
    const auto draft = this->send_chat(this->node(1), 10, "x");
    this->fleet.time.run_for(seconds{6});
    BOOST_TEST(order->header("Eelgrassbend-Outcome") == "not-run");
    BOOST_TEST(this->count_executions(key) == 0);
    BOOST_TEST(draft->ended);
    this->fleet.platform.log.outage = false;
    this->run_until_ledger_written();
    BOOST_TEST(this->fleet.billed().size() == 1);
}

} // namespace eelgrassbend
