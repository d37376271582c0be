#include "admission_world.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace eelgrassbend {

using std::chrono::milliseconds;

static constexpr milliseconds step_time{5};
/// Steps between two reports to one node; the nodes get theirs in turn.
static constexpr int report_steps = 40;
static constexpr int retry_steps = 3;
static constexpr duration time_limit = std::chrono::seconds{10};
static constexpr std::array<double, 3> hold_seconds{0.5, 0.8, 1.6};
static constexpr std::array<milliseconds, 3> objectives{milliseconds{500}, milliseconds{800},
                                                        milliseconds{2500}};

void caller_result::add(const caller_result& other)
{
    this->asked += other.asked;
    this->served += other.served;
    this->returned += other.returned;
    this->returned_admitted += other.returned_admitted;
}

admission_world::admission_world(std::uint64_t seed, int nodes, int engines) : random(seed)
{
    for (int index = 0; index < engines; ++index) {
        this->engines.push_back({true, index % zone_count, 0});
    }
    for (int index = 0; index < nodes; ++index) {
        this->nodes.push_back(std::make_unique<node>(this->random));
        auto& added = *this->nodes.back();
        added.controller.configure(route_table{contended_configuration()});
        added.own.resize(this->engines.size());
        added.others.resize(this->engines.size());
        added.view.nodes = nodes;
    }
}

double admission_world::load_rate(int priority, double share) const
{
    const auto slots = static_cast<double>(this->engines.size()) * slots_per_engine;
    return share * slots / hold_seconds.at(static_cast<std::size_t>(priority));
}

void admission_world::lose_zone(int zone)
{
    for (auto& lost : this->engines) {
        lost.is_alive = lost.is_alive && lost.zone != zone;
    }
}

void admission_world::run_for(duration span)
{
    for (const auto end = this->now + span; this->now < end; this->now += step_time) {
        ++this->step;
        this->report_loads();
        std::erase_if(this->runs, [this](const run& ended) {
            auto& at_engine = this->engines.at(ended.at_engine);
            if (at_engine.is_alive && ended.ends_at > this->now) {
                return false;
            }
            --at_engine.running;
            --this->nodes.at(ended.at_node)->own.at(ended.at_engine);
            this->nodes.at(ended.at_node)
                ->controller.record_ended(ended.work, at_engine.is_alive, this->now);
            return true;
        });
        while (!this->returning.empty() && this->returning.begin()->first <= this->now) {
            this->arrive(this->returning.extract(this->returning.begin()).mapped());
        }
        if (this->step % retry_steps == 0) {
            std::erase_if(this->waiting, [this](caller& held) { return this->try_to_place(held); });
        }
        this->create_callers();
    }
}

void admission_world::report_loads()
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        auto& told = *this->nodes[index];
        if ((this->step + static_cast<int>(index) * 7) % report_steps != 0) {
            continue;
        }
        const bool is_told = this->is_reporting(static_cast<int>(index));
        const auto node_count = static_cast<double>(this->nodes.size());
        told.view.nodes = is_told ? node_count : 1.0;
        told.view.reporting = is_told ? 1.0 : 1.0 / node_count;
        if (is_told) {
            told.view.units = this->admitted_units;
        }
        told.view.known = {};
        for (std::size_t number = 0; number < this->engines.size(); ++number) {
            const auto& reported = this->engines[number];
            told.others[number] = is_told ? reported.running - told.own[number] : 0;
            if (reported.is_alive) {
                told.view.known.endpoints += 1;
                told.view.known.slots += slots_per_engine;
                told.view.known.running += told.own[number] + told.others[number];
            }
        }
    }
}

void admission_world::create_callers()
{
    const std::chrono::duration<double> span{step_time};
    for (const int priority : {0, 1, 2}) {
        for (int organisation = 0; organisation < organisation_count; ++organisation) {
            double expected = this->rate(priority, organisation, this->now) * span.count();
            for (; random_unit(this->random) < expected; expected -= 1.0) {
                caller created;
                created.priority = priority;
                created.organisation = organisation;
                created.is_large = random_below(this->random, 12) == 0;
                created.request = make_request(priority, "org-" + std::to_string(organisation),
                                               created.is_large ? 9'000 : 1'000);
                created.request.objective = objectives.at(static_cast<std::size_t>(priority));
                created.began_at = this->now;
                created.counted = &this->results[{priority, organisation, created.is_large}];
                ++created.counted->asked;
                this->arrive(std::move(created));
            }
        }
    }
}

