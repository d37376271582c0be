#ifndef EELGRASSBEND_UNITTESTS_ROLLOUT_ROLLOUT_FIXTURE_H
#define EELGRASSBEND_UNITTESTS_ROLLOUT_ROLLOUT_FIXTURE_H

#include "eelgrassbend/rollout/rollout_controller.h"

#include "duties/duty_fakes.h"
#include "fakes/fake_metrics.h"

#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

/// The shared virtual time as the clocks of one node show it.
class shifted_scheduler : public scheduler {
public:
    shifted_scheduler(virtual_scheduler& base, duration shift, duration wall_shift)
        : base(base), shift(shift), wall_shift(wall_shift)
    {
    }

    [[nodiscard]] monotonic_time now() const override { return this->base.now() + this->shift; }

    [[nodiscard]] wall_time wall_now() const override
    {
        return this->base.wall_now() + this->wall_shift;
    }

    timer_id call_after(duration delay, callback action) override
    {
        return this->base.call_after(delay, std::move(action));
    }

    void cancel(timer_id timer) override { this->base.cancel(timer); }

private:
    virtual_scheduler& base;
    duration shift;
    duration wall_shift;
};

class test_rollout_protocol : public rollout_protocol {
public:
    [[nodiscard]] std::optional<service_id> order_service(const std::string&) const override
    {
        return std::nullopt;
    }

    [[nodiscard]] result<rollout_order> read_order(const std::string& key,
                                                   const std::string&) const override
    {
        return make_error(errc::invalid_argument, "read order", key);
    }

    [[nodiscard]] store_topic status_topic() const override { return {"status", true}; }

    [[nodiscard]] store_record status_record(const rollout_order& order,
                                             rollout_phase phase) const override
    {
        const std::string state = phase == rollout_phase::complete      ? "complete"
                                  : phase == rollout_phase::rolled_back ? "rolled_back"
                                                                        : "running";
        return {log_offset{}, order.service.value(), state + " " + order.target.value()};
    }
};

/// One node's part in roll-outs, without requests and digests.
struct rollout_node {
    rollout_node(fakes::fake_store_logs& logs, virtual_scheduler& base, int number)
        : time(base, std::chrono::hours{number}, std::chrono::minutes{-7 * number}),
          random(static_cast<std::uint64_t>(number)),
          store(logs, this->time),
          lease(this->store, this->time, this->log, this->candidates,
                lease_node::settings_for("n-" + std::to_string(number))),
          controller({this->store, this->time, this->log, this->counters, this->lease,
                      this->endpoints, this->loads, this->protocol, this->table, this->evidence},
                     rollout_bounds{})
    {
        this->candidates.own_rank = static_cast<std::size_t>(number);
        this->lease.start();
        this->controller.start();
    }

    shifted_scheduler time;
    seeded_random random;
    fake_event_log log;
    fake_metrics counters;
    fixed_candidates candidates;
    fakes::fake_record_store store;
    duty_lease lease;
    endpoint_table endpoints{std::chrono::seconds{1}};
    load_model loads;
    test_rollout_protocol protocol;
    rollout_table table{this->random, std::chrono::milliseconds{1500}};
    rollout_evidence evidence;
    rollout_controller controller;
};

