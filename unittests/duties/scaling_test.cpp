#include "eelgrassbend/duties/scaler.h"
#include "eelgrassbend/duties/scaling_plan.h"

#include "duty_fakes.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::seconds;

/// `needed`: engines that the load needs at the planned utilization.
static scaling_input four_zones(double needed, int reclaimable_each)
{
    scaling_input input;
    input.service = service_id{"draft"};
    input.limits.min_per_zone = 1;
    input.limits.max_per_zone = 6;
    input.limits.reclaimable_price = 0.2;
    input.busy_engines = 0.6 * needed;
    for (const char* zone : {"a", "b", "c", "d"}) {
        input.limits.zone_prices[availability_zone{zone}] = 1.0;
        input.zones[availability_zone{zone}].reclaimable = reclaimable_each;
    }
    return input;
}

static int ordered_count(const std::vector<scaling_order>& orders, bool is_reclaimable)
{
    int count = 0;
    for (const auto& order : orders) {
        count += order.is_reclaimable == is_reclaimable ? order.count : 0;
    }
    return count;
}

BOOST_AUTO_TEST_CASE(reclaimable_endpoints_carry_the_load_without_any_one_zone)
{
    const auto orders = plan_scaling(four_zones(12.0, 3));
    const int all = ordered_count(orders, true);
    BOOST_TEST(all - all / 4 >= 12);
    BOOST_TEST(ordered_count(orders, false) == 0);
}

BOOST_AUTO_TEST_CASE(on_demand_endpoints_fill_in_for_lost_ones)
{
    auto input = four_zones(12.0, 3);
    for (const char* zone : {"a", "b", "c"}) {
        input.zones[availability_zone{zone}].reclaimable = 0;
    }
    const auto orders = plan_scaling(input);
    BOOST_TEST(ordered_count(orders, false) >= 2);
}

// The platform offers no reclaimable endpoints, or the first ones have not started yet.
BOOST_AUTO_TEST_CASE(on_demand_endpoints_carry_the_load_without_reclaimable_ones)
{
    auto input = four_zones(12.0, 0);
    BOOST_TEST(ordered_count(plan_scaling(input), false) >= 12);
    input = four_zones(0.0, 0);
    input.min_total = 9;
    BOOST_TEST(ordered_count(plan_scaling(input), false) >= 9);
    BOOST_TEST(ordered_count(plan_scaling(input), true) >= 9);
}

BOOST_AUTO_TEST_CASE(zone_limits_apply_to_both_kinds_together)
{
    for (const double needed : {0.0, 10.0, 100.0, 1000.0}) {
        for (const int present : {0, 2, 6}) {
            const auto orders = plan_scaling(four_zones(needed, present));
            std::map<availability_zone, int> sums;
            for (const auto& order : orders) {
                BOOST_TEST(order.count >= 0);
                sums[order.zone] += order.count;
            }
            for (const auto& [zone, sum] : sums) {
                BOOST_TEST(sum >= 1);
                BOOST_TEST(sum <= 6);
            }
        }
    }
}

namespace {

/// A scaler for one service in one zone.
struct scaler_fixture {
    void start(int most)
    {
        routed_service service;
        service.id = service_id{"draft"};
        service.scaling = scaling_limits{1, most, seconds{4}, 0.2, {{availability_zone{"a"}, 1.0}}};
        routing_configuration configuration;
        configuration.services = {service};
        this->scaling.set_table(std::make_shared<const route_table>(configuration));
        this->scaling.start();
    }

    void add_endpoints(int count, bool is_reclaimable)
    {
        for (int index = 0; index < count; ++index) {
            endpoint_record record;
            record.id = endpoint_id{"i-" + std::to_string(index)};
            record.service = service_id{"draft"};
            record.zone = availability_zone{"a"};
            record.is_reclaimable = is_reclaimable;
            this->endpoints.put(record, this->time.now());
        }
    }

    virtual_scheduler time;
    fakes::fake_store_logs logs;
    lease_node node{this->logs, this->time, "first"};
    endpoint_table endpoints{seconds{1}};
    demand_tracker demand;
    recording_duty_calls calls;
    scaler scaling{this->time,      this->node.log, this->node.lease,
                   this->endpoints, this->demand,   this->calls};
};

} // namespace

