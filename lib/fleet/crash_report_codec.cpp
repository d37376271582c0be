#include "crash_report_codec.h"

#include <algorithm>

namespace eelgrassbend {

/// Upper bounds of the packed sizes of an entry without its parts, and of one part.
static constexpr std::size_t entry_bytes = 32;
static constexpr std::size_t part_bytes = 10;

static std::uint64_t to_micros(duration age)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::microseconds>(age).count()));
}

// An age beyond any that is reported would overflow the clock's representation.
static duration to_age(std::uint64_t micros)
{
    constexpr std::chrono::hours max_age{24 * 365};
    constexpr auto max_micros =
        static_cast<std::uint64_t>(std::chrono::microseconds{max_age}.count());
    return std::chrono::microseconds{std::min(micros, max_micros)};
}

static void write_parts(const part_keys& parts, capnp::List<std::uint64_t>::Builder out)
{
    for (unsigned index = 0; index < parts.size(); ++index) {
        out.set(index, parts[index].value());
    }
}

static part_keys read_parts(capnp::List<std::uint64_t>::Reader in)
{
    part_keys parts;
    for (const auto part : in) {
        if (parts.size() < max_examined_parts) {
            parts.emplace_back(part);
        }
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

std::size_t crash_report_bytes(const crash_report& report)
{
    std::size_t bytes = report.sound.size() * (entry_bytes + part_bytes);
    for (const auto& suspect : report.suspects) {
        bytes += entry_bytes + suspect.parts.size() * part_bytes;
    }
    for (const auto& set : report.quarantined) {
        bytes += entry_bytes + set.parts.size() * part_bytes;
    }
    return bytes;
}

void write_crash_report(const crash_report& report, wire::CrashReport::Builder out)
{
    auto suspects = out.initSuspects(static_cast<unsigned>(report.suspects.size()));
    for (unsigned index = 0; index < report.suspects.size(); ++index) {
        const auto& suspect = report.suspects[index];
        suspects[index].setCrash(suspect.crash.value());
        suspects[index].setRequest(suspect.request);
        suspects[index].setAnswerBegun(suspect.has_answer_begun);
        suspects[index].setAgeMicros(to_micros(suspect.age));
        write_parts(suspect.parts,
                    suspects[index].initParts(static_cast<unsigned>(suspect.parts.size())));
    }
    auto sound = out.initSound(static_cast<unsigned>(report.sound.size()));
    for (unsigned index = 0; index < report.sound.size(); ++index) {
        sound[index].setPart(report.sound[index].part.value());
        sound[index].setAgeMicros(to_micros(report.sound[index].age));
    }
    auto quarantined = out.initQuarantined(static_cast<unsigned>(report.quarantined.size()));
    for (unsigned index = 0; index < report.quarantined.size(); ++index) {
        const auto& set = report.quarantined[index];
        quarantined[index].setLevel(set.level);
        quarantined[index].setAgeMicros(to_micros(set.age));
        write_parts(set.parts,
                    quarantined[index].initParts(static_cast<unsigned>(set.parts.size())));
    }
}

crash_report read_crash_report(wire::CrashReport::Reader in)
{
    crash_report report;
    for (const auto entry : in.getSuspects()) {
        report.suspects.push_back({crash_id{entry.getCrash()}, entry.getRequest(),
                                   entry.getAnswerBegun(), read_parts(entry.getParts()),
                                   to_age(entry.getAgeMicros())});
    }
    for (const auto entry : in.getSound()) {
        report.sound.push_back({part_key{entry.getPart()}, to_age(entry.getAgeMicros())});
    }
    for (const auto entry : in.getQuarantined()) {
        report.quarantined.push_back(
            {read_parts(entry.getParts()), entry.getLevel(), to_age(entry.getAgeMicros())});
    }
    return report;
}

} // namespace eelgrassbend
