#ifndef EELGRASSBEND_UNITTESTS_ENTRY_FAULT_PLAN_H
#define EELGRASSBEND_UNITTESTS_ENTRY_FAULT_PLAN_H

#include "fakes/virtual_fleet.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// Interval of virtual time in which a fault was active.
struct fault_span {
    std::size_t node = 0;
    wall_time begin;
    wall_time end;

    [[nodiscard]] bool overlaps(wall_time from, wall_time to) const
    {
        return this->begin <= to && from <= this->end;
    }
};

/// Random overlapping faults. All faults except lost hosts end by the end of the plan.
class fault_plan {
public:
    fault_plan(virtual_fleet& fleet, random_source& random, duration length)
        : fleet(fleet), random(random), end_time(fleet.time.now() + length)
    {
        constexpr std::uint64_t min_faults = 8;
        const auto count = min_faults + random_below(random, 10);
        for (std::uint64_t number = 0; number < count; ++number) {
            const auto at =
                duration{random_below(random, static_cast<std::uint64_t>(length.count()))};
            fleet.time.call_after(at, [this] { this->inject_fault(); });
        }
    }

    std::map<std::string, wall_time> notice_times;
    std::map<std::string, wall_time> kill_times; ///< without a notice
    std::vector<fault_span> pauses;
    std::vector<fault_span> cloud_outages;
    std::map<std::string, int> injected;

private:
    static constexpr duration notice_period = std::chrono::seconds{5};
    static constexpr std::size_t min_nodes = 2;

    void inject_fault()
    {
        using action = void (fault_plan::*)();
        constexpr std::array<std::pair<const char*, action>, 12> actions{{
            {"reclaim", &fault_plan::reclaim_endpoint},
            {"reclaim_zone", &fault_plan::reclaim_zone},
            {"kill_endpoint", &fault_plan::kill_endpoint},
            {"silence", &fault_plan::silence_endpoint},
            {"straggler", &fault_plan::slow_endpoint},
            {"kill_node", &fault_plan::kill_node},
            {"pause", &fault_plan::pause_node},
            {"log_outage", &fault_plan::fail_log},
            {"lost_answers", &fault_plan::lose_log_answers},
            {"platform_down", &fault_plan::fail_platform},
            {"datagrams", &fault_plan::disturb_datagrams},
            {"roll_out", &fault_plan::publish_bundle},
        }};
        const auto& [name, run] = actions[random_below(this->random, actions.size())];
        ++this->injected[name];
        (this->*run)();
    }

