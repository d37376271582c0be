#include "eelgrassbend/discovery/sharded_entry_directory.h"
#include "eelgrassbend/limits/rpc_limit_peers.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "fakes/direct_peer_rpc.h"
#include "fakes/fixed_membership.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

BOOST_AUTO_TEST_CASE(shares_reach_the_peers_of_the_shard)
{
    fakes::peer_table table;
    fakes::fixed_membership members(2, 2);
    members.known[1].calls = {"127.0.0.2", 7000};
    fakes::direct_peer_rpc own_calls(table, {"127.0.0.1", 7000});
    fakes::direct_peer_rpc peer_calls(table, members.known[1].calls);
    const sharded_entry_directory shards(members, std::chrono::seconds{5});
    rpc_limit_peers own(own_calls, members, shards);
    rpc_limit_peers peer(peer_calls, members, shards);
    std::vector<limit_share_message> received;
    peer.set_receiver([&](const limit_share_message& message) { received.push_back(message); });

    const organisation_id lodge{"lodge"};
    BOOST_TEST((own.shard_peers(lodge) == std::vector<node_id>{node_id{"n1"}}));
    own.send(node_id{"n1"}, {own.self(), {{lodge, 3.5, 0.25}}});
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST((received[0].from == node_id{"n0"}));
    BOOST_TEST((received[0].usages == std::vector<organisation_usage>{{lodge, 3.5, 0.25}}));
}

BOOST_AUTO_TEST_CASE(a_malformed_share_is_answered_with_an_error)
{
    fakes::peer_table table;
    const fakes::fixed_membership members(1, 1);
    fakes::direct_peer_rpc calls(table, {"127.0.0.1", 7000});
    const sharded_entry_directory shards(members, std::chrono::seconds{5});
    rpc_limit_peers peers(calls, members, shards);
    int received = 0;
    peers.set_receiver([&](const limit_share_message&) { ++received; });
    bool is_refused = false;
    calls.call({"127.0.0.1", 7000}, peer_method::limit_share, "nonsense", {},
               [&](const result<std::string>& answer) { is_refused = answer.has_error(); });
    BOOST_TEST(is_refused);
    BOOST_TEST(received == 0);
}

} // namespace eelgrassbend
