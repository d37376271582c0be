#ifndef EELGRASSBEND_UNITTESTS_ENTRY_FAULT_RUN_H
#define EELGRASSBEND_UNITTESTS_ENTRY_FAULT_RUN_H

#include "entry/fault_plan.h"
#include "entry/fault_traffic.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// Runs mixed traffic under the random faults of one seed and records the violated guarantees.
class fault_run {
public:
    explicit fault_run(std::uint64_t seed) : random(seed), fleet(seed), traffic(fleet, random)
    {
        for (const char* zone : {"arusha-a", "moshi-a"}) {
            const std::string name{zone};
            for (const char* number : {"1", "2"}) {
                this->fleet.add_endpoint("draft-" + name + number, "draft-llm", zone,
                                         standin::endpoint_mode::model);
            }
            this->fleet.add_endpoint("desk-" + name, "order-desk", zone,
                                     standin::endpoint_mode::plain);
            this->fleet.add_node(zone);
            this->fleet.add_node(zone);
        }
        this->fleet.publish(example_bundle());
        this->versions.resize(this->fleet.nodes.size());
    }

    void run()
    {
        this->fleet.time.run_for(std::chrono::seconds{20});
        const duration length = std::chrono::seconds{60 + random_below(this->random, 30)};
        this->plan = std::make_unique<fault_plan>(this->fleet, this->random, length);
        this->run_for(length, true);
        // Requirement: a new bundle is in force at all nodes within 17 s.
        this->run_for(std::chrono::seconds{17}, false);
        this->check_newest_version();
        // A request's deadline is 120 s; its ledger line then has time to reach the log.
        this->run_for(std::chrono::seconds{140}, false);
        this->check_calls();
        this->check_keys_and_notices();
        this->check_ledger();
    }

    [[nodiscard]] nlohmann::json summary()
    {
        std::size_t answered = 0;
        for (const auto& call : this->traffic.calls) {
            answered += call->attempts.back().answer->ended ? 1 : 0;
        }
        return {{"calls", this->traffic.calls.size()},
                {"answered", answered},
                {"billed", this->fleet.billed().size()},
                {"accepted_streams_checked", this->checked_streams},
                {"not_run_checked", this->checked_not_run},
                {"injected", this->plan->injected}};
    }

    std::vector<std::string> violations;

private:
    static constexpr duration step = std::chrono::milliseconds{100};

    /// Guarantees by number:
    /// 1: accepted streams are delivered completely;
    /// 2: answers have the content of the request's own execution;
    /// 3: requests that were answered with `not-run` have not run;
    /// 4: an idempotency key runs at most once;
    /// 5: an endpoint starts no new work later than 3 s after its termination notice;
    /// 6: each ledger line belongs to one complete, delivered execution, and a request has at most
    ///    one line;
    /// 7: bundle versions never decrease, and the newest is in force at all nodes within 17 s.
    void add_violation(int guarantee, const std::string& description)
    {
        this->violations.push_back("guarantee " + std::to_string(guarantee) + ": " + description);
    }

    void run_for(duration length, bool has_arrivals)
    {
        const auto end = this->fleet.time.now() + length;
        while (this->fleet.time.now() < end) {
            if (has_arrivals && random_below(this->random, 4) == 0) {
                this->traffic.start_call();
            }
            this->fleet.time.run_for(step);
            this->traffic.process_answers();
            this->check_versions();
        }
    }

    void check_versions()
    {
        for (std::size_t index = 0; index < this->versions.size(); ++index) {
            const auto& node = *this->fleet.nodes[index];
            if (!node.alive) {
                continue;
            }
            const auto version = node.bundle_version();
            if (version < this->versions[index]) {
                this->add_violation(7, "bundle version went back at node " +
                                           std::to_string(index + 1));
            }
            this->versions[index] = version;
        }
    }

