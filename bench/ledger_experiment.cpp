#include "eelgrassbend/ledger/ledger_record.h"
#include "eelgrassbend/ledger/replicated_ledger.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/uuid.h"

#include "experiments.h"
#include "fakes/fake_node.h"
#include "limited_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace eelgrassbend::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration log_latency = milliseconds{5};
constexpr duration acknowledge_time = milliseconds{20};
constexpr int warm_up_seconds = 15;
constexpr int measured_seconds = 30;

/// Nodes that bill requests at a constant rate.
class ledger_load {
public:
    ledger_load(std::uint64_t seed, std::size_t count)
        : world(seed), nodes(make_fake_nodes(world, count, 10))
    {
        for (auto& node : this->nodes) {
            node->client.faults.latency = log_latency;
            this->logs.push_back(
                std::make_unique<limited_log>(node->log, node->timer, this->limit));
            const ledger_dependencies dependencies{node->timer,        this->world.random,
                                                   *this->logs.back(), node->peers,
                                                   node->members,      node->events};
            this->ledgers.push_back(
                std::make_unique<replicated_ledger>(ledger_settings{}, dependencies));
            this->ledgers.back()->start();
        }
    }

    nlohmann::json run(double per_second)
    {
        this->offer(per_second, warm_up_seconds);
        const auto before = this->totals();
        const auto refused_appends = this->limit.refused;
        const auto appended_bytes = this->limit.bytes;
        const auto network_bytes = this->world.network.bytes;
        this->latencies.clear();
        this->offer(per_second, measured_seconds);
        const auto after = this->totals();
        std::sort(this->latencies.begin(), this->latencies.end());
        const auto rate = [](std::uint64_t more) {
            return static_cast<double>(more) / measured_seconds;
        };
        const auto count = static_cast<double>(this->nodes.size());
        const auto appends = rate(after.appends - before.appends);
        return {
            {"experiment", "ledger"},
            {"nodes", this->nodes.size()},
            {"requests_per_second", per_second},
            {"appends_per_second", appends},
            {"rate_limited_per_second", rate(this->limit.refused - refused_appends)},
            {"lines_per_append", rate(after.appended_lines - before.appended_lines) / appends},
            {"append_bytes_per_second", rate(this->limit.bytes - appended_bytes)},
            {"peer_calls_per_second_and_node", rate(after.peer_calls - before.peer_calls) / count},
            {"peer_bytes_per_second_and_node",
             rate(this->world.network.bytes - network_bytes) / count},
            {"intent_p50_ms", this->percentile(0.50)},
            {"intent_p99_ms", this->percentile(0.99)},
            {"intents_failed", after.intents_failed},
            {"most_waiting_lines", this->most_waiting},
            {"most_held_lines", this->most_held},
            {"bytes_per_line_in_the_log", rate(this->limit.bytes - appended_bytes) /
                                              rate(after.appended_lines - before.appended_lines)}};
    }

private:
    [[nodiscard]] ledger_statistics totals() const
    {
        ledger_statistics sum;
        for (const auto& each : this->ledgers) {
            sum.appends += each->statistics().appends;
            sum.appended_lines += each->statistics().appended_lines;
            sum.peer_calls += each->statistics().peer_calls;
            sum.intents_failed += each->statistics().intents_failed;
        }
        return sum;
    }

    [[nodiscard]] double percentile(double share) const
    {
        if (this->latencies.empty()) {
            return 0.0;
        }
        const auto index =
            static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1));
        return std::chrono::duration<double, std::milli>(this->latencies[index]).count();
    }

    void offer(double per_second, int length)
    {
        const auto apart =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{1.0 / per_second});
        const auto end = this->world.time.now() + seconds{length};
        while (this->world.time.now() < end) {
            const auto node = random_below(this->world.random, this->nodes.size());
            this->bill(node);
            this->world.time.run_for(apart);
            this->most_waiting = std::max(this->most_waiting, this->ledgers[node]->waiting());
            this->most_held = std::max(this->most_held, this->ledgers[node]->held());
        }
    }

    void bill(std::size_t node)
    {
        ledger_line line;
        line.request = request_id{this->nodes[node]->members.self().id.value() + "-" +
                                  make_uuid_v7(this->world.time.wall_now(), this->world.random)};
        line.attempt = attempt_id{line.request.value() + "/1"};
        line.organisation = organisation_id{"serengeti-lodges"};
        line.service = service_id{"draft-llm"};
        line.endpoint = endpoint_id{"arusha-a-engine-0417"};
        line.answer_digest = sha256_hex(line.request.value());
        const auto begun = this->world.time.now();
        this->ledgers[node]->intend(
            line, [this, node, request = line.request, begun](const result<void>& done) {
                if (!done) {
                    return;
                }
                this->latencies.push_back(this->world.time.now() - begun);
                this->world.time.call_after(acknowledge_time, [this, node, request] {
                    this->ledgers[node]->confirm(request);
                });
            });
    }

    fake_world world;
    append_limit limit;
    std::vector<std::unique_ptr<fake_node>> nodes;
    std::vector<std::unique_ptr<limited_log>> logs;
    std::vector<std::unique_ptr<replicated_ledger>> ledgers;
    std::vector<duration> latencies;
    std::size_t most_waiting = 0;
    std::size_t most_held = 0;
};

class ledger_experiment : public experiment {
public:
    [[nodiscard]] std::string_view name() const override { return "ledger"; }

    [[nodiscard]] std::string_view help() const override
    {
        return "appends and bytes a second of the ledger, from 8 to 390 nodes";
    }

    int run(const experiment_options& options, std::ostream& out) override
    {
        for (const std::size_t count : {8, 32, 128, 390}) {
            if (options.nodes != 0 && options.nodes != count) {
                continue;
            }
            for (const double rate : {120.0, 1'200.0}) {
                ledger_load load{options.seed, count};
                out << load.run(rate).dump() << "\n" << std::flush;
            }
        }
        return 0;
    }
};

} // namespace

std::unique_ptr<experiment> make_ledger_experiment()
{
    return std::make_unique<ledger_experiment>();
}

} // namespace eelgrassbend::bench
