#ifndef EELGRASSBEND_LOGGING_LINE_WRITER_H
#define EELGRASSBEND_LOGGING_LINE_WRITER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace eelgrassbend {

/// Writes lines to a descriptor from a thread of its own, so that a reader that stalls never blocks
/// the caller. Lines for which there is no buffer space are dropped and counted.
class line_writer {
public:
    /// `max_pending_bytes`: bound of the lines that wait to be written. A second buffer of this
    /// size may be in the process of being written.
    explicit line_writer(int descriptor, std::size_t max_pending_bytes = std::size_t{256} * 1024);
    /// Waits a short time for pending lines; those that still cannot be written are lost.
    ~line_writer();
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    /// Appends a line feed to `line`.
    void write(std::string_view line);
    /// Number of lines that were dropped or failed to be written.
    [[nodiscard]] std::uint64_t dropped() const;

    struct state;

private:
    std::shared_ptr<state> shared;
};

} // namespace eelgrassbend

#endif
