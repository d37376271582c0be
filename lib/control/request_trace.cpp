#include "eelgrassbend/control/request_trace.h"

#include <cstdio>
#include <map>
#include <set>
#include <utility>

namespace eelgrassbend {

using nlohmann::json;

static std::string text_of(const json& line, const char* key)
{
    const auto found = line.find(key);
    if (found == line.end()) {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

static bool concerns(const json& line, const std::string& request)
{
    const auto named = line.find("request");
    if (named != line.end() && named->is_string()) {
        return *named == request;
    }
    const auto attempt = line.find("attempt");
    return attempt != line.end() && attempt->is_string() &&
           attempt->get<std::string>().starts_with(request + "/");
}

static std::string explain_route(const json& line)
{
    auto text = "attempt " + text_of(line, "attempt") + " goes to " + text_of(line, "endpoint") +
                " by policy " + text_of(line, "policy") + " out of " +
                text_of(line, "candidate_count") + " candidates, under bundle " +
                text_of(line, "bundle");
    if (const auto reason = text_of(line, "reason"); !reason.empty() && reason != "?") {
        text += ": " + reason;
    }
    return text;
}

/// Every other field, for events that have no sentence of their own.
static std::string explain_fields(const json& line)
{
    static const std::set<std::string> shown{"time_us", "level", "node", "event", "request"};
    std::string text;
    for (const auto& [key, value] : line.items()) {
        if (!shown.contains(key)) {
            text += (text.empty() ? "" : ", ") + key + " " + value.dump();
        }
    }
    return text;
}

static std::string explain(const json& line)
{
    const auto event = text_of(line, "event");
    if (event == "route") {
        return explain_route(line);
    }
    if (event == "attempt_failed") {
        const bool may_have_run = text_of(line, "may_have_run") == "true";
        return "attempt " + text_of(line, "attempt") + " at " + text_of(line, "endpoint") +
               " failed, " + (may_have_run ? "it may have run" : "it was not sent") + ": " +
               text_of(line, "error");
    }
    if (event == "move") {
        return "taken away from " + text_of(line, "endpoint") + ": " + text_of(line, "reason");
    }
    if (event == "refuse") {
        return "refused with status " + text_of(line, "status") + ", outcome " +
               text_of(line, "outcome") + ": " + text_of(line, "error");
    }
    if (event == "limit") {
        return "refused by the " + text_of(line, "limit") + " limit of " +
               text_of(line, "organisation");
    }
    if (event == "request") {
        return "ended as " + text_of(line, "result") + " after " + text_of(line, "attempts") +
               " attempts and " + text_of(line, "took_us") + " us, billed " +
               text_of(line, "price_micros") + " millionths";
    }
    return explain_fields(line);
}

static std::int64_t time_of(const json& line)
{
    const auto found = line.find("time_us");
    return found != line.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

static std::string line_text(const json& line, std::int64_t start)
{
    constexpr double microseconds_a_second = 1'000'000.0;
    char offset[32] = {};
    std::snprintf(offset, sizeof offset, "%+.6f s",
                  static_cast<double>(time_of(line) - start) / microseconds_a_second);
    return std::string{offset} + "  " + text_of(line, "node") + "  " + text_of(line, "event") +
           ": " + explain(line) + "\n";
}

command_result trace_request(std::istream& lines, const std::string& request)
{
    std::multimap<std::int64_t, json> found; // equal times keep the order of the lines
    std::size_t skipped = 0;
    for (std::string text; std::getline(lines, text);) {
        auto line = json::parse(text, nullptr, false);
        if (!line.is_object()) {
            ++skipped;
            continue;
        }
        if (concerns(line, request)) {
            const auto time = time_of(line);
            found.emplace(time, std::move(line));
        }
    }
    command_result outcome;
    auto events = json::array();
    for (const auto& [time, line] : found) {
        events.push_back(line);
        outcome.text += line_text(line, found.begin()->first);
    }
    outcome.data = {{"request", request}, {"events", events}, {"skipped_lines", skipped}};
    if (found.empty()) {
        outcome.status = exit_status::negative;
        outcome.text = "no line about request " + request + "\n";
    }
    return outcome;
}

} // namespace eelgrassbend
