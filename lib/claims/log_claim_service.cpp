#include "eelgrassbend/claims/log_claim_service.h"
#include "eelgrassbend/support/uuid.h"

#include "claim_partition.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace eelgrassbend {

static constexpr const char* claim_step = "claim idempotency key";
static constexpr duration first_maintenance = std::chrono::seconds{30};
/// Longest text but the body in a record, in bytes.
static constexpr std::size_t longest_name = 256;
static constexpr duration settle_poll = std::chrono::milliseconds{20};
/// Longest an owner works on a batch, as a share of the time that the asking node waits.
static constexpr double served_share = 0.7;

static duration marker_interval(const claim_settings& settings)
{
    return settings.log_retention / 8;
}

result<void> check_claim_settings(const claim_settings& settings)
{
    const auto& table = settings.table;
    const auto window = table.max_key_age + 4 * table.clock_tolerance;
    if (window + 2 * marker_interval(settings) > settings.log_retention) {
        return make_error(errc::invalid_argument, "check claim settings", {},
                          "max key age is too near the log's retention");
    }
    if (settings.partitions == 0 || settings.batch_records == 0 || settings.page_records == 0) {
        return make_error(errc::invalid_argument, "check claim settings", {}, "a count is zero");
    }
    if (settings.grant_limit <= settings.claim_timeout) {
        return make_error(errc::invalid_argument, "check claim settings", {},
                          "a claim may take longer than its grant is good for");
    }
    return boost::outcome_v2::success();
}

log_claim_service::log_claim_service(const claim_settings& settings,
                                     const claim_dependencies& dependencies)
    : context(std::make_unique<claim_context>(settings, dependencies))
{
    assert(check_claim_settings(settings) && "settings must have been checked");
    for (std::uint32_t number = 0; number < settings.partitions; ++number) {
        this->partitions.push_back(std::make_unique<claim_partition>(*this->context, number));
    }
}

log_claim_service::~log_claim_service() = default;

void log_claim_service::start()
{
    this->context->on.peers.serve(
        peer_method::claim,
        [this](const std::string& request, const peer_rpc::answer_handler& answer) {
            this->serve(request, answer);
        });
    this->context->on.members.on_change(
        [this](const member&) { this->context->owners.invalidate(); });
    // A node that has just started takes itself for the owner of every partition.
    const auto spread = random_below(this->context->on.random, first_maintenance.count());
    this->context->on.timer.call_after(first_maintenance + duration{spread},
                                       [this] { this->maintain(); });
}

void log_claim_service::stop(std::function<void()> done)
{
    this->stopping = true;
    const auto give_up = this->context->on.timer.now() + this->context->settings.stop_timeout;
    this->wait_until_settled(give_up, done);
}

void log_claim_service::wait_until_settled(monotonic_time give_up,
                                           const std::function<void()>& done)
{
    const bool settled =
        std::all_of(this->partitions.begin(), this->partitions.end(),
                    [](const auto& partition) { return partition->unsettled() == 0; });
    if (settled || this->context->on.timer.now() >= give_up) {
        done();
        return;
    }
    this->context->on.timer.call_after(
        settle_poll, [this, give_up, done] { this->wait_until_settled(give_up, done); });
}

const claim_statistics& log_claim_service::statistics() const
{
    return this->context->statistics;
}

std::size_t log_claim_service::keys() const
{
    std::size_t count = 0;
    for (const auto& partition : this->partitions) {
        count += partition->records().keys();
    }
    return count;
}

claim_partition& log_claim_service::partition_of(const claim_key& key)
{
    const auto count = static_cast<std::uint32_t>(this->partitions.size());
    return *this->partitions[claim_partition_of(key, count)];
}

