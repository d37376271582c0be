#include "eelgrassbend/quarantine/crash_detector.h"

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace eelgrassbend {

/// Attempts whose probe is under way, for each address; more were queued behind them.
static constexpr std::size_t max_pending_attempts = 64;

static const char* to_text(reachability result)
{
    switch (result) {
    case reachability::accepting:
        return "accepting";
    case reachability::refused:
        return "refused";
    case reachability::unknown:
        break;
    }
    return "unknown";
}

crash_detector::crash_detector(reachability_probe& probes, part_quarantine& quarantine,
                               scheduler& time, event_log& log, metrics& counters)
    : probes(probes), quarantine(quarantine), time(time), log(log), counters(counters)
{
}

void crash_detector::handle_lost_attempt(lost_attempt lost)
{
    if (lost.parts.empty()) {
        return;
    }
    const auto address = lost.address;
    auto& waiting = this->pending[address];
    const bool is_probing = !waiting.empty();
    if (waiting.size() < max_pending_attempts || lost.has_answer_begun) {
        waiting.push_back({std::move(lost), this->time.now()});
    }
    if (is_probing) {
        return;
    }
    this->probes.probe(address, this->scope.guard([this, address](reachability result) {
        this->handle_probe(address, result);
    }));
}

void crash_detector::handle_probe(const network_address& address, reachability result)
{
    const auto lost = std::exchange(this->pending[address], {});
    this->pending.erase(address);
    this->log.write(log_level::info, "lost_attempts_probed",
                    {{"address", address.to_string()},
                     {"endpoint", lost.front().lost.endpoint.value()},
                     {"attempts", lost.size()},
                     {"result", to_text(result)}});
    this->counters.count("eelgrassbend_lost_attempt_probes_total", {{"result", to_text(result)}},
                         1);
    if (result != reachability::refused) {
        return;
    }
    const auto now = this->time.now();
    for (const auto& [attempt, lost_at] : lost) {
        this->quarantine.record_suspect({make_crash_id(attempt.endpoint, attempt.started),
                                         stable_hash(attempt.request.value()),
                                         attempt.has_answer_begun, attempt.parts, now - lost_at},
                                        now);
    }
}

} // namespace eelgrassbend