    /// Random duration between 2 and 40 s that does not exceed the end of the plan.
    duration random_span()
    {
        const duration length =
            std::chrono::milliseconds{2000 + random_below(this->random, 38'000)};
        return std::min<duration>(length, this->end_time - this->fleet.time.now());
    }

    [[nodiscard]] bool is_leaving(const std::string& name) const
    {
        return this->notice_times.contains(name) || this->kill_times.contains(name);
    }

    std::vector<std::string> remaining_endpoints(const std::string& zone = {}) const
    {
        std::vector<std::string> names;
        for (const auto& [address, entry] : this->fleet.endpoints.all()) {
            const auto& name = entry->host.name.value();
            if (!this->is_leaving(name) && (zone.empty() || entry->host.zone.value() == zone)) {
                names.push_back(name);
            }
        }
        return names;
    }

    std::string pick_remaining()
    {
        const auto names = this->remaining_endpoints();
        return names.empty() ? "" : names[random_below(this->random, names.size())];
    }

    /// Whether a model endpoint remains without `lost`.
    [[nodiscard]] bool has_remaining_model(const std::vector<std::string>& lost) const
    {
        for (const auto& name : this->remaining_endpoints()) {
            if (name.starts_with("draft") && std::ranges::find(lost, name) == lost.end()) {
                return true;
            }
        }
        return false;
    }

    void reclaim(const std::vector<std::string>& names)
    {
        if (!this->has_remaining_model(names)) {
            return;
        }
        for (const auto& name : names) {
            this->notice_times[name] = this->fleet.time.wall_now();
            this->fleet.platform.announce(name, notice_period);
            this->fleet.time.call_after(notice_period, [this, name] { this->remove(name); });
        }
    }

    void remove(const std::string& name)
    {
        this->fleet.endpoints.kill(name);
        // The host list is updated with a delay.
        this->fleet.time.call_after(std::chrono::seconds{3}, [this, name] {
            std::erase_if(this->fleet.platform.hosts,
                          [&](const auto& host) { return host.name.value() == name; });
        });
    }

    void reclaim_endpoint()
    {
        if (const auto name = this->pick_remaining(); !name.empty()) {
            this->reclaim({name});
        }
    }

    void reclaim_zone()
    {
        this->reclaim(
            this->remaining_endpoints(random_below(this->random, 2) == 0 ? "arusha-a" : "moshi-a"));
    }

    void kill_endpoint()
    {
        const auto name = this->pick_remaining();
        if (!name.empty() && this->has_remaining_model({name})) {
            this->kill_times[name] = this->fleet.time.wall_now();
            this->remove(name);
        }
    }

    void silence_endpoint()
    {
        if (const auto name = this->pick_remaining(); !name.empty()) {
            this->fleet.endpoints.silence(name);
        }
    }

    void slow_endpoint()
    {
        const auto name = this->pick_remaining();
        if (name.empty()) {
            return;
        }
        standin::endpoint_faults slow;
        slow.slowdown = 2.0 + static_cast<double>(random_below(this->random, 8));
        this->fleet.endpoints.named(name).behind->set_faults(slow);
        this->fleet.time.call_after(this->random_span(), [this, name] {
            this->fleet.endpoints.named(name).behind->set_faults({});
        });
    }

    void kill_node()
    {
        const auto alive =
            std::ranges::count_if(this->fleet.nodes, [](const auto& node) { return node->alive; });
        auto& node = *this->fleet.nodes[random_below(this->random, this->fleet.nodes.size())];
        if (node.alive && static_cast<std::size_t>(alive) > min_nodes) {
            this->fleet.kill(node);
        }
    }

    void pause_node()
    {
        const auto index = random_below(this->random, this->fleet.nodes.size());
        const auto length = this->random_span();
        const auto now = this->fleet.time.wall_now();
        this->pauses.push_back({index, now, now + length});
        if (++this->pause_counts[index] == 1) {
            this->fleet.nodes[index]->clock.pause();
        }
        this->fleet.time.call_after(length, [this, index] {
            if (--this->pause_counts[index] == 0) {
                this->fleet.nodes[index]->clock.resume();
            }
        });
    }

    /// Applies a fault for a random time; overlapping faults of one name end with the last.
    void apply_for_random_time(const std::string& name, const std::function<void(bool)>& set)
    {
        ++this->active_counts[name];
        set(true);
        this->fleet.time.call_after(this->random_span(), [this, name, set] {
            if (--this->active_counts[name] == 0) {
                set(false);
            }
        });
    }

    void fail_log()
    {
        this->apply_for_random_time("log",
                                    [this](bool on) { this->fleet.platform.log.outage = on; });
    }

    void lose_log_answers()
    {
        const auto index = random_below(this->random, this->fleet.nodes.size());
        this->apply_for_random_time("answers" + std::to_string(index), [this, index](bool on) {
            constexpr double share = 0.3;
            this->fleet.nodes[index]->log->faults.answer_loss = on ? share : 0.0;
        });
    }

    void fail_platform()
    {
        if (random_below(this->random, 2) == 0) {
            this->apply_for_random_time("hosts",
                                        [this](bool on) { this->fleet.platform.hosts_down = on; });
            return;
        }
        this->apply_for_random_time("cloud", [this](bool on) {
            const auto now = this->fleet.time.wall_now();
            if (on && !this->fleet.platform.cloud_down) {
                this->cloud_outages.push_back({0, now, wall_time::max()});
            }
            if (!on) {
                this->cloud_outages.back().end = now;
            }
            this->fleet.platform.cloud_down = on;
        });
    }

    void disturb_datagrams()
    {
        if (random_below(this->random, 2) == 0) {
            constexpr double share = 0.4;
            this->apply_for_random_time(
                "loss", [this](bool on) { this->fleet.datagrams.set_loss(on ? share : 0.0); });
            return;
        }
        this->apply_for_random_time("partition", [this](bool on) {
            if (!on) {
                this->fleet.datagrams.set_filter({});
                return;
            }
            // Nodes 1 and 2 are in the first zone.
            constexpr std::uint16_t last_of_first = 10'002;
            this->fleet.datagrams.set_filter([](const auto& from, const auto& to) {
                return (from.port <= last_of_first) == (to.port <= last_of_first);
            });
        });
    }

    void publish_bundle() { this->fleet.publish(example_bundle()); }

    virtual_fleet& fleet;
    random_source& random;
    monotonic_time end_time;
    std::map<std::size_t, int> pause_counts;
    std::map<std::string, int> active_counts;
};

} // namespace eelgrassbend::fakes

#endif
