#include "eelgrassbend/bundle/bundle_follower.h"

#include "bundle_pull.h"
#include "checkpoint_keeper.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr const char* hint_topic = "bundle";
/// What a rumour carries at most, less the envelope of the record in it.
static constexpr std::size_t max_hinted_payload = 640;
static constexpr std::size_t max_pulled_records = 64;
static constexpr std::size_t max_pulled_bytes = 1'000'000;
static constexpr double jitter_share = 0.25;
static constexpr std::uint32_t max_backoff_steps = 8;

bundle_follower::bundle_follower(bundle_follower_options options, operator_set trusted,
                                 scheduler& timers, random_source& random, log_client& log,
                                 event_log& events, peer_rpc& peers, const membership& members,
                                 dissemination& spread)
    : options(options),
      timers(timers),
      random(random),
      events(events),
      peers(peers),
      members(members),
      spread(spread),
      fold(std::move(trusted)),
      reader(timers, log, stream_name{bundle_stream}, this->fold),
      keeper(std::make_unique<checkpoint_keeper>(this->options, timers, random, log, events,
                                                 this->fold))
{
    this->reader.observe(
        [this](const auto& record, const auto& decision) { this->take_decision(record, decision); },
        [this] { this->take_adoption("checkpoint"); });
    const std::weak_ptr watch{this->alive};
    this->peers.serve(peer_method::bundle_pull,
                      [this, watch](const std::string& request, const auto& answer) {
                          const auto from = decode_pull(request);
                          if (watch.expired() || !from) {
                              answer(make_error(errc::invalid_argument, "pull bundles"));
                              return;
                          }
                          answer(this->answer_pull(from.value()));
                      });
    this->spread.subscribe(hint_topic, [this, watch](const std::string& payload) {
        if (!watch.expired()) {
            this->take_hint(payload);
        }
    });
}

bundle_follower::~bundle_follower()
{
    this->stop();
}

void bundle_follower::start()
{
    this->running = true;
    this->schedule_poll(duration::zero());
}

void bundle_follower::stop()
{
    this->running = false;
    this->timers.cancel(this->poll_timer);
}

std::shared_ptr<const bundle> bundle_follower::current() const
{
    return this->fold.current();
}

bool bundle_follower::fresh() const
{
    return this->whole_at && !this->fold.unsupported() &&
           this->timers.now() - *this->whole_at <= this->options.staleness_bound;
}

void bundle_follower::on_change(change_observer observer)
{
    this->observers.push_back(std::move(observer));
}

void bundle_follower::schedule_poll(duration delay)
{
    this->timers.cancel(this->poll_timer);
    this->poll_timer = this->timers.call_after(delay, [this] { this->poll(); });
}

duration bundle_follower::jittered(duration delay)
{
    const auto factor = 1.0 + jitter_share * (2.0 * random_unit(this->random) - 1.0);
    return part_of(factor, delay);
}

void bundle_follower::poll()
{
    if (!this->running || this->polling) {
        return;
    }
    this->polling = true;
    this->poll_sent = this->timers.now();
    this->reader.catch_up([this](const auto& outcome) { this->finish_poll(outcome); });
}

void bundle_follower::finish_poll(const result<void>& outcome)
{
    this->polling = false;
    if (outcome) {
        this->failures = 0;
        this->whole_at =
            std::max(this->whole_at.value_or(monotonic_time{}), this->reader.whole_at());
        this->keeper->check(this->reader.first_retained(), this->members.peers().size() + 1);
        this->publish_hint();
        this->schedule_poll(this->jittered(this->options.poll_interval));
        return;
    }
    if (this->failures == 0) {
        this->events.write(log_level::warning, "bundle_read_failed",
                           {{"error", outcome.error().to_string()},
                            {"next_offset", this->fold.next_offset().value()}});
    }
    this->note_outage(outcome.error());
    this->pull();
    this->failures = std::min(this->failures + 1, max_backoff_steps);
    const auto backoff = std::min(this->options.poll_interval * (1U << (this->failures - 1)),
                                  this->options.longest_backoff);
    this->schedule_poll(this->jittered(backoff));
}

