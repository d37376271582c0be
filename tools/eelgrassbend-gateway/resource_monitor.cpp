#include "resource_monitor.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

/// Callers that arrive between two checks use the descriptors that the budget leaves to them; on
/// the smallest hosts these last for 1,700 new connections a second.
static constexpr std::chrono::milliseconds check_interval{100};
static constexpr int checks_per_publication = 10;

resource_monitor::resource_monitor(descriptor_budget& descriptors, const json_event_log& output,
                                   scheduler& time, event_log& log, metrics& counters)
    : descriptors(descriptors),
      output(output),
      log(log),
      counters(counters),
      timer(time, check_interval)
{
}

void resource_monitor::start()
{
    this->publish();
    this->timer.start([this] { this->check(); });
}

void resource_monitor::check()
{
    this->descriptors.make_room();
    const bool can_serve = this->descriptors.can_serve();
    if (can_serve != std::exchange(this->could_serve, can_serve)) {
        this->log.write(can_serve ? log_level::info : log_level::error,
                        can_serve ? "descriptors_regained" : "descriptors_used_up",
                        {{"open", this->descriptors.open()},
                         {"bound", this->descriptors.bound()},
                         {"outgoing", this->descriptors.outgoing().open}});
    }
    if (++this->checks % checks_per_publication == 0) {
        this->publish();
    }
}

void resource_monitor::publish()
{
    const auto counts = this->descriptors.outgoing();
    this->counters.set("eelgrassbend_open_descriptors", {},
                       static_cast<double>(this->descriptors.open()));
    this->counters.set("eelgrassbend_outgoing_connections", {{"state", "open"}},
                       static_cast<double>(counts.open));
    this->counters.set("eelgrassbend_outgoing_connections", {{"state", "idle"}},
                       static_cast<double>(counts.idle));
    const auto add = [this](const char* use, std::uint64_t now, std::uint64_t before) {
        this->counters.count("eelgrassbend_connection_uses_total", {{"connection", use}},
                             static_cast<double>(now - before));
    };
    add("new", counts.opened, this->published.opened);
    add("reused", counts.reused, this->published.reused);
    this->published = counts;
    this->publish_dropped_lines();
}

void resource_monitor::publish_dropped_lines()
{
    const auto dropped = this->output.dropped_lines();
    const auto added = dropped - std::exchange(this->published_dropped_lines, dropped);
    this->counters.count("eelgrassbend_log_lines_dropped_total", {}, static_cast<double>(added));
    if (added > 0) {
        this->log.write(log_level::warning, "lines_not_written", {{"count", added}});
    }
}

} // namespace eelgrassbend