/// The log's own clock decides later; this refuses what cannot be granted anyway.
result<claim_key> log_claim_service::accept_key(const std::string& scope,
                                                const idempotency_key& key) const
{
    auto accepted = make_claim_key(scope, key);
    if (!accepted) {
        return accepted;
    }
    const auto& limits = this->context->settings.table;
    const auto age = this->context->on.timer.wall_now() - uuid_v7_time(key.value()).value();
    if (age > limits.max_key_age) {
        return make_error(errc::invalid_argument, claim_step, {}, "key is too old to be retried");
    }
    if (age < -limits.clock_tolerance) {
        return make_error(errc::invalid_argument, claim_step, {}, "key is from the future");
    }
    return accepted;
}

void log_claim_service::refuse(const claim_handler& handler, error reason)
{
    ++this->context->statistics.refused;
    handler({claim_state::refused, {}, std::move(reason)});
}

void log_claim_service::claim(const std::string& scope, const idempotency_key& key,
                              const request_id& request, claim_handler handler)
{
    ++this->context->statistics.claims;
    const auto accepted = this->accept_key(scope, key);
    if (!accepted) {
        this->refuse(handler, accepted.error());
        return;
    }
    auto& partition = this->partition_of(accepted.value());
    if (const auto* holder = partition.finished_holder(accepted.value())) {
        handler({claim_state::finished, holder->outcome, {}});
        return;
    }
    const auto& settings = this->context->settings;
    if (this->stopping || partition.unsettled() >= settings.queued_records) {
        this->refuse(handler, make_error(errc::unavailable, claim_step, {},
                                         this->stopping ? "stopping" : "too many claims wait"));
        return;
    }
    const auto begun = this->context->on.timer.now();
    const bool added = this->grants.try_emplace(request, grant{accepted.value(), begun}).second;
    assert(added && "a request claims once");
    static_cast<void>(added);
    partition.submit({claim_record_kind::claim,
                      accepted.value(),
                      request,
                      this->context->on.members.self().id,
                      {}},
                     settings.claim_timeout, false,
                     [this, request, handler = std::move(handler)](const record_verdict& verdict) {
                         this->settle(request, verdict, handler);
                     });
}

void log_claim_service::settle(const request_id& request, const record_verdict& verdict,
                               const claim_handler& handler)
{
    switch (verdict.kind) {
    case verdict_kind::won:
        ++this->context->statistics.granted;
        this->grants.at(request).state = grant_state::granted;
        handler({claim_state::granted, {}, {}});
        return;
    case verdict_kind::held:
        this->grants.erase(request);
        handler(this->answer_held(verdict.holder));
        return;
    case verdict_kind::maybe_appended:
    case verdict_kind::appended:
        ++this->context->statistics.timed_out;
        this->give_up_claim(request);
        this->refuse(handler, make_error(errc::timed_out, claim_step, "platform log",
                                         "claim was withdrawn"));
        return;
    case verdict_kind::not_appended:
        ++this->context->statistics.timed_out;
        this->grants.erase(request);
        this->refuse(handler, make_error(errc::unavailable, claim_step, "platform log"));
        return;
    case verdict_kind::uncovered:
        this->give_up_claim(request);
        this->refuse(handler, make_error(errc::stale, claim_step, "platform log",
                                         "records of the key may have expired"));
        return;
    case verdict_kind::vacant:
    case verdict_kind::expired:
    case verdict_kind::overused:
        break;
    }
    this->grants.erase(request);
    const bool vacant = verdict.kind == verdict_kind::vacant;
    this->refuse(handler,
                 make_error(vacant ? errc::conflict : errc::invalid_argument, claim_step, {},
                            vacant ? "another request held the key meanwhile"
                                   : "key is out of its time or was tried too often"));
}

// The record may be in the log or may still get there, and nobody else is allowed to free the
// key. The release also voids a claim that takes effect after it.
void log_claim_service::give_up_claim(const request_id& request)
{
    this->end(request, claim_record_kind::released, {}, [](const result<void>&) {});
}

