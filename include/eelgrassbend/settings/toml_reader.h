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

/// Reads one table of a TOML file and keeps the first error of the whole file. A read that fails
/// answers a harmless value, so that a reader needs to look at the error only once.
class toml_reader {
public:
    struct node;
    struct document;

    /// Errors: `invalid_argument` with file and line.
    static result<toml_reader> parse(const std::string& text, const std::string& file);

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
    /// A whole number of milliseconds.
    duration milliseconds(const std::string& key, duration min, duration max,
                          std::optional<duration> default_value = std::nullopt);
    /// An empty table if there is none and it is not required.
    toml_reader table(const std::string& key, bool required = true);
    /// A list of tables; empty if there is none.
    std::vector<toml_reader> tables(const std::string& key);

    /// Reports keys of this table that were never read.
    void reject_unknown_keys();
    /// Reports a value that was read but does not fit.
    void reject(const std::string& key, const std::string& allowed);
    /// The first error of the file so far.
    [[nodiscard]] result<void> status() const;

private:
    toml_reader(std::shared_ptr<document> source, std::shared_ptr<node> current);

    std::shared_ptr<document> source;
    std::shared_ptr<node> current;
};

} // namespace eelgrassbend

#endif
