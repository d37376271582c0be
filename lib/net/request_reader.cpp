#include "request_reader.h"

#include "request_framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr std::size_t first_body_bytes = 4096;
/// A larger body grows by this step, so that at most this much is allocated beyond its bytes.
static constexpr std::size_t body_step_bytes = 256 * 1024;
/// Bound of the fields of a head: 16 KiB of the shortest fields would take 500 KiB when parsed.
static constexpr std::size_t max_fields = 512;
/// Of a parsed field, beyond its text: two strings and the list entry of the library.
static constexpr std::size_t field_overhead_bytes = 128;

request_reader::~request_reader()
{
    this->clear();
}

void request_reader::start(const http_limits& current)
{
    this->limits = current;
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->limits.max_header_bytes));
    this->parser->body_limit(this->limits.max_body_bytes);
    this->head_bytes = 0;
    this->head_lines = 0;
    this->extension_bytes = 0;
    this->on_chunk_header = [this](std::uint64_t, boost::beast::string_view extensions,
                                   boost::system::error_code& code) {
        this->extension_bytes += extensions.size();
        if (this->extension_bytes > this->limits.max_header_bytes) {
            code = http::error::header_limit;
        }
    };
    this->parser->on_chunk_header(this->on_chunk_header);
    this->is_head_done = false;
    this->request = {};
    this->body.reset();
}

void request_reader::end_request()
{
    this->account->release(std::exchange(this->head_charge, 0));
}

request_reader::progress request_reader::advance(std::string_view bytes)
{
    if (this->unparsed.empty()) {
        const auto outcome = this->parse(bytes);
        this->keep_unparsed(bytes);
        return outcome;
    }
    const auto joined = std::move(this->unparsed) + std::string{bytes};
    std::string_view rest = joined;
    const auto outcome = this->parse(rest);
    this->keep_unparsed(rest);
    return outcome;
}

// A string of its own, since one that is cut keeps its allocation.
void request_reader::keep_unparsed(std::string_view bytes)
{
    this->unparsed = std::string{bytes};
    this->charge_unparsed();
}

// Only the difference is changed: bytes that are released and taken again would wake a connection
// that waits for room, which then finds none.
void request_reader::charge_unparsed()
{
    const auto held = this->unparsed.empty() ? 0 : this->unparsed.capacity();
    const auto before = std::exchange(this->unparsed_charge, held);
    if (held > before) {
        this->account->charge(held - before);
    }
    else {
        this->account->release(before - held);
    }
}

request_reader::progress request_reader::parse(std::string_view& bytes)
{
    return this->is_head_done ? this->parse_body(bytes) : this->parse_head(bytes);
}

request_reader::progress request_reader::parse_head(std::string_view& bytes)
{
    // Empty lines before a request are ignored, as by most servers.
    boost::system::error_code code;
    const auto consumed = this->parser->put(asio::buffer(bytes.data(), bytes.size()), code);
    const auto parsed = bytes.substr(0, consumed);
    bytes.remove_prefix(consumed);
    if (code && code != http::error::need_more) {
        return this->fail(code);
    }
    if (!this->check_head_size(parsed, this->parser->is_header_done() ? 0 : bytes.size())) {
        return progress::has_failed;
    }
    if (!this->parser->is_header_done()) {
        return progress::needs_input;
    }
    if (!this->read_head_fields()) {
        return progress::has_failed;
    }
    this->is_head_done = true;
    this->parser->eager(true);
    return progress::has_head;
}

// The parser keeps every complete line, and its own limit applies to the bytes of one call only.
// The first line and the fields may each be as long as the limit.
bool request_reader::check_head_size(std::string_view parsed, std::size_t unparsed)
{
    this->head_bytes += parsed.size();
    this->head_lines += static_cast<std::size_t>(std::count(parsed.begin(), parsed.end(), '\n'));
    if (unparsed > this->limits.max_header_bytes ||
        this->head_bytes + unparsed > 2 * this->limits.max_header_bytes) {
        this->fail(http::error::header_limit);
        return false;
    }
    // The request line and the empty line are no fields.
    constexpr std::size_t other_lines = 2;
    if (this->head_lines > max_fields + other_lines) {
        this->fail(http::status::request_header_fields_too_large, "too many fields", "head");
        return false;
    }
    return true;
}

