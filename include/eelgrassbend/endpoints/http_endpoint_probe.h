#ifndef EELGRASSBEND_ENDPOINTS_HTTP_ENDPOINT_PROBE_H
#define EELGRASSBEND_ENDPOINTS_HTTP_ENDPOINT_PROBE_H

#include "eelgrassbend/endpoints/endpoint_watcher.h"
#include "eelgrassbend/platform/http_client.h"

namespace eelgrassbend {

/// Probes endpoints over HTTP; see docs/design/endpoint-protocol.md.
class http_endpoint_probe : public endpoint_probe {
public:
    http_endpoint_probe(http_client& client, duration timeout);

    void fetch_load(const network_address& endpoint,
                    std::function<void(result<load_report>)> handler) override;
    void fetch_events(const network_address& endpoint, std::uint64_t from,
                      std::function<void(result<cache_events>)> handler) override;

private:
    http_client& client;
    duration timeout;
};

/// Errors: `invalid_argument` if the text is not a load report.
result<load_report> parse_load_report(const std::string& text);
/// Errors: `invalid_argument` if the text is not a list of cache events.
result<cache_events> parse_cache_events(const std::string& text);

} // namespace eelgrassbend

#endif
