#include "daemon.h"

#include "eelgrassbend/entry/decision_services.h"
#include "eelgrassbend/entry/entry_status.h"
#include "eelgrassbend/entry/serving_service.h"
#include "eelgrassbend/kernel/kernel.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/net/client_report.h"
#include "eelgrassbend/net/http_server.h"
#include "eelgrassbend/support/allocator.h"
#include "eelgrassbend/support/scheduler.h"

#include "io_services.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>

namespace eelgrassbend {

namespace asio = boost::asio;

static constexpr std::chrono::milliseconds stop_poll{20};
/// Longest time for the last records to reach the log at a planned stop.
static constexpr std::chrono::seconds flush_limit{10};

namespace {

/// What the daemon itself uses of the services.
class daemon_service : public service {
public:
    explicit daemon_service(const resolved_services& needs)
        : time(needs.get<scheduler>("scheduler")),
          log(needs.get<event_log>("event_log")),
          members(needs.get<membership>("membership")),
          status(needs.get<entry_status>("status")),
          serving(needs.get<serving_service>("serving"))
    {
    }

    scheduler& time;
    event_log& log;
    membership& members;
    entry_status& status;
    serving_service& serving;
};

class daemon {
public:
    explicit daemon(const entry_settings& settings)
        : settings(settings), signals(context, SIGTERM, SIGINT)
    {
    }

    int run();

private:
    result<void> start();
    void planned_stop();
    void stop_taking_callers();
    void wait_for_requests(monotonic_time until);
    void stop_services();

    entry_settings settings;
    asio::io_context context{1};
    asio::signal_set signals;
    kernel core;
    std::shared_ptr<daemon_service> parts;
    std::optional<client_report> report;
    std::optional<http_server> server;
};

} // namespace

result<void> daemon::start()
{
    if (auto added = add_io_services(this->core, this->context, this->settings); !added) {
        return added.error();
    }
    if (auto added = add_decision_services(this->core, this->settings); !added) {
        return added.error();
    }
    auto added =
        this->core.add("daemon", {"scheduler", "event_log", "membership", "status", "serving"},
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
    http_limits limits;
    limits.max_connections = this->settings.connections;
    this->report.emplace(this->parts->time, this->parts->log, nullptr);
    this->server.emplace(this->context, limits, this->parts->serving.request_handler(),
                         client_services{nullptr, &*this->report});
    auto listening = this->server->listen(this->settings.callers);
    if (!listening) {
        return listening.error();
    }
    this->parts->log.write(
        log_level::info, "started",
        {{"callers", listening.value().to_string()}, {"zone", this->settings.zone.value()}});
    return boost::outcome_v2::success();
}

// Callers keep an answer of the entry directory for its time to live: so long the node goes on
// to take requests after it has left the directory.
void daemon::planned_stop()
{
    this->parts->log.write(
        log_level::info, "planned_stop",
        {{"requests", this->parts->serving.request_handler().active_requests()}});
    this->parts->status.set_stopping();
    this->parts->members.announce_leaving();
    this->parts->time.call_after(this->settings.entries_time_to_live,
                                 [this] { this->stop_taking_callers(); });
}

void daemon::stop_taking_callers()
{
    this->server->stop_listening();
    this->server->drain();
    this->wait_for_requests(this->parts->time.now() + this->settings.stop_limit);
}

void daemon::wait_for_requests(monotonic_time until)
{
    auto& request_handler = this->parts->serving.request_handler();
    const auto active = this->server->active_exchanges() + request_handler.active_requests();
    if (active == 0) {
        this->stop_services();
        return;
    }
    if (this->parts->time.now() >= until) {
        this->parts->log.write(log_level::warning, "hand_over", {{"requests", active}});
        request_handler.hand_over_streams();
        this->parts->time.call_after(std::chrono::seconds{1}, [this] { this->stop_services(); });
        return;
    }
    this->parts->time.call_after(stop_poll, [this, until] { this->wait_for_requests(until); });
}

void daemon::stop_services()
{
    this->parts->time.call_after(flush_limit, [this] { this->context.stop(); });
    this->core.stop([this] {
        this->parts->log.write(log_level::info, "stopped", nlohmann::json::object());
        this->context.stop();
    });
}

int daemon::run()
{
    if (auto started = this->start(); !started) {
        std::cerr << "eelgrassbend-entry: " << started.error().to_string() << "\n";
        return 1;
    }
    this->signals.async_wait([this](boost::system::error_code failure, int) {
        if (!failure) {
            this->planned_stop();
        }
    });
    this->context.run();
    return 0;
}

int run_daemon(const entry_settings& settings)
{
    try {
        return_large_blocks();
        // Services may be called back until the context has gone, so it outlives them.
        daemon node{settings};
        return node.run();
    }
    catch (const std::exception& failure) {
        std::cerr << "eelgrassbend-entry: " << failure.what() << "\n";
        return 1;
    }
}

} // namespace eelgrassbend
