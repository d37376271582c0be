#ifndef EELGRASSBEND_ENGINE_MODEL_ENGINE_SETTINGS_H
#define EELGRASSBEND_ENGINE_MODEL_ENGINE_SETTINGS_H

#include "eelgrassbend/support/ids.h"
#include "eelgrassbend/support/units.h"

#include <cstddef>
#include <cstdint>

namespace eelgrassbend {

/// Parameters of one simulated model engine.
struct engine_settings {
    std::uint32_t slots = 16;      ///< maximum of running attempts
    std::size_t queue_limit = 256; ///< maximum of waiting attempts

    duration step_base = std::chrono::milliseconds{18}; ///< duration of a step without attempts
    duration step_per_stream = std::chrono::microseconds{600}; ///< added for each decoding attempt
    double prefill_tokens_per_second = 8000.0;
    std::int64_t prefill_chunk_tokens = 160; ///< maximum of prompt tokens in one step

    std::size_t cache_blocks = 8192;                             ///< capacity of the prefix cache
    duration cache_event_delay = std::chrono::milliseconds{500}; ///< until an event is visible
    double cache_event_loss = 0.0;                               ///< share of events that are lost
    std::size_t cache_event_limit = 4096;                        ///< events stored for readers

    duration load_report_lag = std::chrono::milliseconds{500};

    std::int64_t kv_bytes_per_token = 131'072;
    double kv_bytes_per_second = 5.0e9;
    std::int64_t weight_bytes = 16'000'000'000;
    double weight_bytes_per_second = 2.0e9;

    bool checks_fencing = true; ///< refuse orders with a token below the highest received one
    model_id initial_model;     ///< loaded at the start; empty: none
};

} // namespace eelgrassbend

#endif
