#ifndef EELGRASSBEND_UNITTESTS_FAKES_FAKE_STREAM_ORIGINS_H
#define EELGRASSBEND_UNITTESTS_FAKES_FAKE_STREAM_ORIGINS_H

#include "eelgrassbend/streams/stream_origins.h"

#include <map>
#include <utility>
#include <vector>

namespace eelgrassbend::fakes {

/// Keeps origins in memory. Answers at once, or when the test says so.
class fake_stream_origins : public stream_origins {
public:
    void record(const service_id& /*service*/, const request_id& stream,
                const software_version& version, recorded_handler done) override
    {
        this->recorded.emplace_back(stream, version);
        this->origins[stream] = version;
        this->call(std::move(done));
    }

    void find(const service_id& /*service*/, const request_id& stream, found_handler done) override
    {
        this->call([this, stream, done = std::move(done)] {
            const auto found = this->origins.find(stream);
            if (found == this->origins.end()) {
                done(make_error(errc::unavailable, "find stream origin", "store"));
                return;
            }
            done(found->second);
        });
    }

    [[nodiscard]] std::optional<software_version>
    preferred_version(const service_id& /*service*/) const override
    {
        return this->preferred;
    }

    /// Makes the calls that were held back.
    void release()
    {
        for (const auto& held : std::exchange(this->held, {})) {
            held();
        }
    }

    bool is_held = false; ///< answers wait for `release`
    std::optional<software_version> preferred;
    std::map<request_id, software_version> origins;
    std::vector<std::pair<request_id, software_version>> recorded;

private:
    void call(std::function<void()> answer)
    {
        if (this->is_held) {
            this->held.push_back(std::move(answer));
            return;
        }
        answer();
    }

    std::vector<std::function<void()>> held;
};

} // namespace eelgrassbend::fakes

#endif
