#include "eelgrassbend/streams/store_stream_origins.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_metrics.h"
#include "fakes/fake_record_store.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

namespace eelgrassbend {

using std::chrono::milliseconds;
using std::chrono::seconds;

static const service_id draft{"draft"};
static const software_version v1{"v1"};
static const software_version v2{"v2"};

namespace {

const store_topic baseline_topic{"nodes", true};

routing_configuration make_configuration()
{
    routing_configuration configuration;
    route stream;
    stream.name = "draft";
    stream.host = "shop.example";
    stream.path_prefix = "/draft/";
    stream.kind = request_kind::stream;
    stream.is_resumable = true;
    stream.split = {{draft, 1.0}};
    stream.timeout = seconds{12};
    configuration.routes = {stream};
    return configuration;
}

/// One node's view of the store; the baselines are read when a test says so.
struct origin_node {
    origin_node(fakes::fake_store_logs& logs, virtual_scheduler& time, const std::string& name,
                std::size_t nodes = 2)
        : store(logs, time),
          logs(logs),
          time(time),
          baselines(store, time, log, endpoints, baseline_topic),
          origins(
              store, time, log, counters, baselines, [nodes] { return nodes; }, settings_for(name))
    {
        this->baselines.set_table(std::make_shared<const route_table>(make_configuration()));
        this->read_baselines();
    }

    static origin_writer_settings settings_for(const std::string& name)
    {
        origin_writer_settings settings;
        settings.node = node_id{name};
        return settings;
    }

    void read_baselines()
    {
        for (const auto& [key, record] : this->logs.topics["nodes"].newest) {
            this->baselines.on_record_written(key, *record.value);
        }
        this->baselines.on_caught_up();
    }

    void put_endpoint(const std::string& id, const software_version& version)
    {
        endpoint_record record;
        record.id = endpoint_id{id};
        record.service = draft;
        record.version = version;
        this->endpoints.put(record, this->time.now());
        this->baselines.update();
    }

    /// Records an origin and returns the time until the stream may begin.
    duration record(const std::string& stream, const software_version& version)
    {
        const auto began = this->time.now();
        std::optional<monotonic_time> ended;
        this->origins.record(draft, request_id{stream}, version, [&] { ended = this->time.now(); });
        while (!ended) {
            this->time.run_for(milliseconds{5});
        }
        return *ended - began;
    }

    result<software_version> find(const std::string& stream)
    {
        std::optional<result<software_version>> found;
        this->origins.find(draft, request_id{stream},
                           [&](const result<software_version>& answer) { found = answer; });
        for (int step = 0; step < 200 && !found; ++step) {
            this->time.run_for(milliseconds{5});
        }
        BOOST_REQUIRE(found.has_value());
        return *found;
    }

    fake_event_log log;
    fake_metrics counters;
    fakes::fake_record_store store;
    fakes::fake_store_logs& logs;
    virtual_scheduler& time;
    endpoint_table endpoints{seconds{1}};
    stream_baselines baselines;
    store_stream_origins origins;
};

struct origins_fixture {
    origins_fixture() { this->logs.states_era = true; }

    void set_baseline(const std::string& version, std::uint64_t token = 1)
    {
        this->logs.write(baseline_topic, "stream-baseline/draft",
                         R"({"version":")" + version + R"(","token":)" + std::to_string(token) +
                             "}");
    }

    std::unique_ptr<origin_node> start(const std::string& name)
    {
        return std::make_unique<origin_node>(this->logs, this->time, name);
    }

