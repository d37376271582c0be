#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_DISSEMINATION_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_DISSEMINATION_H

#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

class fake_dissemination;

/// Carries the messages between the `fake_dissemination` of all nodes of a test.
struct fake_rumour_network {
    random_source& random;
    duration latency{std::chrono::milliseconds{200}};
    double loss = 0.0; ///< share of the deliveries lost
    std::vector<fake_dissemination*> nodes;
    std::size_t longest = 0; ///< bytes of the longest payload
};

/// Delivers each message once to every other node, on that node's scheduler.
class fake_dissemination : public dissemination {
public:
    fake_dissemination(fake_rumour_network& network, scheduler& timer)
        : network(network), timer(timer)
    {
        network.nodes.push_back(this);
    }

    void publish(const std::string& topic, const std::string& payload) override
    {
        this->network.longest = std::max(this->network.longest, payload.size());
        for (auto* node : this->network.nodes) {
            const bool lost =
                this->network.loss > 0.0 && random_unit(this->network.random) < this->network.loss;
            if (node != this && !lost) {
                node->deliver(topic, payload);
            }
        }
    }

    void subscribe(const std::string& topic, handler receiver) override
    {
        this->receivers.emplace_back(topic, std::move(receiver));
    }

private:
    void deliver(const std::string& topic, const std::string& payload)
    {
        this->timer.call_after(this->network.latency, [this, topic, payload] {
            for (const auto& [name, receiver] : this->receivers) {
                if (name == topic) {
                    receiver(payload);
                }
            }
        });
    }

    fake_rumour_network& network;
    scheduler& timer;
    std::vector<std::pair<std::string, handler>> receivers;
};

} // namespace eelgrassbend

#endif
