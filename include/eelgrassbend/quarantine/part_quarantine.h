#ifndef EELGRASSBEND_QUARANTINE_PART_QUARANTINE_H
#define EELGRASSBEND_QUARANTINE_PART_QUARANTINE_H

#include "eelgrassbend/quarantine/crash_report.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace eelgrassbend {

class event_log;
class metrics;

/// Finds prompt parts that crash every endpoint that starts to answer a request with them, and
/// refuses such requests.
///
/// A part is suspected when a request with it had no confirmed answer yet at the crash of its
/// endpoint, and is sound once a request with it has one (see `crash_detector`). Parts that are
/// common to the suspects of several crashes, without an answer since, are quarantined as a set: a
/// request is refused only if it has all of them. Evidence and decisions of all nodes are exchanged
/// as `crash_report`s. When a quarantine has run out, single requests are let through as a trial.
class part_quarantine {
public:
    /// `self` spreads the times at which the nodes of a fleet start a trial.
    part_quarantine(event_log& log, metrics& counters, const node_id& self);

    /// `handler` is called when a set has been put in quarantine.
    void on_started(std::function<void()> handler) { this->handle_started = std::move(handler); }

    /// A request of this node had no confirmed answer yet at the crash of its endpoint.
    void record_suspect(const crash_suspect& suspect, monotonic_time now);
    /// An answer to a request of this node, which began at `answered_at`, has been confirmed.
    void record_answer(const part_keys& parts, monotonic_time answered_at, monotonic_time now);
    /// Adds what another node reports.
    void apply(const crash_report& report, monotonic_time now);
    /// Decides on the evidence so far; to be called several times a second.
    void update(monotonic_time now);

    /// Time until requests with these parts may be tried again; empty if they may be sent now. The
    /// call that finds a quarantine run out starts a trial.
    std::optional<duration> admit(const part_keys& parts, monotonic_time now);
    /// Whether no request with one of the parts has been answered lately.
    [[nodiscard]] bool has_unproven_part(const part_keys& parts, monotonic_time now) const;
    /// Whether a request that has been sent before must not be sent again.
    [[nodiscard]] bool is_quarantined(const part_keys& parts) const;

    /// Returns a part of what this node reports; successive calls go through all of it. With
    /// `is_relay`, reports of other nodes are included.
    crash_report report(bool is_relay, monotonic_time now);

    /// Whether there is news that should not wait for the next regular digest.
    [[nodiscard]] bool needs_digest() const { return this->has_news; }

    void on_digest_sent() { this->has_news = false; }

    /// All sets in quarantine.
    [[nodiscard]] std::vector<quarantined_set> quarantined(monotonic_time now) const;

private:
    using suspect_key = std::pair<crash_id, std::uint64_t>; ///< crash and request

    struct suspect_state {
        crash_suspect suspect;
        monotonic_time crashed_at;
        bool is_own = false;
    };

    struct answer_state {
        monotonic_time answered_at;
        bool is_own = false; ///< received by this node
    };

    /// An answer that refutes a suspicion, reported until a point in time.
    struct reported_answer {
        monotonic_time until;
        bool is_own = false;
    };

    struct quarantine_state {
        std::uint32_t level = 0;
        monotonic_time decided_at;
        std::optional<monotonic_time> next_trial; ///< set once the first trial has started
    };

    void add_suspect(const crash_suspect& suspect, bool is_own, monotonic_time now);
    void remove_sound_parts(suspect_state& state, monotonic_time now);
    void record_sound(part_key part, const answer_state& answer, monotonic_time now);
    /// Removes the part from all suspects that the answer refutes; returns whether there was one.
    bool clear_suspects(part_key part, monotonic_time answered_at);
    void report_answer(part_key part, const answer_state& answer, monotonic_time now);
    void prune_answers();
    /// Whether requests with each of these parts were answered shortly before `decided_at` or
    /// since.
    [[nodiscard]] bool is_refuted(const part_keys& parts, monotonic_time decided_at) const;
    void drop_refuted(monotonic_time now);
    void drop_old(monotonic_time now);
    /// Starts the quarantine of a set again if it crashed an endpoint in a trial.
    void end_failed_trials(const suspect_state& state, monotonic_time now);
    void decide(monotonic_time now);
    void quarantine(const part_keys& parts, std::uint32_t level, monotonic_time decided_at,
                    const char* reason, monotonic_time now);
    [[nodiscard]] const part_keys* find_quarantined(const part_keys& parts) const;
    [[nodiscard]] duration hold_time(const part_keys& parts, std::uint32_t level) const;
    void report_suspects(bool is_relay, monotonic_time now, crash_report& report);
    void report_answers(bool is_relay, monotonic_time now, crash_report& report);
    void report_quarantined(monotonic_time now, crash_report& report);

    event_log& log;
    metrics& counters;
    std::uint64_t node_hash;
    std::map<suspect_key, suspect_state> suspects;
    std::unordered_map<part_key, answer_state> answers;
    std::map<part_key, reported_answer> reported_answers;
    std::map<part_keys, quarantine_state> quarantines;
    std::function<void()> handle_started;
    bool has_new_evidence = false;
    monotonic_time next_decision;
    bool has_news = false;
    std::uint64_t report_count = 0;
};

} // namespace eelgrassbend

#endif
