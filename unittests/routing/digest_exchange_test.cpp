#include "eelgrassbend/routing/digest_exchange.h"
#include "fakes/direct_peer_rpc.h"
#include "routing_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

BOOST_AUTO_TEST_CASE(nodes_receive_peer_load_within_the_digest_interval)
{
    routing_fixture fixture("predictive", 2);
    seeded_random random(9);
    service_router other(fixture.clock, random, fixture.directory, fixture.bundles);
    fakes::peer_table table;
    const network_address here{"127.0.0.1", 7000};
    const network_address there{"127.0.0.2", 7000};
    fakes::direct_peer_rpc own_calls(table, here);
    fakes::direct_peer_rpc other_calls(table, there);
    const digest_exchange own(fixture.clock, own_calls, fixture.router, node_id{"n0"},
                              [&] { return std::vector{there}; });
    const digest_exchange peer(fixture.clock, other_calls, other, node_id{"n1"},
                               [&] { return std::vector{here}; });
    for (int count = 0; count < 9; ++count) {
        fixture.dispatch("e0");
    }
    fixture.clock.run_for(std::chrono::milliseconds{300});
    for (int turn = 0; turn < 50; ++turn) {
        const auto decision = other.choose(make_request());
        BOOST_REQUIRE(decision.has_value());
        BOOST_TEST(decision.value().endpoint.value() == "e1");
    }
    fixture.clock.run_for(std::chrono::seconds{10});
    BOOST_TEST(own_calls.bytes_sent <= 10U * digest_bytes_per_second);
}

} // namespace eelgrassbend
