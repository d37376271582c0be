#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_DATAGRAMS_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_DATAGRAMS_H

#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace eelgrassbend::fakes {

class fake_datagrams;

/// Carries datagrams between the nodes of one process, with delay, loss and partitions.
class fake_network {
public:
    using link_filter = std::function<bool(const network_address& from, const network_address& to)>;

    fake_network(scheduler& time, random_source& random) : time(time), random(random) {}

    void set_loss(double share) { this->loss = share; }

    void set_delay(duration shortest, duration longest)
    {
        this->min_delay = shortest;
        this->max_delay = longest;
    }

    /// Sees each datagram that is sent, before loss.
    using tap = std::function<void(const network_address& from, const network_address& to,
                                   const std::string& bytes)>;

    void set_tap(tap observer) { this->observer = std::move(observer); }

    /// Only links for which the filter answers true carry datagrams; empty: all do.
    void set_filter(link_filter filter) { this->filter = std::move(filter); }

    void attach(const network_address& address, fake_datagrams& node)
    {
        this->nodes[address] = &node;
    }

    void detach(const network_address& address, const fake_datagrams& node)
    {
        const auto found = this->nodes.find(address);
        if (found != this->nodes.end() && found->second == &node) {
            this->nodes.erase(found);
        }
    }

    void carry(const network_address& from, const network_address& to, std::string bytes);

    [[nodiscard]] std::uint64_t carried() const { return this->count; }

private:
    scheduler& time;
    random_source& random;
    double loss = 0.0;
    duration min_delay = std::chrono::microseconds{300};
    duration max_delay = std::chrono::milliseconds{2};
    link_filter filter;
    tap observer;
    std::map<network_address, fake_datagrams*> nodes;
    std::uint64_t count = 0;
};

/// One node's end of a fake_network.
class fake_datagrams : public datagram_transport {
public:
    fake_datagrams(fake_network& network, network_address address)
        : network(network), address(std::move(address))
    {
        this->network.attach(this->address, *this);
    }

    fake_datagrams(const fake_datagrams&) = delete;
    fake_datagrams& operator=(const fake_datagrams&) = delete;

    ~fake_datagrams() override { this->network.detach(this->address, *this); }

    void send(const network_address& to, std::string bytes) override
    {
        this->largest = std::max(this->largest, bytes.size());
        this->network.carry(this->address, to, std::move(bytes));
    }

    void set_receiver(receiver handler) override { this->deliver = std::move(handler); }

    void receive(const network_address& from, const std::string& bytes)
    {
        if (this->deliver) {
            this->deliver(from, bytes);
        }
    }

    [[nodiscard]] std::size_t largest_sent() const { return this->largest; }

private:
    fake_network& network;
    network_address address;
    receiver deliver;
    std::size_t largest = 0;
};

inline void fake_network::carry(const network_address& from, const network_address& to,
                                std::string bytes)
{
    ++this->count;
    if (this->observer) {
        this->observer(from, to, bytes);
    }
    if (random_unit(this->random) < this->loss || (this->filter && !this->filter(from, to))) {
        return;
    }
    const auto spread = static_cast<std::uint64_t>((this->max_delay - this->min_delay).count());
    const auto delay = this->min_delay + duration{random_below(this->random, spread + 1)};
    this->time.call_after(delay, [this, from, to, bytes = std::move(bytes)] {
        const auto found = this->nodes.find(to);
        if (found != this->nodes.end()) {
            found->second->receive(from, bytes);
        }
    });
}

} // namespace eelgrassbend::fakes

#endif
