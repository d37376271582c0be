#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/routing/hedge_policy.h"
#include "eelgrassbend/serving/hedge_attempt.h"
#include "eelgrassbend/serving/request_flow.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

static constexpr duration hedge_check_interval = std::chrono::milliseconds{50};

void hedge_attempt::on_head(int status_code, const header_list& headers)
{
    constexpr int ok = 200;
    if (this->is_adopted) {
        this->flow.on_head(status_code, headers);
        return;
    }
    this->status = status_code;
    if (status_code != ok) {
        this->flow.drop_hedge(attempt_end::failed);
    }
}

void hedge_attempt::on_body(std::string_view bytes)
{
    if (this->is_adopted) {
        this->flow.on_body(bytes);
        return;
    }
    this->buffered_body += bytes;
    const auto has_begun = this->flow.has_event(this->id, this->buffered_body);
    if (!has_begun) {
        this->flow.drop_hedge(attempt_end::failed);
    }
    else if (has_begun.value()) {
        this->flow.handle_hedge_won();
    }
}

void hedge_attempt::on_completed()
{
    if (this->is_adopted) {
        this->flow.on_completed();
        return;
    }
    this->flow.drop_hedge(attempt_end::failed);
}

void hedge_attempt::on_failed(const error& reason, dispatch_state dispatched)
{
    if (this->is_adopted) {
        this->flow.on_failed(reason, dispatched);
        return;
    }
    this->flow.drop_hedge(attempt_end::failed);
}

std::unique_ptr<attempt_handle> hedge_attempt::adopt()
{
    this->is_adopted = true;
    return std::move(this->handle);
}

void hedge_attempt::replay()
{
    if (this->status != 0) {
        this->flow.on_head(this->status, {});
    }
    if (!this->buffered_body.empty()) {
        this->flow.on_body(std::exchange(this->buffered_body, {}));
    }
}

void request_flow::plan_hedge(const route_request& query, const route_decision& decision)
{
    if (!this->is_hedgeable() || this->attempts != 1) {
        return;
    }
    if (const auto delay = this->services.hedges.delay(query, decision)) {
        this->hedge_due = this->services.time.now() + *delay;
        this->arm_hedge_timer();
    }
}

void request_flow::arm_hedge_timer()
{
    std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->hedge_timer = this->services.time.call_after(hedge_check_interval, [weak] {
        if (const auto self = weak.lock()) {
            self->hedge_timer.reset();
            self->check_hedge();
        }
    });
}

// A request whose first attempt has failed or emitted a token is not hedged.
void request_flow::check_hedge()
{
    if (!this->open || !this->handle || this->attempts != 1 || !this->awaits_first_progress) {
        return;
    }
    const bool suspected = this->services.routes.is_suspected(this->target.id);
    const bool late = this->services.time.now() >= this->hedge_due;
    if ((suspected || late) && this->start_hedge(suspected ? "endpoint is suspected" : "late")) {
        return;
    }
    this->arm_hedge_timer();
}

bool request_flow::start_hedge(const char* reason)
{
    auto query = this->make_route_request();
    query.excluded = this->excluded;
    query.excluded.push_back(this->target.id);
    const auto chosen = this->services.routes.choose(query);
    const auto found =
        chosen ? this->services.endpoints.find(chosen.value().endpoint) : std::nullopt;
    if (!found || !this->services.hedges.try_acquire(query.service)) {
        return false;
    }
    this->log_decision(chosen.value());
    ++this->attempts;
    this->has_hedge_started = true;
    const attempt_id id{this->admitted.id.value() + "/" + std::to_string(this->attempts)};
    this->services.log.write(log_level::info, "hedge",
                             {{"request", this->admitted.id.value()},
                              {"attempt", this->attempt.value()},
                              {"hedge", id.value()},
                              {"endpoint", found->id.value()},
                              {"reason", reason}});
    this->hedge = std::make_shared<hedge_attempt>(*this, id, *found);
    this->services.routes.on_dispatched(id, found->id, query);
    auto request = this->make_hedge_request();
    request.attempt = id;
    request.progress_timeout = this->services.settings.progress_timeout;
    this->hedge->handle =
        this->services.client.dispatch(found->address, std::move(request), *this->hedge);
    return true;
}

void request_flow::drop_hedge(attempt_end outcome)
{
    const auto dropped = std::exchange(this->hedge, nullptr);
    if (!dropped) {
        return;
    }
    // Excludes the endpoint only if the hedge failed there, not if this node cancelled it.
    if (outcome == attempt_end::failed) {
        this->excluded.push_back(dropped->target.id);
    }
    this->services.log.write(log_level::info, "hedge_dropped",
                             {{"request", this->admitted.id.value()},
                              {"attempt", dropped->id.value()},
                              {"endpoint", dropped->target.id.value()},
                              {"failed", outcome == attempt_end::failed}});
    dropped->handle.reset();
    this->runs.record_possible_run();
    this->services.routes.on_ended(dropped->id, outcome);
}

void request_flow::handle_hedge_won()
{
    auto self = this->shared_from_this();
    this->cancel_attempt(attempt_end::cancelled);
    this->adopt_hedge();
}

void request_flow::adopt_hedge()
{
    auto self = this->shared_from_this();
    this->adopted_hedge = std::exchange(this->hedge, nullptr);
    this->handle = this->adopted_hedge->adopt();
    this->attempt = this->adopted_hedge->id;
    this->target = this->services.endpoints.find(this->adopted_hedge->target.id)
                       .value_or(this->adopted_hedge->target);
    this->awaits_first_progress = true;
    this->handle_attempt_replaced();
    if (this->target.state == endpoint_state::leaving) {
        this->schedule_migration(this->target);
    }
    const auto current = this->adopted_hedge;
    current->replay();
}

} // namespace eelgrassbend
