#ifndef EELGRASSBEND_UNITTESTS_ENTRY_FAULT_RUN_H
#define EELGRASSBEND_UNITTESTS_ENTRY_FAULT_RUN_H

#include "entry/fault_plan.h"
#include "entry/fault_traffic.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// One seed of combined faults under mixed traffic, and the promises it violated.
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
        // From the target: in force everywhere within 17 s.
        this->run_for(std::chrono::seconds{17}, false);
        this->check_newest_version();
        // A request's deadline is 120 s; its line then has time to reach the log.
        this->run_for(std::chrono::seconds{140}, false);
        this->check_calls();
        this->check_keys_and_notices();
        this->check_ledger();
    }

    [[nodiscard]] nlohmann::json figures()
    {
        std::size_t whole = 0;
        for (const auto& call : this->traffic.calls) {
            whole += call->tries.back().answer->ended ? 1 : 0;
        }
        return {{"calls", this->traffic.calls.size()},
                {"answered", whole},
                {"billed", this->fleet.billed().size()},
                {"accepted_streams_checked", this->checked_streams},
                {"not_run_checked", this->checked_not_run},
                {"injected", this->plan->injected}};
    }

    std::vector<std::string> violations;

private:
    static constexpr duration step = std::chrono::milliseconds{100};

    void violated(int promise, const std::string& what)
    {
        this->violations.push_back("promise " + std::to_string(promise) + ": " + what);
    }

    void run_for(duration length, bool arrivals)
    {
        const auto end = this->fleet.time.now() + length;
        while (this->fleet.time.now() < end) {
            if (arrivals && random_below(this->random, 4) == 0) {
                this->traffic.arrive();
            }
            this->fleet.time.run_for(step);
            this->traffic.react();
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
            const auto seen = node.bundle_version();
            if (seen < this->versions[index]) {
                this->violated(7, "bundle version went back at node " + std::to_string(index + 1));
            }
            this->versions[index] = seen;
        }
    }

    void check_newest_version()
    {
        for (const auto& node : this->fleet.nodes) {
            if (node->alive && node->bundle_version() != this->fleet.published.value()) {
                this->violated(7, node->settings.node.value() + " has version " +
                                      std::to_string(node->bundle_version()) + " 17 s after " +
                                      std::to_string(this->fleet.published.value()));
            }
        }
    }

    /// Requests with an execution at an endpoint that was killed without a notice.
    [[nodiscard]] std::set<std::string> requests_at_killed()
    {
        std::set<std::string> requests;
        for (const auto& [name, at] : this->plan->killed) {
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
        const auto excused = this->requests_at_killed();
        std::set<std::string> executed;
        for (const auto& run : this->fleet.executions()) {
            executed.insert(run["request"].get<std::string>());
            executed.insert(run["idempotency_key"].get<std::string>());
            executed.insert(run["path"].get<std::string>());
        }
        for (const auto& call : this->traffic.calls) {
            this->check_not_run(*call, executed);
            if (call->type == fault_call::kind::stream) {
                this->check_stream(*call, excused);
            }
            else {
                this->check_plain(*call);
            }
        }
    }

    void check_not_run(const fault_call& call, const std::set<std::string>& executed)
    {
        if (!call.not_run_throughout()) {
            return;
        }
        ++this->checked_not_run;
        bool ran = executed.contains(call.text) ||
                   executed.contains("/services/order-desk/" + call.text) ||
                   executed.contains("/" + call.text);
        for (const auto& one : call.tries) {
            const auto request = one.answer->header("Eelgrassbend-Request");
            ran = ran || (!request.empty() && executed.contains(request));
        }
        if (ran) {
            this->violated(3, "answered not-run but ran: " + call.text);
        }
    }

    void check_stream(const fault_call& call, const std::set<std::string>& excused)
    {
        std::string seen;
        std::int64_t last = -1;
        for (const auto& one : call.tries) {
            if (one.answer->status != 200) {
                continue;
            }
            const fault_stream stream{one.answer->body};
            const bool continues = last < 0 || stream.first < 0 || stream.first == last + 1;
            seen += stream.text;
            last = std::max(last, stream.last);
            if (!stream.in_order || !continues || !call.expected.starts_with(seen)) {
                this->violated(2, "text differs from the undisturbed one: " + call.text);
                return;
            }
            const bool whole = one.answer->ended && stream.whole;
            if (whole && seen != call.expected) {
                this->violated(1, "whole answer is cut: " + call.text);
            }
            const auto request = one.answer->header("Eelgrassbend-Request");
            const bool promised =
                this->fleet.nodes[one.node]->alive && !one.left && !excused.contains(request);
            this->checked_streams += promised ? 1 : 0;
            if (promised && !whole) {
                this->violated(1, "accepted stream does not end whole: " + call.text + " at node " +
                                      std::to_string(one.node + 1) + ", request " + request +
                                      ", end of body: " + tail(one.answer->body));
            }
        }
    }

    static std::string tail(const std::string& body)
    {
        constexpr std::size_t shown = 240;
        return body.substr(body.size() - std::min(shown, body.size()));
    }

    void check_plain(const fault_call& call)
    {
        for (const auto& one : call.tries) {
            const auto body = nlohmann::json::parse(one.answer->body, nullptr, false);
            if (!body.is_object() || !body.contains("booking")) {
                continue;
            }
            const bool own = call.type == fault_call::kind::order
                                 ? body.value("idempotency_key", "") == call.text
                                 : body.value("path", "").ends_with(call.text);
            if (!own) {
                this->violated(2, "answer of another request: " + call.text);
            }
        }
    }

    void check_keys_and_notices()
    {
        std::map<std::string, int> runs;
        for (const auto& run : this->fleet.executions()) {
            const auto key = run["idempotency_key"].get<std::string>();
            if (!key.empty() && ++runs[key] == 2) {
                this->violated(4, "idempotency key runs twice: " + key);
            }
        }
        for (const auto& [name, at] : this->plan->announced) {
            for (const auto& run : this->executions_at(name)) {
                this->check_notice(name, at, run);
            }
        }
    }

    /// A node that was paused, or could not read notices, between the notice and the new work
    /// could not know of it, so that its work is excepted; so is work of which no answer tells
    /// the node, if any node was paused.
    void check_notice(const std::string& name, wall_time at, const nlohmann::json& run)
    {
        const wall_time started{std::chrono::milliseconds{run["started_ms"].get<std::int64_t>()}};
        // From the promise: no new work 3 s after the notice.
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
        this->violated(5, "new work at " + name + " after its notice, request " +
                              run["request"].get<std::string>());
    }

    [[nodiscard]] std::set<std::size_t> nodes_of(const nlohmann::json& run) const
    {
        const auto request = run["request"].get<std::string>();
        std::set<std::size_t> nodes;
        for (const auto& call : this->traffic.calls) {
            const bool same_key = call->text == run["idempotency_key"].get<std::string>();
            for (const auto& one : call->tries) {
                if (same_key || one.answer->header("Eelgrassbend-Request") == request) {
                    nodes.insert(one.node);
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
            for (const auto& one : call->tries) {
                if (one.answer->ended) {
                    delivered.insert(one.answer->header("Eelgrassbend-Request"));
                }
            }
        }
        std::set<std::string> requests;
        for (const auto& line : this->fleet.billed()) {
            const auto& request = line.request.value();
            if (ended[line.attempt.value() + line.answer_digest] != 1) {
                this->violated(6, "line without its whole execution: request " + request);
            }
            if (!requests.insert(request).second) {
                this->violated(6, "two lines of request " + request);
            }
            if (!delivered.contains(request)) {
                this->violated(6, "line of an answer that was not delivered: request " + request);
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
