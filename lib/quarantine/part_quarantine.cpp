#include "eelgrassbend/quarantine/part_quarantine.h"

#include "eelgrassbend/logging/event_log.h"
#include "eelgrassbend/metrics/metrics.h"
#include "eelgrassbend/quarantine/crash_analysis.h"
#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassbend {

using std::chrono::minutes;
using std::chrono::seconds;

/// Time between the first crash and the decision, in which answers that had begun are confirmed and
/// other nodes, also those of other groups, report those that refute the suspicion.
static constexpr std::chrono::milliseconds settle_time{1500};
/// An answer refutes crashes up to this long after it: it shows that the part itself is harmless.
static constexpr seconds answer_validity{10};
/// Crashes further apart are not taken to have one cause.
static constexpr minutes evidence_lifetime{10};
static constexpr std::size_t max_suspects = 256;
/// Suspects of one crash; requests beyond these were queued with them.
static constexpr std::size_t max_suspects_per_crash = 16;
/// Parts with a known answer. At the target a node answers three requests a second of three shared
/// parts each, so this covers several minutes.
static constexpr std::size_t max_answers = 4096;
static constexpr std::size_t max_quarantines = 64;
/// A quarantine of level n lasts 2^n times this, and up to half as long again, so that the first
/// node to start a trial informs the others before they start theirs.
static constexpr minutes base_hold_time{2};
static constexpr std::uint32_t max_level = 6;
static constexpr double hold_time_spread = 0.5;
/// Time between the trials of one node; the outcome of a trial is known by then.
static constexpr seconds trial_interval{30};
/// A quarantine without requests is forgotten this long after it has run out.
static constexpr minutes retention_time{60};
/// Shortest time between two evaluations of the evidence.
static constexpr std::chrono::milliseconds min_decision_interval{100};
/// Time for which evidence and new decisions are reported in every digest, as datagrams are lost.
static constexpr seconds report_time{5};
/// Greatest age of an answer of another node that is relayed.
static constexpr seconds max_relayed_answer_age{20};
/// Older decisions are reported in one of this many digests, for nodes that have just started.
static constexpr std::uint64_t steady_report_period = 8;
/// Entries of one report; keep a digest within a datagram.
static constexpr std::size_t max_reported_suspects = 4;
static constexpr std::size_t max_reported_answers = 8;
static constexpr std::size_t max_reported_quarantines = 2;

/// Whether an answer at `answered_at` refutes a crash or a decision.
static bool refutes(monotonic_time answered_at, monotonic_time suspected_at)
{
    return answered_at + answer_validity >= suspected_at;
}

static bool contains_all(const part_keys& whole, const part_keys& parts)
{
    return std::includes(whole.begin(), whole.end(), parts.begin(), parts.end());
}

/// Returns the shortest hold time of all nodes.
static duration shortest_hold_time(std::uint32_t level)
{
    return base_hold_time * (1U << level);
}

/// Returns at most `count` entries; successive rounds start where the last one ended.
template <typename Entry>
static std::vector<Entry> rotate_entries(const std::vector<Entry>& entries, std::size_t count,
                                         std::uint64_t round)
{
    if (entries.size() <= count) {
        return entries;
    }
    std::vector<Entry> taken;
    for (std::size_t index = 0; index < count; ++index) {
        taken.push_back(entries[(round * count + index) % entries.size()]);
    }
    return taken;
}

part_quarantine::part_quarantine(event_log& log, metrics& counters, const node_id& self)
    : log(log), counters(counters), node_hash(stable_hash(self.value()))
{
}

void part_quarantine::record_suspect(const crash_suspect& suspect, monotonic_time now)
{
    this->add_suspect(suspect, true, now);
}

