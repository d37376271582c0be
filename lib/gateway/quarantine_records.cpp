#include "eelgrassbend/gateway/quarantine_records.h"

#include "eelgrassbend/support/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace eelgrassbend {

static constexpr std::string_view key_prefix = "quarantine/";
/// Pause after a failed append.
static constexpr std::chrono::seconds append_retry_pause{1};

// The names of many parts would exceed the longest key of the store.
static std::string record_key(const part_keys& parts)
{
    return std::string{key_prefix} + part_name(stable_hash(part_names(parts)));
}

static std::string encode_set(const quarantined_set& set, wall_time now)
{
    auto names = nlohmann::json::array();
    for (const auto& part : set.parts) {
        names.push_back(part_name(part.value()));
    }
    const auto decided = now - std::chrono::duration_cast<wall_time::duration>(set.age);
    const auto decided_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(decided.time_since_epoch()).count();
    return nlohmann::json{
        {"parts", names}, {"failed_trials", set.level}, {"decided_ms", decided_ms}}
        .dump();
}

static std::optional<part_key> decode_part(const nlohmann::json& name)
{
    constexpr int hex_base = 16;
    if (!name.is_string()) {
        return std::nullopt;
    }
    const auto& text = name.get_ref<const std::string&>();
    std::uint64_t value = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value, hex_base);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return part_key{value};
}

// The wall clocks of two nodes may differ; a decision in the future counts as made now.
static std::optional<quarantined_set> decode_set(const std::string& value, wall_time now)
{
    const auto parsed = nlohmann::json::parse(value, nullptr, false);
    const bool is_valid =
        parsed.is_object() && parsed.contains("parts") && parsed["parts"].is_array() &&
        parsed["parts"].size() <= max_examined_parts && parsed.contains("failed_trials") &&
        parsed["failed_trials"].is_number_unsigned() && parsed.contains("decided_ms") &&
        parsed["decided_ms"].is_number_unsigned();
    if (!is_valid) {
        return std::nullopt;
    }
    quarantined_set set;
    for (const auto& name : parsed["parts"]) {
        const auto part = decode_part(name);
        if (!part) {
            return std::nullopt;
        }
        set.parts.push_back(*part);
    }
    std::sort(set.parts.begin(), set.parts.end());
    set.level = parsed["failed_trials"].get<std::uint32_t>();
    const auto now_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    const auto decided_ms = parsed["decided_ms"].get<std::uint64_t>();
    set.age = std::chrono::milliseconds{now_ms - std::min(now_ms, decided_ms)};
    return set;
}

quarantine_records::quarantine_records(record_store& store, scheduler& time, event_log& log,
                                       part_quarantine& quarantine, store_topic topic)
    : store(store), time(time), log(log), quarantine(quarantine), topic(std::move(topic))
{
}

bool quarantine_records::is_own_key(const std::string& key)
{
    return key.starts_with(key_prefix);
}

void quarantine_records::on_record_written(const std::string& key, const std::string& value)
{
    const auto set = decode_set(value, this->time.wall_now());
    if (!set) {
        this->log.write(log_level::warning, "quarantine_record_invalid", {{"key", key}});
        return;
    }
    this->recorded_levels[key] = set->level;
    this->quarantine.apply({{}, {}, {*set}}, this->time.now());
}

void quarantine_records::synchronize()
{
    const auto now = this->time.now();
    if (this->is_appending || now < this->next_append) {
        return;
    }
    std::set<std::string> active;
    for (const auto& set : this->quarantine.quarantined(now)) {
        const auto key = record_key(set.parts);
        active.insert(key);
        const auto known = this->recorded_levels.find(key);
        if (known == this->recorded_levels.end() || known->second < set.level) {
            this->append(key, encode_set(set, this->time.wall_now()), set.level);
            return;
        }
    }
    for (const auto& [key, level] : this->recorded_levels) {
        if (!active.contains(key)) {
            this->append(key, std::nullopt, level);
            return;
        }
    }
}

void quarantine_records::append(const std::string& key, std::optional<std::string> value,
                                std::uint32_t level)
{
    this->is_appending = true;
    const bool is_deletion = !value.has_value();
    this->store.append(
        this->topic, {{log_offset{}, key, std::move(value)}}, std::nullopt,
        this->scope.guard([this, key, is_deletion, level](const result<append_answer>& answer) {
            this->is_appending = false;
            if (!answer) {
                this->next_append = this->time.now() + append_retry_pause;
                this->log.write(log_level::warning, "quarantine_record_failed",
                                {{"key", key}, {"error", answer.error().to_string()}});
                return;
            }
            this->log.write(log_level::info, "quarantine_recorded",
                            {{"key", key}, {"deleted", is_deletion}});
            if (is_deletion) {
                this->recorded_levels.erase(key);
                return;
            }
            this->recorded_levels[key] = level;
        }));
}

} // namespace eelgrassbend
