#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_REACHABILITY_PROBE_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_REACHABILITY_PROBE_H

#include "eelgrassbend/endpoints/reachability_probe.h"

#include <utility>
#include <vector>

namespace eelgrassbend {

/// Holds probes until the test answers them.
class fake_reachability_probe : public reachability_probe {
public:
    void probe(const network_address& address, handler done) override
    {
        this->pending.emplace_back(address, std::move(done));
    }

    void answer_all(reachability result)
    {
        for (auto& [address, done] : std::exchange(this->pending, {})) {
            done(result);
        }
    }

    std::vector<std::pair<network_address, handler>> pending;
};

} // namespace eelgrassbend

#endif
