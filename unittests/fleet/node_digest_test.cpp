#include "eelgrassbend/fleet/fleet_view.h"
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
    digest.carries_load = true;
    digest.work[endpoint_id{"i-1"}] = {3, 4000, 90'000};
    digest.admitted[organisation_id{"lodge"}] = 1234.5;
    digest.usage[usage_window{77}][organisation_id{"lodge"}] = 41;
    digest.demand = {{service_id{"desk"}, 2.5}, {service_id{"draft"}, 4.5}};
    digest.slot_demand = {{service_id{"draft"}, 60.25}};
    digest.summary = group_summary{};
    digest.summary->demand = digest.demand;
    digest.summary->slot_demand = digest.slot_demand;
    digest.reads_store = true;
    digest.echo = digest_number{5, 6};
    digest.positions = {
        {"servers",
         log_offset{3},
         log_offset{9},
         std::chrono::milliseconds{120},
         true,
         true,
         {{log_offset{4}, "i-1", std::string{"a\0b", 3}}, {log_offset{5}, "i-2", std::nullopt}},
         store_era{4}}};
    return digest;
}

BOOST_AUTO_TEST_CASE(a_digest_is_unchanged_by_encoding_and_decoding)
{
    const auto digest = full_digest();
    const auto read = decode_digest(encode_digest(digest));
    BOOST_REQUIRE(read.has_value());
    const auto& decoded = read.value();
    BOOST_TEST((decoded.node == digest.node));
    BOOST_TEST(decoded.incarnation == digest.incarnation);
    BOOST_TEST(decoded.sequence == digest.sequence);
    BOOST_TEST(decoded.is_ready);
    BOOST_TEST(!decoded.is_leaving);
    BOOST_TEST((decoded.callers == digest.callers));
    BOOST_TEST((decoded.datagrams == digest.datagrams));
    BOOST_TEST((decoded.duty_token == digest.duty_token));
    BOOST_TEST(decoded.carries_load);
    BOOST_TEST((decoded.work == digest.work));
    BOOST_TEST((decoded.admitted == digest.admitted));
    BOOST_TEST((decoded.usage == digest.usage));
    BOOST_TEST((decoded.demand == digest.demand));
    BOOST_TEST((decoded.slot_demand == digest.slot_demand));
    BOOST_REQUIRE(decoded.summary.has_value());
    BOOST_TEST((decoded.summary->slot_demand == digest.slot_demand));
    BOOST_TEST(decoded.reads_store);
    BOOST_TEST((decoded.echo == digest.echo));
    BOOST_TEST((decoded.positions == digest.positions));
}

BOOST_AUTO_TEST_CASE(grants_and_observations_of_roll_outs_are_unchanged_by_encoding_and_decoding)
{
    auto digest = full_digest();
    rollout_grant grant;
    grant.service = service_id{"draft"};
    grant.target = software_version{"v2"};
    grant.order = rollout_order_id{1ULL << 63U};
    grant.step = 4;
    grant.phase = rollout_phase::moving;
    grant.share = 1.0;
    grant.max_endpoints = 6;
    grant.age = std::chrono::milliseconds{70};
    grant.elapsed = std::chrono::seconds{9};
    grant.unproven = {software_version{"v0"}};
    digest.grants = {grant};
    route_totals totals;
    totals.target.requests = 9;
    totals.base.failures = 3;
    totals.base.slowness[7] = 70'000;
    digest.observations = {{service_id{"draft"}, rollout_order_id{7}, {{"long", totals}}}};
    const auto bytes = encode_digest(digest);
    BOOST_TEST(bytes.size() <= max_digest_bytes);
    const auto read = decode_digest(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value().grants == digest.grants));
    BOOST_TEST((read.value().observations == digest.observations));
}

BOOST_AUTO_TEST_CASE(the_times_of_recent_digests_are_retained)
{
    sent_digests sent;
    for (std::uint64_t sequence = 1; sequence <= 1000; ++sequence) {
        sent.add(sequence, monotonic_time{std::chrono::seconds{sequence}});
    }
    BOOST_TEST((sent.time_of(990) == monotonic_time{std::chrono::seconds{990}}));
    BOOST_TEST(!sent.time_of(1).has_value());
    BOOST_TEST(!sent.time_of(1001).has_value());
}

