#include "eelgrassbend/quarantine/crash_detector.h"

#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_metrics.h"
#include "fakes/fake_reachability_probe.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct detector_fixture {
    /// Evidence of a new request.
    attempt_evidence make_evidence(const std::string& endpoint, std::uint64_t part = 1)
    {
        attempt_evidence evidence;
        evidence.endpoint = endpoint_id{endpoint};
        evidence.address = {"10.0.0." + endpoint, 80};
        evidence.request = request_id{"r-" + std::to_string(++this->requests)};
        evidence.has_answer_begun = true;
        evidence.parts = {part_key{part}};
        return evidence;
    }

    void lose(const std::string& endpoint, std::uint64_t part = 1)
    {
        this->detector.handle_lost_attempt(this->make_evidence(endpoint, part));
    }

    attempt_evidence answer(const std::string& endpoint, std::uint64_t part = 1)
    {
        auto evidence = this->make_evidence(endpoint, part);
        this->detector.handle_answer_produced(evidence);
        return evidence;
    }

    [[nodiscard]] bool is_proven(std::uint64_t part) const
    {
        return !this->quarantine.has_unproven_part({part_key{part}}, this->time.now());
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

// An engine can crash after the first events of an answer, which then prove nothing.
BOOST_FIXTURE_TEST_CASE(an_answer_is_no_proof_if_its_endpoint_crashes_soon_after, detector_fixture)
{
    for (const char* endpoint : {"1", "2", "3"}) {
        const auto answered = this->answer(endpoint);
        this->time.run_for(milliseconds{800});
        this->detector.handle_lost_attempt(answered);
        this->probes.answer_all(reachability::refused);
        BOOST_TEST(!this->is_proven(1));
    }
    this->time.run_for(seconds{3});
    this->quarantine.update(this->time.now());
    BOOST_TEST(this->quarantine.is_quarantined({part_key{1}}));
}

BOOST_FIXTURE_TEST_CASE(an_answer_is_proof_if_its_endpoint_lives_on, detector_fixture)
{
    this->answer("1");
    this->time.run_for(milliseconds{900});
    BOOST_TEST(!this->is_proven(1));
    this->time.run_for(milliseconds{200});
    BOOST_TEST(this->is_proven(1));
}

BOOST_FIXTURE_TEST_CASE(a_complete_answer_is_proof_sooner, detector_fixture)
{
    const auto answered = this->answer("1");
    this->detector.handle_answer_completed(answered);
    this->time.run_for(milliseconds{150});
    BOOST_TEST(!this->is_proven(1));
    this->time.run_for(milliseconds{150});
    BOOST_TEST(this->is_proven(1));
}

// The crash shows only by another attempt, since the answer was complete before.
BOOST_FIXTURE_TEST_CASE(a_recent_answer_is_suspected_if_another_attempt_is_lost_by_a_crash,
                        detector_fixture)
{
    this->answer("1", 1);
    this->answer("2", 2);
    this->time.run_for(milliseconds{500});
    this->lose("1", 3);
    this->probes.answer_all(reachability::refused);
    BOOST_TEST(this->log.count("crash_suspect") == 2U);
    this->time.run_for(seconds{1});
    BOOST_TEST(!this->is_proven(1));
    BOOST_TEST(this->is_proven(2));
}

BOOST_FIXTURE_TEST_CASE(an_older_answer_is_not_suspected, detector_fixture)
{
    this->answer("1", 1);
    this->time.run_for(milliseconds{1100});
    this->lose("1", 3);
    this->probes.answer_all(reachability::refused);
    BOOST_TEST(this->log.count("crash_suspect") == 1U);
    BOOST_TEST(this->is_proven(1));
}

BOOST_FIXTURE_TEST_CASE(answers_are_not_confirmed_while_their_endpoint_is_probed, detector_fixture)
{
    for (const auto result :
         {reachability::refused, reachability::unknown, reachability::accepting}) {
        const std::uint64_t part = 10 + static_cast<std::uint64_t>(result);
        this->answer("1", part);
        this->time.run_for(milliseconds{900});
        this->lose("1", 3);
        this->time.run_for(milliseconds{300});
        BOOST_TEST(!this->is_proven(part));
        this->probes.answer_all(result);
        this->time.run_for(seconds{2});
        BOOST_TEST(this->is_proven(part) == (result == reachability::accepting));
    }
}

// Once this node has closed the connection, it does not learn of a crash.
BOOST_FIXTURE_TEST_CASE(an_answer_of_a_cancelled_attempt_is_no_proof, detector_fixture)
{
    const auto cancelled = this->answer("1");
    this->detector.handle_cancelled_attempt(cancelled);
    this->time.run_for(seconds{2});
    BOOST_TEST(!this->is_proven(1));
}

BOOST_FIXTURE_TEST_CASE(unconfirmed_answers_are_bounded, detector_fixture)
{
    for (std::uint64_t part = 1; part <= 5000; ++part) {
        this->answer("1", part);
    }
    this->time.run_for(seconds{2});
    BOOST_TEST(!this->is_proven(1));
    BOOST_TEST(this->is_proven(5000));
}

} // namespace eelgrassbend
