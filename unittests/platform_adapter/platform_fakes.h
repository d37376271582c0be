#ifndef EELGRASSBEND_UNITTESTS_PLATFORM_ADAPTER_PLATFORM_FAKES_H
#define EELGRASSBEND_UNITTESTS_PLATFORM_ADAPTER_PLATFORM_FAKES_H

#include "eelgrassbend/platform/http_client.h"

#include <vector>

namespace eelgrassbend {

/// Records calls and answers each with `answer`.
class scripted_http_client : public http_client {
public:
    void send(http_call call, handler done) override
    {
        this->calls.push_back(std::move(call));
        done(this->answer);
    }

    std::vector<http_call> calls;
    result<http_answer> answer = http_answer{200, "{}"};
};

inline constexpr const char* sample_configuration =
    R"({"version":7,"routes":[)"
    R"({"name":"r-1","host":"f.example","pathPrefix":"/a/","kind":"stream","timeoutMs":15000,)"
    R"("goalMs":1200,"priority":1,"split":[{"service":"llm","weight":90},)"
    R"({"service":"desk","weight":10}],"maxAttempts":1,"public":false,"sticky":true,)"
    R"("resumable":false,"gapTargetMs":400},)"
    R"({"name":"r-2","host":"f.example","pathPrefix":"/b/","kind":"stream","timeoutMs":12000,)"
    R"("goalMs":500,"priority":0,"service":"llm","maxAttempts":2,"resumable":true}],)"
    R"("services":[{"name":"llm","healthPath":"/healthz","maxConns":360,"engine":{"slots":64,)"
    R"("kvCapacity":563819,"kvTokenBytes":18432,"moves":true,"handleS":5.0},)"
    R"("scale":{"min":1,"max":6,"bootS":4.0,"spotPrice":0.18,"zonePrices":{"a":1.0,"b":0.8}}},)"
    R"({"name":"desk","healthPath":"/healthz","maxConns":96}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"lodge","apiKeys":["k-1","k-2"],"priority":1,"unit":"token_count",)"
    R"("plainTokens":200,"ratePerS":1000,"burst":2000}]})";

} // namespace eelgrassbend

#endif
