#include "eelgrassbend/bundle/bundle.h"

#include <algorithm>

namespace eelgrassbend {

template <typename Items, typename Predicate>
static auto* find_where(const Items& items, Predicate matches)
{
    const auto found = std::find_if(items.begin(), items.end(), matches);
    return found == items.end() ? nullptr : &*found;
}

const service_spec* bundle::find_service(const service_id& id) const
{
    return find_where(this->services, [&](const auto& service) { return service.id == id; });
}

const organisation_spec* bundle::find_organisation(const organisation_id& id) const
{
    return find_where(this->organisations,
                      [&](const auto& organisation) { return organisation.id == id; });
}

const organisation_spec* bundle::find_key(const std::string& key_sha256) const
{
    return find_where(this->organisations, [&](const auto& organisation) {
        return organisation.key_sha256 == key_sha256;
    });
}

} // namespace eelgrassbend
