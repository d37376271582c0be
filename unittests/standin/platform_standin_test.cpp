#include "http_probe.h"

#include "eelgrassbend/standin/platform_standin.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace eelgrassbend::standin {

using nlohmann::json;
using std::chrono::milliseconds;

static json host(const std::string& name, const std::string& zone)
{
    return {{"name", name},      {"role", "endpoint"}, {"region", "tz-north"},
            {"zone", zone},      {"type", "l4"},       {"reclaimable", true},
            {"ip", "127.0.0.1"}, {"port", 9000},       {"service", "draft-llm"}};
}

namespace {

/// A platform that runs on a thread of its own.
struct running_platform {
    explicit running_platform(const platform_standin_settings& settings = {})
        : platform(settings, loop), port(platform.port()), thread(loop)
    {
    }

    probe_answer append(const std::vector<std::string>& ids)
    {
        json records = json::array();
        for (const auto& id : ids) {
            records.push_back({{"id", id}, {"payload", "cGF5"}});
        }
        const json body{{"records", records}};
        return exchange(port, "POST", "/log/bundles", body.dump());
    }

    json get(const std::string& target) const { return exchange(port, "GET", target).json(); }

    int post(const std::string& target, const json& body) const
    {
        return exchange(port, "POST", target, body.dump()).status;
    }

    int order(const std::string& token, const std::string& zone) const
    {
        return post("/cloud/hosts", {{"client_token", token},
                                     {"service", "draft-llm"},
                                     {"zone", zone},
                                     {"type", "l4"},
                                     {"reclaimable", true}});
    }

    event_loop loop;
    platform_standin platform;
    std::uint16_t port;
    loop_thread thread;
};

} // namespace

BOOST_AUTO_TEST_CASE(records_get_consecutive_offsets)
{
    running_platform test;
    BOOST_TEST(test.append({"a", "b"}).json().at("offsets") == json::array({0, 1}));
    BOOST_TEST(test.append({"c"}).json().at("offsets") == json::array({2}));
    const auto page = test.get("/log/bundles?from=1&limit=1");
    BOOST_TEST(page.at("first") == 0);
    BOOST_TEST(page.at("end") == 3);
    BOOST_TEST(page.at("records").size() == 1U);
    BOOST_TEST(page.at("records").at(0).at("id") == "b");
    BOOST_TEST(page.at("records").at(0).at("payload") == "cGF5");
    BOOST_TEST(test.get("/log/other").at("end") == 0);
    const json counts{{"appends", 2}, {"records", 3}};
    BOOST_TEST(test.get("/admin/appends") == counts);
    BOOST_TEST(test.post("/log/bundles", {{"records", {{{"id", 1}}}}}) == 400);
}

