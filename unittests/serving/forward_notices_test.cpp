#include "forward_fixture.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct notices_fixture : forward_fixture {
    /// Sends plain requests and returns the chosen endpoints.
    std::set<std::string> endpoints_of(int requests)
    {
        std::set<std::string> chosen;
        for (int index = 0; index < requests; ++index) {
            const auto before = this->client.attempts.size();
            this->send("/order/1");
            if (this->client.attempts.size() > before) {
                chosen.insert(this->endpoint());
                this->head();
                this->complete();
            }
        }
        return chosen;
    }

    [[nodiscard]] endpoint_record record_of(const std::string& id) const
    {
        return this->endpoints.find(endpoint_id{id})->record;
    }
};

} // namespace

// The record in the store can still report a leaving endpoint as ready, or be missing during an
// outage of the store.
BOOST_FIXTURE_TEST_CASE(sends_no_new_requests_to_a_leaving_endpoint, notices_fixture)
{
    const auto answer = this->send("/order/1");
    const auto leaving = this->endpoint();
    auto* observer = this->client.last().observer;
    this->head(200, {{"Leaving", "1"}});
    BOOST_TEST(!this->endpoints_of(20).contains(leaving));
    observer->on_completed();
    BOOST_TEST(answer->status == 200);
    auto ready_again = this->record_of(leaving);
    ready_again.is_draining = false;
    this->endpoints.put(ready_again, this->time.now());
    BOOST_TEST(!this->endpoints_of(20).contains(leaving));
}

BOOST_FIXTURE_TEST_CASE(completes_a_stream_at_a_leaving_endpoint, notices_fixture)
{
    const auto answer = this->send("/long/1");
    this->head(200, {{"Leaving", "1"}});
    this->body("id: 1\ndata: x\n\n");
    this->complete();
    BOOST_TEST(answer->ended);
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(uses_a_new_incarnation_of_a_leaving_endpoint, notices_fixture)
{
    this->send("/order/1");
    const auto leaving = this->endpoint();
    this->head(200, {{"Leaving", "1"}});
    auto restarted = this->record_of(leaving);
    restarted.is_draining = false;
    restarted.started = 7;
    this->endpoints.put(restarted, this->time.now());
    BOOST_TEST(this->endpoints_of(20).contains(leaving));
}

// The record disappears during an outage of the store and reappears unchanged.
BOOST_FIXTURE_TEST_CASE(sends_no_new_requests_after_the_record_of_a_leaving_endpoint_reappears,
                        notices_fixture)
{
    this->send("/order/1");
    const auto leaving = this->endpoint();
    auto record = this->record_of(leaving);
    this->head(200, {{"Leaving", "1"}});
    this->endpoints.remove(endpoint_id{leaving}, this->time.now(), false);
    this->time.run_for(seconds{5});
    this->endpoints.expire(this->time.now());
    this->endpoints.put(record, this->time.now());
    this->confirm();
    BOOST_TEST(!this->endpoints_of(20).contains(leaving));
}

BOOST_FIXTURE_TEST_CASE(sends_no_requests_for_the_no_work_duration, notices_fixture)
{
    const auto answer = this->send("/order/1");
    const auto busy = this->endpoint();
    this->client.last().observer->on_head(503, {{"Not-Run", "1"}, {"No-Work-Ms", "1500"}});
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(!this->endpoints_of(20).contains(busy));
    this->time.run_for(milliseconds{1400});
    BOOST_TEST(!this->endpoints_of(20).contains(busy));
    this->time.run_for(milliseconds{200});
    const std::string other = busy == "desk-1" ? "desk-2" : "desk-1";
    this->endpoints.remove(endpoint_id{other}, this->time.now(), false);
    BOOST_TEST(this->endpoints_of(1).contains(busy));
}

BOOST_FIXTURE_TEST_CASE(refuses_with_the_remaining_no_work_duration, notices_fixture)
{
    for (int endpoint = 0; endpoint < 2; ++endpoint) {
        this->send("/order/1");
        this->client.last().observer->on_head(503, {{"Not-Run", "1"}, {"No-Work-Ms", "1500"}});
    }
    const auto refused = this->send("/order/1");
    this->time.run_for(milliseconds{100});
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(this->client.attempts.size() == 2U);
    const duration retry_after{std::stoll(refused->header("Retry-After"))};
    BOOST_TEST((retry_after > milliseconds{1300}));
    BOOST_TEST((retry_after <= milliseconds{1500}));
}

// Single bytes that complete no event do not count as progress.
BOOST_FIXTURE_TEST_CASE(resumes_a_stalled_stream_at_another_endpoint, notices_fixture)
{
    const auto answer = this->send("/short/1");
    this->head();
    this->body("id: 1\ndata: x\n\n");
    for (int step = 0; step < 20 && this->client.attempts.size() == 1; ++step) {
        this->time.run_for(milliseconds{100});
        if (this->client.attempts.size() == 1) {
            this->body(":");
        }
    }
    BOOST_REQUIRE(this->client.attempts.size() == 2U);
    BOOST_TEST(this->sent_header("Last-Event") == "1");
    this->head();
    this->body("id: 2\ndata: x\n\n");
    this->complete();
    BOOST_TEST(answer->ended);
}

BOOST_FIXTURE_TEST_CASE(does_not_interrupt_a_slow_stream, notices_fixture)
{
    const auto answer = this->send("/short/1");
    this->head();
    for (int event = 1; event <= 5; ++event) {
        this->body("id: " + std::to_string(event) + "\ndata: x\n\n");
        this->time.run_for(milliseconds{800});
    }
    this->complete();
    BOOST_TEST(answer->ended);
    BOOST_TEST(this->client.attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(fails_an_endless_answer_without_affecting_others, notices_fixture)
{
    const auto endless = this->send("/order/1");
    auto* observer = this->client.last().observer;
    this->head();
    for (int part = 0; part < 5 && endless->status == 0; ++part) {
        observer->on_body(std::string(1'000, 'x'));
    }
    BOOST_TEST(endless->status == 502);
    const auto other = this->send("/order/1");
    this->head();
    this->body(std::string(3'000, 'y'));
    this->complete();
    BOOST_TEST(other->status == 200);
    BOOST_TEST(other->body.size() == 3'000U);
}

BOOST_FIXTURE_TEST_CASE(bounds_the_total_memory_of_answers, notices_fixture)
{
    std::vector<std::shared_ptr<fake_exchange>> answers;
    for (int request = 0; request < 4; ++request) {
        answers.push_back(this->send("/order/1"));
        this->head();
        this->body(std::string(3'000, 'x'));
    }
    BOOST_TEST(answers[2]->status == 0);
    BOOST_TEST(answers[3]->status == 502);
}

} // namespace eelgrassbend
