#ifndef EELGRASSBEND_UNITTESTS_LEDGER_LEDGER_CLUSTER_H
#define EELGRASSBEND_UNITTESTS_LEDGER_LEDGER_CLUSTER_H

#include "eelgrassbend/ledger/ledger_record.h"
#include "eelgrassbend/ledger/replicated_ledger.h"
#include "eelgrassbend/support/hash.h"

#include "fakes/fake_node.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Several nodes with a ledger each, in three availability zones.
class ledger_cluster {
public:
    explicit ledger_cluster(std::size_t count, std::uint64_t seed = 1,
                            ledger_settings settings = {}, std::size_t zones = 3)
        : world(seed), settings(settings), nodes(make_fake_nodes(world, count, zones))
    {
        for (auto& node : this->nodes) {
            node->client.faults.timeout = std::chrono::milliseconds{200};
            this->ledgers.push_back(this->make_ledger(*node));
            this->ledgers.back()->start();
        }
    }

    std::unique_ptr<replicated_ledger> make_ledger(fake_node& node)
    {
        const ledger_dependencies dependencies{node.timer, this->world.random, node.log,
                                               node.peers, node.members,       node.events};
        return std::make_unique<replicated_ledger>(this->settings, dependencies);
    }

    static ledger_line make_line(const std::string& request)
    {
        ledger_line line;
        line.request = request_id{request};
        line.attempt = attempt_id{request + "/1"};
        line.organisation = organisation_id{"sopa-lodges"};
        line.service = service_id{"draft-llm"};
        line.endpoint = endpoint_id{"engine-7"};
        line.price = money{static_cast<std::int64_t>(stable_hash(request) % 1'000)};
        line.answer_digest = sha256_hex(request);
        return line;
    }

    /// The answer is filled in when the intent is settled.
    std::shared_ptr<std::optional<bool>> begin(std::size_t node, const std::string& request)
    {
        auto done = std::make_shared<std::optional<bool>>();
        this->ledgers[node]->intend(
            make_line(request), [done](const result<void>& answer) { *done = answer.has_value(); });
        return done;
    }

    /// Intends and waits for the replicas.
    bool intend(std::size_t node, const std::string& request)
    {
        const auto done = this->begin(node, request);
        this->world.time.run_for(std::chrono::milliseconds{50});
        return done->value_or(false);
    }

    void confirm(std::size_t node, const std::string& request)
    {
        this->delivered.insert(request);
        this->ledgers[node]->confirm(request_id{request});
    }

    void run_for(duration span) { this->world.time.run_for(span); }

    /// The node's process ends; the others notice after `notice`.
    void kill(std::size_t node, duration notice = std::chrono::seconds{2})
    {
        this->nodes[node]->timer.kill();
        this->world.network.unreachable.insert(this->nodes[node]->members.self().calls);
        this->world.time.call_after(notice, [this, node] { bury(this->nodes, node); });
    }

    ledger_fold fold()
    {
        ledger_fold folded;
        const stream_name stream{std::string{ledger_stream}};
        for (const auto& record : this->world.log.read(stream, log_offset{0}, 1'000'000).records) {
            folded.add(record);
        }
        return folded;
    }

    std::set<std::string> billed()
    {
        std::set<std::string> requests;
        const auto folded = this->fold();
        for (const auto& line : folded.lines()) {
            requests.insert(line.request.value());
        }
        return requests;
    }

    fake_world world;
    ledger_settings settings;
    std::vector<std::unique_ptr<fake_node>> nodes;
    std::vector<std::unique_ptr<replicated_ledger>> ledgers;
    std::set<std::string> delivered; ///< requests whose callers got the whole answer
};

} // namespace eelgrassbend

#endif
