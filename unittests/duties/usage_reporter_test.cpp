#include "eelgrassbend/duties/usage_reporter.h"

#include "duty_fakes.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static const organisation_id lodge{"lodge"};

namespace {

struct reporter_node : lease_node {
    reporter_node(fakes::fake_store_logs& logs, virtual_scheduler& time, const std::string& name)
        : lease_node(logs, time, name),
          reporter(this->store, time, this->log, this->lease, this->usage, this->calls, {})
    {
        this->lease.start();
        this->reporter.start();
    }

    usage_tracker usage{seconds{5}};
    recording_duty_calls calls;
    usage_reporter reporter;
};

struct reporter_fixture {
    static bool has_report_with(const reporter_node& node, std::uint64_t requests)
    {
        const auto& reports = node.calls.reports;
        return std::any_of(reports.begin(), reports.end(), [&](const auto& report) {
            const auto found = report.counts.find(lodge);
            return found != report.counts.end() && found->second == requests;
        });
    }

    /// A second node, which has counted nothing, takes over. No window may get two counts, and
    /// windows that end later are reported.
    void check_reports_of_next_holder()
    {
        reporter_node second{this->logs, this->time, "second"};
        second.candidates.own_rank = 1;
        this->time.run_for(seconds{20});
        std::map<usage_window, usage_counts> reported;
        for (const auto* calls : {&this->first.calls, &second.calls}) {
            for (const auto& report : calls->reports) {
                const auto [found, is_new] = reported.emplace(report.window, report.counts);
                BOOST_TEST((found->second == report.counts));
            }
        }
        BOOST_TEST(second.calls.reports.size() >= 2U);
    }

    virtual_scheduler time;
    fakes::fake_store_logs logs;
    reporter_node first{this->logs, this->time, "first"};
};

} // namespace

BOOST_AUTO_TEST_CASE(counts_of_a_node_are_running_totals)
{
    usage_tracker usage{seconds{5}};
    const usage_window window{3};
    const auto within = wall_time{seconds{17}};
    usage.record_start(lodge, within);
    usage.record_start(lodge, within);
    usage.record_peer_counts(node_id{"b"}, 1, {{window, {{lodge, 4}}}});
    usage.record_peer_counts(node_id{"b"}, 1, {{window, {{lodge, 3}}}});
    usage.record_peer_counts(node_id{"b"}, 2, {{window, {{lodge, 1}}}});
    BOOST_TEST((usage.window_at(within) == window));
    BOOST_TEST(usage.total(window).at(lodge) == 7U);
    BOOST_TEST(usage.total(usage_window{4}).empty());
}

BOOST_FIXTURE_TEST_CASE(each_window_is_reported_once_before_its_deadline, reporter_fixture)
{
    for (int step = 0; step < 300; ++step) {
        this->first.usage.record_start(lodge, this->time.wall_now());
        this->time.run_for(milliseconds{100});
    }
    std::set<usage_window> windows;
    for (const auto& report : this->first.calls.reports) {
        BOOST_TEST(windows.insert(report.window).second);
    }
    BOOST_TEST(windows.size() >= 4U);
    const auto& last = this->first.calls.reports.back();
    BOOST_TEST(last.counts.at(lodge) == 50U);
}

BOOST_FIXTURE_TEST_CASE(a_new_holder_reports_the_recorded_counts, reporter_fixture)
{
    this->time.run_for(seconds{6});
    this->first.usage.record_start(lodge, this->time.wall_now());
    // The counts are recorded in the store, but the call to the platform fails.
    this->first.calls.failure = errc::timed_out;
    this->time.run_for(seconds{7});
    this->first.store.is_down = true;
    reporter_node second{this->logs, this->time, "second"};
    this->time.run_for(seconds{8});
    std::map<usage_window, usage_counts> reported;
    for (const auto* calls : {&this->first.calls, &second.calls}) {
        for (const auto& report : calls->reports) {
            const auto [found, is_new] = reported.emplace(report.window, report.counts);
            BOOST_TEST((found->second == report.counts));
        }
    }
    BOOST_TEST(!second.calls.reports.empty());
}

BOOST_FIXTURE_TEST_CASE(each_window_has_one_report, reporter_fixture)
{
    this->time.run_for(seconds{4});
    this->first.usage.record_start(lodge, this->time.wall_now());
    this->time.run_for(seconds{30});
    std::map<usage_window, usage_counts> reported;
    for (const auto& report : this->first.calls.reports) {
        reported.emplace(report.window, report.counts);
    }
    BOOST_TEST(reported.size() == this->first.calls.reports.size());
}

BOOST_FIXTURE_TEST_CASE(a_restored_store_leads_to_no_second_count_of_a_window, reporter_fixture)
{
    this->logs.states_era = true;
    this->time.run_for(seconds{6});
    this->first.usage.record_start(lodge, this->time.wall_now());
    this->time.run_for(milliseconds{6700});
    BOOST_REQUIRE(this->has_report_with(this->first, 1));
    this->first.store.is_down = true;
    this->logs.restore("duty-lease", 100);
    this->logs.restore("usage", 1);
    this->check_reports_of_next_holder();
}

BOOST_FIXTURE_TEST_CASE(a_deleted_history_leads_to_no_second_count_of_a_window, reporter_fixture)
{
    this->time.run_for(seconds{6});
    this->first.usage.record_start(lodge, this->time.wall_now());
    this->time.run_for(milliseconds{6700});
    BOOST_REQUIRE(this->has_report_with(this->first, 1));
    this->first.store.is_down = true;
    this->logs.forget_history("usage");
    this->check_reports_of_next_holder();
}

BOOST_FIXTURE_TEST_CASE(a_reporter_goes_on_after_the_store_was_restored, reporter_fixture)
{
    this->logs.states_era = true;
    this->time.run_for(seconds{14});
    const auto before = this->first.calls.reports.size();
    this->logs.restore("duty-lease", 100);
    this->logs.restore("usage", 100);
    this->time.run_for(seconds{30});
    BOOST_TEST(this->first.calls.reports.size() >= before + 4U);
    BOOST_TEST(this->first.log.count("usage_append_failed") <= 1U);
}

BOOST_FIXTURE_TEST_CASE(a_late_append_of_a_former_era_leads_to_no_second_count, reporter_fixture)
{
    this->logs.states_era = true;
    this->time.run_for(seconds{6});
    this->first.usage.record_start(lodge, this->time.wall_now());
    this->time.run_for(milliseconds{6700});
    BOOST_REQUIRE(this->has_report_with(this->first, 1));
    this->first.store.is_down = true;
    const auto record = this->logs.topics["usage"].records.back();
    this->logs.restore("duty-lease", 100);
    this->logs.restore("usage", 1);
    auto late = *record.value;
    late.replace(late.find(R"("lodge":1)"), 9, R"("lodge":3)");
    this->logs.write({"usage", false}, {}, late);
    this->check_reports_of_next_holder();
}

BOOST_FIXTURE_TEST_CASE(a_refused_token_ends_the_lease, reporter_fixture)
{
    this->time.run_for(seconds{3});
    BOOST_REQUIRE(this->first.lease.token().has_value());
    this->first.calls.failure = errc::conflict;
    this->time.run_for(seconds{7});
    BOOST_TEST(this->first.log.count("duty_lost") >= 1U);
}

} // namespace eelgrassbend
