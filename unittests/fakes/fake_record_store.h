#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_RECORD_STORE_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_RECORD_STORE_H

#include "eelgrassbend/store/record_store.h"
#include "eelgrassbend/support/scheduler.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend::fakes {

/// The logs of a store, shared by the clients of several nodes.
class fake_store_logs {
public:
    struct topic_log {
        std::vector<store_record> records; ///< all that were ever appended
        std::uint64_t first_retained = 0;
        std::map<std::string, store_record> newest;
        std::vector<std::function<void()>> waiting; ///< long reads at the end
    };

    log_offset write(const store_topic& topic, std::string key, std::optional<std::string> value)
    {
        auto& log = this->topics[topic.name];
        const log_offset offset{log.records.size()};
        log.records.push_back({offset, std::move(key), std::move(value)});
        const auto& record = log.records.back();
        if (topic.is_keyed && record.value) {
            log.newest[record.key] = record;
        }
        else if (topic.is_keyed) {
            log.newest.erase(record.key);
        }
        for (auto& wake : std::exchange(log.waiting, {})) {
            wake();
        }
        return offset;
    }

    /// Deletes all records of a topic but the newest of each key.
    void forget_history(const std::string& topic)
    {
        auto& log = this->topics[topic];
        log.first_retained = log.records.size();
    }

    /// The store comes back from a copy that lacks the last `lost` records of a topic.
    void restore(const std::string& topic, std::size_t lost)
    {
        ++this->era;
        auto& log = this->topics[topic];
        const auto kept = log.records.size() - std::min(lost, log.records.size());
        const std::vector<store_record> records{
            log.records.begin(), log.records.begin() + static_cast<std::ptrdiff_t>(kept)};
        log.records.clear();
        log.newest.clear();
        log.first_retained = 0;
        for (const auto& record : records) {
            this->write({topic, true}, record.key, record.value);
        }
    }

    std::map<std::string, topic_log> topics;
    std::uint64_t era = 0;
    bool states_era = false; ///< otherwise all answers seem to belong to the first era
};

/// One node's client of fake_store_logs. Answers take a while, and can be refused, lost or held
/// back.
class fake_record_store : public record_store {
public:
    fake_record_store(fake_store_logs& logs, scheduler& time) : logs(logs), time(time) {}

    void append(const store_topic& topic, std::vector<store_record> records,
                std::optional<log_offset> at, append_handler handler) override
    {
        ++this->calls;
        this->answer_later(
            [this, topic, records = std::move(records), at, handler = std::move(handler)] {
                if (this->is_down) {
                    handler(unavailable());
                    return;
                }
                auto& log = this->logs.topics[topic.name];
                append_answer answer;
                answer.era = this->current_era();
                const log_offset end{log.records.size()};
                answer.appended = !at || *at == end;
                answer.offset = end;
                if (answer.appended) {
                    for (const auto& record : records) {
                        this->logs.write(topic, record.key, record.value);
                    }
                }
                answer.end = log_offset{this->logs.topics[topic.name].records.size()};
                if (std::exchange(this->loses_next_answer, false)) {
                    handler(make_error(errc::timed_out, "append", "store"));
                    return;
                }
                handler(answer);
            });
    }

    void read(const store_topic& topic, log_offset from, duration wait,
              read_handler handler) override
    {
        ++this->calls;
        this->answer_later([this, topic, from, wait, handler = std::move(handler)] {
            this->read_now(topic, from, wait, handler);
        });
    }

    void read_newest(const store_topic& topic, const std::string& after,
                     newest_handler handler) override
    {
        ++this->calls;
        this->answer_later([this, topic, after, handler = std::move(handler)] {
            if (this->is_down) {
                handler(unavailable());
                return;
            }
            newest_page page;
            page.era = this->current_era();
            const auto& log = this->logs.topics[topic.name];
            page.end = log_offset{log.records.size()};
            if (this->unreadable_after == after) {
                handler(make_error(errc::invalid_argument, "decode newest records", "store"));
                return;
            }
            for (const auto& [key, record] : log.newest) {
                if (key <= after && !after.empty()) {
                    continue;
                }
                if (page.records.size() == this->page_size) {
                    page.has_more = true;
                    break;
                }
                page.records.push_back(record);
            }
            if (this->newest_delay == duration{}) {
                handler(page);
                return;
            }
            this->time.call_after(this->newest_delay, [handler, page] { handler(page); });
        });
    }

    std::optional<std::string> unreadable_after; ///< key before a page that cannot be decoded
    duration newest_delay{};                     ///< between reading a page and its arrival
    bool is_down = false;
    bool loses_next_answer = false;
    std::size_t page_size = 500;
    std::optional<std::string> undecodable_key; ///< of records that reads of the log leave out
    std::uint64_t log_page_size = 1'000'000;    ///< records of a read of the log
    bool refuses_positions = false;             ///< no read of the log is in range
    int calls = 0;

private:
    [[nodiscard]] store_era current_era() const
    {
        return store_era{this->logs.states_era ? this->logs.era : 0};
    }

    static error unavailable() { return make_error(errc::unavailable, "call store", "store"); }

    void answer_later(std::function<void()> action)
    {
        this->time.call_after(std::chrono::milliseconds{4},
                              [weak = std::weak_ptr<int>(this->alive), action = std::move(action)] {
                                  if (!weak.expired()) {
                                      action();
                                  }
                              });
    }

    void read_now(const store_topic& topic, log_offset from, duration wait,
                  const read_handler& handler)
    {
        if (this->is_down) {
            handler(unavailable());
            return;
        }
        auto& log = this->logs.topics[topic.name];
        store_page page;
        page.era = this->current_era();
        page.first_retained = log_offset{log.first_retained};
        page.end = log_offset{log.records.size()};
        page.is_out_of_range =
            this->refuses_positions || from.value() < log.first_retained || from > page.end;
        if (page.is_out_of_range) {
            handler(page);
            return;
        }
        if (from < page.end || wait <= duration::zero()) {
            const auto end = std::min(log.records.size(), from.value() + this->log_page_size);
            for (auto offset = from.value(); offset < end; ++offset) {
                if (log.records[offset].key != this->undecodable_key) {
                    page.records.push_back(log.records[offset]);
                }
            }
            page.next = log_offset{std::max(from.value(), end)};
            handler(page);
            return;
        }
        this->wait_for_record(topic, from, wait, handler);
    }

    void wait_for_record(const store_topic& topic, log_offset from, duration wait,
                         const read_handler& handler)
    {
        auto answered = std::make_shared<bool>(false);
        const auto again = [this, topic, from, handler, answered,
                            weak = std::weak_ptr<int>(this->alive)] {
            if (!weak.expired() && !std::exchange(*answered, true)) {
                this->read_now(topic, from, duration::zero(), handler);
            }
        };
        this->logs.topics[topic.name].waiting.emplace_back([&timers = this->time, again] {
            timers.call_after(std::chrono::milliseconds{1}, again);
        });
        this->time.call_after(wait, again);
    }

    fake_store_logs& logs;
    scheduler& time;
    std::shared_ptr<int> alive = std::make_shared<int>(0); ///< a node that is gone hears nothing
};

} // namespace eelgrassbend::fakes

#endif