void bundle_follower::note_outage(const error& failure)
{
    // While the log itself says that it takes nothing, nothing can come into force. What was
    // appended before is known to some peer, so that one must have been heard as well. After a
    // gap in these answers, as a paused process has, the log may have worked in between.
    const auto recent_enough = [this](const std::optional<monotonic_time>& time) {
        return time && this->poll_sent - *time <= this->options.staleness_bound;
    };
    const bool heard =
        this->members.peers().empty() || recent_enough(this->pulled_at) || this->failures == 0;
    const bool told_of_more = this->hinted_end > this->fold.next_offset();
    if (is_log_outage(failure) && heard && !told_of_more && recent_enough(this->whole_at)) {
        this->whole_at = std::max(*this->whole_at, this->poll_sent);
    }
}

void bundle_follower::take_decision(const log_record& record, const bundle_decision& decision)
{
    if (decision.verdict != bundle_verdict::unsupported) {
        this->keep(record);
        this->keeper->folded(record);
    }
    if (decision.verdict == bundle_verdict::accepted) {
        this->announce("record");
        return;
    }
    if (decision.verdict == bundle_verdict::checkpoint ||
        decision.verdict == bundle_verdict::repeated) {
        return;
    }
    this->events.write(log_level::warning, "bundle_rejected",
                       {{"offset", decision.offset.value()},
                        {"record", decision.id.value()},
                        {"verdict", to_string(decision.verdict)},
                        {"reason", decision.reason},
                        {"version", decision.version.value()},
                        {"in_force", decision.in_force.value()}});
}

void bundle_follower::take_adoption(const char* source)
{
    this->recent.clear();
    this->recent_bytes = 0;
    this->keeper->restarted();
    this->announce(source);
}

void bundle_follower::announce(const char* source)
{
    const auto contents = this->fold.current();
    if (contents->version == this->announced) {
        return;
    }
    this->events.write(log_level::info, "bundle_in_force",
                       {{"version", contents->version.value()},
                        {"previous", this->announced.value()},
                        {"record", this->fold.accepted_record().value()},
                        {"next_offset", this->fold.next_offset().value()},
                        {"source", source}});
    this->announced = contents->version;
    for (const auto& observer : this->observers) {
        observer(contents);
    }
}

void bundle_follower::keep(const log_record& record)
{
    this->recent.push_back(record);
    this->recent_bytes += record.payload.size();
    while (this->recent.size() > this->options.kept_records ||
           this->recent_bytes > this->options.kept_bytes) {
        this->recent_bytes -= this->recent.front().payload.size();
        this->recent.pop_front();
    }
}

void bundle_follower::fold_from_peer(const log_record& record)
{
    const bool next = this->reader.based() && !this->fold.unsupported() &&
                      record.offset == this->fold.next_offset();
    if (next) {
        this->take_decision(record, this->fold.apply(record));
    }
}

void bundle_follower::publish_hint()
{
    const auto end = this->fold.next_offset();
    if (end <= this->hinted_end) {
        return;
    }
    this->hinted_end = end;
    stream_hint hint{end, std::nullopt};
    if (!this->recent.empty() && this->recent.back().payload.size() <= max_hinted_payload) {
        hint.record = this->recent.back();
    }
    this->spread.publish(hint_topic, encode_hint(hint));
}

void bundle_follower::take_hint(const std::string& payload)
{
    const auto hint = decode_hint(payload);
    if (!hint || !this->running) {
        return;
    }
    this->hinted_end = std::max(this->hinted_end, hint.value().end);
    if (hint.value().record) {
        this->fold_from_peer(*hint.value().record);
    }
    if (this->fold.next_offset() >= hint.value().end || this->polling) {
        return;
    }
    if (this->failures > 0) {
        this->pull();
        return;
    }
    const auto bound = static_cast<std::uint64_t>(this->options.hint_delay.count()) + 1;
    this->schedule_poll(duration{static_cast<std::int64_t>(random_below(this->random, bound))});
}

