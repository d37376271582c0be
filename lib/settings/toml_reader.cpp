#include "eelgrassbend/settings/toml_reader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace eelgrassbend {

struct toml_reader::document {
    std::string file;
    toml::table root;
    std::optional<error> first_error;
};

struct toml_reader::node {
    const toml::table* table = nullptr; ///< null: the table is missing
    std::string key_prefix;             ///< with a trailing dot unless empty
    std::set<std::string> read_keys;
};

static std::string format_location(const std::string& file, const toml::source_region& region)
{
    return file + ":" + std::to_string(region.begin.line);
}

toml_reader::toml_reader(std::shared_ptr<document> source, std::shared_ptr<node> current)
    : source(std::move(source)), current(std::move(current))
{
}

result<toml_reader> toml_reader::parse(const std::string& text, const std::string& file)
{
    auto source = std::make_shared<document>();
    source->file = file;
    try {
        source->root = toml::parse(text, file);
    }
    catch (const toml::parse_error& failure) {
        return make_error(errc::invalid_argument, "read settings",
                          format_location(file, failure.source()),
                          std::string{failure.description()});
    }
    auto current = std::make_shared<node>();
    current->table = &source->root;
    return toml_reader{std::move(source), std::move(current)};
}

/// Returns the file and line of a key, or of its table if the key is missing.
static std::string location_of_key(const std::string& file, const toml::table* table,
                                   const std::string& key)
{
    if (table == nullptr) {
        return file;
    }
    const auto* value = table->get(key);
    return format_location(file, value != nullptr ? value->source() : table->source());
}

void toml_reader::reject(const std::string& key, const std::string& allowed)
{
    if (this->source->first_error) {
        return;
    }
    this->source->first_error =
        make_error(errc::invalid_argument, "read settings",
                   location_of_key(this->source->file, this->current->table, key),
                   "'" + this->current->key_prefix + key + "' " + allowed);
}

result<void> toml_reader::status() const
{
    if (this->source->first_error) {
        return *this->source->first_error;
    }
    return boost::outcome_v2::success();
}

/// Returns the value of a key and records the key as read; null if it is missing.
static const toml::node* look_up(toml_reader::node& current, const std::string& key)
{
    current.read_keys.insert(key);
    return current.table == nullptr ? nullptr : current.table->get(key);
}

std::string toml_reader::string(const std::string& key, std::optional<std::string> default_value)
{
    const auto* value = look_up(*this->current, key);
    if (value == nullptr && default_value) {
        return *default_value;
    }
    if (value == nullptr || !value->is_string()) {
        this->reject(key, "must be a string");
        return {};
    }
    return value->as_string()->get();
}

std::string toml_reader::one_of(const std::string& key, const std::vector<std::string>& allowed,
                                std::optional<std::string> default_value)
{
    auto value = this->string(key, std::move(default_value));
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) {
        return value;
    }
    std::string list;
    for (const auto& choice : allowed) {
        list += (list.empty() ? "" : ", ") + choice;
    }
    this->reject(key, "must be one of: " + list);
    return allowed.front();
}

std::int64_t toml_reader::integer(const std::string& key, std::int64_t min, std::int64_t max,
                                  std::optional<std::int64_t> default_value)
{
    const auto* value = look_up(*this->current, key);
    if (value == nullptr && default_value) {
        return *default_value;
    }
    const bool fits = value != nullptr && value->is_integer() &&
                      value->as_integer()->get() >= min && value->as_integer()->get() <= max;
    if (!fits) {
        this->reject(key, "must be an integer from " + std::to_string(min) + " to " +
                              std::to_string(max));
        return min;
    }
    return value->as_integer()->get();
}

double toml_reader::number(const std::string& key, double min, double max,
                           std::optional<double> default_value)
{
    const auto* value = look_up(*this->current, key);
    if (value == nullptr && default_value) {
        return *default_value;
    }
    const auto number = value == nullptr ? std::nullopt : value->value<double>();
    const bool is_number = value != nullptr && value->is_number();
    if (!is_number || !(*number >= min && *number <= max)) {
        std::ostringstream allowed;
        allowed << "must be a number from " << min << " to " << max;
        this->reject(key, allowed.str());
        return min;
    }
    return *number;
}

bool toml_reader::boolean(const std::string& key, std::optional<bool> default_value)
{
    const auto* value = look_up(*this->current, key);
    if (value == nullptr && default_value) {
        return *default_value;
    }
    if (value == nullptr || !value->is_boolean()) {
        this->reject(key, "must be true or false");
        return false;
    }
    return value->as_boolean()->get();
}

std::vector<std::string> toml_reader::strings(const std::string& key,
                                              std::optional<std::vector<std::string>> default_value)
{
    const auto* value = look_up(*this->current, key);
    if (value == nullptr && default_value) {
        return *default_value;
    }
    if (value == nullptr || !value->is_array()) {
        this->reject(key, "must be an array of strings");
        return {};
    }
    std::vector<std::string> list;
    for (const auto& element : *value->as_array()) {
        if (!element.is_string()) {
            this->reject(key, "must be an array of strings");
            return {};
        }
        list.push_back(element.as_string()->get());
    }
    return list;
}

duration toml_reader::milliseconds(const std::string& key, duration min, duration max,
                                   std::optional<duration> default_value)
{
    std::optional<std::int64_t> default_number;
    if (default_value) {
        default_number = whole_milliseconds(*default_value);
    }
    return std::chrono::milliseconds{
        this->integer(key, whole_milliseconds(min), whole_milliseconds(max), default_number)};
}

toml_reader toml_reader::table(const std::string& key, bool required)
{
    const auto* value = look_up(*this->current, key);
    auto child = std::make_shared<node>();
    child->key_prefix = this->current->key_prefix + key + ".";
    if (value != nullptr && value->is_table()) {
        child->table = value->as_table();
    }
    else if (value != nullptr || required) {
        this->reject(key, "must be a table");
    }
    return {this->source, std::move(child)};
}

std::vector<toml_reader> toml_reader::tables(const std::string& key)
{
    const auto* value = look_up(*this->current, key);
    std::vector<toml_reader> list;
    if (value == nullptr) {
        return list;
    }
    if (!value->is_array()) {
        this->reject(key, "must be an array of tables");
        return list;
    }
    for (const auto& element : *value->as_array()) {
        if (!element.is_table()) {
            this->reject(key, "must be an array of tables");
            return {};
        }
        auto child = std::make_shared<node>();
        child->key_prefix =
            this->current->key_prefix + key + "[" + std::to_string(list.size()) + "].";
        child->table = element.as_table();
        list.push_back(toml_reader{this->source, std::move(child)});
    }
    return list;
}

void toml_reader::reject_unknown_keys()
{
    if (this->current->table == nullptr) {
        return;
    }
    for (const auto& [key, value] : *this->current->table) {
        const std::string name{key.str()};
        if (this->current->read_keys.contains(name)) {
            continue;
        }
        std::string known_keys;
        for (const auto& known_key : this->current->read_keys) {
            known_keys += (known_keys.empty() ? "" : ", ") + known_key;
        }
        this->reject(name, "is not a known key; known here: " + known_keys);
        return;
    }
}

} // namespace eelgrassbend
