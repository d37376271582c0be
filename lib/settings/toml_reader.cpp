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
    std::string path;                   ///< with a trailing dot unless empty
    std::set<std::string> read;
};

static std::string at_line(const std::string& file, const toml::source_region& region)
{
    return file + ":" + std::to_string(region.begin.line);
}

toml_reader::toml_reader(std::shared_ptr<document> owner, std::shared_ptr<node> position)
    : owner(std::move(owner)), position(std::move(position))
{
}

result<toml_reader> toml_reader::parse(const std::string& text, const std::string& file)
{
    auto owner = std::make_shared<document>();
    owner->file = file;
    try {
        owner->root = toml::parse(text, file);
    }
    catch (const toml::parse_error& failure) {
        return make_error(errc::invalid_argument, "read settings", at_line(file, failure.source()),
                          std::string{failure.description()});
    }
    auto position = std::make_shared<node>();
    position->table = &owner->root;
    return toml_reader{std::move(owner), std::move(position)};
}

/// The place of a key, or of its table if the key is missing.
static std::string place_of(const std::string& file, const toml::table* table,
                            const std::string& key)
{
    if (table == nullptr) {
        return file;
    }
    const auto* value = table->get(key);
    return at_line(file, value != nullptr ? value->source() : table->source());
}

void toml_reader::reject(const std::string& key, const std::string& allowed)
{
    if (this->owner->first_error) {
        return;
    }
    this->owner->first_error = make_error(errc::invalid_argument, "read settings",
                                          place_of(this->owner->file, this->position->table, key),
                                          "'" + this->position->path + key + "' " + allowed);
}

result<void> toml_reader::status() const
{
    if (this->owner->first_error) {
        return *this->owner->first_error;
    }
    return boost::outcome_v2::success();
}

/// The value of a key, noted as read; null if it is missing.
static const toml::node* look_up(toml_reader::node& position, const std::string& key)
{
    position.read.insert(key);
    return position.table == nullptr ? nullptr : position.table->get(key);
}

std::string toml_reader::text(const std::string& key, std::optional<std::string> otherwise)
{
    const auto* value = look_up(*this->position, key);
    if (value == nullptr && otherwise) {
        return *otherwise;
    }
    if (value == nullptr || !value->is_string()) {
        this->reject(key, "must be a text");
        return {};
    }
    return value->as_string()->get();
}

std::string toml_reader::one_of(const std::string& key, const std::vector<std::string>& allowed,
                                std::optional<std::string> otherwise)
{
    auto chosen = this->text(key, std::move(otherwise));
    if (std::find(allowed.begin(), allowed.end(), chosen) != allowed.end()) {
        return chosen;
    }
    std::string list;
    for (const auto& word : allowed) {
        list += (list.empty() ? "" : ", ") + word;
    }
    this->reject(key, "must be one of: " + list);
    return allowed.front();
}

std::int64_t toml_reader::integer(const std::string& key, std::int64_t least, std::int64_t most,
                                  std::optional<std::int64_t> otherwise)
{
    const auto* value = look_up(*this->position, key);
    if (value == nullptr && otherwise) {
        return *otherwise;
    }
    const bool fits = value != nullptr && value->is_integer() &&
                      value->as_integer()->get() >= least && value->as_integer()->get() <= most;
    if (!fits) {
        this->reject(key, "must be a whole number from " + std::to_string(least) + " to " +
                              std::to_string(most));
        return least;
    }
    return value->as_integer()->get();
}

double toml_reader::number(const std::string& key, double least, double most,
                           std::optional<double> otherwise)
{
    const auto* value = look_up(*this->position, key);
    if (value == nullptr && otherwise) {
        return *otherwise;
    }
    const auto read = value == nullptr ? std::nullopt : value->value<double>();
    const bool is_number = value != nullptr && value->is_number();
    if (!is_number || !(*read >= least && *read <= most)) {
        std::ostringstream allowed;
        allowed << "must be a number from " << least << " to " << most;
        this->reject(key, allowed.str());
        return least;
    }
    return *read;
}

bool toml_reader::boolean(const std::string& key, std::optional<bool> otherwise)
{
    const auto* value = look_up(*this->position, key);
    if (value == nullptr && otherwise) {
        return *otherwise;
    }
    if (value == nullptr || !value->is_boolean()) {
        this->reject(key, "must be true or false");
        return false;
    }
    return value->as_boolean()->get();
}

std::vector<std::string> toml_reader::texts(const std::string& key,
                                            std::optional<std::vector<std::string>> otherwise)
{
    const auto* value = look_up(*this->position, key);
    if (value == nullptr && otherwise) {
        return *otherwise;
    }
    if (value == nullptr || !value->is_array()) {
        this->reject(key, "must be a list of texts");
        return {};
    }
    std::vector<std::string> list;
    for (const auto& element : *value->as_array()) {
        if (!element.is_string()) {
            this->reject(key, "must be a list of texts");
            return {};
        }
        list.push_back(element.as_string()->get());
    }
    return list;
}

duration toml_reader::milliseconds(const std::string& key, duration least, duration most,
                                   std::optional<duration> otherwise)
{
    std::optional<std::int64_t> fallback;
    if (otherwise) {
        fallback = whole_milliseconds(*otherwise);
    }
    return std::chrono::milliseconds{
        this->integer(key, whole_milliseconds(least), whole_milliseconds(most), fallback)};
}

toml_reader toml_reader::table(const std::string& key, bool required)
{
    const auto* value = look_up(*this->position, key);
    auto child = std::make_shared<node>();
    child->path = this->position->path + key + ".";
    if (value != nullptr && value->is_table()) {
        child->table = value->as_table();
    }
    else if (value != nullptr || required) {
        this->reject(key, "must be a table");
    }
    return {this->owner, std::move(child)};
}

std::vector<toml_reader> toml_reader::tables(const std::string& key)
{
    const auto* value = look_up(*this->position, key);
    std::vector<toml_reader> list;
    if (value == nullptr) {
        return list;
    }
    if (!value->is_array()) {
        this->reject(key, "must be a list of tables");
        return list;
    }
    for (const auto& element : *value->as_array()) {
        if (!element.is_table()) {
            this->reject(key, "must be a list of tables");
            return {};
        }
        auto child = std::make_shared<node>();
        child->path = this->position->path + key + "[" + std::to_string(list.size()) + "].";
        child->table = element.as_table();
        list.push_back(toml_reader{this->owner, std::move(child)});
    }
    return list;
}

void toml_reader::expect_no_more()
{
    if (this->position->table == nullptr) {
        return;
    }
    for (const auto& [key, value] : *this->position->table) {
        const std::string name{key.str()};
        if (this->position->read.contains(name)) {
            continue;
        }
        std::string known;
        for (const auto& expected : this->position->read) {
            known += (known.empty() ? "" : ", ") + expected;
        }
        this->reject(name, "is not a known key; known here: " + known);
        return;
    }
}

} // namespace eelgrassbend
