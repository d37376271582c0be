#include "gateway_daemon.h"

#include "eelgrassbend/gateway/gateway.h"
#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/logging/json_event_log.h"
#include "eelgrassbend/metrics/prometheus_metrics.h"
#include "eelgrassbend/net/client_budget.h"
#include "eelgrassbend/net/client_report.h"
#include "eelgrassbend/net/descriptor_budget.h"
#include "eelgrassbend/net/http_server.h"
#include "eelgrassbend/support/allocator.h"
#include "eelgrassbend/support/scheduler.h"

#include "gateway_services.h"
#include "platform/status_handlers.h"
#include "resource_monitor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrassbend {

namespace asio = boost::asio;

/// Part of the stop time for which requests are still taken: callers keep answers of the
/// directory, and what they send last has to be answered within the rest.
static constexpr double taking_part = 0.36;
/// Part of the stop time at whose end the requests in flight are ended.
static constexpr double serving_part = 0.95;
/// Part of the stop time at whose end the process exits, whether or not all answers are written.
static constexpr double exit_part = 0.98;
static constexpr std::chrono::milliseconds stop_poll{20};
/// Connections of the directory, readiness check and metrics, and the bytes of their requests,
/// which have no body.
static constexpr std::size_t max_side_connections = 256;
static constexpr std::size_t max_side_body_bytes = 64 * 1024;
/// Descriptors that are not for sockets.
static constexpr std::size_t file_descriptors = 200;
/// Part of the host's memory that is held for callers. Configuration, endpoints and control need
/// up to 64 MB, and an eighth is for answers that are buffered.
static constexpr std::size_t client_memory_divisor = 4;
/// Part of the descriptors for each of the three listeners beside that of the callers.
static constexpr std::size_t side_divisor = 32;

static std::size_t side_connections(const process_limits& limits)
{
    return std::clamp(limits.descriptors / side_divisor, std::size_t{4}, max_side_connections);
}

// A request of a caller needs a second descriptor, for the connection to its endpoint.
static std::size_t caller_connections(const gateway_settings& settings)
{
    const auto reserved = file_descriptors + 3 * side_connections(settings.limits);
    const auto sockets =
        settings.limits.descriptors - std::min(settings.limits.descriptors / 2, reserved);
    return std::min(settings.connections, std::max(sockets / 2, std::size_t{1}));
}

namespace {

/// Answers the text of all metrics.
class metrics_door : public http_handler {
public:
    metrics_door(prometheus_metrics& counters, const client_budget& budget)
        : counters(counters), budget(budget)
    {
    }

    void handle(http_request request, std::shared_ptr<exchange> answer) override
    {
        if (request.path() != "/metrics") {
            answer->respond(404, {}, {}, nullptr);
            return;
        }
        report_budget(this->budget, this->counters);
        answer->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->counters.text(),
                        nullptr);
    }

private:
    prometheus_metrics& counters;
    const client_budget& budget;
};

/// What the daemon itself uses of the services.
class daemon_service : public service {
public:
    explicit daemon_service(const resolved_services& needs)
        : time(needs.get<scheduler>("scheduler")),
          log(needs.get<event_log>("event_log")),
          counters(needs.get<prometheus_metrics>("metrics")),
          node(needs.get<gateway>("gateway")),
          descriptors(needs.get<descriptor_budget>("descriptors")),
          log_output(needs.get<json_event_log>("log_output"))
    {
    }

    scheduler& time;
    event_log& log;
    prometheus_metrics& counters;
    gateway& node;
    descriptor_budget& descriptors;
    json_event_log& log_output;
};