// When a whole deployment starts at once, a node acquires the lease before the endpoints have
// registered. Guards against removing them in this time.
BOOST_FIXTURE_TEST_CASE(endpoints_registering_after_the_lease_holder_started_are_kept,
                        scaler_fixture)
{
    this->node.lease.start();
    this->time.run_for(seconds{10});
    this->start(30);
    this->time.run_for(seconds{1});
    this->add_endpoints(15, false);
    this->time.run_for(seconds{10});
    BOOST_REQUIRE(!this->calls.orders.empty());
    for (const auto& order : this->calls.orders) {
        BOOST_TEST((order.is_reclaimable || order.count >= 15));
    }
}

// Reclaimable endpoints are ordered before the others have registered, so that the more expensive
// on-demand ones can be removed sooner.
BOOST_FIXTURE_TEST_CASE(reclaimable_endpoints_are_ordered_at_once, scaler_fixture)
{
    this->node.lease.start();
    this->time.run_for(seconds{10});
    this->start(30);
    this->time.run_for(seconds{1});
    BOOST_REQUIRE(!this->calls.orders.empty());
    for (const auto& order : this->calls.orders) {
        BOOST_TEST(order.is_reclaimable);
    }
}

// Retries and slow engines increase the number of requests in flight but not the work.
BOOST_FIXTURE_TEST_CASE(engine_count_follows_the_requested_work, scaler_fixture)
{
    this->start(30);
    this->node.lease.start();
    const auto load = [&](double engines, seconds span) {
        for (int step = 0; step < span.count() * 10; ++step) {
            // 4,000 tokens take 96 ms of engine time, including the overhead.
            for (int request = 0; request < static_cast<int>(engines); ++request) {
                this->demand.record_request(service_id{"draft"}, 4'000, 4'000, 0);
            }
            this->time.run_for(std::chrono::milliseconds{100});
        }
    };
    const auto last_reclaimable_order = [&] {
        int count = 0;
        for (const auto& order : this->calls.orders) {
            count = order.is_reclaimable ? order.count : count;
        }
        return count;
    };
    load(7.0, seconds{30});
    BOOST_TEST(last_reclaimable_order() >= 10);
    BOOST_TEST(last_reclaimable_order() <= 13);
    load(1.0, seconds{60});
    BOOST_TEST(last_reclaimable_order() <= 4);
}

BOOST_AUTO_TEST_CASE(running_on_demand_endpoints_keep_their_zone)
{
    auto input = four_zones(0.0, 0);
    input.min_total = 8;
    for (auto& [zone, counts] : input.zones) {
        counts.on_demand = 2;
    }
    for (const auto& order : plan_scaling(input)) {
        BOOST_TEST((order.is_reclaimable || order.count == 2));
    }
}

// Reclaimed endpoints return within seconds, unless the platform has none left.
BOOST_AUTO_TEST_CASE(more_on_demand_endpoints_fill_in_when_reclaimable_ones_are_sold_out)
{
    auto input = four_zones(12.0, 1);
    const int usual = ordered_count(plan_scaling(input), false);
    input.zones.begin()->second.is_sold_out = true;
    const int sold_out = ordered_count(plan_scaling(input), false);
    BOOST_TEST(usual <= 2);
    BOOST_TEST(sold_out >= 6);
    BOOST_TEST(sold_out <= 8);
}

BOOST_FIXTURE_TEST_CASE(only_the_lease_holder_orders_and_only_once, scaler_fixture)
{
    this->start(6);
    this->time.run_for(seconds{3});
    BOOST_TEST(this->calls.orders.empty());
    this->node.lease.start();
    this->time.run_for(seconds{3});
    const auto order_count = this->calls.orders.size();
    BOOST_TEST(order_count >= 1U);
    this->add_endpoints(3, true);
    this->time.run_for(seconds{30});
    BOOST_TEST(this->calls.orders.size() <= order_count + 2U);
}

} // namespace eelgrassbend
