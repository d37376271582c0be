#ifndef EELGRASSBEND_UNITTESTS_STORE_FOLLOWER_FIXTURE_H
#define EELGRASSBEND_UNITTESTS_STORE_FOLLOWER_FIXTURE_H

#include "eelgrassbend/store/keyed_follower.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_metrics.h"
#include "fakes/fake_record_store.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Records what a follower reports.
class recording_observer : public keyed_observer {
public:
    bool on_record_written(const std::string& key, const std::string& value) override
    {
        const bool is_new = this->values[key] != value;
        this->values[key] = value;
        this->received.push_back(value);
        return is_new;
    }

    void on_record_removed(const std::string& key, bool after_gap) override
    {
        this->values.erase(key);
        this->removed_after_gap = after_gap;
        ++this->removals;
    }

    void on_records_missed() override { ++this->gaps; }

    void on_caught_up(monotonic_time /*as_of*/) override { ++this->confirmations; }

    std::map<std::string, std::string> values;
    std::vector<std::string> received;
    int removals = 0;
    int gaps = 0;
    int confirmations = 0;
    bool removed_after_gap = false;
};

/// A relay whose reader is another node, unless `is_reading` is set.
class recording_relay : public topic_relay {
public:
    [[nodiscard]] bool is_reader() const override { return this->is_reading; }

    void publish(const std::vector<topic_position>& positions) override
    {
        this->published.insert(this->published.end(), positions.begin(), positions.end());
    }

    std::vector<topic_position> published;
    bool is_reading = false;
};

/// A follower of one topic of a fake store.
struct follower_fixture {
    void write(const std::string& key, std::optional<std::string> value)
    {
        this->logs.write(this->topic, key, std::move(value));
    }

    std::unique_ptr<keyed_follower> make_follower(topic_relay& relay, follower_settings settings,
                                                  keyed_observer& received)
    {
        return std::make_unique<keyed_follower>(this->store, this->time, this->random, this->log,
                                                this->counters, relay, this->topic, settings,
                                                received);
    }

    virtual_scheduler time;
    seeded_random random{7};
    fake_event_log log;
    fake_metrics counters;
    store_topic topic{"records", true};
    fakes::fake_store_logs logs;
    fakes::fake_record_store store{this->logs, this->time};
    recording_observer observer;
    no_relay direct_reads;
    keyed_follower follower{this->store,    this->time,         this->random, this->log,
                            this->counters, this->direct_reads, this->topic,  {},
                            this->observer};
};

} // namespace eelgrassbend

#endif