class gateway_daemon : public service_status {
public:
    gateway_daemon(const gateway_settings& settings, const std::string& settings_file)
        : settings(settings),
          settings_file(settings_file),
          budget(std::make_shared<client_budget>(settings.limits.memory / client_memory_divisor)),
          signals(context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    int run();

    [[nodiscard]] bool is_ready() const override { return this->parts->node.is_ready(); }

    [[nodiscard]] directory_answer directory() const override
    {
        return {this->parts->node.ready_addresses(), this->parts->node.directory_time_to_live()};
    }

private:
    struct listener {
        std::unique_ptr<http_handler> door;
        std::unique_ptr<http_server> server;
    };

    result<void> start();
    result<void> listen_for_callers();
    result<void> listen_beside(const network_address& address, std::unique_ptr<http_handler> door);
    void watch_descriptors();
    [[nodiscard]] std::size_t incoming_connections() const;
    void apply_limits(const route_table& table);
    void await_signal();
    void reload();
    void planned_stop();
    void stop_taking();
    void wait_for_requests();

    gateway_settings settings;
    std::string settings_file;
    std::shared_ptr<client_budget> budget;
    asio::io_context context{1};
    asio::signal_set signals;
    kernel core;
    std::shared_ptr<daemon_service> parts;
    std::optional<client_report> report;
    std::unique_ptr<http_server> server;
    std::vector<listener> beside;
    std::optional<resource_monitor> monitor;
    bool is_stopping = false;
    monotonic_time serves_until; ///< once it is stopping
    monotonic_time exits_at;     ///< once it is stopping
};

} // namespace

result<void> gateway_daemon::start()
{
    if (auto added = add_gateway_services(this->core, this->context, this->settings); !added) {
        return added.error();
    }
    auto added = this->core.add(
        "daemon", {"scheduler", "event_log", "metrics", "gateway", "descriptors", "log_output"},
        [this](const resolved_services& needs) {
            this->parts = std::make_shared<daemon_service>(needs);
            return this->parts;
        });
    if (!added) {
        return added.error();
    }
    if (auto started = this->core.start(); !started) {
        return started.error();
    }
    this->report.emplace(this->parts->time, this->parts->log, &this->parts->counters);
    if (auto listening = this->listen_for_callers(); !listening) {
        return listening.error();
    }
    std::vector<std::pair<network_address, std::unique_ptr<http_handler>>> doors;
    doors.emplace_back(this->settings.ready, std::make_unique<readiness_handler>(*this));
    doors.emplace_back(this->settings.directory, std::make_unique<directory_handler>(*this));
    doors.emplace_back(this->settings.metrics,
                       std::make_unique<metrics_door>(this->parts->counters, *this->budget));
    for (auto& [address, door] : doors) {
        if (auto listening = this->listen_beside(address, std::move(door)); !listening) {
            return listening.error();
        }
    }
    this->watch_descriptors();
    this->parts->node.start();
    this->parts->log.write(
        log_level::info, "started",
        {{"callers", this->settings.callers.to_string()}, {"zone", this->settings.zone.value()}});
    return boost::outcome_v2::success();
}

result<void> gateway_daemon::listen_for_callers()
{
    http_limits limits;
    limits.max_connections = caller_connections(this->settings);
    this->server =
        std::make_unique<http_server>(this->context, limits, this->parts->node.request_handler(),
                                      client_services{this->budget, &*this->report});
    this->parts->node.on_table_change(
        [this](const route_table& table) { this->apply_limits(table); });
    if (auto listening = this->server->listen(this->settings.callers); !listening) {
        return listening.error();
    }
    return boost::outcome_v2::success();
}

result<void> gateway_daemon::listen_beside(const network_address& address,
                                           std::unique_ptr<http_handler> door)
{
    http_limits limits;
    limits.max_connections = side_connections(this->settings.limits);
    limits.max_body_bytes = max_side_body_bytes;
    auto server = std::make_unique<http_server>(this->context, limits, *door,
                                                client_services{this->budget, &*this->report});
    if (auto listening = server->listen(address); !listening) {
        return listening.error();
    }
    this->beside.push_back({std::move(door), std::move(server)});
    return boost::outcome_v2::success();
}

