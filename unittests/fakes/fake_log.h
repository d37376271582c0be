#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_LOG_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_LOG_H

#include "eelgrassbend/platform/log_client.h"
#include "eelgrassbend/support/random_source.h"
#include "eelgrassbend/support/scheduler.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// The platform's log in memory, shared by the clients of all nodes of a test. Repeated record
/// ids are stored twice, as the platform does.
class fake_log {
public:
    explicit fake_log(scheduler& timer) : timers(timer) {}

    /// Zero keeps records for ever.
    duration retention{};
    /// Refuses every call of every client.
    bool outage = false;

    std::vector<log_offset> append(const stream_name& stream,
                                   const std::vector<new_log_record>& records)
    {
        auto& kept = this->streams[stream.value()];
        std::vector<log_offset> offsets;
        for (const auto& record : records) {
            const log_offset offset{kept.end()};
            kept.records.push_back({offset, record.id, this->timers.wall_now(), record.payload});
            offsets.push_back(offset);
        }
        ++this->append_count;
        return offsets;
    }

    log_page read(const stream_name& stream, log_offset from, std::size_t limit)
    {
        this->expire();
        const auto& kept = this->streams[stream.value()];
        log_page page;
        page.first_retained = log_offset{kept.first};
        page.end = log_offset{kept.end()};
        const auto start = std::max(from.value(), kept.first);
        for (auto offset = start; offset < kept.end() && page.records.size() < limit; ++offset) {
            page.records.push_back(kept.records[offset - kept.first]);
        }
        return page;
    }

    /// Drops all records of `stream` before `first`, as the end of their retention does.
    void truncate(const stream_name& stream, log_offset first)
    {
        auto& kept = this->streams[stream.value()];
        while (kept.first < first.value() && !kept.records.empty()) {
            kept.records.pop_front();
            ++kept.first;
        }
    }

    [[nodiscard]] std::size_t appends() const { return this->append_count; }

private:
    struct kept_stream {
        std::uint64_t first = 0;
        std::deque<log_record> records;

        [[nodiscard]] std::uint64_t end() const { return this->first + this->records.size(); }
    };

    void expire()
    {
        if (this->retention == duration::zero()) {
            return;
        }
        const auto oldest = this->timers.wall_now() - this->retention;
        for (auto& [name, kept] : this->streams) {
            while (!kept.records.empty() && kept.records.front().appended_at < oldest) {
                kept.records.pop_front();
                ++kept.first;
            }
        }
    }

    scheduler& timers;
    std::map<std::string, kept_stream> streams;
    std::size_t append_count = 0;
};

/// What goes wrong between one client and the log.
struct fake_log_faults {
    bool cut_off = false;                           ///< no call reaches the log: `unavailable`
    bool rate_limited = false;                      ///< appends are refused
    duration latency{std::chrono::milliseconds{2}}; ///< half before, half after the effect
    duration jitter{};                              ///< added to each half, uniformly
    duration timeout{std::chrono::seconds{2}};      ///< then the call is `timed_out`
    double request_loss = 0.0;                      ///< share of calls lost before the effect
    double answer_loss = 0.0;                       ///< share of calls lost after the effect
    int lose_requests = 0; ///< so many of the next calls, before the effect
    int lose_answers = 0;  ///< so many of the next calls, after the effect
};

/// One node's way to a `fake_log`. A call that outlasts the timeout may still take effect.
/// It must live as long as callbacks are pending.
class fake_log_client : public log_client {
public:
    fake_log_client(fake_log& log, scheduler& timer, random_source& random)
        : log(log), timers(timer), random(random)
    {
    }

    fake_log_faults faults;
    std::size_t reads = 0;

    void append(const stream_name& stream, std::vector<new_log_record> records,
                append_handler handler) override
    {
        const auto refusal = this->faults.rate_limited ? errc::rate_limited : errc::unavailable;
        this->run<std::vector<log_offset>>(
            "append", this->faults.rate_limited, refusal,
            [this, stream, records = std::move(records)] {
                return this->log.append(stream, records);
            },
            std::move(handler));
    }

    void read(const stream_name& stream, log_offset from, std::size_t limit,
              read_handler handler) override
    {
        ++this->reads;
        this->run<log_page>(
            "read", false, errc::unavailable,
            [this, stream, from, limit] { return this->log.read(stream, from, limit); },
            std::move(handler));
    }

private:
    template <typename Value, typename Effect, typename Handler>
    void run(const char* step, bool refused, errc refusal, Effect effect, Handler handler)
    {
        const auto begun = this->timers.now();
        const auto give_up = begun + this->faults.timeout;
        const bool lose_request = this->lost(this->faults.lose_requests, this->faults.request_loss);
        const bool lose_answer =
            !lose_request && this->lost(this->faults.lose_answers, this->faults.answer_loss);
        if (lose_request) {
            this->fail(step, errc::timed_out, this->faults.timeout, std::move(handler));
            return;
        }
        const auto there = this->half();
        const auto back = this->half();
        const bool late = there + back > this->faults.timeout;
        if (lose_answer || late) {
            this->fail(step, errc::timed_out, this->faults.timeout, handler);
        }
        this->timers.call_after(there, [=, this, effect = std::move(effect)] {
            const bool outage = this->log.outage && !this->faults.cut_off;
            if (refused || this->faults.cut_off || outage) {
                if (!lose_answer && !late) {
                    this->fail(step, refusal, back, handler, outage ? log_outage_detail : "");
                }
                return;
            }
            result<Value> answer{effect()};
            if (lose_answer || late || this->timers.now() + back > give_up) {
                return;
            }
            this->timers.call_after(back, [handler, answer = std::move(answer)]() mutable {
                handler(std::move(answer));
            });
        });
    }

    template <typename Handler>
    void fail(const char* step, errc code, duration after, Handler handler, const char* detail = "")
    {
        this->timers.call_after(after, [step, code, detail, handler = std::move(handler)] {
            handler(make_error(code, step, "fake log", detail));
        });
    }

    bool lost(int& next, double share)
    {
        if (next > 0) {
            --next;
            return true;
        }
        return share > 0.0 && random_unit(this->random) < share;
    }

    duration half()
    {
        auto span = this->faults.latency / 2;
        if (this->faults.jitter > duration::zero()) {
            const auto bound = static_cast<std::uint64_t>(this->faults.jitter.count());
            span += duration{static_cast<std::int64_t>(random_below(this->random, bound))};
        }
        return span;
    }

    fake_log& log;
    scheduler& timers;
    random_source& random;
};

} // namespace eelgrassbend

#endif
