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
        if (this->is_down) {
            done(make_error(errc::unavailable, "read host list", "platform"));
            return;
        }
        done(this->hosts);
    }

    std::vector<host_entry> hosts;
    bool is_down = false;
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

/// Delivers each published payload to every subscriber of a test.
class shared_dissemination : public dissemination {
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

    void add_notice(const std::string& host, seconds reclaim_delay)
    {
        this->cloud.notices.push_back(
            {this->cloud.notices.size(), host_name{host}, this->time.wall_now() + reclaim_delay});
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
    shared_dissemination gossip;
    fake_event_log log;
    std::size_t nodes = 6;
    platform_endpoint_directory directory{
        time, random, hosts, cloud, gossip, log, [this] { return this->nodes; }, {}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_endpoint_with_a_notice_is_leaving_within_two_seconds, directory_fixture)
{
    this->directory.start();
    this->time.run_for(seconds{5});
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::live));
    this->add_notice("e1", seconds{30});
    this->time.run_for(seconds{2});
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::leaving));
    BOOST_TEST((this->state_of(this->directory, "e2") == endpoint_state::live));
    this->time.run_for(seconds{31});
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::gone));
}

BOOST_FIXTURE_TEST_CASE(a_stale_list_never_revives_a_leaving_endpoint, directory_fixture)
{
    this->directory.start();
    this->add_notice("e1", seconds{10});
    int revivals = 0;
    bool is_leaving = false;
    this->directory.on_change([&](const endpoint_info& info) {
        if (info.id == endpoint_id{"e1"}) {
            revivals += is_leaving && info.state == endpoint_state::live ? 1 : 0;
            is_leaving = is_leaving || info.state != endpoint_state::live;
        }
    });
    this->time.run_for(seconds{60});
    BOOST_TEST(is_leaving);
    BOOST_TEST(revivals == 0);
    BOOST_TEST((this->state_of(this->directory, "e1") == endpoint_state::gone));
}

BOOST_FIXTURE_TEST_CASE(a_node_that_receives_a_notice_publishes_it_to_the_others, directory_fixture)
{
    scripted_cloud empty_cloud;
    platform_endpoint_directory other{
        time, random, hosts, empty_cloud, gossip, log, [this] { return this->nodes; }, {}};
    this->directory.start();
    other.start();
    this->time.run_for(seconds{5});
    this->add_notice("e2", seconds{30});
    this->time.run_for(seconds{2});
    BOOST_TEST((this->state_of(other, "e2") == endpoint_state::leaving));
    BOOST_TEST(this->gossip.published == 1);
}

BOOST_FIXTURE_TEST_CASE(endpoints_are_retained_while_the_host_list_is_unavailable,
                        directory_fixture)
{
    this->directory.start();
    this->time.run_for(seconds{5});
    this->hosts.is_down = true;
    this->time.run_for(seconds{600});
    BOOST_TEST(this->directory.endpoints(service_id{"draft-llm"}).size() == 2);
}

BOOST_FIXTURE_TEST_CASE(a_host_missing_from_two_polls_is_gone, directory_fixture)
{
    this->directory.start();
    this->time.run_for(seconds{5});
    this->hosts.hosts.pop_back();
    this->time.run_for(seconds{10});
    BOOST_TEST(this->directory.endpoints(service_id{"draft-llm"}).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(the_poll_rate_of_the_fleet_does_not_grow_with_its_size, directory_fixture)
{
    const auto fleet_poll_rate = [this](std::size_t count) {
        this->nodes = count;
        this->hosts.fetches = 0;
        platform_endpoint_directory single{
            time, random, hosts, cloud, gossip, log, [this] { return this->nodes; }, {}};
        single.start();
        this->time.run_for(seconds{600});
        single.stop();
        this->time.run_for(seconds{200});
        return static_cast<double>(this->hosts.fetches) * static_cast<double>(count) / 600.0;
    };
    const auto few = fleet_poll_rate(6);
    const auto many = fleet_poll_rate(390);
    BOOST_TEST(few < 10.0);
    BOOST_TEST(many < 10.0);
}

BOOST_AUTO_TEST_CASE(reports_are_parsed_or_rejected)
{
    const auto report = parse_load_report(
        R"({"measured_at_ms":5,"slots":8,"running":2,"queued":1,"queued_prompt_tokens":70,"tokens_per_second":3.5})");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report.value().queued_prompt_tokens.value() == 70);
    BOOST_TEST(!parse_load_report(R"({"slots":"many"})").has_value());
    const auto events = parse_cache_events(
        R"({"next":9,"events":[{"sequence":8,"kind":"evicted","blocks":["00000000000000ff"]}]})");
    BOOST_REQUIRE(events.has_value());
    BOOST_TEST(events.value().next_sequence == 9);
    BOOST_TEST(events.value().events[0].blocks[0] == 255);
    const std::string valid =
        R"({"next":9,"events":[{"sequence":8,"kind":"evicted","blocks":["ff"]}]})";
    seeded_random random{11};
    for (int round = 0; round < 3000; ++round) {
        auto mutated = valid;
        mutated[random_below(random, mutated.size())] = static_cast<char>(random());
        static_cast<void>(parse_cache_events(mutated));
        static_cast<void>(parse_load_report(mutated));
    }
}

} // namespace eelgrassbend
