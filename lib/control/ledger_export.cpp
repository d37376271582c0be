#include "eelgrassbend/control/ledger_export.h"

#include <chrono>
#include <utility>

namespace eelgrassbend {

using nlohmann::json;

static constexpr std::size_t records_a_read = 512;

ledger_exporter::ledger_exporter(log_client& log, std::string organisation)
    : log(log), organisation(std::move(organisation))
{
}

void ledger_exporter::run(command_handler handler)
{
    this->done = std::move(handler);
    this->read_next();
}

void ledger_exporter::read_next()
{
    this->log.read(
        stream_name{std::string{ledger_stream}}, this->next, records_a_read,
        [this](const result<log_page>& page) {
            if (!page) {
                this->done(failed_command(page.error()));
                return;
            }
            const auto& read = page.value();
            if (this->next == log_offset{}) {
                this->first = read.first_retained;
                this->next = read.first_retained;
            }
            for (const auto& record : read.records) {
                if (record.offset != this->next) {
                    this->done(failed_command(make_error(
                        errc::truncated, "read ledger", "platform log",
                        "records expired or are missing at offset " +
                            std::to_string(this->next.value()) + "; run the export again")));
                    return;
                }
                this->fold.add(record);
                this->next += log_offset{1};
            }
            if (this->next >= read.end) {
                this->finish();
                return;
            }
            if (read.records.empty()) {
                this->done(failed_command(make_error(errc::truncated, "read ledger", "platform log",
                                                     "an empty page before the end")));
                return;
            }
            this->read_next();
        });
}

static json encode_line(const ledger_line& line)
{
    const auto accepted =
        std::chrono::duration_cast<std::chrono::milliseconds>(line.accepted_at.time_since_epoch());
    return {{"request", line.request.value()},
            {"attempt", line.attempt.value()},
            {"organisation", line.organisation.value()},
            {"service", line.service.value()},
            {"endpoint", line.endpoint.value()},
            {"bundle_version", line.version.value()},
            {"prompt_tokens", line.prompt_tokens.value()},
            {"output_tokens", line.output_tokens.value()},
            {"price_micros", line.price.value()},
            {"answer_sha256", line.answer_digest},
            {"accepted_at_ms", accepted.count()}};
}

void ledger_exporter::finish()
{
    command_result outcome;
    auto lines = json::array();
    for (const auto& line : this->fold.lines()) {
        if (!this->organisation.empty() && line.organisation.value() != this->organisation) {
            continue;
        }
        lines.push_back(encode_line(line));
        outcome.text += lines.back().dump() + "\n";
    }
    const bool sound = this->fold.contradicting() == 0 && this->fold.unreadable() == 0;
    if (this->first > log_offset{}) {
        outcome.warning = "records before offset " + std::to_string(this->first.value()) +
                          " have expired; their lines are in earlier exports only\n";
    }
    if (!sound) {
        outcome.warning += std::to_string(this->fold.contradicting()) +
                           " records contradict an earlier line, " +
                           std::to_string(this->fold.unreadable()) + " cannot be read\n";
    }
    outcome.status = sound ? exit_status::ok : exit_status::negative;
    outcome.data = {{"lines", std::move(lines)},
                    {"first_offset", this->first.value()},
                    {"next_offset", this->next.value()},
                    {"repeated", this->fold.repeated()},
                    {"contradicting", this->fold.contradicting()},
                    {"unreadable", this->fold.unreadable()}};
    this->done(outcome);
}

} // namespace eelgrassbend