bool request_reader::read_head_fields()
{
    const auto& head = this->parser->get();
    if (const auto found = find_framing_defect(head)) {
        this->fail(found->status, std::string{found->detail}, "framing");
        return false;
    }
    this->request.method = std::string{head.method_string()};
    this->request.target = std::string{head.target()};
    std::size_t held = this->request.target.size();
    for (const auto& field : head) {
        this->request.headers.emplace_back(std::string{field.name_string()},
                                           std::string{field.value()});
        held += 2 * (field.name_string().size() + field.value().size()) + field_overhead_bytes;
    }
    if (this->request.headers.size() > max_fields) {
        this->fail(http::status::request_header_fields_too_large, "too many fields", "head");
        return false;
    }
    this->account->charge(held);
    this->head_charge += held;
    return true;
}

std::size_t request_reader::expected_body_bytes() const
{
    const auto announced = this->parser->content_length();
    return announced ? static_cast<std::size_t>(*announced) : this->limits.max_body_bytes;
}

bool request_reader::expects_large_body() const
{
    return !this->parser->is_done() && this->expected_body_bytes() > client_budget::small_bytes;
}

request_reader::progress request_reader::parse_body(std::string_view& bytes)
{
    if (this->body == nullptr) {
        this->body = std::make_shared<body_storage>(this->account);
    }
    char nothing = 0;
    while (!this->parser->is_done()) {
        auto& target = this->parser->get().body();
        // The parser wants a place for bytes also when it has only the framing left to read.
        const auto room = this->body->room();
        target.data = room > 0 ? this->body->end() : &nothing;
        target.size = room;
        boost::system::error_code code;
        const auto consumed = this->parser->put(asio::buffer(bytes.data(), bytes.size()), code);
        this->body->commit(room - target.size);
        bytes.remove_prefix(consumed);
        if (code == http::error::need_buffer) {
            const auto step = std::clamp(this->body->capacity(), first_body_bytes, body_step_bytes);
            const auto capacity =
                std::min(this->expected_body_bytes(), this->body->capacity() + step);
            if (!this->body->grow(std::max(capacity, this->body->capacity() + 1))) {
                return progress::needs_room;
            }
            continue;
        }
        if (code == http::error::need_more || (!code && consumed == 0)) {
            // A chunk extension or a trailer that does not end.
            if (bytes.size() > this->limits.max_header_bytes) {
                return this->fail(http::error::header_limit);
            }
            return progress::needs_input;
        }
        if (code) {
            return this->fail(code);
        }
        if (bytes.empty() && !this->parser->is_done()) {
            return progress::needs_input;
        }
    }
    this->body->shrink();
    return progress::has_request;
}

http_request request_reader::take()
{
    if (this->body && this->body->size() > 0) {
        const auto text = this->body->view();
        this->request.body = shared_bytes{std::move(this->body), text};
    }
    this->body.reset();
    return std::move(this->request);
}

void request_reader::clear()
{
    this->body.reset();
    this->request = {};
    this->unparsed = {};
    this->charge_unparsed();
    this->account->release(std::exchange(this->head_charge, 0));
}

request_reader::progress request_reader::fail(const boost::system::error_code& code)
{
    if (code == http::error::header_limit) {
        return this->fail(http::status::request_header_fields_too_large, "header is too large",
                          "head");
    }
    if (code == http::error::body_limit) {
        return this->fail(http::status::payload_too_large, "body is too large", "body");
    }
    return this->fail(http::status::bad_request, code.message(), "syntax");
}

request_reader::progress request_reader::fail(http::status status, std::string detail,
                                              std::string reason)
{
    this->failed = {status, std::move(detail), std::move(reason)};
    return progress::has_failed;
}

} // namespace eelgrassbend