void gateway_daemon::watch_descriptors()
{
    auto& descriptors = this->parts->descriptors;
    descriptors.add_counter([this] { return this->incoming_connections(); });
    this->parts->node.set_capacity_check([this] {
        return this->parts->descriptors.can_serve() &&
               this->server->open_connections() < caller_connections(this->settings);
    });
    this->monitor.emplace(descriptors, this->parts->log_output, this->parts->time, this->parts->log,
                          this->parts->counters);
    this->monitor->start();
}

std::size_t gateway_daemon::incoming_connections() const
{
    auto sum = this->server->open_connections();
    for (const auto& each : this->beside) {
        sum += each.server->open_connections();
    }
    return sum;
}

void gateway_daemon::apply_limits(const route_table& table)
{
    const auto& declared = table.configuration().limits;
    http_limits limits;
    limits.max_connections = caller_connections(this->settings);
    if (declared.header_bytes > 0) {
        limits.max_header_bytes = declared.header_bytes;
    }
    if (declared.body_bytes > 0) {
        limits.max_body_bytes = declared.body_bytes;
    }
    if (declared.header_time > duration::zero()) {
        limits.header_timeout = declared.header_time;
    }
    if (declared.idle_time > duration::zero()) {
        limits.idle_timeout = declared.idle_time;
    }
    this->server->set_limits(limits);
}

void gateway_daemon::await_signal()
{
    this->signals.async_wait([this](boost::system::error_code failure, int signal) {
        if (failure) {
            return;
        }
        if (signal == SIGHUP) {
            this->reload();
        }
        else if (!this->is_stopping) {
            this->planned_stop();
        }
        this->await_signal();
    });
}

void gateway_daemon::reload()
{
    const auto changed = read_gateway_settings(this->settings_file);
    if (!changed) {
        this->parts->log.write(log_level::error, "reload_failed",
                               {{"error", changed.error().to_string()}});
        return;
    }
    this->settings.bounds.stop = changed.value().bounds.stop;
    this->parts->log.write(log_level::info, "reloaded", {{"file", this->settings_file}});
}

void gateway_daemon::planned_stop()
{
    this->is_stopping = true;
    this->parts->log.write(log_level::info, "planned_stop",
                           {{"requests", this->parts->node.active_requests()}});
    const auto now = this->parts->time.now();
    this->serves_until = now + part_of(serving_part, this->settings.bounds.stop);
    this->exits_at = now + part_of(exit_part, this->settings.bounds.stop);
    this->parts->node.begin_stop(this->serves_until);
    this->server->announce_close();
    this->parts->time.call_after(part_of(taking_part, this->settings.bounds.stop), [this] {
        this->stop_taking();
        this->wait_for_requests();
    });
}

void gateway_daemon::stop_taking()
{
    this->parts->node.stop_accepting();
    this->server->stop_listening();
    this->server->drain();
}

void gateway_daemon::wait_for_requests()
{
    const auto now = this->parts->time.now();
    if (now >= this->serves_until) {
        this->parts->node.end_requests();
    }
    const auto active = this->server->active_exchanges() + this->parts->node.active_requests();
    if (active == 0 || now >= this->exits_at) {
        this->parts->log.write(log_level::info, "stopped", {{"requests_left", active}});
        this->context.stop();
        return;
    }
    this->parts->time.call_after(stop_poll, [this] { this->wait_for_requests(); });
}

int gateway_daemon::run()
{
    if (auto started = this->start(); !started) {
        std::cerr << "eelgrassbend-gateway: " << started.error().to_string() << "\n";
        return 1;
    }
    this->await_signal();
    this->context.run();
    return 0;
}

int run_gateway(const gateway_settings& settings, const std::string& settings_file)
{
    try {
        return_large_blocks();
        gateway_daemon daemon{settings, settings_file};
        return daemon.run();
    }
    catch (const std::exception& failure) {
        std::cerr << "eelgrassbend-gateway: " << failure.what() << "\n";
        return 1;
    }
}

} // namespace eelgrassbend
