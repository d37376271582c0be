#ifndef EELGRASSBEND_BUNDLE_BUNDLE_FOLLOWER_H
#define EELGRASSBEND_BUNDLE_BUNDLE_FOLLOWER_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/bundle/bundle_fold.h"
#include "eelgrassbend/bundle/bundle_stream_reader.h"
#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/membership/membership.h"
#include "eelgrassbend/peers/peer_transport.h"
#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrassbend {

class checkpoint_keeper;
struct pulled_records;

struct bundle_follower_options {
    duration poll_interval{std::chrono::seconds{2}};
    duration longest_backoff{std::chrono::seconds{4}}; ///< between reads while they fail
    /// Within it the node must have known its view to be whole. Several times the backoff, less
    /// than the time in which a bundle must be in force everywhere.
    duration staleness_bound{std::chrono::seconds{10}};
    duration hint_delay{std::chrono::milliseconds{500}}; ///< at most, before a hinted read
    duration peer_timeout{std::chrono::seconds{1}};
    /// How long the platform keeps records, at least.
    duration retention{std::chrono::hours{24}};
    std::size_t checkpoint_records = 128;     ///< a new node reads about so many at most
    std::size_t kept_records = 256;           ///< for peers
    std::size_t kept_bytes = 4 * 1024 * 1024; ///< for peers
};

/// Follows the bundle stream through the log and, as a second source, through peers. Records
/// are folded in order of offset only, wherever they come from.
class bundle_follower : public bundle_view {
public:
    using change_observer = std::function<void(const std::shared_ptr<const bundle>&)>;

    /// All references must outlive the follower. `trusted` signs the first bundle.
    bundle_follower(bundle_follower_options options, operator_set trusted, scheduler& timers,
                    random_source& random, log_client& log, event_log& events, peer_rpc& peers,
                    const membership& members, dissemination& spread);
    bundle_follower(const bundle_follower&) = delete;
    bundle_follower& operator=(const bundle_follower&) = delete;
    ~bundle_follower() override;

    void start();
    void stop();

    [[nodiscard]] std::shared_ptr<const bundle> current() const override;
    /// Asks the clock at each call: a process that was paused answers false before it has read
    /// anything.
    [[nodiscard]] bool fresh() const override;
    /// Called with each version that comes into force.
    void on_change(change_observer observer);

    [[nodiscard]] log_offset next_offset() const { return this->fold.next_offset(); }

private:
    void schedule_poll(duration delay);
    [[nodiscard]] duration jittered(duration delay);
    void poll();
    void finish_poll(const result<void>& outcome);
    void note_outage(const error& failure);
    void take_decision(const log_record& record, const bundle_decision& decision);
    void take_adoption(const char* source);
    void announce(const char* source);
    void keep(const log_record& record);
    void fold_from_peer(const log_record& record);

    void publish_hint();
    void take_hint(const std::string& payload);
    void pull();
    void take_pulled(const network_address& peer, const result<std::string>& answer,
                     monotonic_time sent);
    [[nodiscard]] std::string answer_pull(log_offset from) const;

    bundle_follower_options options;
    scheduler& timers;
    random_source& random;
    event_log& events;
    peer_rpc& peers;
    const membership& members;
    dissemination& spread;
    bundle_fold fold;
    bundle_stream_reader reader;
    std::unique_ptr<checkpoint_keeper> keeper;

    std::vector<change_observer> observers;
    bundle_version announced;
    std::deque<log_record> recent; ///< consecutive, up to next_offset()
    std::size_t recent_bytes = 0;
    std::optional<monotonic_time> whole_at; ///< the view was whole then
    std::optional<monotonic_time> pulled_at;
    monotonic_time poll_sent;
    log_offset hinted_end;
    std::uint32_t failures = 0;
    bool running = false;
    bool polling = false;
    bool pulling = false;
    timer_id poll_timer;
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

} // namespace eelgrassbend

#endif
