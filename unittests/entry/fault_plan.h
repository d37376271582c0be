#ifndef EELGRASSBEND_UNITTESTS_ENTRY_FAULT_PLAN_H
#define EELGRASSBEND_UNITTESTS_ENTRY_FAULT_PLAN_H

#include "fakes/virtual_fleet.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace eelgrassbend::fakes {

/// A span of virtual time in which something was wrong.
struct fault_span {
    std::size_t node = 0;
    wall_time begun;
    wall_time ended;

    [[nodiscard]] bool overlaps(wall_time from, wall_time to) const
    {
        return this->begun <= to && from <= this->ended;
    }
};

/// Random faults that overlap; all but losses of hosts end by the end of the plan.
class fault_plan {
public:
    fault_plan(virtual_fleet& fleet, random_source& random, duration length)
        : fleet(fleet), random(random), ends(fleet.time.now() + length)
    {
        constexpr std::uint64_t fewest = 8;
        const auto count = fewest + random_below(random, 10);
        for (std::uint64_t number = 0; number < count; ++number) {
            const auto at =
                duration{random_below(random, static_cast<std::uint64_t>(length.count()))};
            fleet.time.call_after(at, [this] { this->strike(); });
        }
    }

    std::map<std::string, wall_time> announced;
    std::map<std::string, wall_time> killed; ///< without a notice
    std::vector<fault_span> pauses;
    std::vector<fault_span> cloud_outages;
    std::map<std::string, int> injected;

private:
    static constexpr duration notice = std::chrono::seconds{5};
    static constexpr std::size_t fewest_nodes = 2;

    void strike()
    {
        using action = void (fault_plan::*)();
        constexpr std::array<std::pair<const char*, action>, 12> actions{{
            {"reclaim", &fault_plan::reclaim_one},
            {"reclaim_zone", &fault_plan::reclaim_zone},
            {"kill_endpoint", &fault_plan::kill_endpoint},
            {"silence", &fault_plan::silence},
            {"straggler", &fault_plan::slow_down},
            {"kill_node", &fault_plan::kill_node},
            {"pause", &fault_plan::pause},
            {"log_outage", &fault_plan::log_outage},
            {"lost_answers", &fault_plan::lose_answers},
            {"platform_down", &fault_plan::platform_down},
            {"datagrams", &fault_plan::disturb_datagrams},
            {"roll_out", &fault_plan::roll_out},
        }};
        const auto& [name, run] = actions[random_below(this->random, actions.size())];
        ++this->injected[name];
        (this->*run)();
    }

