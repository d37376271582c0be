#include "eelgrassbend/control/bundle_commands.h"

#include "eelgrassbend/bundle/bundle_codec.h"
#include "eelgrassbend/control/operator_files.h"

#include <set>

namespace eelgrassbend {

using nlohmann::json;

/// What tells the tables of an array apart; empty if they have no such keys.
static std::string identity_of(const json& item)
{
    if (!item.is_object()) {
        return {};
    }
    if (item.contains("id")) {
        return item["id"].get<std::string>();
    }
    if (item.contains("public_key")) {
        return item["name"].get<std::string>();
    }
    if (!item.contains("zone")) {
        return {};
    }
    auto identity = item["zone"].get<std::string>() + "/" + item["type"].get<std::string>();
    if (item.contains("reclaimable")) {
        identity += item["reclaimable"].get<bool>() ? "/reclaimable" : "/on-demand";
    }
    return identity;
}

/// Arrays of tables as objects by identity, so that both kinds are compared by name.
static json by_name(const json& value)
{
    if (!value.is_array() || value.empty() || identity_of(value.front()).empty()) {
        return value;
    }
    auto named = json::object();
    for (const auto& item : value) {
        named[identity_of(item)] = item;
    }
    return named;
}

static void compare(const std::string& path, const json& old_value, const json& new_value,
                    std::vector<bundle_change>& changes)
{
    const auto before = by_name(old_value);
    const auto after = by_name(new_value);
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        changes.push_back({path, old_value, new_value});
        return;
    }
    const bool named = old_value.is_array();
    std::set<std::string> keys;
    for (const auto& side : {before, after}) {
        for (const auto& [key, value] : side.items()) {
            keys.insert(key);
        }
    }
    for (const auto& key : keys) {
        const auto where = named ? path + "[" + key + "]" : (path.empty() ? key : path + "." + key);
        compare(where, before.value(key, json{}), after.value(key, json{}), changes);
    }
}

std::vector<bundle_change> compare_bundles(const bundle& before, const bundle& after)
{
    std::vector<bundle_change> changes;
    compare({}, json::parse(encode_bundle(before)), json::parse(encode_bundle(after)), changes);
    return changes;
}

static std::string change_text(const bundle_change& change)
{
    if (change.before.is_null()) {
        return "+ " + change.path + " = " + change.after.dump() + "\n";
    }
    if (change.after.is_null()) {
        return "- " + change.path + " = " + change.before.dump() + "\n";
    }
    return "~ " + change.path + ": " + change.before.dump() + " -> " + change.after.dump() + "\n";
}

command_result diff_bundles(const std::string& before, const std::string& after)
{
    const auto old_bundle = load_bundle(before);
    if (!old_bundle) {
        return failed_command(old_bundle.error());
    }
    const auto new_bundle = load_bundle(after);
    if (!new_bundle) {
        return failed_command(new_bundle.error());
    }
    command_result outcome;
    auto list = json::array();
    for (const auto& change : compare_bundles(old_bundle.value(), new_bundle.value())) {
        outcome.text += change_text(change);
        list.push_back({{"path", change.path}, {"before", change.before}, {"after", change.after}});
    }
    if (list.empty()) {
        outcome.text = "no difference\n";
    }
    outcome.data = {{"changes", std::move(list)}};
    return outcome;
}

} // namespace eelgrassbend
