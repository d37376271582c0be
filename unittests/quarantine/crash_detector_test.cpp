#include "eelgrassbend/quarantine/crash_detector.h"

#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_metrics.h"
#include "fakes/fake_reachability_probe.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrassbend {

using std::chrono::seconds;

namespace {

struct detector_fixture {
    void lose(const std::string& endpoint, std::uint64_t part = 1)
    {
        lost_attempt lost;
        lost.endpoint = endpoint_id{endpoint};
        lost.address = {"10.0.0." + endpoint, 80};
        lost.request = request_id{"r-" + std::to_string(++this->requests)};
        lost.has_answer_begun = true;
        lost.parts = {part_key{part}};
        this->detector.handle_lost_attempt(std::move(lost));
    }

    void lose_at_three_endpoints(reachability result)
    {
        for (const char* endpoint : {"1", "2", "3"}) {
            this->lose(endpoint);
            this->probes.answer_all(result);
            this->time.run_for(seconds{1});
        }
        this->time.run_for(seconds{2});
        this->quarantine.update(this->time.now());
    }

    virtual_scheduler time;
    fake_event_log log;
    fake_metrics counters;
    fake_reachability_probe probes;
    part_quarantine quarantine{this->log, this->counters, node_id{"front-1"}};
    crash_detector detector{this->probes, this->quarantine, this->time, this->log, this->counters};
    int requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_attempt_is_suspected_if_its_endpoint_refuses_connections,
                        detector_fixture)
{
    this->lose_at_three_endpoints(reachability::refused);
    BOOST_TEST(this->quarantine.is_quarantined({part_key{1}}));
}

// Connections are also reset on the way, and endpoints break answers off.
BOOST_FIXTURE_TEST_CASE(an_attempt_is_not_suspected_if_its_endpoint_still_listens, detector_fixture)
{
    this->lose_at_three_endpoints(reachability::accepting);
    BOOST_TEST(!this->quarantine.is_quarantined({part_key{1}}));
}

BOOST_FIXTURE_TEST_CASE(an_attempt_is_not_suspected_if_its_endpoint_is_cut_off, detector_fixture)
{
    this->lose_at_three_endpoints(reachability::unknown);
    BOOST_TEST(!this->quarantine.is_quarantined({part_key{1}}));
}

BOOST_FIXTURE_TEST_CASE(attempts_lost_by_one_crash_share_a_probe, detector_fixture)
{
    this->lose("1", 1);
    this->lose("1", 2);
    this->lose("2", 3);
    BOOST_TEST(this->probes.pending.size() == 2U);
    this->probes.answer_all(reachability::refused);
    BOOST_TEST(this->log.count("crash_suspect") == 3U);
    this->lose("1", 4);
    BOOST_TEST(this->probes.pending.size() == 1U);
}

} // namespace eelgrassbend