void part_quarantine::add_suspect(const crash_suspect& suspect, bool is_own, monotonic_time now)
{
    const auto first_of_crash = this->suspects.lower_bound({suspect.crash, 0});
    std::size_t of_crash = 0;
    for (auto entry = first_of_crash;
         entry != this->suspects.end() && entry->first.first == suspect.crash; ++entry) {
        if (entry->first.second == suspect.request) {
            return;
        }
        ++of_crash;
    }
    if (of_crash >= max_suspects_per_crash && !suspect.has_answer_begun) {
        return;
    }
    suspect_state state{suspect, now - suspect.age, is_own};
    this->end_failed_trials(state, now);
    this->remove_sound_parts(state, now);
    if (state.suspect.parts.empty() || suspect.age > evidence_lifetime) {
        return;
    }
    if (is_own) {
        this->counters.count("eelgrassbend_crash_suspects_total", {}, 1);
        this->log.write(log_level::warning, "crash_suspect",
                        {{"crash", part_name(suspect.crash.value())},
                         {"request_hash", part_name(suspect.request)},
                         {"answer_begun", suspect.has_answer_begun},
                         {"parts", part_names(state.suspect.parts)}});
    }
    this->suspects.emplace(suspect_key{suspect.crash, suspect.request}, std::move(state));
    this->has_new_evidence = true;
    this->has_news = this->has_news || is_own;
    if (this->suspects.size() > max_suspects) {
        this->suspects.erase(std::min_element(
            this->suspects.begin(), this->suspects.end(), [](const auto& left, const auto& right) {
                return left.second.crashed_at < right.second.crashed_at;
            }));
    }
}

void part_quarantine::remove_sound_parts(suspect_state& state, monotonic_time now)
{
    std::erase_if(state.suspect.parts, [&](part_key part) {
        const auto found = this->answers.find(part);
        if (found == this->answers.end() || !refutes(found->second.answered_at, state.crashed_at)) {
            return false;
        }
        if (found->second.is_own && !state.is_own) {
            this->report_answer(part, found->second, now);
        }
        return true;
    });
}

void part_quarantine::record_answer(const part_keys& parts, monotonic_time answered_at,
                                    monotonic_time now)
{
    for (const auto& part : parts) {
        this->record_sound(part, {answered_at, true}, now);
    }
    this->prune_answers();
}

void part_quarantine::record_sound(part_key part, const answer_state& answer, monotonic_time now)
{
    auto& known = this->answers[part];
    if (known.answered_at < answer.answered_at) {
        known = answer;
    }
    bool is_refuting = this->clear_suspects(part, known.answered_at);
    for (const auto& [parts, state] : this->quarantines) {
        is_refuting = is_refuting || (refutes(known.answered_at, state.decided_at) &&
                                      std::binary_search(parts.begin(), parts.end(), part));
    }
    if (is_refuting) {
        this->has_new_evidence = true;
        this->report_answer(part, known, now);
        this->drop_refuted(now);
    }
}

bool part_quarantine::clear_suspects(part_key part, monotonic_time answered_at)
{
    bool is_refuting = false;
    for (auto entry = this->suspects.begin(); entry != this->suspects.end();) {
        auto& parts = entry->second.suspect.parts;
        const auto found = std::lower_bound(parts.begin(), parts.end(), part);
        if (found != parts.end() && *found == part &&
            refutes(answered_at, entry->second.crashed_at)) {
            parts.erase(found);
            is_refuting = true;
        }
        entry = parts.empty() ? this->suspects.erase(entry) : std::next(entry);
    }
    return is_refuting;
}

void part_quarantine::report_answer(part_key part, const answer_state& answer, monotonic_time now)
{
    const auto known = this->reported_answers.find(part);
    this->has_news = this->has_news || (answer.is_own && known == this->reported_answers.end());
    this->reported_answers[part] = {now + report_time, answer.is_own};
}

