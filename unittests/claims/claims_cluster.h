#ifndef EELGRASSBEND_UNITTESTS_CLAIMS_CLAIMS_CLUSTER_H
#define EELGRASSBEND_UNITTESTS_CLAIMS_CLAIMS_CLUSTER_H

#include "eelgrassbend/claims/log_claim_service.h"
#include "eelgrassbend/support/uuid.h"

#include "fakes/fake_node.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Several nodes with a claim service each, in one process under virtual time.
class claims_cluster {
public:
    explicit claims_cluster(std::size_t count, std::uint64_t seed = 1,
                            claim_settings settings = fast_settings())
        : world(seed), nodes(make_fake_nodes(world, count))
    {
        for (auto& node : this->nodes) {
            const claim_dependencies dependencies{node->timer, this->world.random, node->log,
                                                  node->peers, node->members,      node->events};
            this->services.push_back(std::make_unique<log_claim_service>(settings, dependencies));
            node->client.faults.timeout = std::chrono::milliseconds{200};
            this->services.back()->start();
        }
    }

    static claim_settings fast_settings()
    {
        claim_settings settings;
        settings.partitions = 2;
        settings.append_interval = std::chrono::milliseconds{25};
        return settings;
    }

    idempotency_key make_key(duration age = {})
    {
        return idempotency_key{make_uuid_v7(this->world.time.wall_now() - age, this->world.random)};
    }

    /// Starts a claim; the answer is filled in when it comes.
    std::shared_ptr<std::optional<claim_answer>> begin(std::size_t node, const idempotency_key& key,
                                                       const std::string& request)
    {
        auto answer = std::make_shared<std::optional<claim_answer>>();
        this->services[node]->claim("lodges/order-desk", key, request_id{request},
                                    [answer](claim_answer given) { *answer = std::move(given); });
        return answer;
    }

    /// Claims and waits for the answer, which must come within the claim timeout.
    claim_answer claim(std::size_t node, const idempotency_key& key, const std::string& request)
    {
        const auto answer = this->begin(node, key, request);
        this->world.time.run_for(std::chrono::milliseconds{2'001});
        return answer->value();
    }

    void run_for(duration span) { this->world.time.run_for(span); }

    void kill(std::size_t node)
    {
        this->nodes[node]->timer.kill();
        this->world.network.unreachable.insert(this->nodes[node]->members.self().calls);
        bury(this->nodes, node);
    }

    fake_world world;
    std::vector<std::unique_ptr<fake_node>> nodes;
    std::vector<std::unique_ptr<log_claim_service>> services;
};

} // namespace eelgrassbend

#endif
