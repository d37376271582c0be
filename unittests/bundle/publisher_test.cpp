#include "follower_world.h"

#include "eelgrassbend/bundle/publisher.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One run of the publishing program.
struct publisher_run {
    publisher_run(follower_world& world, const signed_bundle& sealed)
        : client(world.shared.log, world.shared.time, world.shared.random),
          program(std::make_unique<publisher>(publisher_options{}, world.signers, world.shared.time,
                                              client)),
          sealed(sealed)
    {
    }

    void start()
    {
        this->program->publish(this->sealed,
                               [this](const auto& outcome) { this->outcome = outcome; });
    }

    [[nodiscard]] publication_status status() const { return this->outcome.value().status; }

    fake_log_client client;
    std::unique_ptr<publisher> program;
    signed_bundle sealed;
    std::optional<publication_result> outcome;
};

struct publisher_fixture : follower_world {
    publisher_fixture() : follower_world(3) { this->run(seconds{5}); }

    signed_bundle sealed(std::uint64_t version, std::uint64_t replaces,
                         const std::string& variant = "a")
    {
        return test_signed(test_bundle(version, replaces, this->signers, variant), {1});
    }

    /// Records of bundles in the stream.
    std::size_t records()
    {
        return this->shared.log.read(stream_name{bundle_stream}, log_offset{0}, 1'000)
            .records.size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(accepted_is_said_once_the_record_was_read_back_in_force, publisher_fixture)
{
    publisher_run first{*this, this->sealed(1, 0)};
    first.start();
    this->run(seconds{5});
    BOOST_TEST((first.status() == publication_status::accepted));
    BOOST_TEST(first.outcome->offset->value() == 0U);
    this->run(seconds{17});
    BOOST_TEST(this->all_have(1));
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_is_settled_by_reading, publisher_fixture)
{
    publisher_run after{*this, this->sealed(1, 0)};
    after.client.faults.latency = milliseconds{100};
    after.start();
    this->run(milliseconds{99}); // the first read ends next, then comes the append
    after.client.faults.lose_answers = 1;
    this->run(milliseconds{100});
    BOOST_TEST(this->records() == 1U);
    this->run(seconds{20});
    BOOST_TEST((after.status() == publication_status::accepted));
    publisher_run before{*this, this->sealed(2, 1)};
    before.client.faults.request_loss = 0.5;
    before.client.faults.answer_loss = 0.3;
    before.start();
    this->run(seconds{60});
    BOOST_TEST((before.status() == publication_status::accepted));
    BOOST_TEST(this->all_have(2));
    BOOST_TEST(this->one_verdict());
}

BOOST_FIXTURE_TEST_CASE(a_publisher_that_died_after_its_append_finds_its_record, publisher_fixture)
{
    const auto bundle = this->sealed(1, 0);
    publisher_run dying{*this, bundle};
    dying.start();
    while (this->records() == 0) {
        BOOST_REQUIRE(this->shared.time.run_one());
    }
    dying.program.reset();
    this->run(seconds{5});
    BOOST_TEST(!dying.outcome.has_value());
    publisher_run again{*this, bundle};
    again.start();
    this->run(seconds{5});
    BOOST_TEST((again.status() == publication_status::accepted));
    BOOST_TEST(this->records() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_outage_after_the_append_leaves_it_unknown_until_the_next_run,
                        publisher_fixture)
{
    const auto bundle = this->sealed(1, 0);
    publisher_run unlucky{*this, bundle};
    unlucky.client.faults.latency = milliseconds{100};
    unlucky.start();
    this->run(milliseconds{99});
    unlucky.client.faults.lose_answers = 1;
    while (this->records() == 0) {
        BOOST_REQUIRE(this->shared.time.run_one());
    }
    this->shared.log.outage = true;
    this->run(seconds{60});
    BOOST_TEST((unlucky.status() == publication_status::unknown));
    BOOST_TEST(unlucky.outcome->reason.find("publish the same signed bundle again") !=
               std::string::npos);
    this->shared.log.outage = false;
    publisher_run again{*this, bundle};
    again.start();
    this->run(seconds{20});
    BOOST_TEST((again.status() == publication_status::accepted));
    BOOST_TEST(this->records() == 1U);
}

BOOST_FIXTURE_TEST_CASE(in_an_outage_nothing_is_appended, publisher_fixture)
{
    this->shared.log.outage = true;
    publisher_run out{*this, this->sealed(1, 0)};
    out.start();
    this->run(seconds{60});
    BOOST_TEST((out.status() == publication_status::not_appended));
    BOOST_TEST(!out.outcome->in_force.has_value());
    this->shared.log.outage = false;
    BOOST_TEST(this->records() == 0U);
}

BOOST_FIXTURE_TEST_CASE(of_two_racing_publishers_one_is_rejected_with_the_reason, publisher_fixture)
{
    publisher_run left{*this, this->sealed(1, 0, "left")};
    publisher_run right{*this, this->sealed(1, 0, "right")};
    left.client.faults.latency = milliseconds{40};
    right.client.faults.latency = milliseconds{50};
    left.start();
    right.start();
    this->run(seconds{20});
    BOOST_TEST((left.status() == publication_status::accepted));
    BOOST_TEST((right.status() == publication_status::rejected));
    BOOST_TEST(right.outcome->reason == "replaces version 0, but version 1 is in force");
    BOOST_TEST(right.outcome->offset->value() == 1U);
    BOOST_TEST(this->records() == 2U);
    BOOST_TEST(this->all_have(1));
    BOOST_TEST(this->one_verdict());
}

BOOST_FIXTURE_TEST_CASE(an_append_that_takes_effect_late_changes_nothing, publisher_fixture)
{
    const auto bundle = this->sealed(1, 0);
    publisher_run slow{*this, bundle};
    slow.client.faults.latency = milliseconds{100};
    slow.start();
    this->run(milliseconds{99});
    slow.client.faults.latency = seconds{40}; // the append arrives after 20 s
    this->run(seconds{2});
    slow.client.faults.latency = milliseconds{2};
    this->run(seconds{5});
    BOOST_TEST((slow.status() == publication_status::accepted));
    publisher_run next{*this, this->sealed(2, 1)};
    next.start();
    this->run(seconds{60});
    BOOST_TEST((next.status() == publication_status::accepted));
    BOOST_TEST(this->records() == 3U); // the late one was stored too
    BOOST_TEST(this->all_have(2));
    publisher_run again{*this, bundle};
    again.start();
    this->run(seconds{5});
    BOOST_TEST((again.status() == publication_status::accepted)); // it was, before version 2
    BOOST_TEST(again.outcome->in_force->value() == 2U);
}

BOOST_FIXTURE_TEST_CASE(what_cannot_win_is_refused_without_an_append, publisher_fixture)
{
    this->publish(1, 0);
    const auto two = test_operators({1, 2}, 2);
    const auto status = [this](const signed_bundle& sealed) {
        publisher_run run{*this, sealed};
        run.start();
        this->run(seconds{5});
        return run.status();
    };
    BOOST_TEST((status(this->sealed(2, 0)) == publication_status::rejected));
    BOOST_TEST((status(this->sealed(3, 2)) == publication_status::rejected));
    const auto contents = test_bundle(2, 1, two);
    BOOST_TEST((status(test_signed(contents, {9})) == publication_status::rejected));
    auto broken = this->sealed(2, 1);
    broken.body += " ";
    BOOST_TEST((status(broken) == publication_status::rejected));
    BOOST_TEST(this->records() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_expired_history_is_not_guessed, publisher_fixture)
{
    this->publish(1, 0);
    this->publish(2, 1);
    this->run(seconds{10});
    bundle_fold fold{this->signers};
    for (const auto& record :
         this->shared.log.read(stream_name{bundle_stream}, log_offset{0}, 10).records) {
        fold.apply(record);
    }
    this->append({record_id{"checkpoint"}, encode_record(fold.checkpoint())});
    this->shared.log.truncate(stream_name{bundle_stream}, log_offset{2});
    publisher_run old{*this, this->sealed(1, 0)};
    old.start();
    publisher_run current{*this, this->sealed(2, 1)};
    current.start();
    publisher_run rival{*this, this->sealed(2, 1, "rival")};
    rival.start();
    this->run(seconds{5});
    BOOST_TEST((old.status() == publication_status::unknown));
    BOOST_TEST((current.status() == publication_status::accepted));
    BOOST_TEST((rival.status() == publication_status::rejected));
}

} // namespace eelgrassbend
