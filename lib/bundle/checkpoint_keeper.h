#ifndef EELGRASSBEND_LIB_BUNDLE_CHECKPOINT_KEEPER_H
#define EELGRASSBEND_LIB_BUNDLE_CHECKPOINT_KEEPER_H

#include "eelgrassbend/bundle/bundle_follower.h"

#include <deque>
#include <memory>

namespace eelgrassbend {

/// Appends a checkpoint before the newest one in the stream becomes useless. Every node does
/// this after a random delay, so that usually one does it and the others see its record.
class checkpoint_keeper {
public:
    /// All references must outlive the keeper.
    checkpoint_keeper(const bundle_follower_options& options, scheduler& timers,
                      random_source& random, log_client& log, event_log& events,
                      const bundle_fold& fold);
    checkpoint_keeper(const checkpoint_keeper&) = delete;
    checkpoint_keeper& operator=(const checkpoint_keeper&) = delete;
    ~checkpoint_keeper();

    /// A record was folded.
    void folded(const log_record& record);
    /// The fold starts again at its next offset.
    void restarted();
    /// After each read to the end of the log.
    void check(log_offset first_retained, std::size_t nodes);

private:
    struct record_time {
        log_offset offset;
        wall_time appended_at;
        monotonic_time seen_at;
    };

    [[nodiscard]] bool due() const;
    [[nodiscard]] duration delay_window(std::size_t nodes) const;
    void append();

    const bundle_follower_options& options;
    scheduler& timers;
    random_source& random;
    log_client& log;
    event_log& events;
    const bundle_fold& fold;
    std::deque<record_time> since_restart; ///< records that a new node would have to read
    log_offset known_from;
    log_offset first_retained;
    timer_id timer;
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

} // namespace eelgrassbend

#endif
