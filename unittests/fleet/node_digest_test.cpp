#include "eelgrassbend/fleet/node_digest.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

static node_digest full_digest()
{
    node_digest digest;
    digest.node = node_id{"front-1"};
    digest.incarnation = 1'700'000'000'000'000ULL;
    digest.sequence = 12;
    digest.is_ready = true;
    digest.callers = {"10.0.0.1", 8080};
    digest.datagrams = {"10.0.0.1", 7600};
    digest.zone = availability_zone{"arusha-a"};
    digest.duty_token = fencing_token{9};
    digest.work[endpoint_id{"i-1"}] = {3, 4000, 90'000};
    digest.admitted[organisation_id{"lodge"}] = 1234.5;
    digest.usage[usage_window{77}][organisation_id{"lodge"}] = 41;
    return digest;
}

BOOST_AUTO_TEST_CASE(a_digest_survives_its_encoding)
{
    const auto digest = full_digest();
    const auto read = decode_digest(encode_digest(digest));
    BOOST_REQUIRE(read.has_value());
    const auto& told = read.value();
    BOOST_TEST((told.node == digest.node));
    BOOST_TEST(told.incarnation == digest.incarnation);
    BOOST_TEST(told.sequence == digest.sequence);
    BOOST_TEST(told.is_ready);
    BOOST_TEST(!told.is_leaving);
    BOOST_TEST((told.callers == digest.callers));
    BOOST_TEST((told.datagrams == digest.datagrams));
    BOOST_TEST((told.duty_token == digest.duty_token));
    BOOST_TEST((told.work == digest.work));
    BOOST_TEST((told.admitted == digest.admitted));
    BOOST_TEST((told.usage == digest.usage));
}

BOOST_AUTO_TEST_CASE(a_digest_fits_a_datagram_and_keeps_the_busiest_endpoints)
{
    auto digest = full_digest();
    digest.work.clear();
    for (int index = 0; index < 200; ++index) {
        digest.work[endpoint_id{"i-" + std::to_string(1000 + index)}] = {index, 100'000, 1'000'000};
    }
    const auto bytes = encode_digest(digest);
    BOOST_TEST(bytes.size() <= longest_digest);
    const auto read = decode_digest(bytes);
    BOOST_TEST(read.value().work.contains(endpoint_id{"i-1199"}));
    BOOST_TEST(!read.value().work.contains(endpoint_id{"i-1000"}));
}

BOOST_AUTO_TEST_CASE(foreign_bytes_are_refused)
{
    BOOST_TEST(!decode_digest("").has_value());
    BOOST_TEST(!decode_digest("GET / HTTP/1.1").has_value());
    const auto whole = encode_digest(full_digest());
    for (std::size_t length = 0; length + 1 < whole.size(); length += 7) {
        const auto read = decode_digest(std::string_view{whole}.substr(0, length));
        BOOST_TEST((!read.has_value() || read.value().node == node_id{"front-1"}));
    }
}

} // namespace eelgrassbend
