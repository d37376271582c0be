#ifndef EELGRASSBEND_UNITTESTS_DUTIES_DUTY_FAKES_H
#define EELGRASSBEND_UNITTESTS_DUTIES_DUTY_FAKES_H

#include "eelgrassbend/duties/duty_calls.h"
#include "eelgrassbend/duties/duty_lease.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include "fakes/fake_event_log.h"
#include "fakes/fake_record_store.h"

#include <memory>
#include <string>
#include <vector>

namespace eelgrassbend {

class fixed_candidates : public duty_candidates {
public:
    [[nodiscard]] bool has_other_holder() const override { return this->is_other_holder_alive; }

    [[nodiscard]] std::size_t rank() const override { return this->own_rank; }

    [[nodiscard]] fencing_token highest_token() const override { return this->reported_token; }

    bool is_other_holder_alive = false;
    fencing_token reported_token;
    std::size_t own_rank = 0;
};

/// Records calls and answers them immediately.
class recording_duty_calls : public duty_calls {
public:
    struct report {
        fencing_token token;
        usage_window window;
        usage_counts counts;
    };

    void report_usage(fencing_token token, usage_window window, const usage_counts& counts,
                      handler done) override
    {
        this->reports.push_back({token, window, counts});
        this->answer(std::move(done));
    }

    void order(fencing_token /*token*/, const scaling_order& order, handler done) override
    {
        this->orders.push_back(order);
        this->answer(std::move(done));
    }

    std::vector<report> reports;
    std::vector<scaling_order> orders;
    std::optional<errc> failure;

private:
    void answer(handler done)
    {
        if (this->failure) {
            done(make_error(*this->failure, "call", "cloud"));
            return;
        }
        done(boost::outcome_v2::success());
    }
};

/// A candidate for the lease with its own store client.
struct lease_node {
    lease_node(fakes::fake_store_logs& logs, virtual_scheduler& time, const std::string& name)
        : store(logs, time), lease(store, time, log, candidates, settings_for(name))
    {
    }

    static duty_lease_settings settings_for(const std::string& name)
    {
        duty_lease_settings settings;
        settings.node = node_id{name};
        return settings;
    }

    fake_event_log log;
    fixed_candidates candidates;
    fakes::fake_record_store store;
    duty_lease lease;
};

} // namespace eelgrassbend

#endif