/// Whether the holder may still be at work and will end the claim.
bool log_claim_service::holder_runs(const claim_holder& holder) const
{
    const auto& members = this->context->on.members;
    if (holder.end != claim_end::open ||
        this->context->on.timer.wall_now() > holder.since + this->context->settings.run_limit) {
        return false;
    }
    if (holder.node == members.self().id) {
        return this->grants.contains(holder.request);
    }
    const auto peers = members.peers();
    return std::any_of(peers.begin(), peers.end(),
                       [&](const member& peer) { return peer.id == holder.node; });
}

claim_answer log_claim_service::answer_held(const claim_holder& holder) const
{
    if (holder.end == claim_end::finished) {
        return {claim_state::finished, holder.outcome, {}};
    }
    return {this->holder_runs(holder) ? claim_state::running : claim_state::unknown, {}, {}};
}

// The state leaves `granted` before the caller dispatches and comes back only through
// `not_dispatched`, so a release can never follow a dispatch, however long the caller is paused
// between this answer and its first byte. Nobody else frees the key, so no other request runs.
bool log_claim_service::dispatch_allowed(const request_id& request)
{
    const auto found = this->grants.find(request);
    if (found == this->grants.end() || found->second.state != grant_state::granted) {
        return false;
    }
    const auto age = this->context->on.timer.now() - found->second.begun;
    if (age > this->context->settings.grant_limit) {
        return false;
    }
    found->second.state = grant_state::dispatched;
    return true;
}

void log_claim_service::not_dispatched(const request_id& request)
{
    const auto found = this->grants.find(request);
    if (found != this->grants.end() && found->second.state == grant_state::dispatched) {
        found->second.state = grant_state::granted;
    }
}

void log_claim_service::release(const request_id& request, done_handler handler)
{
    const auto found = this->grants.find(request);
    if (found == this->grants.end() || found->second.state != grant_state::granted) {
        handler(make_error(errc::conflict, "release claim", {}, "not granted or dispatched"));
        return;
    }
    this->end(request, claim_record_kind::released, {}, std::move(handler));
}

void log_claim_service::finish(const request_id& request, recorded_outcome outcome,
                               done_handler handler)
{
    const auto found = this->grants.find(request);
    if (found == this->grants.end() || found->second.state != grant_state::dispatched) {
        handler(make_error(errc::conflict, "record outcome", {}, "was not dispatched"));
        return;
    }
    if (outcome.body.size() > this->context->settings.outcome_body_limit) {
        outcome.body.clear();
    }
    outcome.content_type.resize(std::min(outcome.content_type.size(), longest_name));
    outcome.digest.resize(std::min(outcome.digest.size(), longest_name));
    this->end(request, claim_record_kind::finished, std::move(outcome), std::move(handler));
}

void log_claim_service::abandon(const request_id& request)
{
    const auto found = this->grants.find(request);
    if (found != this->grants.end() && found->second.state == grant_state::dispatched) {
        this->end(request, claim_record_kind::abandoned, {}, [](const result<void>&) {});
    }
}

/// Appends the last record of a claim, however long the log is out, but no longer than the key
/// is of use; the handler waits no longer than the record timeout.
void log_claim_service::end(const request_id& request, claim_record_kind kind,
                            recorded_outcome outcome, done_handler handler)
{
    auto& ending = this->grants.at(request);
    ending.state = grant_state::ending;
    const auto& settings = this->context->settings;
    auto waiting = std::make_shared<done_handler>(std::move(handler));
    const auto late = this->context->on.timer.call_after(settings.record_timeout, [waiting] {
        std::exchange(*waiting,
                      nullptr)(make_error(errc::timed_out, "append end of claim", "platform log"));
    });
    const auto patience = settings.table.max_key_age + 2 * settings.table.clock_tolerance;
    this->partition_of(ending.key)
        .submit(
            {kind, ending.key, request, this->context->on.members.self().id, std::move(outcome)},
            patience, false, [this, request, waiting, late](const record_verdict& verdict) {
                this->grants.erase(request);
                this->context->on.timer.cancel(late);
                if (*waiting && verdict.kind == verdict_kind::appended) {
                    std::exchange(*waiting, nullptr)(boost::outcome_v2::success());
                }
            });
}

