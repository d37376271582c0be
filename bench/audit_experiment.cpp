#include "caller.h"
#include "experiments.h"
#include "fleet.h"

#include "eelgrassbend/ledger/ledger_record.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

ABSL_DECLARE_FLAG(std::string, fleet);
ABSL_FLAG(std::string, outcomes, "", "audit: the lines that 'load' wrote");
ABSL_FLAG(std::string, state_dir, "",
          "audit: the fleet's state directory, for executions of endpoints that have gone");

namespace eelgrassbend::bench {

using nlohmann::json;

namespace {

/// Everything that the audit compares.
struct evidence {
    std::vector<json> outcomes;            ///< what callers received
    std::multimap<std::string, json> runs; ///< executions by attempt
    std::multimap<std::string, json> keys; ///< executions by idempotency key
    std::vector<ledger_line> billed;
    std::set<std::string> dead;      ///< endpoints that did not answer
    std::vector<std::string> faults; ///< what could not be read
};

class audit {
public:
    explicit audit(const evidence& seen) : seen(seen) {}

    void check_lines();
    void check_callers();
    void check_keys();

    [[nodiscard]] const std::vector<std::string>& findings() const { return this->found; }

private:
    void check_line(const ledger_line& line);

    const evidence& seen;
    std::vector<std::string> found;
};

} // namespace

static void add_executions(const std::string& lines, evidence& seen)
{
    std::istringstream stream{lines};
    std::string text;
    while (std::getline(stream, text)) {
        const auto run = json::parse(text, nullptr, false);
        if (!run.is_object()) {
            seen.faults.push_back("an execution cannot be read: " + text);
            continue;
        }
        seen.runs.emplace(run.value("attempt", std::string{}), run);
        if (const auto key = run.value("idempotency_key", std::string{}); !key.empty()) {
            seen.keys.emplace(key, run);
        }
    }
}

static void read_executions(const fleet& hosts, evidence& seen)
{
    for (const auto& endpoint : hosts.endpoints) {
        call_request request;
        request.address = endpoint.address;
        request.target = "/admin/executions";
        const auto answer = call_blocking(std::move(request));
        if (answer.whole && answer.status == 200) {
            add_executions(answer.body, seen);
            continue;
        }
        // A dead endpoint left each execution that ended; whether its last bytes were sent is
        // not known there, but the caller's side is checked too.
        std::ifstream stream{absl::GetFlag(FLAGS_state_dir) + "/" + endpoint.name + ".executions"};
        std::ostringstream text;
        text << stream.rdbuf();
        add_executions(text.str(), seen);
        seen.dead.insert(endpoint.name);
    }
}

static void read_ledger(const fleet& hosts, evidence& seen)
{
    ledger_fold fold;
    std::uint64_t next = 0;
    while (true) {
        call_request request;
        request.address = hosts.platform;
        request.target =
            "/log/" + std::string{ledger_stream} + "?from=" + std::to_string(next) + "&limit=1000";
        const auto answer = call_blocking(std::move(request));
        const auto page = json::parse(answer.body, nullptr, false);
        if (!answer.whole || answer.status != 200 || !page.is_object()) {
            seen.faults.emplace_back("the ledger cannot be read");
            break;
        }
        for (const auto& entry : page["records"]) {
            log_record record;
            record.offset = log_offset{entry["offset"].get<std::uint64_t>()};
            record.id = record_id{entry["id"].get<std::string>()};
            if (!absl::Base64Unescape(entry["payload"].get<std::string>(), &record.payload)) {
                seen.faults.emplace_back("a ledger record is not base64");
            }
            fold.add(record);
            next = record.offset.value() + 1;
        }
        if (page["records"].empty() || next >= page["end"].get<std::uint64_t>()) {
            break;
        }
    }
    if (fold.contradicting() + fold.unreadable() > 0) {
        seen.faults.emplace_back("the ledger holds contradicting or unreadable records");
    }
    seen.billed = fold.lines();
}

static void read_outcomes(evidence& seen)
{
    std::ifstream stream{absl::GetFlag(FLAGS_outcomes)};
    std::string text;
    while (std::getline(stream, text)) {
        seen.outcomes.push_back(json::parse(text));
    }
    if (seen.outcomes.empty()) {
        seen.faults.emplace_back("there are no outcomes to check");
    }
}

void audit::check_line(const ledger_line& line)
{
    const auto& attempt = line.attempt.value();
    std::vector<json> matching;
    const auto [first, last] = this->seen.runs.equal_range(attempt);
    for (auto run = first; run != last; ++run) {
        matching.push_back(run->second);
    }
    if (matching.size() != 1) {
        this->found.push_back("billed attempt " + attempt + " has " +
                              std::to_string(matching.size()) + " executions");
        return;
    }
    const auto& run = matching.front();
    const bool sent = run.value("whole", false) || this->seen.dead.contains(line.endpoint.value());
    if (!sent || run.value("cancelled", true)) {
        this->found.push_back("billed attempt " + attempt + " did not run to its end");
    }
    if (run.value("digest", std::string{}) != line.answer_digest) {
        this->found.push_back("billed attempt " + attempt + " has another digest");
    }
}

void audit::check_lines()
{
    for (const auto& line : this->seen.billed) {
        this->check_line(line);
    }
}

void audit::check_callers()
{
    std::map<std::string, const ledger_line*> lines;
    for (const auto& line : this->seen.billed) {
        lines.emplace(line.request.value(), &line);
    }
    std::set<std::string> delivered;
    for (const auto& outcome : this->seen.outcomes) {
        if (!outcome.value("delivered", false) || outcome.value("replayed", false)) {
            continue;
        }
        const auto request = outcome.value("request", std::string{});
        delivered.insert(request);
        const auto line = lines.find(request);
        if (line == lines.end()) {
            this->found.push_back("delivered request " + request + " is not billed");
        }
        else if (line->second->answer_digest != outcome.value("digest", std::string{})) {
            this->found.push_back("request " + request + " was delivered with another digest");
        }
        else if (line->second->organisation.value() !=
                 outcome.value("organisation", std::string{})) {
            this->found.push_back("request " + request + " is billed to another organisation");
        }
    }
    for (const auto& [request, line] : lines) {
        if (!delivered.contains(request)) {
            this->found.push_back("billed request " + request + " was not delivered whole");
        }
    }
}

void audit::check_keys()
{
    for (const auto& outcome : this->seen.outcomes) {
        const auto key = outcome.value("key", std::string{});
        if (key.empty()) {
            continue;
        }
        const auto runs = this->seen.keys.count(key);
        if (runs > 1) {
            this->found.push_back("key " + key + " ran " + std::to_string(runs) + " times");
        }
        if (runs > 0 && outcome.value("only_refused", false)) {
            this->found.push_back("key " + key + " ran though every answer said not-run");
        }
        if (runs == 0 && outcome.value("delivered", false)) {
            this->found.push_back("key " + key + " was answered but never ran");
        }
    }
}

static double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

static json summarise(const evidence& seen, const std::vector<std::string>& findings)
{
    std::map<std::string, int> kinds;
    std::map<std::string, int> results;
    std::vector<double> first;
    std::vector<double> whole;
    for (const auto& outcome : seen.outcomes) {
        ++kinds[outcome.value("kind", std::string{})];
        const bool delivered = outcome.value("delivered", false);
        ++results[delivered ? "delivered" : outcome.value("outcome", std::string{})];
        if (delivered) {
            whole.push_back(outcome.value("took_ms", 0.0));
            first.push_back(outcome.value("first_ms", 0.0));
        }
    }
    std::int64_t price = 0;
    for (const auto& line : seen.billed) {
        price += line.price.value();
    }
    return {{"requests", seen.outcomes.size()},
            {"kinds", kinds},
            {"results", results},
            {"first_byte_ms", {{"p50", quantile(first, 0.5)}, {"p99", quantile(first, 0.99)}}},
            {"whole_ms", {{"p50", quantile(whole, 0.5)}, {"p99", quantile(whole, 0.99)}}},
            {"executions", seen.runs.size()},
            {"ledger_lines", seen.billed.size()},
            {"billed_micros", price},
            {"findings", findings}};
}

namespace {

/// Compares what callers received with the executions of the endpoints and the ledger.
class audit_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "audit"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "checks the lines of 'load' against executions and ledger; exits 0 if all match";
    }

    int run(const experiment_options& options, std::ostream& out) override;
};

} // namespace

std::unique_ptr<experiment> make_audit_experiment()
{
    return std::make_unique<audit_experiment>();
}

int audit_experiment::run(const experiment_options&, std::ostream& out)
{
    auto hosts = read_fleet(absl::GetFlag(FLAGS_fleet));
    if (!hosts) {
        std::cerr << hosts.error().to_string() << "\n";
        return 2;
    }
    evidence seen;
    read_outcomes(seen);
    read_executions(hosts.value(), seen);
    read_ledger(hosts.value(), seen);
    audit checks{seen};
    checks.check_lines();
    checks.check_callers();
    checks.check_keys();
    auto findings = checks.findings();
    findings.insert(findings.end(), seen.faults.begin(), seen.faults.end());
    out << summarise(seen, findings).dump(2) << "\n";
    return findings.empty() ? 0 : 1;
}

} // namespace eelgrassbend::bench
