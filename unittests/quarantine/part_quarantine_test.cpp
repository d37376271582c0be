#include "eelgrassbend/quarantine/part_quarantine.h"

#include "eelgrassbend/support/hash.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_metrics.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

static part_keys keys(const std::string& letters)
{
    part_keys parts;
    for (const char letter : letters) {
        parts.emplace_back(static_cast<std::uint64_t>(letter));
    }
    return parts;
}

namespace {

/// Nodes that exchange their reports.
struct quarantine_fixture {
    explicit quarantine_fixture(int nodes = 2)
    {
        for (int number = 0; number < nodes; ++number) {
            this->add_node();
        }
    }

    void add_node()
    {
        const auto name = "front-" + std::to_string(this->nodes.size());
        this->nodes.push_back(
            std::make_unique<part_quarantine>(this->log, this->counters, node_id{name}));
    }

    /// An endpoint crashes under a request of one node.
    void crash(const std::string& parts, std::size_t node = 0, bool has_answer_begun = true)
    {
        ++this->crashes;
        this->lose_request(parts, node, has_answer_begun);
    }

    /// A request is lost by the last crash.
    void lose_request(const std::string& parts, std::size_t node = 0, bool has_answer_begun = true)
    {
        ++this->requests;
        this->nodes[node]->record_suspect(
            {crash_id{this->crashes}, this->requests, has_answer_begun, keys(parts), {}},
            this->now);
    }

    void answer(const std::string& parts, std::size_t node = 0)
    {
        this->nodes[node]->record_answer(keys(parts), this->now, this->now);
    }

    void run_for(duration time)
    {
        for (duration step{}; step < time; step += milliseconds{250}) {
            this->now += milliseconds{250};
            for (auto& sender : this->nodes) {
                sender->update(this->now);
                const auto report = sender->report(false, this->now);
                for (auto& receiver : this->nodes) {
                    if (receiver != sender && this->is_connected) {
                        receiver->apply(report, this->now);
                    }
                }
            }
        }
    }

    void crash_often(const std::string& parts, int times = 3)
    {
        for (int count = 0; count < times; ++count) {
            this->crash(parts, static_cast<std::size_t>(count) % this->nodes.size());
            this->run_for(milliseconds{500});
        }
    }

    [[nodiscard]] bool is_refused(const std::string& parts)
    {
        bool is_refused = true;
        for (auto& node : this->nodes) {
            is_refused = is_refused && node->admit(keys(parts), this->now).has_value();
        }
        return is_refused;
    }

    [[nodiscard]] bool is_refused_anywhere(const std::string& parts)
    {
        bool is_refused = false;
        for (auto& node : this->nodes) {
            is_refused = is_refused || node->admit(keys(parts), this->now).has_value();
        }
        return is_refused;
    }

    fake_event_log log;
    fake_metrics counters;
    std::vector<std::unique_ptr<part_quarantine>> nodes;
    monotonic_time now{std::chrono::hours{1}};
    std::uint64_t crashes = 0;
    std::uint64_t requests = 0;
    bool is_connected = true;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_part_common_to_three_crashes_is_refused_on_all_nodes, quarantine_fixture)
{
    this->answer("a");
    this->crash_often("abd");
    this->answer("ab", 1);
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("abd"));
    BOOST_TEST(this->is_refused("d"));
    BOOST_TEST(!this->is_refused_anywhere("ab"));
}

BOOST_FIXTURE_TEST_CASE(two_crashes_do_not_suffice, quarantine_fixture)
{
    this->crash_often("d", 2);
    this->run_for(seconds{5});
    BOOST_TEST(!this->is_refused_anywhere("d"));
}

// A rack or an availability zone that fails takes many endpoints down at once.
BOOST_FIXTURE_TEST_CASE(crashes_at_the_same_moment_count_once, quarantine_fixture)
{
    for (int count = 0; count < 9; ++count) {
        this->crash("ab");
    }
    this->run_for(seconds{5});
    BOOST_TEST(!this->is_refused_anywhere("ab"));
}

