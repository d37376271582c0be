#include "eelgrassbend/platform/http_platform.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace eelgrassbend {

namespace {

/// Answers every call with what the test set.
class scripted_http_client : public http_client {
public:
    void send(http_call call, handler done) override
    {
        this->last = std::move(call);
        done(this->answer);
    }

    http_call last;
    result<http_answer> answer = http_answer{200, "{}"};
};

struct platform_fixture {
    scripted_http_client client;
    network_address platform{"127.0.0.1", 7000};
    http_log_client log{client, platform, std::chrono::seconds{1}};
    http_host_list hosts{client, platform, std::chrono::seconds{1}};
    http_cloud_api cloud{client, platform, std::chrono::seconds{1}};

    error append_error()
    {
        std::optional<error> failure;
        this->log.append(stream_name{"bundles"}, {{record_id{"r1"}, "x"}},
                         [&](const result<std::vector<log_offset>>& offsets) {
                             if (!offsets) {
                                 failure = offsets.error();
                             }
                         });
        BOOST_REQUIRE(failure.has_value());
        return *failure;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(an_append_sends_base64_and_gets_offsets, platform_fixture)
{
    this->client.answer = http_answer{200, R"({"offsets":[7,8]})"};
    std::vector<log_offset> seen;
    this->log.append(
        stream_name{"ledger"}, {{record_id{"a"}, "hello"}, {record_id{"b"}, ""}},
        [&](const result<std::vector<log_offset>>& offsets) { seen = offsets.value(); });
    BOOST_TEST(this->client.last.target == "/log/ledger");
    BOOST_TEST(this->client.last.body.find("aGVsbG8=") != std::string::npos);
    BOOST_REQUIRE(seen.size() == 2);
    BOOST_TEST(seen[1].value() == 8);
}

BOOST_FIXTURE_TEST_CASE(only_429_and_503_say_that_nothing_was_appended, platform_fixture)
{
    const auto code_for = [this](int status, const char* body) {
        this->client.answer = http_answer{status, body};
        return this->append_error().code;
    };
    BOOST_TEST((code_for(429, "") == errc::rate_limited));
    BOOST_TEST((code_for(503, "") == errc::unavailable));
    BOOST_TEST(is_log_outage(this->append_error()));
    BOOST_TEST((code_for(500, "") == errc::outcome_unknown));
    BOOST_TEST(!is_log_outage(this->append_error()));
    BOOST_TEST((code_for(200, "not json") == errc::outcome_unknown));
    BOOST_TEST((code_for(200, R"({"offsets":[1,2,3]})") == errc::outcome_unknown));
    this->client.answer = make_error(errc::timed_out, "POST", "127.0.0.1:7000");
    const auto failure = this->append_error();
    BOOST_TEST(!is_log_outage(failure));
    BOOST_TEST((failure.code == errc::timed_out));
    BOOST_TEST(failure.step == "append to bundles");
}

BOOST_FIXTURE_TEST_CASE(a_page_is_read_with_its_bounds, platform_fixture)
{
    this->client.answer = http_answer{
        200,
        R"({"first":3,"end":9,"records":[{"offset":5,"id":"r","time_ms":1000,"payload":"aGVsbG8="}]})"};
    log_page page;
    this->log.read(stream_name{"bundles"}, log_offset{5}, 10,
                   [&](const result<log_page>& read) { page = read.value(); });
    BOOST_TEST(this->client.last.target == "/log/bundles?from=5&limit=10");
    BOOST_TEST(page.first_retained.value() == 3);
    BOOST_TEST(page.end.value() == 9);
    BOOST_REQUIRE(page.records.size() == 1);
    BOOST_TEST(page.records[0].payload == "hello");
}

BOOST_FIXTURE_TEST_CASE(hosts_and_notices_are_read, platform_fixture)
{
    this->client.answer = http_answer{
        200,
        R"({"hosts":[{"name":"e1","role":"endpoint","state":"leaving","zone":"arusha-a","ip":"127.0.0.1","port":9,"service":"draft-llm"}]})"};
    std::vector<host_entry> listed;
    this->hosts.fetch([&](const result<std::vector<host_entry>>& read) { listed = read.value(); });
    BOOST_REQUIRE(listed.size() == 1);
    BOOST_TEST((listed[0].state == host_state::leaving));
    this->client.answer =
        http_answer{200, R"({"notices":[{"sequence":4,"host":"e1","taken_at_ms":5000}]})"};
    std::vector<reclaim_notice> notices;
    this->cloud.fetch_notices(
        4, [&](const result<std::vector<reclaim_notice>>& read) { notices = read.value(); });
    BOOST_REQUIRE(notices.size() == 1);
    BOOST_TEST(notices[0].host.value() == "e1");
}

BOOST_FIXTURE_TEST_CASE(a_zone_without_hosts_is_a_conflict, platform_fixture)
{
    this->client.answer = http_answer{409, ""};
    std::optional<error> failure;
    this->cloud.order({}, [&](const result<host_name>& ordered) { failure = ordered.error(); });
    BOOST_TEST((failure->code == errc::conflict));
    bool released = false;
    this->client.answer = http_answer{204, ""};
    this->cloud.release(host_name{"e1"},
                        [&](const result<void>& done) { released = done.has_value(); });
    BOOST_TEST(released);
}

} // namespace eelgrassbend
