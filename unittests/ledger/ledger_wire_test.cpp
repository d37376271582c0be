#include "ledger_cluster.h"
#include "ledger_codec.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

BOOST_AUTO_TEST_CASE(stores_and_drops_survive_the_wire_and_damaged_ones_do_no_harm)
{
    const ledger_store store{{node_id{"e1"}, 77},
                             {ledger_cluster::make_line("a")},
                             {ledger_cluster::make_line("b"), ledger_cluster::make_line("c")}};
    const auto store_bytes = encode_ledger_store(store);
    const auto read = decode_ledger_store(store_bytes).value();
    BOOST_TEST((read.origin == store.origin));
    BOOST_TEST((read.intended.size() == 1U && read.confirmed.size() == 2U));
    BOOST_TEST((read.confirmed[1].request == request_id{"c"}));
    const ledger_drop drop{{node_id{"e1"}, 77}, {request_id{"a"}, request_id{"b"}}};
    const auto drop_bytes = encode_ledger_drop(drop);
    BOOST_TEST((decode_ledger_drop(drop_bytes).value().requests == drop.requests));

    seeded_random random{4};
    std::size_t refused = 0;
    for (int round = 0; round < 10'000; ++round) {
        auto bytes = round % 2 == 0 ? store_bytes : drop_bytes;
        for (int flips = 0; flips < 3; ++flips) {
            bytes[random_below(random, bytes.size())] = static_cast<char>(random() & 0xffU);
        }
        bytes.resize(random_below(random, bytes.size() + 1));
        refused += decode_ledger_store(bytes).has_value() ? 0 : 1;
        refused += decode_ledger_drop(bytes).has_value() ? 0 : 1;
    }
    BOOST_TEST(refused > 10'000U);
}

} // namespace eelgrassbend
