#ifndef EELGRASSBEND_UNITTESTS_DUTIES_SIMULATED_PLATFORM_H
#define EELGRASSBEND_UNITTESTS_DUTIES_SIMULATED_PLATFORM_H

#include "eelgrassbend/duties/duty_calls.h"
#include "eelgrassbend/placement/endpoint_table.h"
#include "eelgrassbend/support/virtual_scheduler.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrassbend {

/// Starts and stops endpoints as ordered; they register after their boot time.
class simulated_platform : public duty_calls {
public:
    simulated_platform(virtual_scheduler& time, endpoint_table& endpoints)
        : time(time), endpoints(endpoints)
    {
    }

    void report_usage(fencing_token, usage_window, const usage_counts&, handler) override {}

    void order(fencing_token, const scaling_order& order, handler done) override
    {
        this->orders.push_back(order);
        if (this->failure) {
            done(make_error(*this->failure, "order", "cloud"));
            return;
        }
        const auto current = static_cast<int>(this->ids(order.zone, order.is_reclaimable).size());
        const bool is_refused =
            order.is_reclaimable && this->sold_out.contains(order.zone) && order.count > current;
        if (is_refused) {
            done(make_error(errc::not_found, "order", "cloud"));
            return;
        }
        this->set(order.zone, order.is_reclaimable, order.count, this->boot_time);
        done(boost::outcome_v2::success());
    }

    void set(const availability_zone& zone, bool is_reclaimable, int count, duration delay)
    {
        auto& present = this->ids(zone, is_reclaimable);
        for (; static_cast<int>(present.size()) > count; present.pop_back()) {
            this->endpoints.remove(present.back(), this->time.now(), false);
        }
        while (static_cast<int>(present.size()) < count) {
            endpoint_record record;
            record.id = endpoint_id{"i-" + std::to_string(++this->last_id)};
            record.service = service_id{"draft"};
            record.zone = zone;
            record.is_reclaimable = is_reclaimable;
            present.push_back(record.id);
            this->time.call_after(delay, [this, record] { this->register_endpoint(record); });
        }
    }

    /// The platform takes back the reclaimable endpoints of a zone and offers no others there.
    void reclaim(const availability_zone& zone)
    {
        this->sold_out.insert(zone);
        this->set(zone, true, 0, duration{});
    }

    [[nodiscard]] int registered(bool is_reclaimable) const
    {
        int count = 0;
        for (const auto& [id, known] : this->endpoints.all()) {
            count += known.record.is_reclaimable == is_reclaimable ? 1 : 0;
        }
        return count;
    }

    /// Endpoints of a kind that were ordered and have not been taken back.
    [[nodiscard]] int ordered(bool is_reclaimable) const
    {
        std::size_t count = 0;
        for (const auto& [kind, ids] : this->present) {
            count += kind.second == is_reclaimable ? ids.size() : 0;
        }
        return static_cast<int>(count);
    }

    std::vector<scaling_order> orders; ///< received, in order
    std::set<availability_zone> sold_out;
    std::optional<errc> failure; ///< of all calls

private:
    std::vector<endpoint_id>& ids(const availability_zone& zone, bool is_reclaimable)
    {
        return this->present[{zone, is_reclaimable}];
    }

    void register_endpoint(const endpoint_record& record)
    {
        const auto& present = this->ids(record.zone, record.is_reclaimable);
        if (std::find(present.begin(), present.end(), record.id) != present.end()) {
            this->endpoints.put(record, this->time.now());
        }
    }

    static constexpr std::chrono::seconds boot_time{4};

    virtual_scheduler& time;
    endpoint_table& endpoints;
    int last_id = 0;
    std::map<std::pair<availability_zone, bool>, std::vector<endpoint_id>> present;
};

} // namespace eelgrassbend

#endif
