#ifndef EELGRASSBEND_UNITTESTS_GATEWAY_GATEWAY_FLEET_H
#define EELGRASSBEND_UNITTESTS_GATEWAY_GATEWAY_FLEET_H

#include "eelgrassbend/gateway/gateway.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "duties/duty_fakes.h"
#include "fakes/fake_datagrams.h"
#include "fakes/fake_reachability_probe.h"
#include "fakes/fake_record_store.h"
#include "platform/forward_headers.h"
#include "platform/platform_declaration_reader.h"
#include "platform/rollout_codec.h"
#include "serving/forward_fixture.h"

#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

/// A gateway with fakes for all its dependencies.
struct gateway_node {
    gateway_node(virtual_scheduler& time, fakes::fake_store_logs& logs,
                 fakes::fake_network& network, int number, int zones = 1,
                 std::optional<rollout_bounds> rollout = std::nullopt)
        : settings(settings_for(number, zones, rollout)),
          random(static_cast<std::uint64_t>(number)),
          store(logs, time),
          datagrams(network, address(number, 7600)),
          node({time, random, log, counters, store, datagrams, client, duties, mover, protocol,
                declared, probes, &rollouts},
               this->settings)
    {
        this->node.start();
    }

    static network_address address(int number, std::uint16_t port)
    {
        return {"10.0.0." + std::to_string(number), port};
    }

    static gateway_settings settings_for(int number, int zones,
                                         std::optional<rollout_bounds> rollout = std::nullopt)
    {
        gateway_settings settings;
        settings.bounds.rollout = rollout;
        settings.node = node_id{"front-" + std::to_string(number)};
        settings.zone = availability_zone{std::string(1, static_cast<char>('a' + number % zones))};
        settings.callers = address(number, 8080);
        settings.datagrams = address(number, 7600);
        settings.cloud = network_address{"10.0.1.1", 80};
        return settings;
    }

    std::shared_ptr<fake_exchange> send(const std::string& path, const std::string& id,
                                        header_list headers = {})
    {
        headers.emplace_back("Host", "f.example");
        headers.emplace_back("X-Eelgrassbend-Request-Id", id);
        headers.emplace_back("X-Api-Key", "k-1");
        auto answer = std::make_shared<fake_exchange>();
        this->node.request_handler().handle({"POST", path, std::move(headers), {}}, answer);
        return answer;
    }

    gateway_settings settings;
    seeded_random random;
    fake_event_log log;
    fake_metrics counters;
    fakes::fake_record_store store;
    fakes::fake_datagrams datagrams;
    fake_endpoint_client client;
    recording_duty_calls duties;
    fake_run_migrator mover;
    forward_headers protocol;
    platform_declaration_reader declared;
    fake_reachability_probe probes;
    rollout_codec rollouts;
    gateway node;
};

/// Several gateways on one store and network.
struct gateway_fleet {
    explicit gateway_fleet(int count, int zones = 1,
                           std::optional<rollout_bounds> rollout = std::nullopt)
    {
        this->configure(1, "k-1");
        this->write_endpoint("i-1", "ready");
        for (int number = 1; number <= count; ++number) {
            this->nodes.push_back(std::make_unique<gateway_node>(
                this->time, this->logs, this->network, number, zones, rollout));
        }
        this->time.run_for(std::chrono::seconds{10});
    }

    void configure(int version, const std::string& key)
    {
        this->logs.write(
            {"op", true}, "config",
            R"({"version":)" + std::to_string(version) +
                R"(,"routes":[{"name":"r","host":"f.example","pathPrefix":"/a/",)"
                R"("kind":"non_idempotent","timeoutMs":5000,"goalMs":100,"service":"desk",)"
                R"("maxAttempts":1}],"services":[{"name":"desk","healthPath":")" +
                this->health_path +
                R"("},{"name":"llm","scale":{"min":1,)"
                R"("max":6,"bootS":4,"spotPrice":0.2,"zonePrices":{"a":1}}}],)"
                R"("tenants":[{"name":"lodge","apiKeys":[")" +
                key + R"("],"unit":"token_count","plainTokens":10,"ratePerS":100,"burst":1000}]})");
    }

    void write_endpoint(const std::string& id, const std::string& state,
                        const std::string& address = "10.0.2.1:80")
    {
        this->logs.write({"servers", true}, id,
                         R"({"service":"desk","address":")" + address +
                             R"(","zone":"a","slots":1000,"state":")" + state + R"(","seq":1})");
    }

    std::string health_path; ///< of the endpoints; empty: they are not checked
    virtual_scheduler time;
    seeded_random random{11};
    fakes::fake_store_logs logs;
    fakes::fake_network network{this->time, this->random};
    std::vector<std::unique_ptr<gateway_node>> nodes;
};

} // namespace eelgrassbend

#endif
