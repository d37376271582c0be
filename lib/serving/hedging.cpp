#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/routing/hedge_policy.h"
#include "eelgrassbend/serving/request_flow.h"
#include "eelgrassbend/serving/rival_attempt.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

static constexpr duration hedge_check_interval = std::chrono::milliseconds{50};

void rival_attempt::on_head(int answered, const header_list& headers)
{
    constexpr int ok = 200;
    if (this->adopted) {
        this->flow.on_head(answered, headers);
        return;
    }
    this->status = answered;
    if (answered != ok) {
        this->flow.drop_rival(attempt_end::failed);
    }
}

void rival_attempt::on_body(std::string_view bytes)
{
    if (this->adopted) {
        this->flow.on_body(bytes);
        return;
    }
    this->kept += bytes;
    const auto begun = this->flow.has_event(this->id, this->kept);
    if (!begun) {
        this->flow.drop_rival(attempt_end::failed);
    }
    else if (begun.value()) {
        this->flow.rival_won();
    }
}

void rival_attempt::on_completed()
{
    if (this->adopted) {
        this->flow.on_completed();
        return;
    }
    this->flow.drop_rival(attempt_end::failed);
}

void rival_attempt::on_failed(const error& reason, dispatch_state dispatched)
{
    if (this->adopted) {
        this->flow.on_failed(reason, dispatched);
        return;
    }
    this->flow.drop_rival(attempt_end::failed);
}

std::unique_ptr<attempt_handle> rival_attempt::adopt()
{
    this->adopted = true;
    return std::move(this->handle);
}

void rival_attempt::replay()
{
    if (this->status != 0) {
        this->flow.on_head(this->status, {});
    }
    if (!this->kept.empty()) {
        this->flow.on_body(std::exchange(this->kept, {}));
    }
}

void request_flow::plan_hedge(const route_request& wanted, const route_decision& decision)
{
    if (!this->hedgeable() || this->attempts != 1) {
        return;
    }
    if (const auto delay = this->services.hedges.delay(wanted, decision)) {
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

// A request whose first attempt has failed or emitted a token needs no hedge.
void request_flow::check_hedge()
{
    if (!this->open || !this->handle || this->attempts != 1 || !this->first_progress) {
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
    auto wanted = this->describe();
    wanted.excluded = this->excluded;
    wanted.excluded.push_back(this->target.id);
    const auto chosen = this->services.routes.choose(wanted);
    const auto found =
        chosen ? this->services.endpoints.find(chosen.value().endpoint) : std::nullopt;
    if (!found || !this->services.hedges.try_acquire(wanted.service)) {
        return false;
    }
    this->log_decision(chosen.value());
    ++this->attempts;
    this->hedged = true;
    const attempt_id id{this->admitted.id.value() + "/" + std::to_string(this->attempts)};
    this->services.log.write(log_level::info, "hedge",
                             {{"request", this->admitted.id.value()},
                              {"attempt", this->attempt.value()},
                              {"hedge", id.value()},
                              {"endpoint", found->id.value()},
                              {"reason", reason}});
    this->rival = std::make_shared<rival_attempt>(*this, id, *found);
    this->services.routes.on_dispatched(id, found->id, wanted);
    auto request = this->hedge_attempt();
    request.attempt = id;
    request.progress_timeout = this->services.settings.progress_timeout;
    this->rival->handle =
        this->services.client.dispatch(found->address, std::move(request), *this->rival);
    return true;
}

void request_flow::drop_rival(attempt_end how)
{
    const auto dropped = std::exchange(this->rival, nullptr);
    if (!dropped) {
        return;
    }
    // Only a hedge that ended by itself is one its endpoint did not want.
    if (how == attempt_end::failed) {
        this->excluded.push_back(dropped->target.id);
    }
    this->services.log.write(log_level::info, "hedge_dropped",
                             {{"request", this->admitted.id.value()},
                              {"attempt", dropped->id.value()},
                              {"endpoint", dropped->target.id.value()},
                              {"failed", how == attempt_end::failed}});
    dropped->handle.reset();
    this->may_have_begun = true;
    this->services.routes.on_ended(dropped->id, how);
}

void request_flow::rival_won()
{
    auto self = this->shared_from_this();
    this->cancel_attempt(attempt_end::cancelled);
    this->adopt_rival();
}

void request_flow::adopt_rival()
{
    auto self = this->shared_from_this();
    this->adopted = std::exchange(this->rival, nullptr);
    this->handle = this->adopted->adopt();
    this->attempt = this->adopted->id;
    this->target =
        this->services.endpoints.find(this->adopted->target.id).value_or(this->adopted->target);
    this->first_progress = true;
    this->attempt_replaced();
    if (this->target.state == endpoint_state::leaving) {
        this->schedule_move(this->target);
    }
    const auto current = this->adopted;
    current->replay();
}

} // namespace eelgrassbend