void bundle_follower::pull()
{
    auto known = this->members.peers();
    if (this->pulling || known.empty()) {
        return;
    }
    this->pulling = true;
    // Those that are known to be ahead come first.
    const auto ahead = std::partition(known.begin(), known.end(), [&](const member& peer) {
        return peer.bundle > this->fold.current()->version;
    });
    if (ahead != known.begin()) {
        known.erase(ahead, known.end());
    }
    const auto peer = known[random_below(this->random, known.size())].calls;
    this->peers.call(peer, peer_method::bundle_pull, encode_pull(this->fold.next_offset()),
                     this->options.peer_timeout,
                     [this, peer, sent = this->timers.now(),
                      watch = std::weak_ptr{this->alive}](const result<std::string>& answer) {
                         if (!watch.expired()) {
                             this->pulling = false;
                             this->take_pulled(peer, answer, sent);
                         }
                     });
}

void bundle_follower::take_pulled(const network_address& peer, const result<std::string>& answer,
                                  monotonic_time sent)
{
    if (!answer || !this->running) {
        return;
    }
    const auto decoded = decode_pulled(answer.value());
    if (!decoded) {
        this->events.write(log_level::warning, "bundle_pull_malformed",
                           {{"peer", peer.to_string()}, {"error", decoded.error().to_string()}});
        return;
    }
    const auto& pulled = decoded.value();
    const auto before = this->fold.next_offset();
    if (!pulled.checkpoint.empty() && pulled.next_offset > before) {
        const auto record = decode_record(pulled.checkpoint);
        const auto* state = record ? std::get_if<bundle_checkpoint>(&record.value()) : nullptr;
        if (state != nullptr && this->fold.adopt(*state, false)) {
            this->reader.set_based();
            this->take_adoption("peer");
        }
    }
    if (!pulled.records.empty() && pulled.records.front().offset == log_offset{}) {
        this->reader.set_based(); // the peer has the stream from its start
    }
    for (const auto& record : pulled.records) {
        this->fold_from_peer(record);
    }
    if (!pulled.age) {
        return;
    }
    if (this->fold.next_offset() >= pulled.next_offset) {
        if (*pulled.age <= this->options.staleness_bound) {
            this->pulled_at = sent;
        }
        // The peer's view was whole `age` before it answered, and it answered after `sent`.
        const auto whole = sent - *pulled.age;
        this->whole_at = std::max(this->whole_at.value_or(whole), whole);
        return;
    }
    if (this->fold.next_offset() > before) {
        this->pull();
    }
}

std::string bundle_follower::answer_pull(log_offset from) const
{
    pulled_records answer;
    if (!this->reader.based() || this->fold.unsupported()) {
        return encode_pulled(answer);
    }
    answer.next_offset = this->fold.next_offset();
    if (this->whole_at) {
        answer.age = this->timers.now() - *this->whole_at;
    }
    const auto kept_from = answer.next_offset - log_offset{this->recent.size()};
    if (from < kept_from) {
        answer.checkpoint = encode_record(this->fold.checkpoint());
        return encode_pulled(answer);
    }
    std::size_t bytes = 0;
    for (auto index = from.value() - kept_from.value(); index < this->recent.size(); ++index) {
        const auto& record = this->recent[index];
        bytes += record.payload.size();
        const bool full = answer.records.size() >= max_pulled_records || bytes > max_pulled_bytes;
        if (full && !answer.records.empty()) {
            break;
        }
        answer.records.push_back(record);
    }
    return encode_pulled(answer);
}

} // namespace eelgrassbend
