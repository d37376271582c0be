#include "bundle/bundle_builder.h"
#include "fakes/fake_log.h"

#include "eelgrassbend/control/bundle_commands.h"
#include "eelgrassbend/control/entry_commands.h"
#include "eelgrassbend/control/ledger_export.h"
#include "eelgrassbend/control/operator_files.h"
#include "eelgrassbend/control/request_trace.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <map>
#include <optional>
#include <sstream>

namespace eelgrassbend {

using std::chrono::seconds;

namespace {

/// A directory that the test leaves behind empty.
struct scratch_directory {
    scratch_directory()
        : path(std::filesystem::temp_directory_path() /
               ("eelgrassbend-control-" + generate_signing_key().value().public_key.substr(0, 16)))
    {
        std::filesystem::create_directory(this->path);
    }

    ~scratch_directory() { std::filesystem::remove_all(this->path); }

    scratch_directory(const scratch_directory&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const { return this->path / name; }

    std::filesystem::path path;
};

/// Answers by the port of the entry node.
class fake_entries : public http_client {
public:
    void send(http_call call, handler done) override
    {
        this->targets.push_back(call.target);
        const auto found = this->answers.find(call.peer.port);
        if (found == this->answers.end()) {
            done(make_error(errc::unavailable, "connect", call.peer.to_string()));
            return;
        }
        done(http_answer{200, found->second});
    }

    std::map<std::uint16_t, std::string> answers;
    std::vector<std::string> targets;
};

struct log_fixture {
    virtual_scheduler time;
    seeded_random random{1};
    fake_log log{time};
    fake_log_client client{log, time, random};

