#ifndef EELGRASSBEND_BENCH_ROUTING_FLEET_H
#define EELGRASSBEND_BENCH_ROUTING_FLEET_H

#include "eelgrassbend/bundle/bundle.h"
#include "eelgrassbend/endpoints/endpoint_directory.h"
#include "eelgrassbend/engine_model/engine_settings.h"

#include <string>
#include <vector>

namespace eelgrassbend::bench {

/// One engine of a deployment.
struct fleet_engine {
    endpoint_info info;
    engine_settings settings;
};

/// A deployment's model service, as far as routing has to do with it.
struct routing_fleet {
    bundle declared;
    std::vector<fleet_engine> engines;
    double quick_share = 0.5; ///< of the requests
    double long_share = 0.1;  ///< of the requests
    std::vector<double> organisation_weights;
};

/// "kilimanjaro" or "magnolia"; empty engines if the name is unknown.
routing_fleet make_fleet(const std::string& deployment);

} // namespace eelgrassbend::bench

#endif
