#include "duty_fakes.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct lease_fixture {
    virtual_scheduler time;
    fakes::fake_store_logs logs;
    lease_node first{this->logs, this->time, "first"};
    lease_node second{this->logs, this->time, "second"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(exactly_one_of_two_candidates_acquires_the_lease, lease_fixture)
{
    this->first.lease.start();
    this->second.lease.start();
    this->time.run_for(seconds{2});
    BOOST_TEST(this->first.lease.token().has_value() != this->second.lease.token().has_value());
    this->time.run_for(seconds{60});
    BOOST_TEST(this->first.lease.token().has_value() != this->second.lease.token().has_value());
}

BOOST_FIXTURE_TEST_CASE(renewals_keep_the_fencing_token, lease_fixture)
{
    this->first.lease.start();
    this->time.run_for(seconds{2});
    const auto token = this->first.lease.token();
    BOOST_REQUIRE(token.has_value());
    this->time.run_for(seconds{20});
    BOOST_TEST((this->first.lease.token() == token));
}

BOOST_FIXTURE_TEST_CASE(a_holder_without_store_access_stops_before_another_starts, lease_fixture)
{
    this->first.lease.start();
    this->time.run_for(seconds{2});
    const auto token = this->first.lease.token();
    this->second.lease.start();
    this->second.candidates.own_rank = 1;
    this->first.store.is_down = true;
    bool both = false;
    for (int step = 0; step < 2000; ++step) {
        this->time.run_for(milliseconds{5});
        both = both || (this->first.lease.token() && this->second.lease.token());
    }
    BOOST_TEST(!both);
    BOOST_TEST(!this->first.lease.token().has_value());
    BOOST_REQUIRE(this->second.lease.token().has_value());
    BOOST_TEST((*this->second.lease.token() > *token));
}

BOOST_FIXTURE_TEST_CASE(a_candidate_does_not_compete_with_a_live_holder, lease_fixture)
{
    this->second.candidates.is_other_holder_alive = true;
    this->second.lease.start();
    this->time.run_for(seconds{20});
    BOOST_TEST(this->second.store.calls == 0);
}

BOOST_FIXTURE_TEST_CASE(a_fenced_off_holder_stops_at_once, lease_fixture)
{
    this->first.lease.start();
    this->time.run_for(seconds{2});
    const auto token = this->first.lease.token();
    BOOST_REQUIRE(token.has_value());
    this->first.lease.on_fenced_off(fencing_token{token->value() + 5});
    BOOST_TEST(this->first.lease.token().has_value());
    this->first.lease.on_fenced_off(*token);
    BOOST_TEST(!this->first.lease.token().has_value());
}

BOOST_FIXTURE_TEST_CASE(a_lost_renewal_answer_ends_the_lease, lease_fixture)
{
    this->first.lease.start();
    this->time.run_for(seconds{2});
    const auto token = this->first.lease.token();
    this->first.store.loses_next_answer = true;
    this->time.run_for(seconds{2});
    BOOST_TEST(!this->first.lease.token().has_value());
    this->time.run_for(seconds{8});
    BOOST_REQUIRE(this->first.lease.token().has_value());
    BOOST_TEST((*this->first.lease.token() > *token));
}

BOOST_FIXTURE_TEST_CASE(expired_records_do_not_block_a_candidate, lease_fixture)
{
    this->first.lease.start();
    this->time.run_for(seconds{10});
    this->first.lease.resign();
    this->logs.forget_history("duty-lease");
    this->second.lease.start();
    this->time.run_for(seconds{10});
    BOOST_TEST(this->second.lease.token().has_value());
}

} // namespace eelgrassbend
