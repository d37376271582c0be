#include "document.h"

#include <toml++/toml.h>

#include <cmath>
#include <limits>
#include <sstream>
#include <utility>

namespace eelgrassbend {

static std::string join(const std::string& path, const std::string& key)
{
    return path.empty() ? key : path + "." + key;
}

static std::string element(const std::string& path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

static nlohmann::json convert(const toml::node& node, const std::string& path, document& target);

static nlohmann::json convert_table(const toml::table& table, const std::string& path,
                                    document& target)
{
    auto values = nlohmann::json::object();
    for (const auto& [key, value] : table) {
        const std::string name{key.str()};
        const auto where = join(path, name);
        values[name] = convert(value, where, target);
        target.lines[where] = key.source().begin.line;
    }
    return values;
}

static nlohmann::json convert(const toml::node& node, const std::string& path, document& target)
{
    target.lines[path] = node.source().begin.line;
    if (const auto* table = node.as_table()) {
        return convert_table(*table, path, target);
    }
    if (const auto* array = node.as_array()) {
        auto values = nlohmann::json::array();
        for (const auto& item : *array) {
            values.push_back(convert(item, element(path, values.size()), target));
        }
        return values;
    }
    if (const auto* text = node.as_string()) {
        return text->get();
    }
    if (const auto* integer = node.as_integer()) {
        return integer->get();
    }
    if (const auto* number = node.as_floating_point()) {
        return number->get();
    }
    if (const auto* flag = node.as_boolean()) {
        return flag->get();
    }
    return nullptr; // dates and times have no place in a bundle and fail every type check
}

result<document> parse_toml_document(std::string_view text, const std::string& file)
{
    document target;
    target.file = file;
    try {
        const auto table = toml::parse(text, file);
        target.values = convert_table(table, {}, target);
    }
    catch (const toml::parse_error& problem) {
        const auto line = std::to_string(problem.source().begin.line);
        return make_error(errc::invalid_argument, "read bundle", file + ":" + line,
                          std::string{problem.description()});
    }
    return target;
}

static std::uint32_t line_of(const document& source, std::string path)
{
    // A missing key has no line of its own: the nearest table that holds it has.
    while (!path.empty()) {
        const auto found = source.lines.find(path);
        if (found != source.lines.end()) {
            return found->second;
        }
        const auto cut = path.find_last_of(".[");
        path.resize(cut == std::string::npos ? 0 : cut);
    }
    return 1;
}

void document_errors::add(const std::string& path, const std::string& problem)
{
    if (this->found) {
        return;
    }
    std::string where;
    if (!this->source.file.empty()) {
        where = this->source.file + ":" + std::to_string(line_of(this->source, path));
    }
    this->found = make_error(errc::invalid_argument, "read bundle", where, path + ": " + problem);
}

table_reader::table_reader(const nlohmann::json& table, std::string path, document_errors& errors)
    : values(table), path(std::move(path)), errors(errors)
{
    if (!this->values.is_object()) {
        this->errors.add(this->path, "must be a table");
    }
}

std::string table_reader::path_of(const std::string& key) const
{
    return join(this->path, key);
}

bool table_reader::has(const std::string& key) const
{
    return this->values.is_object() && this->values.contains(key);
}

void table_reader::fail(const std::string& key, const std::string& problem)
{
    this->errors.add(this->path_of(key), problem);
}

const nlohmann::json* table_reader::find(const std::string& key, bool required)
{
    this->known.insert(key);
    if (this->values.is_object()) {
        const auto found = this->values.find(key);
        if (found != this->values.end()) {
            return &*found;
        }
    }
    if (required) {
        this->fail(key, "is missing");
    }
    return nullptr;
}

template <typename Number>
static std::string range_text(const char* type, Number least, Number most)
{
    std::ostringstream text;
    text << "must be " << type << " from " << least << " to " << most;
    return text.str();
}

std::int64_t table_reader::integer(const std::string& key, std::int64_t least, std::int64_t most,
                                   std::optional<std::int64_t> fallback)
{
    const auto* value = this->find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(least);
    }
    const bool too_large = value->is_number_unsigned() &&
                           value->get<std::uint64_t>() >
                               static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const bool fits = value->is_number_integer() && !too_large &&
                      value->get<std::int64_t>() >= least && value->get<std::int64_t>() <= most;
    if (!fits) {
        this->fail(key, range_text("a whole number", least, most));
        return least;
    }
    return value->get<std::int64_t>();
}

double table_reader::number(const std::string& key, double least, double most,
                            std::optional<double> fallback)
{
    const auto* value = this->find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(least);
    }
    const bool fits = value->is_number() && std::isfinite(value->get<double>()) &&
                      value->get<double>() >= least && value->get<double>() <= most;
    if (!fits) {
        this->fail(key, range_text("a number", least, most));
        return least;
    }
    return value->get<double>();
}

bool table_reader::flag(const std::string& key, std::optional<bool> fallback)
{
    const auto* value = this->find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(false);
    }
    if (!value->is_boolean()) {
        this->fail(key, "must be true or false");
        return false;
    }
    return value->get<bool>();
}

std::string table_reader::text(const std::string& key, std::optional<std::string> fallback)
{
    const auto* value = this->find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or("");
    }
    if (!value->is_string()) {
        this->fail(key, "must be a string");
        return {};
    }
    return value->get<std::string>();
}

std::vector<std::string> table_reader::texts(const std::string& key, std::size_t most,
                                             bool required)
{
    std::vector<std::string> items;
    const auto* value = this->find(key, required);
    if (value == nullptr) {
        return items;
    }
    if (!value->is_array() || value->size() > most) {
        this->fail(key, "must be an array of at most " + std::to_string(most) + " strings");
        return items;
    }
    for (const auto& item : *value) {
        if (!item.is_string()) {
            this->fail(element(key, items.size()), "must be a string");
            return items;
        }
        items.push_back(item.get<std::string>());
    }
    return items;
}

void table_reader::tables(const std::string& key, std::size_t most,
                          const std::function<void(table_reader&)>& read)
{
    const auto* value = this->find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array() || value->size() > most) {
        this->fail(key, "must be an array of at most " + std::to_string(most) + " tables");
        return;
    }
    std::size_t index = 0;
    for (const auto& item : *value) {
        table_reader reader{item, this->path_of(element(key, index++)), this->errors};
        read(reader);
        reader.finish();
    }
}

void table_reader::table(const std::string& key, const std::function<void(table_reader&)>& read)
{
    static const auto empty = nlohmann::json::object();
    const auto* value = this->find(key, false);
    table_reader reader{value == nullptr ? empty : *value, this->path_of(key), this->errors};
    read(reader);
    reader.finish();
}

void table_reader::finish()
{
    if (!this->values.is_object()) {
        return;
    }
    for (const auto& [key, value] : this->values.items()) {
        if (this->known.contains(key)) {
            continue;
        }
        std::string allowed;
        for (const auto& name : this->known) {
            allowed += (allowed.empty() ? "" : ", ") + name;
        }
        this->fail(key, "unknown key; allowed are " + allowed);
        return;
    }
}

} // namespace eelgrassbend