    void check_newest_version()
    {
        for (const auto& node : this->fleet.nodes) {
            if (node->alive && node->bundle_version() != this->fleet.published.value()) {
                this->add_violation(7, node->settings.node.value() + " has version " +
                                           std::to_string(node->bundle_version()) + " 17 s after " +
                                           std::to_string(this->fleet.published.value()));
            }
        }
    }

    /// Requests executed at an endpoint that was killed without a termination notice; their streams
    /// need not complete.
    [[nodiscard]] std::set<std::string> requests_at_killed_endpoints()
    {
        std::set<std::string> requests;
        for (const auto& [name, at] : this->plan->kill_times) {
            for (const auto& run : this->executions_at(name)) {
                requests.insert(run["request"].get<std::string>());
            }
        }
        return requests;
    }

    std::vector<nlohmann::json> executions_at(const std::string& endpoint)
    {
        std::vector<nlohmann::json> runs;
        std::istringstream text{this->fleet.endpoints.named(endpoint).executions.lines()};
        std::string line;
        while (std::getline(text, line)) {
            runs.push_back(nlohmann::json::parse(line));
        }
        return runs;
    }

    void check_calls()
    {
        const auto exempt_requests = this->requests_at_killed_endpoints();
        std::set<std::string> executed;
        for (const auto& run : this->fleet.executions()) {
            executed.insert(run["request"].get<std::string>());
            executed.insert(run["idempotency_key"].get<std::string>());
            executed.insert(run["path"].get<std::string>());
        }
        for (const auto& call : this->traffic.calls) {
            this->check_not_run(*call, executed);
            if (call->type == fault_call::kind::stream) {
                this->check_stream(*call, exempt_requests);
            }
            else {
                this->check_plain(*call);
            }
        }
    }

    void check_not_run(const fault_call& call, const std::set<std::string>& executed)
    {
        if (!call.is_never_run()) {
            return;
        }
        ++this->checked_not_run;
        bool has_run = executed.contains(call.text) ||
                       executed.contains("/services/order-desk/" + call.text) ||
                       executed.contains("/" + call.text);
        for (const auto& attempt : call.attempts) {
            const auto request = attempt.answer->header("Eelgrassbend-Request");
            has_run = has_run || (!request.empty() && executed.contains(request));
        }
        if (has_run) {
            this->add_violation(3, "answered not-run but ran: " + call.text);
        }
    }

    void check_stream(const fault_call& call, const std::set<std::string>& exempt_requests)
    {
        std::string received;
        std::int64_t last = -1;
        for (const auto& attempt : call.attempts) {
            if (attempt.answer->status != 200) {
                continue;
            }
            const fault_stream stream{attempt.answer->body};
            const bool is_continuous = last < 0 || stream.first < 0 || stream.first == last + 1;
            received += stream.text;
            last = std::max(last, stream.last);
            if (!stream.is_in_order || !is_continuous || !call.expected.starts_with(received)) {
                this->add_violation(2,
                                    "text differs from that of a run without faults: " + call.text);
                return;
            }
            const bool is_complete = attempt.answer->ended && stream.is_complete;
            if (is_complete && received != call.expected) {
                this->add_violation(1, "completed stream has truncated text: " + call.text);
            }
            const auto request = attempt.answer->header("Eelgrassbend-Request");
            const bool must_complete = this->fleet.nodes[attempt.node]->alive &&
                                       !attempt.is_caller_gone &&
                                       !exempt_requests.contains(request);
            this->checked_streams += must_complete ? 1 : 0;
            if (must_complete && !is_complete) {
                this->add_violation(1, "accepted stream is incomplete: " + call.text + " at node " +
                                           std::to_string(attempt.node + 1) + ", request " +
                                           request +
                                           ", end of body: " + tail(attempt.answer->body));
            }
        }
    }

    static std::string tail(const std::string& body)
    {
        constexpr std::size_t max_tail_bytes = 240;
        return body.substr(body.size() - std::min(max_tail_bytes, body.size()));
    }