    virtual_scheduler time;
    fakes::fake_store_logs logs;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_version_of_a_stream_is_found_after_all_nodes_have_ended,
                        origins_fixture)
{
    this->set_baseline("v1");
    auto node = this->start("a");
    node->record("s-1", v1);
    node->record("s-2", v2);
    node.reset();
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-1").value() == v1));
    BOOST_TEST((other->find("s-2").value() == v2));
}

BOOST_FIXTURE_TEST_CASE(a_stream_of_the_baseline_needs_no_write_and_no_wait, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    this->time.run_for(seconds{11});
    const auto calls = node->store.calls;
    BOOST_TEST((node->record("s-1", v1) == duration{}));
    this->time.run_for(seconds{1});
    BOOST_TEST(node->store.calls == calls);
}

BOOST_FIXTURE_TEST_CASE(without_a_baseline_all_streams_are_recorded, origins_fixture)
{
    const auto node = this->start("a");
    BOOST_TEST((node->record("s-1", v1) > duration{}));
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-1").value() == v1));
    BOOST_TEST(!other->find("s-2").has_value());
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_started_again_is_found_at_its_last_version, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    node->record("s-1", v2);
    node->record("s-1", v1);
    node->record("s-2", v2);
    node->record("s-2", software_version{"v3"});
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-1").value() == v1));
    BOOST_TEST((other->find("s-2").value() == software_version{"v3"}));
}

BOOST_FIXTURE_TEST_CASE(an_origin_recorded_just_before_the_search_is_found, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-0").value() == v1));
    for (int stream = 1; stream < 20; ++stream) {
        const auto id = "s-" + std::to_string(stream);
        node->record(id, v2);
        BOOST_TEST((other->find(id).value() == v2));
    }
}

BOOST_FIXTURE_TEST_CASE(origins_survive_the_deletion_of_the_history, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-0").value() == v1));
    node->record("s-1", v2);
    this->logs.forget_history("stream-origins");
    BOOST_TEST((other->find("s-1").value() == v2));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_node_does_not_overwrite_origins_of_its_former_process,
                        origins_fixture)
{
    this->set_baseline("v1");
    for (int process = 0; process < 4; ++process) {
        const auto node = this->start("a");
        node->record("s-" + std::to_string(process), v2);
    }
    const auto other = this->start("b");
    for (int process = 0; process < 4; ++process) {
        BOOST_TEST((other->find("s-" + std::to_string(process)).value() == v2));
    }
}

BOOST_FIXTURE_TEST_CASE(slots_are_used_again_once_their_streams_have_ended, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    for (int stream = 0; stream < 200; ++stream) {
        node->record("s-" + std::to_string(stream), v2);
        this->time.run_for(milliseconds{500});
    }
    // A stream lasts 24 s, and a slot is kept for 10 s more.
    BOOST_TEST(this->logs.topics["stream-origins"].newest.size() <= 70U);
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-199").value() == v2));
    BOOST_TEST((other->find("s-160").value() == v2));
}

BOOST_FIXTURE_TEST_CASE(a_stream_begins_without_a_record_while_the_store_is_away, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    node->store.is_down = true;
    const auto waited = node->record("s-1", v2);
    BOOST_TEST((waited >= milliseconds{400}));
    BOOST_TEST((waited <= milliseconds{500}));
    BOOST_TEST((node->find("s-1").value() == v2));
    // Further streams do not wait again, and all origins are written when the store is back.
    BOOST_TEST((node->record("s-2", v2) == duration{}));
    node->store.is_down = false;
    this->time.run_for(seconds{1});
    BOOST_TEST((other->find("s-1").value() == v2));
    BOOST_TEST((other->find("s-2").value() == v2));
    BOOST_TEST((node->record("s-3", v2) > duration{}));
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_of_the_store_delays_a_stream_once, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    node->store.loses_next_answer = true;
    BOOST_TEST((node->record("s-1", v2) <= milliseconds{300}));
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-1").value() == v2));
}

BOOST_FIXTURE_TEST_CASE(an_origin_is_unknown_while_the_store_is_away, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    node->store.is_down = true;
    BOOST_TEST(!node->find("s-1").has_value());
    BOOST_TEST(node->log.count("stream_origin_unknown") == 1U);
    // All endpoints have had one version for longer than a stream lasts.
    for (int step = 0; step < 30; ++step) {
        node->put_endpoint("i-1", v1);
        this->time.run_for(seconds{1});
    }
    BOOST_TEST((node->find("s-1").value() == v1));
    node->put_endpoint("i-2", v2);
    BOOST_TEST(!node->find("s-1").has_value());
}

BOOST_FIXTURE_TEST_CASE(an_origin_that_a_restored_store_may_have_lost_is_unknown, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    BOOST_TEST((other->find("s-0").value() == v1));
    node->record("s-1", v2);
    this->logs.restore("stream-origins", 1);
    BOOST_TEST(!other->find("s-1").has_value());
    BOOST_TEST((node->find("s-1").value() == v2));
    this->time.run_for(seconds{30});
    BOOST_TEST((other->find("s-2").value() == v1));
}

BOOST_FIXTURE_TEST_CASE(a_baseline_is_replaced_only_after_its_last_stream_has_ended,
                        origins_fixture)
{
    const auto node = this->start("a");
    const auto run = [&](duration span) {
        const auto until = this->time.now() + span;
        while (this->time.now() < until) {
            node->baselines.update();
            node->baselines.synchronize(fencing_token{7});
            this->time.run_for(milliseconds{250});
        }
    };
    node->put_endpoint("i-1", v1);
    run(seconds{1});
    BOOST_TEST((node->baselines.find(draft) == v1));
    run(seconds{40});
    node->put_endpoint("i-2", v2);
    node->put_endpoint("i-3", v2);
    run(seconds{40});
    BOOST_TEST((node->baselines.find(draft) == v1));
    node->endpoints.remove(endpoint_id{"i-1"}, this->time.now(), false);
    run(seconds{23});
    BOOST_TEST((node->baselines.find(draft) == v1));
    run(seconds{3});
    BOOST_TEST((node->baselines.find(draft) == v2));
    const auto other = this->start("b");
    BOOST_TEST((other->baselines.find(draft) == v2));
}

BOOST_FIXTURE_TEST_CASE(a_late_write_of_an_older_baseline_is_ignored, origins_fixture)
{
    this->set_baseline("v2", 9);
    const auto node = this->start("a");
    this->set_baseline("v1", 8);
    node->read_baselines();
    BOOST_TEST((node->baselines.find(draft) == v2));
}

BOOST_FIXTURE_TEST_CASE(writes_of_a_large_fleet_stay_within_their_share, origins_fixture)
{
    this->set_baseline("v1");
    constexpr std::size_t nodes = 390;
    origin_node node{this->logs, this->time, "a", nodes};
    for (int step = 0; step < 1000; ++step) {
        node.origins.record(draft, request_id{"s-" + std::to_string(step)}, v2, [] {});
        this->time.run_for(milliseconds{20});
    }
    // 0.7 * 400 writes a second for 390 nodes, over 20 s, and the burst.
    BOOST_TEST(this->logs.topics["stream-origins"].records.size() <= 18U);
}

BOOST_FIXTURE_TEST_CASE(an_origin_that_was_read_before_is_not_trusted_after_it_was_replaced,
                        origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    node->record("s-1", v2);
    BOOST_TEST((other->find("s-0").value() == v1));
    node->record("s-1", v1);
    BOOST_TEST((other->find("s-1").value() == v1));
}

BOOST_FIXTURE_TEST_CASE(a_repeat_at_the_baseline_waits_while_its_record_is_under_way,
                        origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    this->time.run_for(seconds{11});
    node->record("s-1", v2);
    bool is_first_done = false;
    bool is_second_done = false;
    node->origins.record(draft, request_id{"s-1"}, v1, [&] { is_first_done = true; });
    node->origins.record(draft, request_id{"s-1"}, v1, [&] { is_second_done = true; });
    BOOST_TEST(!is_first_done);
    BOOST_TEST(!is_second_done);
    this->time.run_for(milliseconds{100});
    BOOST_TEST(is_second_done);
}

BOOST_FIXTURE_TEST_CASE(a_new_baseline_is_not_relied_on_while_another_write_may_come,
                        origins_fixture)
{
    const auto former = this->start("a");
    const auto holder = this->start("b");
    const auto third = this->start("c");
    former->put_endpoint("i-1", v1);
    holder->put_endpoint("i-2", v2);
    former->baselines.synchronize(fencing_token{5});
    this->time.run_for(milliseconds{50});
    third->read_baselines();
    BOOST_TEST((third->record("s-1", v1) > duration{}));
    holder->baselines.synchronize(fencing_token{6});
    this->time.run_for(milliseconds{50});
    holder->read_baselines();
    BOOST_TEST((holder->find("s-1").value() == v1));
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_does_not_replace_a_newer_baseline, origins_fixture)
{
    const auto former = this->start("a");
    former->put_endpoint("i-1", v1);
    former->baselines.synchronize(fencing_token{5});
    former->baselines.on_record_written("stream-baseline/draft", R"({"version":"v2","token":6})");
    this->time.run_for(milliseconds{100});
    BOOST_TEST((former->baselines.find(draft) == v2));
}

/// A baseline that is in force and not the newest record of the store is written again.
struct lost_baseline_fixture : origins_fixture {
    void check_rewritten(origin_node& node)
    {
        node.put_endpoint("i-1", v2);
        for (int step = 0; step < 8; ++step) {
            node.baselines.update();
            node.baselines.synchronize(fencing_token{9});
            this->time.run_for(milliseconds{250});
        }
        BOOST_TEST((node.baselines.find(draft) == v2));
        BOOST_TEST((this->start("b")->baselines.find(draft) == v2));
    }
};

BOOST_FIXTURE_TEST_CASE(a_baseline_overwritten_by_a_late_write_is_written_again,
                        lost_baseline_fixture)
{
    this->set_baseline("v2", 9);
    const auto node = this->start("a");
    this->set_baseline("v1", 8);
    node->read_baselines();
    this->check_rewritten(*node);
}

BOOST_FIXTURE_TEST_CASE(a_baseline_lost_in_a_restoration_is_written_again, lost_baseline_fixture)
{
    this->set_baseline("v1", 3);
    this->set_baseline("v2", 4);
    const auto node = this->start("a");
    this->logs.restore("nodes", 1);
    node->read_baselines();
    this->check_rewritten(*node);
    this->logs.restore("nodes", 100);
    node->baselines.on_record_removed("stream-baseline/draft");
    this->check_rewritten(*node);
}

BOOST_FIXTURE_TEST_CASE(a_late_write_of_a_former_process_overwrites_no_origin, origins_fixture)
{
    this->set_baseline("v1");
    this->start("a")->record("s-0", v2);
    const auto restarted = this->start("a");
    restarted->record("s-2", v2);
    origin_batch late;
    late.written_ms = wall_milliseconds(this->time.wall_now()) - 1000;
    late.origins.emplace(make_stream_key(draft, request_id{"s-1"}), v2);
    this->logs.write(store_topic{"stream-origins", true}, "a/1", encode_batch(late));
    BOOST_TEST((this->start("b")->find("s-2").value() == v2));
}

BOOST_FIXTURE_TEST_CASE(the_baseline_is_preferred_while_the_store_is_away, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    this->time.run_for(seconds{11});
    BOOST_TEST(!node->origins.preferred_version(draft).has_value());
    node->store.is_down = true;
    node->record("s-1", v2);
    BOOST_TEST((node->origins.preferred_version(draft) == v1));
    node->store.is_down = false;
    this->time.run_for(seconds{1});
    BOOST_TEST(!node->origins.preferred_version(draft).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_node_without_a_former_era_does_not_miss_a_lost_origin, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    node->record("s-1", v2);
    this->logs.restore("stream-origins", 1);
    const auto found = other->find("s-1");
    BOOST_TEST((!found || found.value() == v2));
}

BOOST_FIXTURE_TEST_CASE(an_origin_that_waits_for_the_store_is_not_taken_for_the_baseline,
                        origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    node->store.is_down = true;
    node->record("s-1", v2);
    const auto found = other->find("s-1");
    BOOST_TEST((!found || found.value() == v2));
}

BOOST_FIXTURE_TEST_CASE(a_shorter_timeout_ends_no_origin_of_a_running_stream, origins_fixture)
{
    this->set_baseline("v1");
    const auto node = this->start("a");
    const auto other = this->start("b");
    node->record("s-1", v2);
    auto shorter = make_configuration();
    shorter.routes[0].timeout = seconds{5};
    other->baselines.set_table(std::make_shared<const route_table>(shorter));
    this->time.run_for(seconds{21});
    const auto found = other->find("s-1");
    BOOST_TEST((!found || found.value() == v2));
}

} // namespace eelgrassbend
