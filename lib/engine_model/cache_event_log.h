#ifndef EELGRASSBEND_LIB_ENGINE_MODEL_CACHE_EVENT_LOG_H
#define EELGRASSBEND_LIB_ENGINE_MODEL_CACHE_EVENT_LOG_H

#include "eelgrassbend/engine_model/engine_model.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace eelgrassbend {

/// Numbers cache events, drops a configured share and makes the others visible after a delay.
class cache_event_log {
public:
    cache_event_log(std::size_t limit, duration delay, random_source& random);

    void record(monotonic_time now, cache_event_kind kind, std::vector<std::uint64_t> blocks);
    [[nodiscard]] cache_event_page read(monotonic_time now, std::uint64_t from) const;

    void set_loss(double probability) { this->loss = probability; }

private:
    struct entry {
        monotonic_time visible_from;
        cache_event event;
    };

    std::size_t limit;
    duration delay;
    random_source& random;
    double loss = 0.0;
    std::uint64_t next_sequence = 0;
    std::deque<entry> entries;
};

} // namespace eelgrassbend

#endif
