#include "eelgrassbend/endpoints/endpoint_watcher.h"
#include "eelgrassbend/routing/router.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Counts calls and answers them unless `is_silent` is set.
class counting_probe : public endpoint_probe {
public:
    void fetch_load(const network_address& endpoint,
                    std::function<void(result<load_report>)> handler) override
    {
        ++this->loads[endpoint.port];
        if (!this->is_silent) {
            handler(load_report{});
        }
    }

    void fetch_events(const network_address& endpoint, std::uint64_t from,
                      std::function<void(result<cache_events>)> handler) override
    {
        ++this->event_calls[endpoint.port];
        this->requested_from = from;
        if (!this->is_silent) {
            handler(cache_events{from + 1, {cache_event{from, cache_event_kind::stored, {7}}}});
        }
    }

    std::map<int, int> loads;
    std::map<int, int> event_calls;
    std::uint64_t requested_from = 0;
    bool is_silent = false;
};

class counting_router : public router {
public:
    result<route_decision> choose(const route_request&) override
    {
        return make_error(errc::unavailable, "choose endpoint");
    }

    void on_dispatched(const attempt_id&, const endpoint_id&, const route_request&) override {}

    void on_progress(const attempt_id&, token_count) override {}

    void on_ended(const attempt_id&, attempt_end) override {}

    void report_load(const endpoint_id&, const load_report&) override { ++this->loads; }

    void report_cache(const endpoint_id&, const cache_event&) override { ++this->events; }

    int loads = 0;
    int events = 0;
};

struct watcher_fixture {
    watcher_fixture()
    {
        for (const std::uint16_t port : {1, 2}) {
            watched_endpoint endpoint;
            endpoint.info.id = endpoint_id{"e" + std::to_string(port)};
            endpoint.info.address = {"127.0.0.1", port};
            endpoint.caches_prefixes = port == 1;
            this->list.push_back(endpoint);
        }
        this->watcher.start();
    }

    virtual_scheduler time;
    counting_probe probe;
    counting_router routes;
    std::vector<watched_endpoint> list;
    endpoint_watcher watcher{time, probe, routes, [this] { return this->list; }, milliseconds{250}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(only_endpoints_with_a_cache_are_polled_for_events, watcher_fixture)
{
    this->time.run_for(seconds{10});
    BOOST_TEST(this->probe.loads[1] >= 40);
    BOOST_TEST(this->probe.loads[2] >= 40);
    BOOST_TEST(this->probe.event_calls[1] >= 40);
    BOOST_TEST(this->probe.event_calls[2] == 0);
    BOOST_TEST(this->routes.events == this->probe.event_calls[1]);
    BOOST_TEST(this->probe.requested_from + 1 ==
               static_cast<std::uint64_t>(this->probe.event_calls[1]));
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_with_an_outstanding_call_is_not_polled_again, watcher_fixture)
{
    this->probe.is_silent = true;
    const auto before = this->probe.loads[1];
    this->time.run_for(seconds{60});
    BOOST_TEST(this->probe.loads[1] == before + 1);
}

} // namespace eelgrassbend