/// Nodes that exchange grants and observations and get requests.
struct rollout_fleet {
    explicit rollout_fleet(int count = 3)
    {
        for (int number = 0; number < count; ++number) {
            this->nodes.push_back(std::make_unique<rollout_node>(this->logs, this->time, number));
            for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
                this->add_endpoint(*this->nodes.back(), id, "v1");
            }
        }
        this->run_for(std::chrono::seconds{5});
    }

    void add_endpoint(rollout_node& node, const std::string& id, const std::string& version)
    {
        endpoint_record record;
        record.id = endpoint_id{id};
        record.service = service_id{"draft"};
        record.version = software_version{version};
        record.slots = 8;
        node.endpoints.put(record, node.time.now());
    }

    void add_target(const std::string& version = "v2")
    {
        for (auto& node : this->nodes) {
            for (const char* number : {"1", "2", "3", "4"}) {
                this->add_endpoint(*node, version + "-" + number, version);
            }
        }
    }

    void order(const std::string& target, std::uint64_t id)
    {
        this->ordered_at = this->time.now();
        this->requests = 0;
        for (auto& node : this->nodes) {
            node->table.put_order({service_id{"draft"}, software_version{target},
                                   std::chrono::seconds{12}, rollout_order_id{id}},
                                  node->time.now());
        }
    }

    [[nodiscard]] duration elapsed() const { return this->time.now() - this->ordered_at; }

    void run_for(duration span)
    {
        constexpr std::chrono::milliseconds step{20};
        for (duration done{}; done < span; done += step) {
            this->time.run_for(step);
            this->exchange();
            for (auto& node : this->nodes) {
                this->send_requests(*node);
            }
        }
    }

    /// Runs until the holder's record has the phase, for at most 40 s.
    bool run_until(rollout_phase phase)
    {
        for (int step = 0; step < 2000; ++step) {
            this->run_for(std::chrono::milliseconds{20});
            if (this->recorded_phase() == phase_text(phase)) {
                return true;
            }
        }
        return false;
    }

    static std::string phase_text(rollout_phase phase)
    {
        constexpr const char* names[] = {"waiting", "canary", "moving", "complete", "rolled_back"};
        return names[static_cast<std::size_t>(phase)];
    }

    [[nodiscard]] std::string recorded_phase() const
    {
        const auto topic = this->logs.topics.find("rollouts");
        if (topic == this->logs.topics.end() || !topic->second.newest.contains("draft")) {
            return {};
        }
        return nlohmann::json::parse(*topic->second.newest.at("draft").value)["phase"];
    }

    [[nodiscard]] std::string status() const
    {
        const auto topic = this->logs.topics.find("status");
        return topic == this->logs.topics.end() ? std::string{}
                                                : *topic->second.newest.at("draft").value;
    }

    rollout_node* holder()
    {
        for (auto& node : this->nodes) {
            if (node->lease.token()) {
                return node.get();
            }
        }
        return nullptr;
    }

    void kill_holder()
    {
        std::erase_if(this->nodes, [](const auto& node) { return node->lease.token(); });
    }

    [[nodiscard]] double bound() const { return 0.1 * this->requests + 50.0; }

    virtual_scheduler time;
    seeded_random random{9};
    fakes::fake_store_logs logs;
    std::vector<std::unique_ptr<rollout_node>> nodes;
    double failing = 0.0; ///< share of the target's answers
    double requests = 0;  ///< since the order
    double exposed = 0;   ///< sent to targets, in the time of the order
    monotonic_time last_exposed_at;
    monotonic_time ordered_at;

private:
    void exchange()
    {
        if (++this->steps % 10 != 0) {
            return;
        }
        auto* holder = this->holder();
        for (auto& node : this->nodes) {
            if (holder == nullptr || node.get() == holder) {
                continue;
            }
            for (const auto& grant : holder->table.grants(holder->time.now())) {
                node->table.apply_grant(grant, node->time.now());
            }
            for (const auto& observed : node->table.observations()) {
                holder->evidence.apply(node_id{std::to_string(node->candidates.own_rank)}, 1,
                                       observed);
            }
        }
    }

    void send_requests(rollout_node& node)
    {
        const service_id draft{"draft"};
        for (int index = 0; index < 3; ++index) {
            const auto now = node.time.now();
            const bool wants_target = node.table.draw_target(draft, now);
            auto usable = node.endpoints.usable(draft, now);
            apply_version_filter(usable, node.table.filter(draft, wants_target, now));
            if (usable.empty()) {
                continue;
            }
            const auto& chosen = *usable[random_below(this->random, usable.size())];
            this->requests += this->elapsed() < std::chrono::seconds{12} ? 1 : 0;
            const auto attempt =
                node.table.begin_attempt(chosen, "r", std::chrono::milliseconds{100}, now);
            const bool is_target = chosen.record.version != software_version{"v1"};
            if (is_target) {
                this->exposed += this->elapsed() < std::chrono::seconds{12} ? 1 : 0;
                this->last_exposed_at = this->time.now();
            }
            if (!attempt) {
                continue;
            }
            if (is_target && random_unit(this->random) < this->failing) {
                node.table.record_failure(*attempt);
                continue;
            }
            node.table.record_answer(*attempt, now + std::chrono::milliseconds{70});
        }
    }

    int steps = 0;
};

} // namespace eelgrassbend

#endif
