#include "eelgrassbend/limits/shared_limiter.h"

#include <algorithm>
#include <map>

namespace eelgrassbend {

namespace {

/// Part of the hourly cost that may be spent at once.
constexpr double cost_burst_hours = 1.0 / 6.0;
constexpr double seconds_per_hour = 3600.0;
/// Weight of the latest interval in the average request rate.
constexpr double request_rate_weight = 0.3;
/// Retry delay when too many requests run.
constexpr duration concurrency_retry_delay = std::chrono::seconds{1};
/// Accounts unused for this long are removed.
constexpr duration account_lifetime = std::chrono::minutes{10};

} // namespace

shared_limiter::shared_limiter(scheduler& timers, const bundle_view& bundles, limit_peers& peers)
    : timers(timers), bundles(bundles), peers(peers)
{
    peers.set_receiver(
        [this](const limit_share_message& message) { this->handle_shares(message); });
    this->next_exchange = timers.call_after(share_interval, [this] { this->exchange_shares(); });
}

shared_limiter::~shared_limiter()
{
    this->timers.cancel(this->next_exchange);
    this->peers.set_receiver([](const limit_share_message&) {});
}

std::optional<limit_refusal> shared_limiter::admit(const organisation_id& organisation,
                                                   const request_id& request, money expected_cost)
{
    const auto current = this->bundles.current();
    const auto spec =
        std::ranges::find(current->organisations, organisation, &organisation_spec::id);
    if (spec == current->organisations.end()) {
        return limit_refusal{"organisation", concurrency_retry_delay};
    }
    auto& known = this->find_or_create_account(*spec);
    ++known.requests_since_exchange;
    const auto now = this->timers.now();
    known.last_used = now;
    this->apply_share(*spec, known);
    auto refusal = this->check(*spec, known, expected_cost);
    if (refusal) {
        return refusal;
    }
    known.requests.take(now, 1.0);
    known.cost.take(now, static_cast<double>(expected_cost.value()));
    ++known.concurrent;
    this->admitted.insert_or_assign(request, admitted_request{organisation, expected_cost});
    return std::nullopt;
}

void shared_limiter::release(const request_id& request, money cost)
{
    const auto found = this->admitted.find(request);
    if (found == this->admitted.end()) {
        return;
    }
    const auto account = this->accounts.find(found->second.organisation);
    if (account != this->accounts.end()) {
        --account->second.concurrent;
        const auto difference = cost - found->second.expected_cost;
        account->second.cost.take(this->timers.now(), static_cast<double>(difference.value()));
    }
    this->admitted.erase(found);
}

double shared_limiter::share(const organisation_id& organisation) const
{
    const auto found = this->accounts.find(organisation);
    return found == this->accounts.end() ? 0.0 : found->second.shares.share();
}

shared_limiter::account& shared_limiter::find_or_create_account(const organisation_spec& spec)
{
    const auto now = this->timers.now();
    const auto [found, created] = this->accounts.try_emplace(spec.id);
    if (created) {
        found->second.shares = share_account{now};
        found->second.shares.update(now, 0.0, this->peers.shard_peers(spec.id));
    }
    return found->second;
}

void shared_limiter::apply_share(const organisation_spec& spec, account& known)
{
    const auto now = this->timers.now();
    const double share = known.shares.share();
    const double burst = std::max(spec.burst, 1.0);
    known.requests.configure(now, spec.requests_per_second * share, std::max(1.0, burst * share));
    const auto hourly = static_cast<double>(spec.cost_per_hour.value()) * share;
    known.cost.configure(now, hourly / seconds_per_hour, hourly * cost_burst_hours);
}

std::optional<limit_refusal> shared_limiter::check(const organisation_spec& spec,
                                                   const account& known, money cost) const
{
    const auto now = this->timers.now();
    if (spec.concurrent_requests > 0) {
        const double allowed = spec.concurrent_requests * known.shares.share();
        if (known.concurrent >= std::max(1U, static_cast<std::uint32_t>(allowed))) {
            return limit_refusal{"concurrency", concurrency_retry_delay};
        }
    }
    if (spec.requests_per_second > 0.0) {
        const auto wait = known.requests.wait_for(now, 1.0);
        if (wait > duration::zero()) {
            return limit_refusal{"rate", wait};
        }
    }
    if (spec.cost_per_hour.value() > 0) {
        const auto wait = known.cost.wait_for(now, static_cast<double>(cost.value()));
        if (wait > duration::zero()) {
            return limit_refusal{"cost", wait};
        }
    }
    return std::nullopt;
}

void shared_limiter::exchange_shares()
{
    const auto now = this->timers.now();
    const double seconds = std::chrono::duration<double>{share_interval}.count();
    std::map<node_id, limit_share_message> messages;
    for (auto& [organisation, known] : this->accounts) {
        const double latest_rate = static_cast<double>(known.requests_since_exchange) / seconds;
        known.request_rate += (latest_rate - known.request_rate) * request_rate_weight;
        known.requests_since_exchange = 0;
        const auto shard = this->peers.shard_peers(organisation);
        known.shares.update(now, known.request_rate, shard);
        for (const auto& peer : shard) {
            auto& message = messages[peer];
            message.from = this->peers.self();
            message.usages.push_back({organisation, known.request_rate, known.shares.share()});
        }
    }
    for (const auto& [peer, message] : messages) {
        this->peers.send(peer, message);
    }
    std::erase_if(this->accounts, [&](const auto& entry) {
        return entry.second.concurrent == 0 && now - entry.second.last_used > account_lifetime;
    });
    this->next_exchange =
        this->timers.call_after(share_interval, [this] { this->exchange_shares(); });
}

void shared_limiter::handle_shares(const limit_share_message& message)
{
    const auto current = this->bundles.current();
    for (const auto& usage : message.usages) {
        const auto spec =
            std::ranges::find(current->organisations, usage.organisation, &organisation_spec::id);
        if (spec != current->organisations.end()) {
            this->find_or_create_account(*spec).shares.record_peer_usage(this->timers.now(),
                                                                         message.from, usage);
        }
    }
}

} // namespace eelgrassbend