    /// Between 2 and 40 s, but not beyond the end of the plan.
    duration span()
    {
        const duration wanted =
            std::chrono::milliseconds{2000 + random_below(this->random, 38'000)};
        return std::min<duration>(wanted, this->ends - this->fleet.time.now());
    }

    [[nodiscard]] bool leaving(const std::string& name) const
    {
        return this->announced.contains(name) || this->killed.contains(name);
    }

    std::vector<std::string> staying(const std::string& zone = {}) const
    {
        std::vector<std::string> names;
        for (const auto& [address, entry] : this->fleet.endpoints.all()) {
            const auto& name = entry->host.name.value();
            if (!this->leaving(name) && (zone.empty() || entry->host.zone.value() == zone)) {
                names.push_back(name);
            }
        }
        return names;
    }

    std::string pick_staying()
    {
        const auto names = this->staying();
        return names.empty() ? "" : names[random_below(this->random, names.size())];
    }

    /// Whether a model endpoint stays without `lost`.
    [[nodiscard]] bool spare(const std::vector<std::string>& lost) const
    {
        for (const auto& name : this->staying()) {
            if (name.starts_with("draft") && std::ranges::find(lost, name) == lost.end()) {
                return true;
            }
        }
        return false;
    }

    void reclaim(const std::vector<std::string>& names)
    {
        if (!this->spare(names)) {
            return;
        }
        for (const auto& name : names) {
            this->announced[name] = this->fleet.time.wall_now();
            this->fleet.platform.announce(name, notice);
            this->fleet.time.call_after(notice, [this, name] { this->remove(name); });
        }
    }

    void remove(const std::string& name)
    {
        this->fleet.endpoints.kill(name);
        // The host list lags.
        this->fleet.time.call_after(std::chrono::seconds{3}, [this, name] {
            std::erase_if(this->fleet.platform.hosts,
                          [&](const auto& host) { return host.name.value() == name; });
        });
    }

    void reclaim_one()
    {
        if (const auto name = this->pick_staying(); !name.empty()) {
            this->reclaim({name});
        }
    }

    void reclaim_zone()
    {
        this->reclaim(this->staying(random_below(this->random, 2) == 0 ? "arusha-a" : "moshi-a"));
    }

    void kill_endpoint()
    {
        const auto name = this->pick_staying();
        if (!name.empty() && this->spare({name})) {
            this->killed[name] = this->fleet.time.wall_now();
            this->remove(name);
        }
    }

    void silence()
    {
        if (const auto name = this->pick_staying(); !name.empty()) {
            this->fleet.endpoints.silence(name);
        }
    }

    void slow_down()
    {
        const auto name = this->pick_staying();
        if (name.empty()) {
            return;
        }
        standin::endpoint_faults slow;
        slow.slowdown = 2.0 + static_cast<double>(random_below(this->random, 8));
        this->fleet.endpoints.named(name).behind->set_faults(slow);
        this->fleet.time.call_after(this->span(), [this, name] {
            this->fleet.endpoints.named(name).behind->set_faults({});
        });
    }

    void kill_node()
    {
        const auto alive =
            std::ranges::count_if(this->fleet.nodes, [](const auto& node) { return node->alive; });
        auto& node = *this->fleet.nodes[random_below(this->random, this->fleet.nodes.size())];
        if (node.alive && static_cast<std::size_t>(alive) > fewest_nodes) {
            this->fleet.kill(node);
        }
    }

    void pause()
    {
        const auto index = random_below(this->random, this->fleet.nodes.size());
        const auto length = this->span();
        const auto now = this->fleet.time.wall_now();
        this->pauses.push_back({index, now, now + length});
        if (++this->paused[index] == 1) {
            this->fleet.nodes[index]->clock.pause();
        }
        this->fleet.time.call_after(length, [this, index] {
            if (--this->paused[index] == 0) {
                this->fleet.nodes[index]->clock.resume();
            }
        });
    }

    /// Holds a fault for a while; overlapping ones end with the last.
    void hold(const std::string& name, const std::function<void(bool)>& set)
    {
        ++this->held[name];
        set(true);
        this->fleet.time.call_after(this->span(), [this, name, set] {
            if (--this->held[name] == 0) {
                set(false);
            }
        });
    }

    void log_outage()
    {
        this->hold("log", [this](bool on) { this->fleet.platform.log.outage = on; });
    }

    void lose_answers()
    {
        const auto index = random_below(this->random, this->fleet.nodes.size());
        this->hold("answers" + std::to_string(index), [this, index](bool on) {
            constexpr double share = 0.3;
            this->fleet.nodes[index]->log->faults.answer_loss = on ? share : 0.0;
        });
    }

    void platform_down()
    {
        if (random_below(this->random, 2) == 0) {
            this->hold("hosts", [this](bool on) { this->fleet.platform.hosts_down = on; });
            return;
        }
        this->hold("cloud", [this](bool on) {
            const auto now = this->fleet.time.wall_now();
            if (on && !this->fleet.platform.cloud_down) {
                this->cloud_outages.push_back({0, now, wall_time::max()});
            }
            if (!on) {
                this->cloud_outages.back().ended = now;
            }
            this->fleet.platform.cloud_down = on;
        });
    }

    void disturb_datagrams()
    {
        if (random_below(this->random, 2) == 0) {
            constexpr double share = 0.4;
            this->hold("loss",
                       [this](bool on) { this->fleet.datagrams.set_loss(on ? share : 0.0); });
            return;
        }
        this->hold("partition", [this](bool on) {
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

    void roll_out() { this->fleet.publish(example_bundle()); }

    virtual_fleet& fleet;
    random_source& random;
    monotonic_time ends;
    std::map<std::size_t, int> paused;
    std::map<std::string, int> held;
};

} // namespace eelgrassbend::fakes

#endif