    void check_plain(const fault_call& call)
    {
        for (const auto& attempt : call.attempts) {
            const auto body = nlohmann::json::parse(attempt.answer->body, nullptr, false);
            if (!body.is_object() || !body.contains("booking")) {
                continue;
            }
            const bool is_own = call.type == fault_call::kind::order
                                    ? body.value("idempotency_key", "") == call.text
                                    : body.value("path", "").ends_with(call.text);
            if (!is_own) {
                this->add_violation(2, "answer of another request: " + call.text);
            }
        }
    }

    void check_keys_and_notices()
    {
        std::map<std::string, int> runs;
        for (const auto& run : this->fleet.executions()) {
            const auto key = run["idempotency_key"].get<std::string>();
            if (!key.empty() && ++runs[key] == 2) {
                this->add_violation(4, "idempotency key runs twice: " + key);
            }
        }
        for (const auto& [name, at] : this->plan->notice_times) {
            for (const auto& run : this->executions_at(name)) {
                this->check_notice(name, at, run);
            }
        }
    }

    /// Work is exempt if the cloud API was unavailable, or a node to which the request was sent was
    /// paused, between the notice and the start of the work: the node may not have received the
    /// notice. If no answer identifies these nodes, a pause of any node exempts the work.
    void check_notice(const std::string& name, wall_time at, const nlohmann::json& run)
    {
        const wall_time started{std::chrono::milliseconds{run["started_ms"].get<std::int64_t>()}};
        // Guarantee 5: no new work later than 3 s after the notice.
        if (started <= at + std::chrono::seconds{3}) {
            return;
        }
        for (const auto& outage : this->plan->cloud_outages) {
            if (outage.overlaps(at, started)) {
                return;
            }
        }
        const auto nodes = this->nodes_of(run);
        for (const auto& pause : this->plan->pauses) {
            if ((nodes.empty() || nodes.contains(pause.node)) && pause.overlaps(at, started)) {
                return;
            }
        }
        this->add_violation(5, "new work at " + name + " after its notice, request " +
                                   run["request"].get<std::string>());
    }

    [[nodiscard]] std::set<std::size_t> nodes_of(const nlohmann::json& run) const
    {
        const auto request = run["request"].get<std::string>();
        std::set<std::size_t> nodes;
        for (const auto& call : this->traffic.calls) {
            const bool same_key = call->text == run["idempotency_key"].get<std::string>();
            for (const auto& attempt : call->attempts) {
                if (same_key || attempt.answer->header("Eelgrassbend-Request") == request) {
                    nodes.insert(attempt.node);
                }
            }
        }
        return nodes;
    }

    void check_ledger()
    {
        std::map<std::string, int> ended;
        for (const auto& run : this->fleet.executions()) {
            if (!run["ended_ms"].is_null() && !run["cancelled"].get<bool>()) {
                ++ended[run["attempt"].get<std::string>() + run["digest"].get<std::string>()];
            }
        }
        std::set<std::string> delivered;
        for (const auto& call : this->traffic.calls) {
            for (const auto& attempt : call->attempts) {
                if (attempt.answer->ended) {
                    delivered.insert(attempt.answer->header("Eelgrassbend-Request"));
                }
            }
        }
        std::set<std::string> requests;
        for (const auto& line : this->fleet.billed()) {
            const auto& request = line.request.value();
            if (ended[line.attempt.value() + line.answer_digest] != 1) {
                this->add_violation(
                    6, "ledger line without exactly one complete execution: request " + request);
            }
            if (!requests.insert(request).second) {
                this->add_violation(6, "more than one ledger line for request " + request);
            }
            if (!delivered.contains(request)) {
                this->add_violation(6, "ledger line for an undelivered answer: request " + request);
            }
        }
    }

    seeded_random random;
    virtual_fleet fleet;
    fault_traffic traffic;
    std::unique_ptr<fault_plan> plan;
    std::vector<std::uint64_t> versions;
    std::size_t checked_streams = 0;
    std::size_t checked_not_run = 0;
};

} // namespace eelgrassbend::fakes

#endif
