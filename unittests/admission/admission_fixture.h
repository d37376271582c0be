#ifndef EELGRASSBEND_UNITTESTS_ADMISSION_ADMISSION_FIXTURE_H
#define EELGRASSBEND_UNITTESTS_ADMISSION_ADMISSION_FIXTURE_H

#include "eelgrassbend/admission/admission_controller.h"

#include "fake_capacity.h"

#include <string>

namespace eelgrassbend {

inline const service_id engine_service{"draft"};
inline const service_id plain_service{"desk"};

/// A slot-bound service with the priorities 0 to 2 and a plain service.
inline routing_configuration contended_configuration()
{
    routing_configuration configuration;
    for (const int priority : {0, 1, 2}) {
        for (const auto& service : {engine_service, plain_service}) {
            route unique;
            unique.name = service.value() + "-" + std::to_string(priority);
            unique.kind = request_kind::stream;
            unique.split = {{service, 1.0}};
            unique.timeout = std::chrono::seconds{10};
            unique.objective = std::chrono::seconds{2};
            unique.priority = priority;
            configuration.routes.push_back(unique);
        }
    }
    routed_service engine;
    engine.id = engine_service;
    engine.engine = engine_traits{12, token_count{400'000}};
    routed_service plain;
    plain.id = plain_service;
    configuration.services = {engine, plain};
    return configuration;
}

inline admission_request make_request(int priority, const std::string& organisation = "lodge",
                                      std::int64_t size = 1'000)
{
    admission_request request;
    request.service = engine_service;
    request.route = "draft-" + std::to_string(priority);
    request.priority = priority;
    request.organisation = organisation_id{organisation};
    request.units = 1.0;
    request.size = size;
    request.objective = std::chrono::seconds{2};
    request.stated_time_left = std::chrono::seconds{10};
    request.time_left = std::chrono::seconds{10};
    return request;
}

} // namespace eelgrassbend

#endif
