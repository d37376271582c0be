#include "checkpoint_keeper.h"

#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// A checkpoint is renewed when this share of its retention has passed.
static constexpr std::int64_t retention_divisor = 2;
/// Nodes spread their appends over at most this share of the retention.
static constexpr std::int64_t window_divisor = 8;
static constexpr duration longest_window = std::chrono::minutes{15};
static constexpr std::size_t digest_digits = 16;

checkpoint_keeper::checkpoint_keeper(const bundle_follower_options& options, scheduler& timers,
                                     random_source& random, log_client& log, event_log& events,
                                     const bundle_fold& fold)
    : options(options), timers(timers), random(random), log(log), events(events), fold(fold)
{
}

checkpoint_keeper::~checkpoint_keeper()
{
    this->timers.cancel(this->timer);
}

void checkpoint_keeper::folded(const log_record& record)
{
    this->since_restart.push_back({record.offset, record.appended_at, this->timers.now()});
}

void checkpoint_keeper::restarted()
{
    this->since_restart.clear();
    this->known_from = this->fold.next_offset();
}

bool checkpoint_keeper::due() const
{
    const auto restart = this->fold.restart_offset();
    // A peer's state says nothing about which checkpoints the stream holds.
    if (this->known_from > restart || this->first_retained > restart) {
        return true;
    }
    if (this->since_restart.empty()) {
        return false;
    }
    if (this->since_restart.size() >= this->options.checkpoint_records) {
        return true;
    }
    // This host's wall clock may be wrong, and its monotonic one has not seen all of the age.
    const auto& oldest = this->since_restart.front();
    const auto age = std::max<duration>(this->timers.wall_now() - oldest.appended_at,
                                        this->timers.now() - oldest.seen_at);
    return age >= this->options.retention / retention_divisor;
}

duration checkpoint_keeper::delay_window(std::size_t nodes) const
{
    // One node in a poll interval, so that the others see its checkpoint before their own turn.
    const auto fair = this->options.poll_interval * static_cast<std::int64_t>(nodes);
    return std::min({fair, this->options.retention / window_divisor, longest_window});
}

void checkpoint_keeper::check(log_offset first, std::size_t nodes)
{
    this->first_retained = first;
    const auto restart = this->fold.restart_offset();
    while (!this->since_restart.empty() && this->since_restart.front().offset < restart) {
        this->since_restart.pop_front();
    }
    if (this->timer != timer_id{} || !this->due()) {
        return;
    }
    const auto window = static_cast<std::uint64_t>(this->delay_window(nodes).count()) + 1;
    const duration delay{static_cast<std::int64_t>(random_below(this->random, window))};
    this->timer = this->timers.call_after(delay, [this] {
        this->timer = timer_id{};
        if (this->due()) {
            this->append();
        }
    });
}

void checkpoint_keeper::append()
{
    const auto checkpoint = this->fold.checkpoint();
    auto payload = encode_record(checkpoint);
    const record_id id{"checkpoint-" + std::to_string(checkpoint.next_offset.value()) + "-" +
                       sha256_hex(payload).substr(0, digest_digits)};
    const auto version = this->fold.current()->version.value();
    // A lost answer needs no care: the next read shows whether the checkpoint is there.
    this->log.append(stream_name{bundle_stream}, {{id, std::move(payload)}},
                     [this, id, version, watch = std::weak_ptr{this->alive}](const auto& outcome) {
                         if (watch.expired()) {
                             return;
                         }
                         this->events.write(
                             log_level::info, "bundle_checkpoint",
                             {{"record", id.value()},
                              {"version", version},
                              {"outcome", outcome ? "appended" : outcome.error().to_string()}});
                     });
}

} // namespace eelgrassbend