BOOST_AUTO_TEST_CASE(a_page_of_large_records_is_cut_and_read_on)
{
    running_platform test;
    const json record{{"id", "large"}, {"payload", std::string(600'000, 'A')}};
    const json body{{"records", json::array({record, record, record})}};
    for (int append = 0; append < 8; ++append) {
        BOOST_TEST(test.post("/log/bundles", body) == 200);
    }
    std::size_t next = 0;
    while (next < 24U) {
        const auto page = exchange(test.port, "GET", "/log/bundles?from=" + std::to_string(next));
        BOOST_REQUIRE(page.whole);
        BOOST_TEST(page.body.size() < 2'000'000U);
        BOOST_REQUIRE(!page.json().at("records").empty());
        BOOST_TEST(page.json().at("records").at(0).at("offset") == next);
        next += page.json().at("records").size();
    }
    BOOST_TEST(next == 24U);
}

BOOST_AUTO_TEST_CASE(a_read_waits_for_the_next_record)
{
    running_platform test;
    http_probe reader{test.port};
    reader.send("GET", "/log/bundles?from=0&wait_ms=5000");
    BOOST_TEST(reader.receive_until("records", milliseconds{100}).empty());
    test.append({"a"});
    BOOST_TEST(reader.receive_until("\"id\":\"a\"", milliseconds{2000}).size() > 0U);
    const auto empty = test.get("/log/bundles?from=1&wait_ms=50");
    BOOST_TEST(empty.at("records").empty());
    {
        http_probe gone{test.port};
        gone.send("GET", "/log/bundles?from=1&wait_ms=5000");
        gone.receive_until("records", milliseconds{50});
    }
    BOOST_TEST(test.append({"b"}).status == 200);
}

BOOST_AUTO_TEST_CASE(old_records_expire_by_count_and_by_age)
{
    platform_standin_settings settings;
    settings.retention_records = 2;
    running_platform by_count{settings};
    by_count.append({"a", "b", "c"});
    BOOST_TEST(by_count.get("/log/bundles").at("first") == 1);
    BOOST_TEST(by_count.get("/log/bundles").at("records").at(0).at("id") == "b");
    settings.retention_time = milliseconds{30};
    running_platform by_age{settings};
    by_age.append({"a"});
    BOOST_TEST(eventually([&] { return by_age.get("/log/bundles").at("first") == 1; }));
    BOOST_TEST(by_age.append({"b"}).json().at("offsets") == json::array({1}));
}

BOOST_AUTO_TEST_CASE(appends_over_the_rate_and_in_an_outage_have_no_effect)
{
    platform_standin_settings settings;
    settings.appends_per_second = 3;
    running_platform test{settings};
    int refused = 0;
    for (int index = 0; index < 10; ++index) {
        const auto status = test.append({std::to_string(index)}).status;
        BOOST_TEST((status == 200 || status == 429));
        refused += status == 429 ? 1 : 0;
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(test.get("/log/bundles").at("end") == 10 - refused);
    test.post("/admin/faults", {{"log_down", true}});
    BOOST_TEST(test.append({"x"}).status == 503);
    BOOST_TEST(exchange(test.port, "GET", "/log/bundles").status == 503);
    test.post("/admin/faults", {{"log_down", false}});
    BOOST_TEST(test.get("/log/bundles").at("end") == 10 - refused);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_hides_an_append_that_took_effect)
{
    running_platform test;
    test.post("/admin/faults", {{"log_lose_answers", 1.0}});
    BOOST_TEST(test.append({"a"}).status == 0);
    BOOST_TEST(test.get("/log/bundles").at("records").at(0).at("id") == "a");
    test.post("/admin/faults", {{"log_lose_answers", 0.0}, {"log_slow_ms", 200}});
    const auto before = std::chrono::steady_clock::now();
    BOOST_TEST(test.append({"b"}).status == 200);
    BOOST_TEST((std::chrono::steady_clock::now() - before >= milliseconds{200}));
}

BOOST_AUTO_TEST_CASE(the_host_list_lags)
{
    platform_standin_settings settings;
    settings.hosts_json = json{{"hosts", {host("e1", "arusha-a")}}}.dump();
    settings.hosts_lag = milliseconds{300};
    running_platform test{settings};
    BOOST_TEST(eventually([&] { return test.get("/hosts").at("hosts").size() == 1U; }));
    test.post("/admin/hosts", host("e2", "moshi-a"));
    BOOST_TEST(test.get("/hosts").at("hosts").size() == 1U);
    BOOST_TEST(eventually([&] { return test.get("/hosts").at("hosts").size() == 2U; }));
    BOOST_TEST(exchange(test.port, "DELETE", "/admin/hosts/e2").status == 200);
    BOOST_TEST(exchange(test.port, "DELETE", "/admin/hosts/e2").status == 404);
    BOOST_TEST(test.get("/hosts").at("hosts").size() == 2U);
    test.post("/admin/faults", {{"hosts_down", true}});
    BOOST_TEST(exchange(test.port, "GET", "/hosts").status == 503);
}

BOOST_AUTO_TEST_CASE(a_notice_marks_a_host_and_later_takes_it)
{
    platform_standin_settings settings;
    settings.hosts_json = json{{"hosts", {host("e1", "arusha-a")}}}.dump();
    running_platform test{settings};
    BOOST_TEST(test.post("/admin/notices", {{"host", "e1"}, {"in_ms", 300}}) == 200);
    BOOST_TEST(test.post("/admin/notices", {{"host", "none"}, {"in_ms", 300}}) == 404);
    BOOST_TEST(test.get("/hosts").at("hosts").at(0).at("state") == "leaving");
    const auto notices = test.get("/cloud/notices?from=0").at("notices");
    BOOST_TEST(notices.size() == 1U);
    BOOST_TEST(notices.at(0).at("host") == "e1");
    BOOST_TEST(test.get("/cloud/notices?from=1").at("notices").empty());
    BOOST_TEST(eventually([&] { return test.get("/hosts").at("hosts").empty(); }));
}

BOOST_AUTO_TEST_CASE(a_repeated_order_gets_the_same_host)
{
    platform_standin_settings settings;
    settings.hosts_json = json{{"spares", {host("s1", "arusha-a"), host("s2", "arusha-a")}}}.dump();
    running_platform test{settings};
    test.post("/admin/faults", {{"cloud_lose_answers", 1.0}});
    BOOST_TEST(test.order("t1", "arusha-a") == 0);
    test.post("/admin/faults", {{"cloud_lose_answers", 0.0}});
    const auto held = test.get("/cloud/hosts").at("hosts");
    BOOST_TEST(held.size() == 1U);
    BOOST_TEST(held.at(0).at("client_token") == "t1");
    BOOST_TEST(test.order("t1", "arusha-a") == 200);
    BOOST_TEST(test.get("/cloud/hosts").at("hosts").size() == 1U);
    BOOST_TEST(eventually([&] { return test.get("/hosts").at("hosts").size() == 1U; }));
    BOOST_TEST(test.order("t2", "moshi-a") == 409);
    test.post("/admin/faults", {{"cloud_no_start", true}});
    BOOST_TEST(test.order("t3", "arusha-a") == 200);
    BOOST_TEST(test.get("/cloud/hosts").at("hosts").size() == 2U);
    BOOST_TEST(test.get("/hosts").at("hosts").size() == 1U);
    BOOST_TEST(exchange(test.port, "DELETE", "/cloud/hosts/s1").status == 200);
    test.post("/admin/faults", {{"cloud_refuse", true}});
    BOOST_TEST(test.order("t4", "arusha-a") == 409);
    test.post("/admin/faults", {{"cloud_down", true}});
    BOOST_TEST(exchange(test.port, "GET", "/cloud/hosts").status == 503);
}

BOOST_AUTO_TEST_CASE(the_weight_store_has_a_rate)
{
    platform_standin_settings settings;
    settings.weight_fetches_per_second = 1;
    running_platform test{settings};
    BOOST_TEST(test.get("/weights/draft").at("bytes") == settings.weight_bytes);
    BOOST_TEST(exchange(test.port, "GET", "/weights/draft").status == 429);
}

} // namespace eelgrassbend::standin
