#include "eelgrassbend/quarantine/crash_detector.h"

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

/// Attempts whose probe is under way, for each address; more were queued behind them.
static constexpr std::size_t max_pending_attempts = 64;
/// Answers awaiting confirmation; beyond it the oldest ones are not used as evidence.
static constexpr std::size_t max_unconfirmed_answers = 4096;
/// Between two checks of the unconfirmed answers.
static constexpr std::chrono::milliseconds confirmation_interval{50};

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

void crash_detector::handle_answer_produced(attempt_evidence answered)
{
    if (answered.parts.empty()) {
        return;
    }
    const auto now = this->time.now();
    answered.has_answer_begun = true;
    attempt_key key{answered.request, answered.endpoint};
    this->unconfirmed_answers.insert_or_assign(
        std::move(key),
        unconfirmed_answer{std::move(answered), now, now + answer_confirmation_time});
    if (this->unconfirmed_answers.size() > max_unconfirmed_answers) {
        this->unconfirmed_answers.erase(
            std::min_element(this->unconfirmed_answers.begin(), this->unconfirmed_answers.end(),
                             [](const auto& left, const auto& right) {
                                 return left.second.answered_at < right.second.answered_at;
                             }));
    }
    this->schedule_confirmation();
}

void crash_detector::handle_answer_completed(const attempt_evidence& answered)
{
    const auto known = this->unconfirmed_answers.find({answered.request, answered.endpoint});
    if (known != this->unconfirmed_answers.end()) {
        auto& due = known->second.confirmed_at;
        due = std::min(due, this->time.now() + complete_answer_confirmation_time);
    }
}

void crash_detector::handle_cancelled_attempt(const attempt_evidence& cancelled)
{
    this->unconfirmed_answers.erase({cancelled.request, cancelled.endpoint});
}

void crash_detector::schedule_confirmation()
{
    if (this->unconfirmed_answers.empty() || std::exchange(this->is_confirmation_scheduled, true)) {
        return;
    }
    this->time.call_after(confirmation_interval, this->scope.guard([this] {
        this->is_confirmation_scheduled = false;
        this->confirm_answers();
        this->schedule_confirmation();
    }));
}

// Answers of an endpoint that is being probed are decided by the result.
void crash_detector::confirm_answers()
{
    const auto now = this->time.now();
    std::erase_if(this->unconfirmed_answers, [&](auto& entry) {
        auto& answer = entry.second;
        if (now < answer.confirmed_at) {
            return false;
        }
        const auto probed = this->pending_probes.find(answer.attempt.address);
        if (probed == this->pending_probes.end()) {
            this->confirm(answer);
        }
        else {
            probed->second.answers.push_back(std::move(answer));
        }
        return true;
    });
}

void crash_detector::confirm(const unconfirmed_answer& answer)
{
    this->quarantine.record_answer(answer.attempt.parts, answer.answered_at, this->time.now());
}

void crash_detector::handle_lost_attempt(attempt_evidence lost)
{
    if (lost.parts.empty()) {
        return;
    }
    const auto address = lost.address;
    auto& waiting = this->pending_probes[address].lost;
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
    auto ended = std::exchange(this->pending_probes[address], {});
    this->pending_probes.erase(address);
    this->log.write(log_level::info, "lost_attempts_probed",
                    {{"address", address.to_string()},
                     {"endpoint", ended.lost.front().attempt.endpoint.value()},
                     {"attempts", ended.lost.size()},
                     {"result", to_text(result)}});
    this->counters.count("eelgrassbend_lost_attempt_probes_total", {{"result", to_text(result)}},
                         1);
    if (result == reachability::accepting) {
        std::for_each(ended.answers.begin(), ended.answers.end(),
                      [this](const unconfirmed_answer& answer) { this->confirm(answer); });
        return;
    }
    this->collect_answers(address, ended);
    if (result == reachability::refused) {
        this->record_crash(ended);
    }
}

void crash_detector::collect_answers(const network_address& address, pending_probe& probe)
{
    std::erase_if(this->unconfirmed_answers, [&](auto& entry) {
        if (entry.second.attempt.address != address) {
            return false;
        }
        probe.answers.push_back(std::move(entry.second));
        return true;
    });
}

void crash_detector::record_crash(const pending_probe& ended)
{
    for (const auto& lost : ended.lost) {
        this->record_suspect(lost.attempt, lost.lost_at);
    }
    const auto crashed_at = ended.lost.front().lost_at;
    for (const auto& answer : ended.answers) {
        this->record_suspect(answer.attempt, std::max(crashed_at, answer.answered_at));
    }
}

void crash_detector::record_suspect(const attempt_evidence& suspect, monotonic_time crashed_at)
{
    const auto now = this->time.now();
    this->quarantine.record_suspect({make_crash_id(suspect.endpoint, suspect.started),
                                     stable_hash(suspect.request.value()), suspect.has_answer_begun,
                                     suspect.parts, now - crashed_at},
                                    now);
}

} // namespace eelgrassbend
