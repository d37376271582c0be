#include "eelgrassbend/claims/claim_table.h"
#include "eelgrassbend/support/hash.h"
#include "eelgrassbend/support/uuid.h"

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static std::uint64_t hash_of(claim_record_kind kind, const request_id& request)
{
    return stable_hash(id_of(kind, request).value());
}

static bool contains(const std::vector<std::uint64_t>& hashes, std::uint64_t hash)
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

claim_table::claim_table(const claim_table_settings& settings) : settings(settings) {}

void claim_table::restart(bool is_complete)
{
    this->entries.clear();
    this->bodies.clear();
    this->body_bytes = 0;
    this->complete = is_complete;
    this->covered_from.reset();
}

// A claim can count only from the key's time less the tolerance on, and the log's clock may lie
// off by the tolerance again. Whatever was appended before that does not concern the key.
bool claim_table::covers(wall_time key_time) const
{
    if (this->complete) {
        return true;
    }
    return this->covered_from &&
           *this->covered_from < key_time - 2 * this->settings.clock_tolerance;
}

// Depends on the record alone, so that all tables agree on it wherever they started reading.
bool claim_table::in_window(wall_time key_time, wall_time appended) const
{
    return key_time <= appended + this->settings.clock_tolerance &&
           appended <= key_time + this->settings.max_key_age;
}

// A key is forgotten only when the window has closed for good: no later claim of it can count.
void claim_table::expire()
{
    const auto kept = this->settings.max_key_age + this->settings.clock_tolerance;
    while (!this->entries.empty() &&
           this->entries.begin()->second.key_time + kept < this->newest_record) {
        this->entries.erase(this->entries.begin());
    }
    while (!this->bodies.empty() && !this->entries.contains(this->bodies.front().key)) {
        this->body_bytes -= this->bodies.front().size;
        this->bodies.pop_front();
    }
}

void claim_table::apply(const log_record& record)
{
    if (!this->complete && !this->covered_from) {
        this->covered_from = record.appended_at;
    }
    this->newest_record = std::max(this->newest_record, record.appended_at);
    this->expire();
    auto decoded = decode_claim_record(record.payload);
    if (!decoded || decoded.value().kind == claim_record_kind::marker) {
        return;
    }
    auto& content = decoded.value();
    const auto key_time = uuid_v7_time(content.key.uuid).value();
    if (!this->in_window(key_time, record.appended_at) && !this->entries.contains(content.key)) {
        return;
    }
    auto& found = this->entries[content.key];
    found.key_time = key_time;
    const auto hash = hash_of(content.kind, content.request);
    if (contains(found.seen, hash)) {
        return;
    }
    switch (content.kind) {
    case claim_record_kind::claim:
        this->apply_claim(found, std::move(content), record.appended_at);
        return;
    case claim_record_kind::released:
        this->apply_release(found, content);
        return;
    default:
        this->apply_end(found, std::move(content));
        return;
    }
}

// The verdict is final at the claim's own offset: a claim that meets a holder never counts, also
// when the holder releases the key later. Nobody has to withdraw a claim that lost.
void claim_table::apply_claim(entry& found, claim_record record, wall_time appended)
{
    if (!this->in_window(found.key_time, appended) ||
        found.seen.size() >= this->settings.records_per_key) {
        return;
    }
    found.seen.push_back(hash_of(claim_record_kind::claim, record.request));
    if (!found.holder) {
        found.holder = claim_holder{
            std::move(record.request), std::move(record.node), appended, claim_end::open, {}};
    }
}

// An append that was given up may take effect after the release: the release also voids a claim
// of the same request that comes later.
void claim_table::apply_release(entry& found, const claim_record& record)
{
    if (found.seen.size() < 4 * this->settings.records_per_key) {
        found.seen.push_back(hash_of(claim_record_kind::released, record.request));
        const auto claim = hash_of(claim_record_kind::claim, record.request);
        if (!contains(found.seen, claim)) {
            found.seen.push_back(claim);
        }
    }
    if (found.holder && found.holder->request == record.request &&
        found.holder->end == claim_end::open) {
        found.holder.reset();
    }
}

void claim_table::apply_end(entry& found, claim_record record)
{
    found.seen.push_back(hash_of(record.kind, record.request));
    if (!found.holder || found.holder->request != record.request ||
        found.holder->end == claim_end::finished) {
        return;
    }
    if (record.kind == claim_record_kind::abandoned) {
        found.holder->end = claim_end::abandoned;
        return;
    }
    found.holder->end = claim_end::finished;
    found.holder->outcome = std::move(record.outcome);
    this->limit_bodies(record.key, found.holder->outcome.body.size());
}

void claim_table::limit_bodies(const claim_key& key, std::size_t size)
{
    if (size == 0) {
        return;
    }
    this->bodies.push_back({key, size});
    this->body_bytes += size;
    while (this->body_bytes > this->settings.outcome_bytes) {
        const auto& oldest = this->bodies.front();
        const auto found = this->entries.find(oldest.key);
        if (found != this->entries.end() && found->second.holder) {
            found->second.holder->outcome.body.clear();
        }
        this->body_bytes -= oldest.size;
        this->bodies.pop_front();
    }
}

claim_verdict claim_table::verdict(const claim_key& key, const request_id& request) const
{
    const auto key_time = uuid_v7_time(key.uuid);
    if (!key_time || !this->covers(key_time.value())) {
        return claim_verdict::uncovered;
    }
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return claim_verdict::expired;
    }
    const auto& state = found->second;
    if (!contains(state.seen, hash_of(claim_record_kind::claim, request))) {
        return state.seen.size() >= this->settings.records_per_key ? claim_verdict::overused
                                                                   : claim_verdict::expired;
    }
    if (!state.holder) {
        return claim_verdict::vacant;
    }
    return state.holder->request == request ? claim_verdict::won : claim_verdict::held;
}

const claim_holder* claim_table::holder(const claim_key& key) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || !found->second.holder) {
        return nullptr;
    }
    return &*found->second.holder;
}

bool claim_table::applied(const claim_record& record) const
{
    const auto found = this->entries.find(record.key);
    return found != this->entries.end() &&
           contains(found->second.seen, hash_of(record.kind, record.request));
}

} // namespace eelgrassbend
