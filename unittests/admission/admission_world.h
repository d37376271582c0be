#ifndef EELGRASSBEND_UNITTESTS_ADMISSION_ADMISSION_WORLD_H
#define EELGRASSBEND_UNITTESTS_ADMISSION_ADMISSION_WORLD_H

#include "admission_fixture.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrassbend {

/// What callers of one kind got in a span of time. Each caller is counted once.
struct caller_result {
    double asked = 0;
    double served = 0;   ///< started within the objective
    double returned = 0; ///< came back at a time that was promised to have room
    double returned_admitted = 0;

    [[nodiscard]] double share() const { return this->served / std::max(1.0, this->asked); }

    void add(const caller_result& other);
};

/// Callers, nodes with an admission controller each, and engines with slots, in steps of virtual
/// time. A node knows the load of an engine as of its latest report, and what it has sent since.
class admission_world {
public:
    static constexpr int slots_per_engine = 12;
    static constexpr int zone_count = 4;

    explicit admission_world(std::uint64_t seed, int nodes = 10, int engines = 20);

    /// Requests per second of an organisation, by priority. Engines are at their limit at a load of
    /// 1, see `load_rate`.
    std::function<double(int priority, int organisation, monotonic_time now)> rate;
    /// Whether `node` gets reports of the others.
    std::function<bool(int node)> is_reporting = [](int) { return true; };

    /// Rate of one priority that holds the given share of all slots.
    [[nodiscard]] double load_rate(int priority, double share) const;
    void run_for(duration span);
    void lose_zone(int zone);

    void reset_results() { this->results.clear(); }

    /// Over all callers that `matches` selects by priority, organisation and size.
    using filter = std::function<bool(int priority, int organisation, bool is_large)>;
    [[nodiscard]] caller_result result(const filter& matches) const;
    [[nodiscard]] caller_result result(int priority) const;
    [[nodiscard]] caller_result organisation_result(int organisation) const;

    static constexpr int organisation_count = 8;

private:
    struct engine {
        bool is_alive = true;
        int zone = 0;
        int running = 0;
    };

    struct node {
        explicit node(random_source& random) : controller(this->view, random) {}

        fake_capacity view;
        admission_controller controller;
        std::vector<int> own;    ///< requests at each engine
        std::vector<int> others; ///< those of other nodes, as last reported
    };

    struct caller {
        admission_request request;
        int priority = 0;
        int organisation = 0;
        bool is_large = false;
        monotonic_time began_at;
        monotonic_time arrived_at;
        int attempts = 0;
        std::size_t at_node = 0;
        bool is_promised = false;
        caller_result* counted = nullptr;
    };

    struct run {
        monotonic_time ends_at;
        std::size_t at_engine = 0;
        std::size_t at_node = 0;
        admission_controller::work_number work = 0;
    };

    void arrive(caller arrived);
    /// Whether the caller was served or refused.
    bool try_to_place(caller& waiting);
    void refuse(caller& refused);
    void serve(caller& served, std::size_t at_engine);
    [[nodiscard]] std::optional<std::size_t> find_engine(const node& chooser, double slot_share);
    void create_callers();
    void report_loads();

    seeded_random random;
    monotonic_time now{std::chrono::seconds{100}};
    std::vector<engine> engines;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<caller> waiting;
    std::multimap<monotonic_time, caller> returning;
    std::vector<run> runs;
    std::map<organisation_id, double> admitted_units;
    std::map<std::tuple<int, int, bool>, caller_result> results;
    int step = 0;
};

} // namespace eelgrassbend

#endif