BOOST_AUTO_TEST_CASE(a_digest_fits_a_datagram_and_keeps_the_busiest_endpoints)
{
    auto digest = full_digest();
    digest.work.clear();
    for (int index = 0; index < 200; ++index) {
        digest.work[endpoint_id{"i-" + std::to_string(1000 + index)}] = {index, 100'000, 1'000'000};
    }
    const auto bytes = encode_digest(digest);
    BOOST_TEST(bytes.size() <= max_digest_bytes);
    const auto read = decode_digest(bytes);
    BOOST_TEST(read.value().work.contains(endpoint_id{"i-1199"}));
    BOOST_TEST(!read.value().work.contains(endpoint_id{"i-1000"}));
}

// Load and usage are sent in separate digests, because a digest omits work entries that exceed
// `max_digest_bytes`. The sizes are those of a deployment with 16 organisations and 60 engines.
BOOST_AUTO_TEST_CASE(usage_of_many_organisations_does_not_displace_the_load)
{
    auto load = full_digest();
    load.usage.clear();
    auto usage = full_digest();
    usage.carries_load = false;
    usage.work.clear();
    usage.admitted.clear();
    for (int index = 0; index < 16; ++index) {
        const organisation_id id{"tenant-" + std::to_string(100 + index)};
        load.admitted[id] = 123'456.5;
        usage.usage[usage_window{77}][id] = 400;
        usage.usage[usage_window{78}][id] = 400;
    }
    for (int index = 0; index < 14; ++index) {
        load.work[endpoint_id{"i-0123456" + std::to_string(100 + index)}] = {3, 9'000, 90'000};
    }
    const auto read = decode_digest(encode_digest(load));
    BOOST_TEST(read.value().work.size() == load.work.size());
    const auto bytes = encode_digest(usage);
    BOOST_TEST(bytes.size() <= max_digest_bytes);
    BOOST_TEST((decode_digest(bytes).value().usage == usage.usage));
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_rejected)
{
    BOOST_TEST(!decode_digest("").has_value());
    BOOST_TEST(!decode_digest("GET / HTTP/1.1").has_value());
    const auto whole = encode_digest(full_digest());
    for (std::size_t length = 0; length + 1 < whole.size(); length += 7) {
        const auto read = decode_digest(std::string_view{whole}.substr(0, length));
        BOOST_TEST((!read.has_value() || read.value().node == node_id{"front-1"}));
    }
}

BOOST_AUTO_TEST_CASE(a_digest_carries_a_crash_report)
{
    node_digest digest;
    digest.node = node_id{"front-1"};
    digest.crashes.suspects = {
        {crash_id{7}, 8, true, {part_key{1}, part_key{2}}, std::chrono::milliseconds{1500}}};
    digest.crashes.sound = {{part_key{3}, std::chrono::seconds{2}}};
    digest.crashes.quarantined = {{{part_key{4}}, 2, std::chrono::minutes{3}}};
    const auto decoded = decode_digest(encode_digest(digest));
    BOOST_TEST(bool{decoded});
    BOOST_TEST((decoded.value().crashes == digest.crashes));
    digest.crashes = {};
    BOOST_TEST(decode_digest(encode_digest(digest)).value().crashes.is_empty());
}

BOOST_AUTO_TEST_CASE(a_digest_with_the_largest_crash_report_fits_a_datagram)
{
    node_digest digest;
    digest.node = node_id{"front-1"};
    part_keys parts;
    for (std::size_t number = 0; number < max_examined_parts; ++number) {
        parts.emplace_back(~number);
    }
    for (std::uint64_t number = 0; number < 4; ++number) {
        digest.crashes.suspects.push_back(
            {crash_id{~number}, ~number, true, parts, std::chrono::seconds{4}});
    }
    digest.crashes.sound.assign(8, {part_key{~std::uint64_t{0}}, std::chrono::seconds{4}});
    digest.crashes.quarantined.assign(2, {{part_key{~std::uint64_t{0}}}, 5, std::chrono::hours{9}});
    for (int number = 0; number < 60; ++number) {
        digest.work[endpoint_id{"i-0123456789" + std::to_string(number)}] = {number, 1'000, 9'000};
    }
    digest.carries_load = true;
    BOOST_TEST(encode_digest(digest).size() <= max_digest_bytes);
}

} // namespace eelgrassbend
