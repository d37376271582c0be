#include "eelgrassbend/placement/version_filter.h"

#include "eelgrassbend/support/hash.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static std::vector<const known_endpoint*>
endpoints_of(const std::vector<const known_endpoint*>& usable, const version_filter& filter)
{
    std::vector<const known_endpoint*> permitted;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(permitted),
                 [&](const auto* endpoint) { return endpoint->record.version == *filter.only; });
    if (filter.max_endpoints == 0 || permitted.size() <= filter.max_endpoints) {
        return permitted;
    }
    const auto count = static_cast<std::ptrdiff_t>(filter.max_endpoints);
    std::partial_sort(permitted.begin(), permitted.begin() + count, permitted.end(),
                      [](const auto* left, const auto* right) {
                          return stable_hash(left->record.id.value()) <
                                 stable_hash(right->record.id.value());
                      });
    permitted.resize(filter.max_endpoints);
    return permitted;
}

void apply_version_filter(std::vector<const known_endpoint*>& usable, const version_filter& filter)
{
    if (filter.required) {
        std::erase_if(usable, [&](const auto* endpoint) {
            return endpoint->record.version != *filter.required;
        });
    }
    if (filter.only) {
        auto permitted = endpoints_of(usable, filter);
        if (!permitted.empty()) {
            usable = std::move(permitted);
            return;
        }
    }
    if (filter.excluded.empty()) {
        return;
    }
    std::vector<const known_endpoint*> permitted;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(permitted),
                 [&](const auto* endpoint) {
                     return std::find(filter.excluded.begin(), filter.excluded.end(),
                                      endpoint->record.version) == filter.excluded.end();
                 });
    if (!permitted.empty() || filter.is_strict) {
        usable = std::move(permitted);
    }
}

} // namespace eelgrassbend