/// Whether a record is small enough not to endanger the append of its whole batch.
static bool is_bounded(const claim_record& record, std::size_t body_limit)
{
    return record.request.value().size() <= longest_name &&
           record.node.value().size() <= longest_name &&
           record.outcome.content_type.size() <= longest_name &&
           record.outcome.digest.size() <= longest_name && record.outcome.body.size() <= body_limit;
}

void log_claim_service::serve(const std::string& request, const peer_rpc::answer_handler& answer)
{
    auto batch = decode_claim_batch(request);
    const auto count = static_cast<std::uint32_t>(this->partitions.size());
    const auto unfit = [&](const claim_record& record) {
        return record.kind == claim_record_kind::marker ||
               !is_bounded(record, this->context->settings.outcome_body_limit) ||
               claim_partition_of(record.key, count) != batch.value().partition;
    };
    // A node with another number of partitions would look for rivals in other streams.
    if (!batch || batch.value().records.empty() || batch.value().partition >= count ||
        batch.value().records.size() > this->context->settings.batch_records ||
        std::any_of(batch.value().records.begin(), batch.value().records.end(), unfit)) {
        answer(make_error(errc::invalid_argument, "append claims for a peer"));
        return;
    }
    auto& partition = *this->partitions[batch.value().partition];
    if (this->stopping || partition.unsettled() >= this->context->settings.queued_records) {
        answer(make_error(errc::unavailable, "append claims for a peer", {}, "too busy"));
        return;
    }
    ++this->context->statistics.served_calls;

    struct progress {
        std::vector<record_verdict> verdicts;
        std::size_t open = 0;
    };

    auto state = std::make_shared<progress>();
    state->open = batch.value().records.size();
    state->verdicts.resize(state->open);
    const auto patience = part_of(served_share, this->context->settings.owner_timeout);
    for (std::size_t index = 0; index < state->verdicts.size(); ++index) {
        partition.submit(std::move(batch.value().records[index]), patience, true,
                         [state, index, answer](const record_verdict& verdict) {
                             state->verdicts[index] = verdict;
                             if (--state->open == 0) {
                                 answer(encode_verdicts(state->verdicts));
                             }
                         });
    }
}

void log_claim_service::maintain()
{
    if (this->stopping) {
        return;
    }
    for (std::uint32_t number = 0; number < this->partitions.size(); ++number) {
        this->keep_marked(number);
    }
    this->sweep_grants();
    this->context->on.timer.call_after(marker_interval(this->context->settings) / 2,
                                       [this] { this->maintain(); });
}

// In a quiet stream all records may expire, and a node that starts reading then could not tell
// that none of them concerned a key. A marker now and then keeps one record older than any key.
void log_claim_service::keep_marked(std::uint32_t number)
{
    auto& partition = *this->partitions[number];
    const auto quiet = this->context->on.timer.wall_now() - partition.records().newest();
    if (!partition.is_owner() || quiet < marker_interval(this->context->settings)) {
        return;
    }
    const auto name = this->context->on.members.self().id.value() + "-" +
                      make_uuid_v7(this->context->on.timer.wall_now(), this->context->on.random);
    partition.submit(
        {claim_record_kind::marker, {}, request_id{name}, this->context->on.members.self().id, {}},
        marker_interval(this->context->settings) / 4, true, [](const record_verdict&) {});
}

/// Ends grants that their requests left open, once no caller can ask for the key any more.
void log_claim_service::sweep_grants()
{
    const auto oldest = this->context->on.timer.now() - this->context->settings.table.max_key_age;
    std::vector<request_id> unused;
    for (const auto& [request, open] : this->grants) {
        if (open.state == grant_state::granted && open.begun < oldest) {
            unused.push_back(request);
        }
    }
    for (const auto& request : unused) {
        this->give_up_claim(request);
    }
    std::erase_if(this->grants, [&](const auto& entry) {
        return entry.second.state == grant_state::dispatched && entry.second.begun < oldest;
    });
}

} // namespace eelgrassbend