    template <typename Command, typename... Arguments>
    command_result run(Command start)
    {
        std::optional<command_result> outcome;
        start([&](const command_result& result) { outcome = result; });
        this->time.run_for(seconds{60});
        BOOST_REQUIRE(outcome.has_value());
        return *outcome;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_bundle_is_signed_by_two_operators_one_after_the_other)
{
    const scratch_directory directory;
    BOOST_TEST((generate_key(directory.file("a")).status == exit_status::ok));
    BOOST_TEST((generate_key(directory.file("a")).status == exit_status::negative));
    BOOST_TEST((generate_key(directory.file("b")).status == exit_status::ok));
    using std::filesystem::perms;
    BOOST_TEST((std::filesystem::status(directory.file("a")).permissions() ==
                (perms::owner_read | perms::owner_write)));
    operator_set signers;
    for (const auto* name : {"a", "b"}) {
        signers.operators.push_back({name, load_key(directory.file(name)).value().public_key});
    }
    signers.required_signatures = 2;
    const auto unsigned_bundle = make_signed_bundle(test_bundle(1, 0, signers));
    save_signed_bundle(directory.file("0"), unsigned_bundle).value();
    const auto sign = [&](const char* from, const char* key, const char* to) {
        return sign_bundle(directory.file(from), directory.file(key), directory.file(to)).status;
    };
    BOOST_TEST((sign("0", "a", "1") == exit_status::ok));
    BOOST_TEST((sign("1", "b", "2") == exit_status::ok));
    BOOST_TEST((sign("1", "nobody", "3") == exit_status::negative));
    const auto sealed = load_signed_bundle(directory.file("2")).value();
    BOOST_TEST(count_signatures(sealed.header, signers) == 2U);
    BOOST_TEST((check_bundle(directory.file("2")).status == exit_status::ok));
    BOOST_TEST((check_bundle(directory.file("a")).status == exit_status::negative));
}

BOOST_AUTO_TEST_CASE(a_difference_is_named_by_ids)
{
    const auto signers = test_operators({1});
    const auto before = test_bundle(1, 0, signers);
    auto after = test_bundle(2, 1, signers);
    after.services[0].hedge_budget = 0.5;
    after.services.insert(after.services.begin(), test_bundle(1, 0, signers, "new").services[0]);
    const auto changes = compare_bundles(before, after);
    std::string paths;
    for (const auto& change : changes) {
        paths += change.path + " ";
    }
    BOOST_TEST(paths == "replaces services[service-a].hedge_budget services[service-new] version ");
    BOOST_TEST(changes[2].before.is_null());
    BOOST_TEST(compare_bundles(before, before).empty());
}

BOOST_AUTO_TEST_CASE(bundle_status_tells_a_roll_out_from_a_finished_one)
{
    fake_entries nodes;
    nodes.answers[1] = R"({"node":"e1","bundle_version":4,"ready":true})";
    nodes.answers[2] = R"({"node":"e2","bundle_version":5,"ready":true})";
    const auto ask = [&](std::vector<std::uint16_t> ports) {
        std::vector<network_address> addresses;
        for (const auto port : ports) {
            addresses.push_back({"127.0.0.1", port});
        }
        command_result outcome;
        report_bundle_status(nodes, addresses, seconds{1},
                             [&](const auto& result) { outcome = result; });
        return outcome;
    };
    BOOST_TEST((ask({1}).status == exit_status::ok));
    BOOST_TEST((ask({1, 2}).status == exit_status::negative));
    BOOST_TEST((ask({1, 3}).status == exit_status::unavailable));
    nodes.answers[1] = R"({"node":"e1","bundle_version":5,"ready":false})";
    BOOST_TEST((ask({1, 2}).status == exit_status::negative));
    nodes.answers[1] = R"({"node":"e1"})";
    BOOST_TEST((ask({1, 2}).status == exit_status::unavailable));
    BOOST_TEST(ask({2}).text == "127.0.0.1:2  \"e2\"  version 5\nversion 5 on all nodes\n");
}

BOOST_AUTO_TEST_CASE(entries_are_asked_with_encoded_names)
{
    fake_entries nodes;
    nodes.answers[1] =
        R"({"entries":[{"node":"e1","zone":"z","address":"1.2.3.4:5","weight":2}],"time_to_live_ms":2000})";
    command_result outcome;
    list_entries(nodes, {"127.0.0.1", 1}, "a&b", "draft-llm", seconds{1},
                 [&](const auto& result) { outcome = result; });
    BOOST_TEST(nodes.targets[0] == "/v1/entries?organisation=a%26b&service=draft-llm");
    BOOST_TEST(outcome.text == "1.2.3.4:5  weight 2  zone z\nvalid for 2000 ms\n");
}

BOOST_AUTO_TEST_CASE(a_trace_explains_one_request_in_order_of_time)
{
    std::istringstream lines{
        R"({"time_us":3000000,"node":"e1","event":"request","request":"r1","result":"ran","attempts":2,"took_us":9,"price_micros":7}
starting
{"time_us":1000000,"node":"e1","event":"route","request":"r1","attempt":1,"endpoint":"ep-1","policy":"predictive","candidate_count":3,"bundle":4,"reason":"cheapest"}
{"time_us":1000001,"node":"e1","event":"route","request":"r12","attempt":1,"endpoint":"ep-9"}
{"time_us":2000000,"node":"e1","event":"attempt_failed","request":"r1","attempt":"r1/1","endpoint":"ep-1","may_have_run":false,"error":"refused"}
{"time_us":2500000,"node":"e2","event":"hedge","attempt":"r1/2","endpoint":"ep-2"}
)"};
    const auto outcome = trace_request(lines, "r1");
    BOOST_TEST((outcome.status == exit_status::ok));
    BOOST_TEST(outcome.text ==
               "+0.000000 s  e1  route: attempt 1 goes to ep-1 by policy predictive out of 3 "
               "candidates, under bundle 4: cheapest\n"
               "+1.000000 s  e1  attempt_failed: attempt r1/1 at ep-1 failed, it was not sent: "
               "refused\n"
               "+1.500000 s  e2  hedge: attempt \"r1/2\", endpoint \"ep-2\"\n"
               "+2.000000 s  e1  request: ended as ran after 2 attempts and 9 us, billed 7 "
               "millionths\n");
    BOOST_TEST(outcome.data["skipped_lines"] == 1);
    std::istringstream nothing{"{}\n"};
    BOOST_TEST((trace_request(nothing, "r1").status == exit_status::negative));
}

static new_log_record ledger_record(const std::string& request, const std::string& organisation,
                                    std::int64_t price)
{
    ledger_line line;
    line.request = request_id{request};
    line.attempt = attempt_id{request + "/1"};
    line.organisation = organisation_id{organisation};
    line.price = money{price};
    return {record_id{"ledger-" + request}, encode_ledger_line(line)};
}

BOOST_FIXTURE_TEST_CASE(an_export_has_one_line_a_request, log_fixture)
{
    const stream_name stream{std::string{ledger_stream}};
    for (int number = 0; number < 600; ++number) {
        const auto name = std::to_string(number);
        this->log.append(stream, {ledger_record("r" + name, number % 2 == 0 ? "even" : "odd", 5)});
    }
    this->log.append(stream, {ledger_record("r7", "odd", 5)});
    const auto export_for = [this](const std::string& organisation) {
        ledger_exporter exporter{this->client, organisation};
        return this->run([&](const command_handler& done) { exporter.run(done); });
    };
    const auto all = export_for("");
    BOOST_TEST((all.status == exit_status::ok));
    BOOST_TEST(all.data["lines"].size() == 600U);
    BOOST_TEST(all.data["repeated"] == 1);
    BOOST_TEST(export_for("odd").data["lines"].size() == 300U);
    this->log.append(stream, {ledger_record("r7", "odd", 6)});
    const auto contradicted = export_for("");
    BOOST_TEST((contradicted.status == exit_status::negative));
    BOOST_TEST(contradicted.data["lines"].size() == 600U);
    this->log.truncate(stream, log_offset{10});
    BOOST_TEST(export_for("").warning.find("records before offset 10") == 0U);
    this->log.outage = true;
    BOOST_TEST((export_for("").status == exit_status::unavailable));
}

BOOST_FIXTURE_TEST_CASE(a_lost_version_is_restored_only_once_the_log_has_lost_it, log_fixture)
{
    const stream_name stream{bundle_stream};
    const auto signers = test_operators({1, 2});
    const auto sealed = test_signed(test_bundle(5, 4, signers), {1});
    const auto restore = [&](const signed_bundle& contents) {
        bundle_restorer restorer{signers, this->time, this->client};
        return this->run([&](const command_handler& done) { restorer.restore(contents, done); });
    };
    BOOST_TEST((restore(sealed).status == exit_status::negative)); // the stream is at its start
    this->log.append(stream, {test_record(test_signed(test_bundle(1, 0, signers), {1})),
                              test_record(test_signed(test_bundle(2, 0, signers), {1}))});
    this->log.truncate(stream, log_offset{1});
    const auto stranger = test_signed(test_bundle(5, 4, signers), {9});
    BOOST_TEST((restore(stranger).status == exit_status::negative));
    const auto restored = restore(sealed);
    BOOST_TEST((restored.status == exit_status::ok));
    BOOST_TEST(restored.data["in_force"] == 5);
    BOOST_TEST((restore(sealed).status == exit_status::negative));
    BOOST_TEST(this->log.appends() == 2U);
}

} // namespace eelgrassbend