BOOST_FIXTURE_TEST_CASE(one_request_that_is_repeated_does_not_suffice, quarantine_fixture)
{
    for (int count = 0; count < 4; ++count) {
        this->crash("d");
        this->requests = 0;
        this->run_for(milliseconds{500});
    }
    this->run_for(seconds{2});
    BOOST_TEST(!this->is_refused_anywhere("d"));
}

BOOST_FIXTURE_TEST_CASE(an_answer_of_any_node_refutes_the_suspicion, quarantine_fixture)
{
    this->crash_often("b", 2);
    this->answer("b", 1);
    this->crash_often("b", 2);
    this->run_for(seconds{5});
    BOOST_TEST(!this->is_refused_anywhere("b"));
}

BOOST_FIXTURE_TEST_CASE(an_answer_within_the_settle_time_refutes_the_suspicion, quarantine_fixture)
{
    for (int count = 0; count < 3; ++count) {
        this->crash("b");
        this->run_for(milliseconds{250});
    }
    this->answer("b", 1);
    this->run_for(seconds{5});
    BOOST_TEST(!this->is_refused_anywhere("b"));
}

// Sound requests may share all parts but one with requests that crash endpoints.
BOOST_FIXTURE_TEST_CASE(parts_that_cannot_be_told_apart_are_refused_together, quarantine_fixture)
{
    this->crash_often("abd");
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("abd"));
    BOOST_TEST(!this->is_refused_anywhere("ab"));
    BOOST_TEST(!this->is_refused_anywhere("bd"));
    this->crash_often("de", 1);
    this->crash_often("df", 1);
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("d"));
    BOOST_TEST(!this->is_refused_anywhere("abef"));
}

BOOST_FIXTURE_TEST_CASE(a_part_is_found_beside_changing_others, quarantine_fixture)
{
    for (const char* parts : {"ad", "bd", "ad", "bd", "cd"}) {
        this->crash_often(parts, 1);
    }
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("d"));
    BOOST_TEST(!this->is_refused_anywhere("abc"));
}

BOOST_FIXTURE_TEST_CASE(two_parts_that_crash_endpoints_are_found_beside_a_common_sound_one,
                        quarantine_fixture)
{
    for (int count = 0; count < 3; ++count) {
        this->crash("bd", 0);
        this->run_for(milliseconds{300});
        this->crash("be", 1);
        this->run_for(milliseconds{300});
    }
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("bd"));
    BOOST_TEST(this->is_refused("be"));
    BOOST_TEST(!this->is_refused_anywhere("b"));
}

BOOST_FIXTURE_TEST_CASE(queued_requests_are_not_suspected_beside_one_whose_answer_had_begun,
                        quarantine_fixture)
{
    for (int count = 0; count < 4; ++count) {
        this->crash("d", 0);
        this->lose_request("q", 1, false);
        this->run_for(milliseconds{500});
    }
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("d"));
    BOOST_TEST(!this->is_refused_anywhere("q"));
}

BOOST_FIXTURE_TEST_CASE(queued_requests_are_suspected_if_no_answer_had_begun, quarantine_fixture)
{
    for (int count = 0; count < 3; ++count) {
        this->crash("d", 0, false);
        this->run_for(milliseconds{500});
    }
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("d"));
}

BOOST_FIXTURE_TEST_CASE(a_node_that_starts_later_learns_of_a_quarantine, quarantine_fixture)
{
    this->crash_often("d");
    this->run_for(minutes{1});
    this->add_node();
    this->run_for(seconds{3});
    BOOST_TEST(this->is_refused("d"));
}

BOOST_FIXTURE_TEST_CASE(nodes_that_hear_nothing_of_each_other_decide_for_themselves,
                        quarantine_fixture)
{
    this->is_connected = false;
    this->crash_often("d", 6);
    this->run_for(seconds{2});
    BOOST_TEST(this->is_refused("d"));
}

