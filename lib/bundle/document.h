#ifndef EELGRASSBEND_LIB_BUNDLE_DOCUMENT_H
#define EELGRASSBEND_LIB_BUNDLE_DOCUMENT_H

#include "eelgrassbend/support/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbend {

/// A parsed file: its values, and the line of each by its path such as "services[0].kind".
struct document {
    nlohmann::json values;
    std::map<std::string, std::uint32_t> lines; ///< empty for JSON
    std::string file;                           ///< empty for JSON
};

/// Reads TOML into a document.
result<document> parse_toml_document(std::string_view text, const std::string& file);

/// Collects the first problem found in a document.
class document_errors {
public:
    explicit document_errors(const document& source) : source(source) {}

    void add(const std::string& path, const std::string& problem);

    [[nodiscard]] const std::optional<error>& first() const { return this->found; }

private:
    const document& source;
    std::optional<error> found;
};

/// Reads the keys of one table. After a problem the values are the defaults.
class table_reader {
public:
    table_reader(const nlohmann::json& table, std::string path, document_errors& errors);

    /// A missing key is an error unless there is a `fallback`.
    std::int64_t integer(const std::string& key, std::int64_t least, std::int64_t most,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(const std::string& key, double least, double most,
                  std::optional<double> fallback = std::nullopt);
    bool flag(const std::string& key, std::optional<bool> fallback = std::nullopt);
    std::string text(const std::string& key, std::optional<std::string> fallback = std::nullopt);
    std::vector<std::string> texts(const std::string& key, std::size_t most, bool required);
    /// Calls `read` for each table of the array at `key`, which may be missing.
    void tables(const std::string& key, std::size_t most,
                const std::function<void(table_reader&)>& read);
    /// Calls `read` for the table at `key`, or for an empty one if it is missing.
    void table(const std::string& key, const std::function<void(table_reader&)>& read);

    [[nodiscard]] bool has(const std::string& key) const;
    void fail(const std::string& key, const std::string& problem);
    /// Reports the keys that were not read.
    void finish();

private:
    const nlohmann::json* find(const std::string& key, bool required);
    [[nodiscard]] std::string path_of(const std::string& key) const;

    const nlohmann::json& values;
    std::string path;
    document_errors& errors;
    std::set<std::string> known;
};

} // namespace eelgrassbend

#endif