void part_quarantine::prune_answers()
{
    if (this->answers.size() <= max_answers) {
        return;
    }
    std::vector<monotonic_time> times;
    times.reserve(this->answers.size());
    for (const auto& [part, state] : this->answers) {
        times.push_back(state.answered_at);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(this->answers,
                  [&](const auto& entry) { return entry.second.answered_at <= *middle; });
}

bool part_quarantine::is_refuted(const part_keys& parts, monotonic_time decided_at) const
{
    return std::all_of(parts.begin(), parts.end(), [&](part_key part) {
        const auto found = this->answers.find(part);
        return found != this->answers.end() && refutes(found->second.answered_at, decided_at);
    });
}

void part_quarantine::drop_refuted(monotonic_time now)
{
    std::erase_if(this->quarantines, [&](const auto& entry) {
        const auto& [parts, state] = entry;
        if (!this->is_refuted(parts, state.decided_at)) {
            return false;
        }
        this->counters.count("eelgrassbend_quarantines_ended_total", {{"reason", "answered"}}, 1);
        this->log.write(log_level::info, "quarantine_ended",
                        {{"parts", part_names(parts)},
                         {"reason", "answered"},
                         {"age_s", whole_milliseconds(now - state.decided_at) / 1000}});
        return true;
    });
}

void part_quarantine::drop_old(monotonic_time now)
{
    std::erase_if(this->suspects, [&](const auto& entry) {
        return now - entry.second.crashed_at > evidence_lifetime;
    });
    std::erase_if(this->quarantines, [&](const auto& entry) {
        const auto& [parts, state] = entry;
        const bool is_old =
            now - state.decided_at > this->hold_time(parts, state.level) + retention_time;
        if (is_old) {
            this->counters.count("eelgrassbend_quarantines_ended_total",
                                 {{"reason", "no requests"}}, 1);
            this->log.write(log_level::info, "quarantine_ended",
                            {{"parts", part_names(parts)}, {"reason", "no requests"}});
        }
        return is_old;
    });
}

void part_quarantine::apply(const crash_report& report, monotonic_time now)
{
    for (const auto& sound : report.sound) {
        const auto answered_at = now - sound.age;
        const auto found = this->answers.find(sound.part);
        // Repeats differ by the time that a datagram takes.
        constexpr std::chrono::milliseconds tolerance{500};
        if (found == this->answers.end() || found->second.answered_at + tolerance < answered_at) {
            this->record_sound(sound.part, {answered_at, false}, now);
        }
    }
    for (const auto& suspect : report.suspects) {
        this->add_suspect(suspect, false, now);
    }
    for (const auto& set : report.quarantined) {
        this->quarantine(set.parts, set.level, now - set.age, "reported by a peer", now);
    }
    this->prune_answers();
}

void part_quarantine::update(monotonic_time now)
{
    this->drop_old(now);
    if (!this->suspects.empty()) {
        this->decide(now);
    }
    this->counters.set("eelgrassbend_quarantined_part_sets", {},
                       static_cast<double>(this->quarantines.size()));
}

void part_quarantine::decide(monotonic_time now)
{
    if (!this->has_new_evidence || now < this->next_decision) {
        return;
    }
    this->next_decision = now + min_decision_interval;
    std::vector<crash_observation> observations;
    bool is_settled = true;
    for (const auto& [key, state] : this->suspects) {
        observations.push_back({key.first, key.second, state.suspect.has_answer_begun,
                                state.suspect.parts, state.crashed_at});
        is_settled = is_settled && now - state.crashed_at >= settle_time;
    }
    this->has_new_evidence = !is_settled;
    for (const auto& parts : find_common_parts(std::move(observations), settle_time, now)) {
        if (this->find_quarantined(parts) == nullptr) {
            this->quarantine(parts, 0, now, "crashes", now);
        }
    }
}

void part_quarantine::quarantine(const part_keys& parts, std::uint32_t level,
                                 monotonic_time decided_at, const char* reason, monotonic_time now)
{
    level = std::min(level, max_level);
    const auto known = this->quarantines.find(parts);
    const bool is_new = known == this->quarantines.end();
    const bool is_covered = is_new && this->find_quarantined(parts) != nullptr;
    if (parts.empty() || is_covered || (!is_new && level <= known->second.level) ||
        now - decided_at > this->hold_time(parts, level) + retention_time) {
        return;
    }
    if (this->is_refuted(parts, decided_at)) {
        for (const auto& part : parts) {
            this->report_answer(part, this->answers.at(part), now);
        }
        return;
    }
    if (is_new && this->quarantines.size() >= max_quarantines) {
        this->log.write(log_level::error, "quarantine_full", {{"parts", part_names(parts)}});
        return;
    }
    // Requests with a larger set are refused by the smaller one.
    std::erase_if(this->quarantines, [&](const auto& entry) {
        const bool is_larger =
            entry.first.size() > parts.size() && contains_all(entry.first, parts);
        level = is_larger ? std::max(level, entry.second.level) : level;
        return is_larger;
    });
    this->quarantines[parts] = {level, decided_at, {}};
    this->has_news = true;
    this->log.write(log_level::error, "quarantine_started",
                    {{"parts", part_names(parts)},
                     {"failed_trials", level},
                     {"reason", reason},
                     {"hold_s", whole_milliseconds(this->hold_time(parts, level)) / 1000}});
    this->counters.count("eelgrassbend_quarantines_total", {{"reason", reason}}, 1);
    if (this->handle_started) {
        this->handle_started();
    }
}

void part_quarantine::end_failed_trials(const suspect_state& state, monotonic_time now)
{
    std::vector<std::pair<part_keys, std::uint32_t>> failed;
    for (const auto& [parts, quarantined] : this->quarantines) {
        const auto hold = shortest_hold_time(quarantined.level);
        if (contains_all(state.suspect.parts, parts) &&
            state.crashed_at > quarantined.decided_at + hold) {
            failed.emplace_back(parts, quarantined.level);
        }
    }
    for (const auto& [parts, level] : failed) {
        if (level == max_level) {
            this->quarantines[parts] = {level, state.crashed_at, {}};
            continue;
        }
        this->quarantine(parts, level + 1, state.crashed_at, "failed trial", now);
    }
}

bool part_quarantine::has_unproven_part(const part_keys& parts, monotonic_time now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](part_key part) {
        const auto found = this->answers.find(part);
        return found == this->answers.end() || !refutes(found->second.answered_at, now);
    });
}