// Each node lets one request through, and only after its own hold time.
BOOST_FIXTURE_TEST_CASE(a_quarantine_that_ran_out_is_tried_by_single_requests, quarantine_fixture)
{
    this->crash_often("d");
    this->run_for(seconds{110});
    BOOST_TEST(this->is_refused("d"));
    this->run_for(seconds{90});
    auto& node = *this->nodes[0];
    BOOST_TEST(!node.admit(keys("d"), this->now));
    BOOST_TEST(node.admit(keys("d"), this->now).has_value());
    BOOST_TEST(node.is_quarantined(keys("d")));
}

BOOST_FIXTURE_TEST_CASE(a_failed_trial_doubles_the_hold_time_on_all_nodes, quarantine_fixture)
{
    this->crash_often("d");
    this->run_for(seconds{200});
    BOOST_TEST(!this->nodes[0]->admit(keys("d"), this->now));
    this->crash("d");
    this->run_for(seconds{1});
    BOOST_TEST(this->is_refused("d"));
    this->run_for(seconds{230});
    BOOST_TEST(this->is_refused("d"));
}

// The node that tries knows that the other part of the set is sound.
BOOST_FIXTURE_TEST_CASE(a_trial_fails_although_a_part_of_the_set_is_sound, quarantine_fixture)
{
    this->crash_often("bd");
    this->run_for(seconds{200});
    this->answer("b");
    BOOST_TEST(!this->nodes[0]->admit(keys("bd"), this->now));
    this->crash("bd");
    this->run_for(seconds{1});
    BOOST_TEST(this->is_refused("bd"));
    this->run_for(seconds{230});
    BOOST_TEST(this->is_refused("bd"));
}

BOOST_FIXTURE_TEST_CASE(an_answered_trial_ends_the_quarantine_on_all_nodes, quarantine_fixture)
{
    this->crash_often("d");
    this->run_for(seconds{200});
    BOOST_TEST(!this->nodes[0]->admit(keys("d"), this->now));
    this->answer("d", 0);
    this->run_for(seconds{3});
    for (auto& node : this->nodes) {
        BOOST_TEST(!node->is_quarantined(keys("d")));
    }
    BOOST_TEST(this->log.count("quarantine_ended") == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_quarantine_without_requests_is_forgotten, quarantine_fixture)
{
    this->crash_often("d");
    this->run_for(minutes{50});
    BOOST_TEST(this->nodes[0]->is_quarantined(keys("d")));
    this->run_for(minutes{15});
    BOOST_TEST(!this->nodes[0]->is_quarantined(keys("d")));
}

BOOST_FIXTURE_TEST_CASE(memory_and_reports_are_bounded, quarantine_fixture)
{
    for (std::uint64_t number = 0; number < 20'000; ++number) {
        this->nodes[0]->record_answer({part_key{number + 1'000'000}}, this->now, this->now);
        this->now += milliseconds{1};
    }
    for (int count = 0; count < 2'000; ++count) {
        this->crash(std::string(1, static_cast<char>('A' + count % 50)), 0);
        this->now += milliseconds{20};
    }
    const auto report = this->nodes[0]->report(true, this->now);
    BOOST_TEST(report.suspects.size() <= 4U);
    BOOST_TEST(report.sound.size() <= 8U);
    this->run_for(seconds{3});
    BOOST_TEST(this->nodes[0]->quarantined(this->now).size() <= 64U);
    BOOST_TEST(this->nodes[0]->report(true, this->now).quarantined.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(keys_differ_by_service_and_leave_out_the_last_part)
{
    const std::vector<prompt_part> parts{{3, 10}, {1, 10}, {2, 10}};
    const auto draft = shared_part_keys(service_id{"draft"}, parts);
    BOOST_TEST(draft.size() == 2U);
    BOOST_TEST((draft != shared_part_keys(service_id{"desk"}, parts)));
    BOOST_TEST(shared_part_keys(service_id{"draft"}, {{1, 10}}).empty());
    BOOST_TEST(shared_part_keys(service_id{"draft"}, {}).empty());
}

} // namespace eelgrassbend
