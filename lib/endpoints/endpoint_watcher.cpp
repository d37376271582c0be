#include "eelgrassbend/endpoints/endpoint_watcher.h"

#include "eelgrassbend/routing/router.h"

#include <utility>

namespace eelgrassbend {

endpoint_watcher::endpoint_watcher(scheduler& time, endpoint_probe& probe, router& routes,
                                   std::function<std::vector<watched_endpoint>()> list_watched,
                                   duration interval)
    : time(time),
      probe(probe),
      routes(routes),
      list_watched(std::move(list_watched)),
      interval(interval)
{
}

void endpoint_watcher::start()
{
    this->is_running = true;
    this->poll_round();
}

void endpoint_watcher::stop()
{
    this->is_running = false;
}

void endpoint_watcher::poll_round()
{
    if (!this->is_running) {
        return;
    }
    std::set<std::string> names;
    for (const auto& endpoint : this->list_watched()) {
        names.insert(endpoint.info.id.value());
        this->poll_endpoint(endpoint);
    }
    std::erase_if(this->next_sequences,
                  [&](const auto& entry) { return !names.contains(entry.first); });
    this->time.call_after(this->interval, [this] { this->poll_round(); });
}

void endpoint_watcher::poll_endpoint(const watched_endpoint& endpoint)
{
    this->poll_load(endpoint.info);
    if (endpoint.caches_prefixes) {
        this->poll_events(endpoint.info);
    }
}

/// An endpoint with an outstanding call gets no second call of the same kind.
bool endpoint_watcher::begin_call(const std::string& call)
{
    return this->outstanding.insert(call).second;
}

void endpoint_watcher::poll_load(const endpoint_info& endpoint)
{
    const auto id = endpoint.id;
    const auto call = id.value() + "/load";
    if (!this->begin_call(call)) {
        return;
    }
    this->probe.fetch_load(endpoint.address, [this, id, call](const result<load_report>& report) {
        this->outstanding.erase(call);
        if (report) {
            this->routes.report_load(id, report.value());
        }
    });
}

void endpoint_watcher::poll_events(const endpoint_info& endpoint)
{
    const auto id = endpoint.id;
    const auto call = id.value() + "/events";
    if (!this->begin_call(call)) {
        return;
    }
    this->probe.fetch_events(endpoint.address, this->next_sequences[id.value()],
                             [this, id, call](const result<cache_events>& fetched) {
                                 this->outstanding.erase(call);
                                 if (!fetched) {
                                     return;
                                 }
                                 this->next_sequences[id.value()] = fetched.value().next_sequence;
                                 for (const auto& event : fetched.value().events) {
                                     this->routes.report_cache(id, event);
                                 }
                             });
}

} // namespace eelgrassbend
