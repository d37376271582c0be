#include "fakes/fake_log.h"

#include "eelgrassbend/support/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct log_fixture {
    virtual_scheduler time;
    seeded_random random{1};
    fake_log log{time};
    fake_log_client client{log, time, random};
    stream_name stream{"bundles"};

    std::optional<result<std::vector<log_offset>>> append(const std::string& id)
    {
        std::optional<result<std::vector<log_offset>>> answer;
        this->client.append(this->stream, {{record_id{id}, "payload"}},
                            [&](const auto& outcome) { answer.emplace(outcome); });
        this->time.run_for(seconds{10});
        return answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_log_stores_repeated_ids_twice, log_fixture)
{
    BOOST_TEST(this->append("a")->value().front().value() == 0U);
    BOOST_TEST(this->append("a")->value().front().value() == 1U);
    BOOST_TEST(this->log.read(this->stream, log_offset{0}, 10).records.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_is_lost_before_or_after_the_effect, log_fixture)
{
    this->client.faults.lose_requests = 1;
    BOOST_TEST((this->append("a")->error().code == errc::timed_out));
    BOOST_TEST(this->log.appends() == 0U);
    this->client.faults.lose_answers = 1;
    BOOST_TEST((this->append("a")->error().code == errc::timed_out));
    BOOST_TEST(this->log.appends() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_outage_appends_nothing_and_a_slow_call_takes_effect_late, log_fixture)
{
    this->log.outage = true;
    BOOST_TEST((this->append("a")->error().code == errc::unavailable));
    BOOST_TEST(this->log.appends() == 0U);
    this->log.outage = false;
    this->client.faults.latency = seconds{8};
    BOOST_TEST((this->append("a")->error().code == errc::timed_out));
    BOOST_TEST(this->log.appends() == 1U);
}

BOOST_FIXTURE_TEST_CASE(records_expire_after_the_retention, log_fixture)
{
    this->append("a");
    this->append("b");
    this->log.retention = seconds{15};
    const auto page = this->log.read(this->stream, log_offset{0}, 10);
    BOOST_TEST(page.first_retained.value() == 1U);
    BOOST_TEST(page.end.value() == 2U);
    BOOST_TEST(page.records.size() == 1U);
}

} // namespace eelgrassbend
