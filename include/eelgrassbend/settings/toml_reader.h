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

    std::string text(const std::string& key, std::optional<std::string> otherwise = std::nullopt);
    std::string one_of(const std::string& key, const std::vector<std::string>& allowed,
                       std::optional<std::string> otherwise = std::nullopt);
    std::int64_t integer(const std::string& key, std::int64_t least, std::int64_t most,
                         std::optional<std::int64_t> otherwise = std::nullopt);
    double number(const std::string& key, double least, double most,
                  std::optional<double> otherwise = std::nullopt);
    bool boolean(const std::string& key, std::optional<bool> otherwise = std::nullopt);
    std::vector<std::string>
    texts(const std::string& key, std::optional<std::vector<std::string>> otherwise = std::nullopt);
    /// A whole number of milliseconds.
    duration milliseconds(const std::string& key, duration least, duration most,
                          std::optional<duration> otherwise = std::nullopt);
    /// An empty table if there is none and it is not required.
    toml_reader table(const std::string& key, bool required = true);
    /// A list of tables; empty if there is none.
    std::vector<toml_reader> tables(const std::string& key);

    /// Reports keys of this table that were never read.
    void expect_no_more();
    /// Reports a value that was read but does not fit.
    void reject(const std::string& key, const std::string& allowed);
    /// The first error of the file so far.
    [[nodiscard]] result<void> status() const;

private:
    toml_reader(std::shared_ptr<document> owner, std::shared_ptr<node> position);

    std::shared_ptr<document> owner;
    std::shared_ptr<node> position;
};

} // namespace eelgrassbend

#endif
