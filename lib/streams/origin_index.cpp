#include "eelgrassbend/streams/origin_index.h"

namespace eelgrassbend {

void origin_index::put_own(stream_key key, const software_version& version, bool is_written,
                           monotonic_time expires_at)
{
    this->put(key, {version, 0, true, is_written, expires_at});
}

void origin_index::put_read(stream_key key, const software_version& version,
                            std::int64_t written_ms, monotonic_time expires_at)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end() &&
        (found->second.is_own || found->second.written_ms > written_ms)) {
        return;
    }
    this->put(key, {version, written_ms, false, true, expires_at});
}

void origin_index::put(stream_key key, entry added)
{
    this->by_expiry.emplace_back(added.expires_at, key);
    this->entries.insert_or_assign(key, std::move(added));
    while (this->entries.size() > max_entries || this->by_expiry.size() > 2 * max_entries) {
        this->entries.erase(this->by_expiry.front().second);
        this->by_expiry.pop_front();
    }
}

const origin_index::entry* origin_index::find_entry(stream_key key, monotonic_time now)
{
    this->expire(now);
    const auto found = this->entries.find(key);
    const bool is_known = found != this->entries.end() && found->second.expires_at > now;
    return is_known ? &found->second : nullptr;
}

std::optional<software_version> origin_index::find(stream_key key, monotonic_time now)
{
    const auto* found = this->find_entry(key, now);
    return found != nullptr ? std::optional{found->version} : std::nullopt;
}

std::optional<software_version> origin_index::find_own(stream_key key, monotonic_time now)
{
    const auto* found = this->find_entry(key, now);
    return found != nullptr && found->is_own ? std::optional{found->version} : std::nullopt;
}

bool origin_index::is_own_written(stream_key key, monotonic_time now)
{
    const auto* found = this->find_entry(key, now);
    return found != nullptr && found->is_own && found->is_written;
}

// An entry that was put again has a later time of its own.
void origin_index::expire(monotonic_time now)
{
    while (!this->by_expiry.empty() && this->by_expiry.front().first <= now) {
        const auto found = this->entries.find(this->by_expiry.front().second);
        if (found != this->entries.end() && found->second.expires_at <= now) {
            this->entries.erase(found);
        }
        this->by_expiry.pop_front();
    }
}

} // namespace eelgrassbend
