#include "golden_session.h"

#include "eelgrassbend/support/uuid.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace eelgrassbend {

static constexpr std::size_t max_records = 1'000'000;

static std::string format_headers(const header_list& headers)
{
    std::string text;
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\n";
    }
    return text;
}

/// Prefixes each line of `body` with `|`, so that blank lines and a missing final newline are
/// visible.
static std::string format_body(const std::string& body)
{
    std::string text = "|";
    for (const char byte : body) {
        text += byte;
        if (byte == '\n') {
            text += '|';
        }
    }
    return text + "\n";
}

static nlohmann::json bundle_to_json(const log_record& record)
{
    const auto decoded = decode_record(record.payload);
    BOOST_REQUIRE(decoded);
    const auto* decoded_bundle = std::get_if<signed_bundle>(&decoded.value());
    if (decoded_bundle == nullptr) {
        return nlohmann::json::parse(record.payload);
    }
    auto signatures = nlohmann::json::array();
    for (const auto& signature : decoded_bundle->header.signatures) {
        signatures.push_back(
            {{"public_key", signature.public_key}, {"signature", signature.signature}});
    }
    return {{"id", record.id.value()},
            {"header", nlohmann::json::parse(decoded_bundle->header.text)},
            {"signatures", signatures},
            {"body", nlohmann::json::parse(decoded_bundle->body)}};
}

static nlohmann::json ledger_to_json(const log_record& record)
{
    const auto decoded = decode_ledger_line(record.payload);
    BOOST_REQUIRE(decoded);
    const auto& line = decoded.value();
    return {{"id", record.id.value()},
            {"request", line.request.value()},
            {"attempt", line.attempt.value()},
            {"organisation", line.organisation.value()},
            {"service", line.service.value()},
            {"endpoint", line.endpoint.value()},
            {"version", line.version.value()},
            {"prompt_tokens", line.prompt_tokens.value()},
            {"output_tokens", line.output_tokens.value()},
            {"price", line.price.value()},
            {"answer_digest", line.answer_digest},
            {"accepted_at", line.accepted_at.time_since_epoch().count()}};
}

golden_session::golden_session(const bundle& rules)
{
    using standin::endpoint_mode;
    for (const char* zone : {"arusha-a", "moshi-a"}) {
        const std::string zone_name{zone};
        this->fleet.add_endpoint("draft-" + zone_name, "draft-llm", zone_name,
                                 endpoint_mode::model);
        this->fleet.add_endpoint("desk-" + zone_name, "order-desk", zone_name,
                                 endpoint_mode::plain);
        this->fleet.add_node(zone_name);
    }
    this->fleet.add_node("arusha-a");
    this->fleet.publish(rules);
    this->fleet.time.run_for(std::chrono::seconds{20});
}

std::shared_ptr<fakes::virtual_exchange> golden_session::send(std::size_t at, http_request request,
                                                              const std::string& key)
{
    this->exchanges.push_back({at, request, nullptr});
    request.headers.emplace_back("Authorization", "Bearer " + key);
    auto answer = this->fleet.send(this->node(at), std::move(request));
    this->exchanges.back().answer = answer;
    return answer;
}

std::shared_ptr<fakes::virtual_exchange> golden_session::send_chat(std::size_t at, bool stream,
                                                                   int tokens,
                                                                   const header_list& headers,
                                                                   const std::string& key)
{
    const nlohmann::json body{{"model", "draft-llm"},
                              {"stream", stream},
                              {"max_tokens", tokens},
                              {"messages", {{{"role", "user"}, {"content", "badge"}}}}};
    return this->send(at, {"POST", "/v1/chat/completions", headers, body.dump()}, key);
}

std::shared_ptr<fakes::virtual_exchange> golden_session::send_order(std::size_t at,
                                                                    const std::string& key)
{
    return this->send(
        at, {"POST", "/services/order-desk/orders?ms=20", {{"Idempotency-Key", key}}, "{}"});
}

std::string golden_session::make_key()
{
    return make_uuid_v7(this->fleet.time.wall_now(), this->fleet.random);
}

std::string golden_session::to_text()
{
    std::ostringstream out;
    for (const auto& [node, request, answer] : this->exchanges) {
        out << "== request at entry-" << node + 1 << '\n'
            << request.method << ' ' << request.target << '\n'
            << format_headers(request.headers) << format_body(std::string{request.body})
            << "-- answer " << answer->status << (answer->ended ? " whole" : " cut") << '\n'
            << format_headers(answer->headers) << format_body(answer->body);
    }
    out << "== log lines\n";
    for (const auto& line : this->fleet.lines) {
        out << line << (line.ends_with('\n') ? "" : "\n");
    }
    auto& log = this->fleet.platform.log;
    out << "== bundle records\n";
    for (const auto& record :
         log.read(stream_name{"bundles"}, log_offset{0}, max_records).records) {
        out << bundle_to_json(record).dump() << '\n';
    }
    out << "== ledger records\n";
    for (const auto& record :
         log.read(stream_name{std::string{ledger_stream}}, log_offset{0}, max_records).records) {
        out << ledger_to_json(record).dump() << '\n';
    }
    out << "== executions\n";
    for (const auto& run : this->fleet.executions()) {
        out << run.dump() << '\n';
    }
    return out.str();
}

void golden_session::compare_with_golden(const std::string& name)
{
    const auto path = std::string{EELGRASSBEND_SOURCE_DIR} + "/test/golden/" + name + ".txt";
    const auto actual = this->to_text();
    if (const char* update = std::getenv("EELGRASSBEND_UPDATE_GOLDEN");
        update != nullptr && std::string{update} == "1") {
        std::ofstream file{path, std::ios::binary};
        file << actual;
        file.close();
        BOOST_REQUIRE_MESSAGE(file, "cannot write " << path);
        return;
    }
    std::ifstream file{path, std::ios::binary};
    BOOST_REQUIRE_MESSAGE(file, "cannot read " << path);
    const std::string expected{std::istreambuf_iterator<char>{file}, {}};
    if (actual == expected) {
        return;
    }
    std::istringstream expected_lines{expected};
    std::istringstream actual_lines{actual};
    std::string expected_line;
    std::string actual_line;
    std::size_t number = 0;
    bool has_more = true;
    while (has_more && expected_line == actual_line) {
        ++number;
        const bool has_expected = static_cast<bool>(std::getline(expected_lines, expected_line));
        const bool has_actual = static_cast<bool>(std::getline(actual_lines, actual_line));
        expected_line = has_expected ? expected_line : "(end of file)";
        actual_line = has_actual ? actual_line : "(end of file)";
        has_more = has_expected || has_actual;
    }
    BOOST_ERROR(path << ":" << number << " differs\n  golden: " << expected_line
                     << "\n  found:  " << actual_line);
}

} // namespace eelgrassbend
