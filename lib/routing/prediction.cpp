#include "eelgrassbend/routing/prediction.h"

#include <algorithm>

namespace eelgrassbend {

namespace {

/// Network latency and the remainder of the engine step in progress when a request arrives.
constexpr duration first_token_base = std::chrono::milliseconds{40};

} // namespace

static std::int64_t cached_tokens(const service_table& table, endpoint_index index,
                                  const route_request& request)
{
    const auto blocks = table.prefixes().held_blocks(index, request.prefix);
    const auto tokens = static_cast<double>(blocks) * prefix_block_tokens;
    const auto sure = static_cast<std::int64_t>(tokens * table.prefixes().confidence(index));
    return std::min(sure, request.prompt_tokens.value());
}

static duration slot_wait(const service_table& table, const endpoint_record& record)
{
    const double excess = record.load.total_attempts() + 1.0 - record.load.slots();
    if (excess <= 0.0) {
        return duration::zero();
    }
    const auto release = static_cast<double>(table.mean_hold_time().count()) / record.load.slots();
    return duration{static_cast<duration::rep>(release * excess)};
}

/// Prompt processing occupies the whole host, output one slot's share of it.
static money host_cost(const service_table& table, const endpoint_record& record,
                       std::int64_t uncached, duration output_time)
{
    const auto prompt_time = table.expected_prompt_time(record) * uncached;
    const auto held = prompt_time + output_time / record.load.slots();
    const double hours = std::chrono::duration<double, std::ratio<3600>>{held}.count();
    const auto price = static_cast<double>(record.price_per_hour.value());
    return money{static_cast<std::int64_t>(price * hours)};
}

prediction predict(const service_table& table, endpoint_index index, const route_request& request)
{
    const auto& record = table.at(index);
    prediction expected;
    expected.cached_tokens = cached_tokens(table, index, request);
    const auto uncached = request.prompt_tokens.value() - expected.cached_tokens;
    expected.prompt_work = uncached + record.load.pending_prompt_tokens();
    expected.slot_wait = slot_wait(table, record);

    const auto prompt_time = table.expected_prompt_time(record) * expected.prompt_work;
    expected.first_token =
        first_token_base + expected.slot_wait + prompt_time + record.latency.lateness();
    expected.delay = expected.slot_wait + record.latency.lateness() +
                     table.expected_prompt_time(record) * record.load.pending_prompt_tokens();
    expected.token_time =
        std::max(record.latency.recent_token_time(), table.expected_token_time(record));
    const auto output = std::max<std::int64_t>(1, request.expected_output.value());
    const auto output_time = expected.token_time * output;
    expected.completion = expected.first_token + output_time;
    expected.cost = host_cost(table, record, uncached, output_time);
    return expected;
}

} // namespace eelgrassbend
