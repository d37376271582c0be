#ifndef EELGRASSBEND_UNITTESTS_FAKES_ENDPOINT_DIRECTORY_H
#define EELGRASSBEND_UNITTESTS_FAKES_ENDPOINT_DIRECTORY_H

#include "eelgrassbend/endpoints/endpoint_directory.h"

#include <map>
#include <utility>

namespace eelgrassbend::fakes {

/// Endpoints as a test sets them.
class directory : public endpoint_directory {
public:
    void set(const endpoint_info& info)
    {
        if (info.state == endpoint_state::gone) {
            this->known.erase(info.id);
        }
        else {
            this->known[info.id] = info;
        }
        for (const auto& observer : this->observers) {
            observer(info);
        }
    }

    [[nodiscard]] std::vector<endpoint_info> endpoints(const service_id& service) const override
    {
        std::vector<endpoint_info> found;
        for (const auto& [id, info] : this->known) {
            if (info.service == service) {
                found.push_back(info);
            }
        }
        return found;
    }

    [[nodiscard]] std::optional<endpoint_info> find(const endpoint_id& id) const override
    {
        const auto found = this->known.find(id);
        return found == this->known.end() ? std::nullopt : std::optional{found->second};
    }

    void on_change(std::function<void(const endpoint_info&)> observer) override
    {
        this->observers.push_back(std::move(observer));
    }

private:
    std::map<endpoint_id, endpoint_info> known;
    std::vector<std::function<void(const endpoint_info&)>> observers;
};

} // namespace eelgrassbend::fakes

#endif
