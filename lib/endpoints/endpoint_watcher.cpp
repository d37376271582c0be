#include "eelgrassbend/endpoints/endpoint_watcher.h"

#include "eelgrassbend/routing/router.h"

#include <set>
#include <utility>

namespace eelgrassbend {

endpoint_watcher::endpoint_watcher(scheduler& time, endpoint_probe& probe, router& routes,
                                   std::function<std::vector<endpoint_info>()> watched,
                                   duration interval)
    : time(time), probe(probe), routes(routes), watched(std::move(watched)), interval(interval)
{
}

void endpoint_watcher::start()
{
    this->running = true;
    this->poll_round();
}

void endpoint_watcher::stop()
{
    this->running = false;
}

void endpoint_watcher::poll_round()
{
    if (!this->running) {
        return;
    }
    std::set<std::string> names;
    for (const auto& endpoint : this->watched()) {
        names.insert(endpoint.id.value());
        this->poll(endpoint);
    }
    std::erase_if(this->next_event,
                  [&](const auto& entry) { return !names.contains(entry.first); });
    this->time.call_after(this->interval, [this] { this->poll_round(); });
}

void endpoint_watcher::poll(const endpoint_info& endpoint)
{
    const auto name = endpoint.id.value();
    // An endpoint that has not answered yet is not asked again.
    if (this->outstanding[name] > 0) {
        return;
    }
    this->outstanding[name] = 2;
    const auto answered = [this, name] {
        if (--this->outstanding[name] == 0) {
            this->outstanding.erase(name);
        }
    };
    this->probe.load(endpoint.address, [this, name, answered](result<load_report> report) {
        answered();
        if (report) {
            this->routes.report_load(endpoint_id{name}, report.value());
        }
    });
    this->probe.events(endpoint.address, this->next_event[name],
                       [this, name, answered](result<cache_events> fetched) {
                           answered();
                           if (!fetched) {
                               return;
                           }
                           this->next_event[name] = fetched.value().next;
                           for (const auto& event : fetched.value().events) {
                               this->routes.report_cache(endpoint_id{name}, event);
                           }
                       });
}

} // namespace eelgrassbend
