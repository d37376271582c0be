#ifndef EELGRASSBEND_SETTINGS_TOML_READER_H
#define EELGRASSBEND_SETTINGS_TOML_READER_H

#include "eelgrassbend/support/error.h"
#include "eelgrassbend/support/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassbend {

/// Reads a table of a TOML file. All readers of a file share its first error, and a read that fails
/// returns a valid placeholder, so that the caller needs to check `status` only once.
class toml_reader {
public:
    struct node;
    struct document;

    /// Parses a file. Errors: `invalid_argument` with file and line.
    static result<toml_reader> parse(const std::string& text, const std::string& file);

    /// Readers of single values. A missing key is an error unless a default is given.
    std::string string(const std::string& key,
                       std::optional<std::string> default_value = std::nullopt);
    std::string one_of(const std::string& key, const std::vector<std::string>& allowed,
                       std::optional<std::string> default_value = std::nullopt);
    std::int64_t integer(const std::string& key, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> default_value = std::nullopt);
    double number(const std::string& key, double min, double max,
                  std::optional<double> default_value = std::nullopt);
    bool boolean(const std::string& key, std::optional<bool> default_value = std::nullopt);
    std::vector<std::string>
    strings(const std::string& key,
            std::optional<std::vector<std::string>> default_value = std::nullopt);
    /// Reads an integer number of milliseconds.
    duration milliseconds(const std::string& key, duration min, duration max,
                          std::optional<duration> default_value = std::nullopt);
    /// Returns an empty table if the key is missing and not required.
    toml_reader table(const std::string& key, bool required = true);
    /// Returns the elements of an array of tables; empty if the key is missing.
    std::vector<toml_reader> tables(const std::string& key);

    /// Reports the first key of this table that was never read.
    void reject_unknown_keys();
    /// Reports an invalid value; `allowed` describes the valid ones.
    void reject(const std::string& key, const std::string& allowed);
    /// Returns the first error of the file so far.
    [[nodiscard]] result<void> status() const;

private:
    toml_reader(std::shared_ptr<document> source, std::shared_ptr<node> current);

    std::shared_ptr<document> source;
    std::shared_ptr<node> current;
};

} // namespace eelgrassbend

#endif
