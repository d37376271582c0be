#ifndef EELGRASSBEND_LIB_PLATFORM_PLATFORM_JSON_H
#define EELGRASSBEND_LIB_PLATFORM_PLATFORM_JSON_H

#include "eelgrassbend/platform/host_list.h"
#include "eelgrassbend/platform/http_client.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <utility>

namespace eelgrassbend {

/// What a status other than 200 means: 429 and 503 say that nothing was done.
error status_error(const http_answer& answer, const std::string& step, const std::string& peer);

/// Throws nlohmann::json::exception if a field is missing or of the wrong type.
host_entry read_host(const nlohmann::json& entry);

/// Turns a whole answer into a value by `convert`, which may throw nlohmann::json::exception.
template <typename Value, typename Convert>
result<Value> convert_answer(const result<http_answer>& answer, const std::string& step,
                             const std::string& peer, Convert convert)
{
    constexpr int ok = 200;
    if (!answer) {
        auto failure = answer.error();
        failure.step = step;
        return failure;
    }
    if (answer.value().status != ok) {
        return status_error(answer.value(), step, peer);
    }
    try {
        return convert(nlohmann::json::parse(answer.value().body));
    }
    catch (const nlohmann::json::exception& failure) {
        // The action took effect; only its answer cannot be read.
        return make_error(errc::outcome_unknown, step, peer, failure.what());
    }
}

} // namespace eelgrassbend

#endif
