#ifndef EELGRASSBEND_ADMISSION_ADMISSION_CONTROLLER_H
#define EELGRASSBEND_ADMISSION_ADMISSION_CONTROLLER_H

#include "eelgrassbend/admission/capacity_source.h"
#include "eelgrassbend/admission/fair_shares.h"
#include "eelgrassbend/admission/first_attempt_times.h"
#include "eelgrassbend/admission/return_ledger.h"
#include "eelgrassbend/admission/served_share.h"
#include "eelgrassbend/routes/route_table.h"
#include "eelgrassbend/support/random_source.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassbend {

/// Properties of a request that admission depends on.
struct admission_request {
    service_id service;
    std::string route;
    int priority = 0; ///< 0 is most urgent
    organisation_id organisation;
    double units = 0.0;    ///< charged to the quota of the organisation
    std::int64_t size = 0; ///< tokens of the prompt and of the expected output
    duration objective{};  ///< until the first event or the answer; zero: none
    /// Until the caller's deadline, as stated on arrival at this node; empty if not stated.
    std::optional<duration> stated_time_left;
    duration time_left{}; ///< until the deadline of the request, now
    duration age{};       ///< since arrival at this node
    /// Was sent to an endpoint before. Such a request is admitted ahead of newcomers.
    bool is_repeat = false;
};

struct admission_decision {
    /// Share of an endpoint's slots that the request may find taken, see
    /// `placement_request::max_slot_share`.
    double slot_share = 1.0;
    /// Time since arrival for which the request may wait for capacity.
    duration max_wait{};
    /// The caller was refused before and returns within the time that such callers are promised.
    bool is_returning = false;
    /// The request cannot be served within its time limit.
    bool is_too_late = false;
    /// Slots that the organisation uses relative to its fair share; zero if slots are not short.
    double organisation_use = 0.0;
};

/// When a refused caller should return.
struct return_offer {
    duration after{};
    /// Room is expected at that time. Otherwise there is none within the bounds of a promise.
    bool is_promised = false;
};

/// Decides how much of the capacity of a service a request may use. The most urgent priority of a
/// service may use all slots; less urgent ones leave a reserve that grows with each priority, so
/// that a surge of one kind of requests does not delay more urgent kinds. A kind that would be shut
/// out by the reserve gets a part of it back. A refused caller is told a time at which room is
/// expected, and is admitted ahead of newcomers if it returns at that time. While slots are short,
/// organisations that use more than their fair share leave a wider reserve.
class admission_controller {
public:
    using work_number = return_ledger::work_number;

    admission_controller(const capacity_source& fleet, random_source& random);

    void configure(const route_table& table);
    /// Whether requests for the service are subject to admission: it is slot-bound, or a plain
    /// service of a configuration with a slot-bound one.
    [[nodiscard]] bool covers(const service_id& service) const;

    /// Counts a request; called once for each request, before `decide`.
    void record_arrival(const admission_request& request, monotonic_time now);
    /// Records that a request was sent to an endpoint; called once for each request at most. The
    /// result goes to `record_ended`.
    work_number record_admitted(const admission_request& request, monotonic_time now);
    /// Records that the request was sent to another endpoint after an attempt that was lost.
    void record_repeated(work_number work, monotonic_time now);
    /// `was_served`: the request has got its answer.
    void record_ended(work_number work, bool was_served, monotonic_time now);

    /// May be called again while the request waits.
    [[nodiscard]] admission_decision decide(const admission_request& request, monotonic_time now);
    /// The return time of a request that is refused for lack of capacity; no endpoint has any for
    /// `wait`. Records the promise.
    [[nodiscard]] return_offer refuse(const admission_request& request, duration wait,
                                      monotonic_time now);

private:
    /// Sizes of recent requests.
    struct size_sample {
        void add(std::int64_t size);
        /// Whether `size` belongs to the largest tenth.
        [[nodiscard]] bool is_large(std::int64_t size) const;

        std::array<std::int64_t, 64> sizes{};
        std::size_t count = 0;
    };

    /// Requests of one priority for one service.
    struct kind_state {
        kind_state();

        served_share served;
        served_share large_served;
        size_sample sizes;
        return_ledger ledger;
    };

    struct service_state {
        service_state();

        std::vector<int> priorities; ///< of its requests, the most urgent first
        bool has_engine = false;
        served_share served;
        std::map<int, kind_state> kinds; ///< by priority
        service_capacity capacity;
        std::optional<monotonic_time> capacity_read_at;
    };

    /// A request that was sent to an endpoint and has not ended.
    struct running_work {
        service_id service;
        int priority = 0;
        organisation_id organisation;
        double units = 0.0;
        monotonic_time began_at;
    };

    /// Share of the slots that a newcomer leaves free. Rank 0 is the most urgent priority.
    [[nodiscard]] double reserve_of_rank(const service_state& service, double rank) const;
    [[nodiscard]] double reserve(const service_state& service, int priority) const;
    /// Reserve that an organisation leaves in addition because it uses more than its fair share.
    [[nodiscard]] double organisation_reserve(const service_state& service,
                                              const admission_request& request,
                                              monotonic_time now) const;
    void update_fair_shares(monotonic_time now);
    [[nodiscard]] bool exceeds_own_part(const service_state& service, double reserve) const;
    [[nodiscard]] double shortfall(const service_state& service, const kind_state& kind,
                                   const admission_request& request, monotonic_time now) const;
    void read_capacity(const service_id& id, service_state& service, monotonic_time now) const;
    /// Average work of one node relative to this node's.
    [[nodiscard]] double node_scale(const service_state& service) const;
    /// Share of the slots that callers with a promise of this or a more urgent priority need soon.
    [[nodiscard]] double promised_share(const service_state& service, int priority,
                                        monotonic_time now) const;
    /// Time that the caller has spent in total; only the age if its earlier attempts are unknown.
    [[nodiscard]] duration time_spent(const admission_request& request) const;
    [[nodiscard]] bool is_returning(const admission_request& request) const;

    const capacity_source& fleet;
    random_source& random;
    std::unordered_map<service_id, service_state> services;
    std::unordered_map<std::string, first_attempt_times> routes; ///< by name
    std::unordered_map<work_number, running_work> works;
    work_number next_work = 1;
    fair_shares shares;
};

} // namespace eelgrassbend

#endif