void admission_world::arrive(caller arrived)
{
    arrived.at_node = random_below(this->random, this->nodes.size());
    arrived.arrived_at = this->now;
    arrived.request.stated_time_left =
        time_limit - (this->now - arrived.began_at) - milliseconds{random_below(this->random, 4)};
    arrived.request.time_left = *arrived.request.stated_time_left;
    arrived.request.age = {};
    ++arrived.attempts;
    this->nodes.at(arrived.at_node)->controller.record_arrival(arrived.request, this->now);
    if (!this->try_to_place(arrived)) {
        this->waiting.push_back(std::move(arrived));
    }
}

bool admission_world::try_to_place(caller& waiting)
{
    auto& chooser = *this->nodes.at(waiting.at_node);
    auto& request = waiting.request;
    request.age = this->now - waiting.arrived_at;
    request.time_left = *request.stated_time_left - request.age;
    const auto decision = chooser.controller.decide(request, this->now);
    if (const auto found = this->find_engine(chooser, decision.slot_share)) {
        this->serve(waiting, *found);
        return true;
    }
    if (request.age + retry_steps * step_time >= decision.max_wait) {
        this->refuse(waiting);
        return true;
    }
    return false;
}

std::optional<std::size_t> admission_world::find_engine(const node& chooser, double slot_share)
{
    std::optional<std::size_t> best;
    int least = 0;
    const auto first = random_below(this->random, this->engines.size());
    for (std::size_t offset = 0; offset < this->engines.size(); ++offset) {
        const auto index = (first + offset) % this->engines.size();
        const int load = chooser.own[index] + chooser.others[index];
        const bool is_free =
            this->engines[index].is_alive && load < static_cast<int>(slots_per_engine * slot_share);
        if (is_free && (!best || load < least)) {
            best = index;
            least = load;
        }
        if (best && offset >= this->engines.size() / 5) {
            break; // a sample suffices if it has a free engine
        }
    }
    return best;
}

void admission_world::serve(caller& served, std::size_t at_engine)
{
    auto& sender = *this->nodes.at(served.at_node);
    auto& chosen = this->engines.at(at_engine);
    const double usual = hold_seconds.at(static_cast<std::size_t>(served.priority));
    // A request beyond the slots waits until one of the running ones ends.
    const double queued = chosen.running < slots_per_engine ? 0.0 : 0.3;
    const double hold = usual * (0.6 + 0.8 * random_unit(this->random)) + queued;
    const auto starts_at = this->now + part_of(queued, std::chrono::seconds{1});
    const auto work = sender.controller.record_admitted(served.request, this->now);
    this->runs.push_back(
        {this->now + part_of(hold, std::chrono::seconds{1}), at_engine, served.at_node, work});
    ++chosen.running;
    ++sender.own[at_engine];
    this->admitted_units[served.request.organisation] += 1.0;
    const bool is_in_time = starts_at - served.began_at <= served.request.objective;
    served.counted->served += is_in_time ? 1 : 0;
    if (served.is_promised) {
        ++served.counted->returned;
        ++served.counted->returned_admitted;
    }
}

// A caller honours a return time up to a third of its time left, and tries only once more.
void admission_world::refuse(caller& refused)
{
    const auto offer = this->nodes.at(refused.at_node)
                           ->controller.refuse(refused.request, duration::zero(), this->now);
    refused.counted->returned += refused.is_promised ? 1 : 0;
    if (refused.attempts > 1 || offer.after > refused.request.time_left / 3) {
        return;
    }
    refused.is_promised = offer.is_promised;
    this->returning.emplace(this->now + offer.after, std::move(refused));
}

caller_result admission_world::result(const filter& matches) const
{
    caller_result sum;
    for (const auto& [key, counted] : this->results) {
        if (std::apply(matches, key)) {
            sum.add(counted);
        }
    }
    return sum;
}

caller_result admission_world::result(int priority) const
{
    return this->result([priority](int of, int, bool) { return of == priority; });
}

caller_result admission_world::organisation_result(int organisation) const
{
    return this->result([organisation](int, int of, bool) { return of == organisation; });
}

} // namespace eelgrassbend
