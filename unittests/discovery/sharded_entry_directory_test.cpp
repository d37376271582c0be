#include "eelgrassbend/discovery/sharded_entry_directory.h"
#include "eelgrassbend/discovery/watch_digest.h"
#include "fakes/fixed_membership.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace eelgrassbend {

static const service_id draft_service{"draft-llm"};

static std::set<std::string> node_names(const entry_answer& answer)
{
    std::set<std::string> result;
    for (const auto& entry : answer.entries) {
        result.insert(entry.node.value());
    }
    return result;
}

BOOST_AUTO_TEST_CASE(all_nodes_are_returned_when_there_are_few)
{
    const fakes::fixed_membership members(7, 4);
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    BOOST_TEST(directory.entries(organisation_id{"lodge"}, draft_service).entries.size() == 7U);
}

BOOST_AUTO_TEST_CASE(nodes_that_are_not_alive_are_left_out_at_once)
{
    fakes::fixed_membership members(6, 3);
    members.known[1].state = member_state::leaving;
    members.known[2].state = member_state::suspect;
    members.known[3].state = member_state::dead;
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    const auto answer = directory.entries(organisation_id{"lodge"}, draft_service);
    BOOST_TEST((node_names(answer) == std::set<std::string>{"n0", "n4", "n5"}));
    members.known[0].state = member_state::leaving;
    const auto later = directory.entries(organisation_id{"lodge"}, draft_service);
    BOOST_TEST((node_names(later) == std::set<std::string>{"n4", "n5"}));
}

BOOST_AUTO_TEST_CASE(shards_of_390_nodes_are_small_and_spread_over_zones)
{
    const fakes::fixed_membership members(390, 5);
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    std::set<std::set<std::string>> shards;
    for (int number = 0; number < 50; ++number) {
        const organisation_id organisation{"org-" + std::to_string(number)};
        const auto answer = directory.entries(organisation, draft_service);
        BOOST_TEST(answer.entries.size() == 8U);
        std::set<availability_zone> zones;
        for (const auto& entry : answer.entries) {
            zones.insert(entry.zone);
        }
        BOOST_TEST(zones.size() == 5U);
        shards.insert(node_names(answer));
    }
    BOOST_TEST(shards.size() == 50U);
}

BOOST_AUTO_TEST_CASE(the_loss_of_one_node_changes_few_entries)
{
    fakes::fixed_membership members(200, 5);
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    std::map<int, std::set<std::string>> before;
    for (int number = 0; number < 100; ++number) {
        before[number] =
            node_names(directory.entries(organisation_id{std::to_string(number)}, draft_service));
    }
    members.known[42].state = member_state::dead;
    for (int number = 0; number < 100; ++number) {
        const auto after =
            node_names(directory.entries(organisation_id{std::to_string(number)}, draft_service));
        std::set<std::string> common;
        std::ranges::set_intersection(before[number], after, std::inserter(common, common.end()));
        // The lost node is replaced, and one more where the balance of the zones changes.
        BOOST_TEST(common.size() >= 6U);
        if (!before[number].contains("n42")) {
            BOOST_TEST(common.size() == 8U);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_organisation_has_the_same_shard_for_limits_and_all_services)
{
    const fakes::fixed_membership members(390, 5);
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    const organisation_id lodge{"lodge"};
    const auto first = node_names(directory.entries(lodge, draft_service));
    BOOST_TEST((first == node_names(directory.entries(lodge, service_id{"order-desk"}))));
    for (const auto& peer : directory.shard_peers(lodge)) {
        BOOST_TEST(first.contains(peer.value()));
    }
}

BOOST_AUTO_TEST_CASE(two_nodes_in_different_zones_receive_most_callers)
{
    const fakes::fixed_membership members(8, 4);
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    const auto answer = directory.entries(organisation_id{"lodge"}, draft_service);
    std::uint32_t total = 0;
    for (const auto& entry : answer.entries) {
        total += entry.weight;
    }
    const auto preferred = answer.entries[0].weight + answer.entries[1].weight;
    BOOST_TEST(preferred * 10 >= total * 7);
    BOOST_TEST((answer.entries[0].zone != answer.entries[1].zone));
}

BOOST_AUTO_TEST_CASE(endpoints_are_watched_from_other_zones)
{
    const fakes::fixed_membership members(8, 4);
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    std::map<node_id, int> load;
    for (int number = 0; number < 100; ++number) {
        const endpoint_id endpoint{"e" + std::to_string(number)};
        const auto watchers = directory.endpoint_watchers(endpoint, availability_zone{"zone-1"});
        BOOST_TEST(watchers.size() == 3U);
        for (const auto& watcher : watchers) {
            ++load[watcher];
            BOOST_TEST((watcher != node_id{"n1"} && watcher != node_id{"n5"}));
        }
    }
    // The mean is 50 for each of the six nodes in other zones.
    for (const auto& [node, count] : load) {
        BOOST_TEST(count <= 75);
    }
}

BOOST_AUTO_TEST_CASE(the_answer_contains_its_time_to_live)
{
    const fakes::fixed_membership members(3, 3);
    const sharded_entry_directory directory(members, std::chrono::seconds{5});
    const auto fields = to_json(directory.entries(organisation_id{"lodge"}, draft_service));
    BOOST_TEST(fields["time_to_live_ms"] == 5000);
    BOOST_TEST(fields["entries"].size() == 3U);
}

BOOST_AUTO_TEST_CASE(watch_digests_of_390_nodes_stay_within_the_bandwidth_budget)
{
    // The fleet size to be supported: 1,800 endpoints, each watched by 3 of 390 nodes and used by
    // the nodes of the shards with work at it.
    const std::size_t watched = 1'800 * 3 / 390 + 1;
    watch_digest digest;
    digest.from = node_id{"entry-a-0123.gulf-south"};
    for (std::size_t number = 0; number < watched; ++number) {
        load_report report;
        report.measured_at = wall_time{std::chrono::hours{500'000}};
        report.slots = 16;
        report.running = 16;
        report.queued = 200;
        report.queued_prompt_tokens = token_count{200'000};
        report.tokens_per_second = 512.25;
        digest.reports.push_back(
            {endpoint_id{"engine-" + std::to_string(100'000 + number)}, report});
    }
    const auto bytes = encode(digest);
    const auto decoded = decode_watch_digest(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().reports.size() == watched);
    BOOST_TEST(decoded.value().reports[3].report.queued_prompt_tokens.value() == 200'000);
    const std::size_t receivers = 40;
    const auto interval = watch_digest_interval(bytes.size(), receivers);
    const double seconds = std::chrono::duration<double>{interval}.count();
    const double sent = static_cast<double>(bytes.size() * receivers) / seconds;
    BOOST_TEST(sent <= 10'000.0);
    BOOST_TEST(seconds <= 6.0);
}

BOOST_AUTO_TEST_CASE(a_malformed_watch_digest_is_refused)
{
    BOOST_TEST(decode_watch_digest("").has_error());
    BOOST_TEST(decode_watch_digest("\x92\xa1n\x91\x91\x01").has_error());
    BOOST_TEST(decode_watch_digest("\x92\xa1n\x91\x91\xa1x").has_error());
}

} // namespace eelgrassbend
