#ifndef EELGRASSBEND_UNITTESTS_FAKES_DISSEMINATION_CLUSTER_H
#define EELGRASSBEND_UNITTESTS_FAKES_DISSEMINATION_CLUSTER_H

#include "eelgrassbend/dissemination/epidemic_dissemination.h"

#include "fakes/member_cluster.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

enum class overlay { gossip, ring };

/// A member_cluster whose nodes also disseminate, with what each of them heard.
class dissemination_cluster : public member_cluster {
public:
    struct dissemination_node {
        std::unique_ptr<epidemic_dissemination> service;
        std::map<std::string, int> delivery_counts; ///< payload to number of deliveries
    };

    dissemination_cluster(std::size_t size, std::uint64_t seed, overlay kind,
                          const dissemination_options& settings = {})
        : member_cluster(size, seed), kind(kind), settings(settings)
    {
        for (std::size_t index = 0; index < size; ++index) {
            this->dissemination_nodes.push_back(this->make(index));
        }
    }

    void start_all()
    {
        this->start();
        for (auto& each : this->dissemination_nodes) {
            each->service->start();
        }
    }

    void stop_node(std::size_t index)
    {
        this->dissemination_nodes[index].reset();
        this->kill(index);
    }

    /// Nodes other than the publisher that heard `payload`.
    [[nodiscard]] std::size_t reached(const std::string& payload) const
    {
        std::size_t count = 0;
        for (const auto& each : this->dissemination_nodes) {
            count += each && each->delivery_counts.contains(payload) ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] bool delivered_twice() const
    {
        for (const auto& each : this->dissemination_nodes) {
            for (const auto& [payload, deliveries] :
                 each ? each->delivery_counts : decltype(each->delivery_counts){}) {
                if (deliveries > 1) {
                    return true;
                }
            }
        }
        return false;
    }

    std::vector<std::unique_ptr<dissemination_node>> dissemination_nodes;

private:
    std::unique_ptr<dissemination_node> make(std::size_t index)
    {
        auto& node = *this->nodes[index];
        auto made = std::make_unique<dissemination_node>();
        if (this->kind == overlay::gossip) {
            made->service = std::make_unique<gossip_dissemination>(
                this->settings, node.swim, node.channel, node.time, this->random);
        }
        else {
            made->service = std::make_unique<ring_dissemination>(
                this->settings, node.swim, node.channel, node.time, this->random);
        }
        made->service->subscribe(
            "bundle", [delivery_counts = &made->delivery_counts](const std::string& payload) {
                ++(*delivery_counts)[payload];
            });
        return made;
    }

    overlay kind;
    dissemination_options settings;
};

} // namespace eelgrassbend::fakes

#endif