const part_keys* part_quarantine::find_quarantined(const part_keys& parts) const
{
    for (const auto& [set, state] : this->quarantines) {
        if (contains_all(parts, set)) {
            return &set;
        }
    }
    return nullptr;
}

bool part_quarantine::is_quarantined(const part_keys& parts) const
{
    return this->find_quarantined(parts) != nullptr;
}

duration part_quarantine::hold_time(const part_keys& parts, std::uint32_t level) const
{
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const auto draw =
        static_cast<double>(stable_hash(part_names(parts), this->node_hash)) / hash_range;
    return shortest_hold_time(level) + part_of(draw * hold_time_spread, shortest_hold_time(level));
}

std::optional<duration> part_quarantine::admit(const part_keys& parts, monotonic_time now)
{
    std::vector<std::pair<const part_keys, quarantine_state>*> due;
    std::optional<duration> wait;
    for (auto& entry : this->quarantines) {
        auto& [set, state] = entry;
        if (!contains_all(parts, set)) {
            continue;
        }
        const auto next_trial =
            state.next_trial.value_or(state.decided_at + this->hold_time(set, state.level));
        if (now < next_trial) {
            wait = std::max(wait.value_or(duration::zero()), next_trial - now);
        }
        due.push_back(&entry);
    }
    if (wait) {
        return wait;
    }
    for (auto* entry : due) {
        entry->second.next_trial = now + trial_interval;
        this->counters.count("eelgrassbend_quarantine_trials_total", {}, 1);
        this->log.write(
            log_level::info, "quarantine_trial",
            {{"parts", part_names(entry->first)}, {"failed_trials", entry->second.level}});
    }
    return std::nullopt;
}

crash_report part_quarantine::report(bool is_relay, monotonic_time now)
{
    crash_report report;
    ++this->report_count;
    this->report_suspects(is_relay, now, report);
    this->report_answers(is_relay, now, report);
    this->report_quarantined(now, report);
    return report;
}

void part_quarantine::report_suspects(bool is_relay, monotonic_time now, crash_report& report)
{
    for (const auto& [key, state] : this->suspects) {
        if ((state.is_own || is_relay) && now - state.crashed_at < report_time) {
            report.suspects.push_back(state.suspect);
            report.suspects.back().age = now - state.crashed_at;
        }
    }
    report.suspects = rotate_entries(report.suspects, max_reported_suspects, this->report_count);
}

void part_quarantine::report_answers(bool is_relay, monotonic_time now, crash_report& report)
{
    std::erase_if(this->reported_answers,
                  [&](const auto& entry) { return now >= entry.second.until; });
    for (const auto& [part, reported] : this->reported_answers) {
        const auto known = this->answers.find(part);
        if (known == this->answers.end() || !(reported.is_own || is_relay)) {
            continue;
        }
        if (reported.is_own || now - known->second.answered_at < max_relayed_answer_age) {
            report.sound.push_back({part, now - known->second.answered_at});
        }
    }
    report.sound = rotate_entries(report.sound, max_reported_answers, this->report_count);
}

void part_quarantine::report_quarantined(monotonic_time now, crash_report& report)
{
    const bool is_steady_turn = this->report_count % steady_report_period == 0;
    for (const auto& set : this->quarantined(now)) {
        if (is_steady_turn || set.age < report_time) {
            report.quarantined.push_back(set);
        }
    }
    report.quarantined = rotate_entries(report.quarantined, max_reported_quarantines,
                                        is_steady_turn ? this->report_count / steady_report_period
                                                       : this->report_count);
}

std::vector<quarantined_set> part_quarantine::quarantined(monotonic_time now) const
{
    std::vector<quarantined_set> sets;
    for (const auto& [parts, state] : this->quarantines) {
        sets.push_back({parts, state.level, now - state.decided_at});
    }
    return sets;
}

} // namespace eelgrassbend
