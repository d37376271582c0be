#include "eelgrassbend/endpoints/http_endpoint_probe.h"
#include "eelgrassbend/endpoints/platform_endpoint_directory.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class scripted_hosts : public host_list {
public:
    void fetch(handler done) override
    {
        ++this->fetches;
        if (this->down) {
            done(make_error(errc::unavailable, "read host list", "platform"));
            return;
        }
        done(this->hosts);
    }

    std::vector<host_entry> hosts;
    bool down = false;
    int fetches = 0;
};

class scripted_cloud : public cloud_api {
public:
    void fetch_notices(std::uint64_t from, notices_handler handler) override
    {
        std::vector<reclaim_notice> fresh;
        for (const auto& notice : this->notices) {
            if (notice.sequence >= from) {
                fresh.push_back(notice);
            }
        }
        handler(fresh);
    }

    void order(const host_order&, order_handler) override {}

    void release(const host_name&, done_handler) override {}

    void list(std::function<void(result<std::vector<std::pair<std::string, host_entry>>>)>) override
    {
    }

    std::vector<reclaim_notice> notices;
};

/// Delivers what is published to every subscriber of a test.
class shared_spread : public dissemination {
public:
    void publish(const std::string& topic, const std::string& payload) override
    {
        ++this->published;
        for (const auto& receiver : this->receivers[topic]) {
            receiver(payload);
        }
    }

    void subscribe(const std::string& topic, handler receiver) override
    {
        this->receivers[topic].push_back(std::move(receiver));
    }

    int published = 0;

private:
    std::map<std::string, std::vector<handler>> receivers;
};

struct directory_fixture {
    directory_fixture() { this->hosts.hosts = {make_host("e1"), make_host("e2")}; }

    static host_entry make_host(const std::string& name)
    {
        host_entry host;
        host.name = host_name{name};
        host.service = service_id{"draft-llm"};
        host.zone = availability_zone{"arusha-a"};
        return host;
    }

    void notify(const std::string& host, seconds in)
    {
        this->cloud.notices.push_back(
            {this->cloud.notices.size(), host_name{host}, this->time.wall_now() + in});
    }

    endpoint_state state_of(const platform_endpoint_directory& directory, const char* name) const
    {
        const auto found = directory.find(endpoint_id{name});
        return found ? found->state : endpoint_state::gone;
    }

    virtual_scheduler time;
    seeded_random random{3};
    scripted_hosts hosts;
    scripted_cloud cloud;
    shared_spread spread;
    fake_event_log log;
    std::size_t nodes = 6;
    platform_endpoint_directory directory{
        time, random, hosts, cloud, spread, log, [this] { return this->nodes; }, {}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_noticed_endpoint_is_leaving_within_the_seconds_promised,
                        directory_fixture)
{
    this->directory.start();
    this->time.run_for(seconds{5});
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::live));
    this->notify("e1", seconds{30});
    this->time.run_for(seconds{2});
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::leaving));
    BOOST_TEST((this->state_of(this->directory, "e2") == endpoint_state::live));
    this->time.run_for(seconds{31});
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::gone));
}

BOOST_FIXTURE_TEST_CASE(a_lagging_list_never_brings_a_leaving_endpoint_back, directory_fixture)
{
    this->directory.start();
    this->notify("e1", seconds{10});
    int came_back = 0;
    bool left = false;
    this->directory.on_change([&](const endpoint_info& info) {
        if (info.id == endpoint_id{"e1"}) {
            came_back += left && info.state == endpoint_state::live ? 1 : 0;
            left = left || info.state != endpoint_state::live;
        }
    });
    this->time.run_for(seconds{60});
    BOOST_TEST(left);
    BOOST_TEST(came_back == 0);
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::gone));
}

BOOST_FIXTURE_TEST_CASE(one_node_that_sees_a_notice_tells_the_others, directory_fixture)
{
    scripted_cloud blind;
    platform_endpoint_directory other{
        time, random, hosts, blind, spread, log, [this] { return this->nodes; }, {}};
    this->directory.start();
    other.start();
    this->time.run_for(seconds{5});
    this->notify("e2", seconds{30});
    this->time.run_for(seconds{2});
    BOOST_TEST((this->state_of(other, "e2") == endpoint_state::leaving));
    BOOST_TEST(this->spread.published == 1);
}

BOOST_FIXTURE_TEST_CASE(endpoints_stay_known_while_the_list_is_down, directory_fixture)
{
    this->directory.start();
    this->time.run_for(seconds{5});
    this->hosts.down = true;
    this->time.run_for(seconds{600});
    BOOST_TEST(this->directory.endpoints(service_id{"draft-llm"}).size() == 2);
}

BOOST_FIXTURE_TEST_CASE(a_host_that_left_the_list_is_gone_after_two_polls, directory_fixture)
{
    this->directory.start();
    this->time.run_for(seconds{5});
    this->hosts.hosts.pop_back();
    this->time.run_for(seconds{10});
    BOOST_TEST(this->directory.endpoints(service_id{"draft-llm"}).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(the_polling_of_all_nodes_together_does_not_grow, directory_fixture)
{
    const auto polls_of_all = [this](std::size_t count) {
        this->nodes = count;
        this->hosts.fetches = 0;
        platform_endpoint_directory one{
            time, random, hosts, cloud, spread, log, [this] { return this->nodes; }, {}};
        one.start();
        this->time.run_for(seconds{600});
        one.stop();
        this->time.run_for(seconds{200});
        return static_cast<double>(this->hosts.fetches) * static_cast<double>(count) / 600.0;
    };
    const auto few = polls_of_all(6);
    const auto many = polls_of_all(390);
    BOOST_TEST(few < 10.0);
    BOOST_TEST(many < 10.0);
}

BOOST_AUTO_TEST_CASE(foreign_reports_are_read_or_refused)
{
    const auto report = parse_load_report(
        R"({"measured_at_ms":5,"slots":8,"running":2,"queued":1,"queued_prompt_tokens":70,"tokens_per_second":3.5})");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report.value().queued_prompt_tokens.value() == 70);
    BOOST_TEST(!parse_load_report(R"({"slots":"many"})").has_value());
    const auto events = parse_cache_events(
        R"({"next":9,"events":[{"sequence":8,"kind":"evicted","blocks":["00000000000000ff"]}]})");
    BOOST_REQUIRE(events.has_value());
    BOOST_TEST(events.value().next == 9);
    BOOST_TEST(events.value().events[0].blocks[0] == 255);
    const std::string good =
        R"({"next":9,"events":[{"sequence":8,"kind":"evicted","blocks":["ff"]}]})";
    seeded_random random{11};
    for (int round = 0; round < 3000; ++round) {
        auto mutated = good;
        mutated[random_below(random, mutated.size())] = static_cast<char>(random());
        static_cast<void>(parse_cache_events(mutated));
        static_cast<void>(parse_load_report(mutated));
    }
}

} // namespace eelgrassbend
