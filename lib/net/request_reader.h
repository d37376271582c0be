#ifndef EELGRASSBEND_LIB_NET_REQUEST_READER_H
#define EELGRASSBEND_LIB_NET_REQUEST_READER_H

#include "eelgrassbend/net/client_budget.h"
#include "eelgrassbend/net/http_server.h"

#include "body_storage.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassbend {

/// Parses the requests of a connection from the bytes that it receives, without I/O. What it holds
/// is charged to the account of the connection.
class request_reader {
public:
    enum class progress {
        needs_input,
        has_head,   ///< call `advance` again, without bytes, to go on to the body
        needs_room, ///< call `advance` again, without bytes, once the budget has room
        has_request,
        has_failed,
    };

    struct defect {
        boost::beast::http::status status{};
        std::string detail;
        std::string reason; ///< label of the metric
    };

    explicit request_reader(std::shared_ptr<client_budget::account> account)
        : account(std::move(account))
    {
    }

    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Begins to parse the next request; bytes that followed the last one are kept.
    void start(const http_limits& limits);
    progress advance(std::string_view bytes);
    /// The request that was taken is not held any more.
    void end_request();
    /// Moves the complete request out.
    http_request take();
    /// Frees everything that is held.
    void clear();

    [[nodiscard]] const defect& failure() const { return this->failed; }

    [[nodiscard]] bool has_unparsed() const { return !this->unparsed.empty(); }

    [[nodiscard]] bool keeps_alive() const { return this->parser->keep_alive(); }

    /// Whether the body may be larger than that of a small request. Valid from the head on.
    [[nodiscard]] bool expects_large_body() const;

    [[nodiscard]] bool has_body_bytes() const { return this->body && this->body->size() > 0; }

private:
    progress parse(std::string_view& bytes);
    progress parse_head(std::string_view& bytes);
    progress parse_body(std::string_view& bytes);
    progress fail(const boost::system::error_code& code);
    progress fail(boost::beast::http::status status, std::string detail, std::string reason);
    /// Fails if the head, as far as it was received, exceeds a limit. `unparsed`: bytes of an
    /// incomplete line.
    bool check_head_size(std::string_view parsed, std::size_t unparsed);
    bool read_head_fields();
    [[nodiscard]] std::size_t expected_body_bytes() const;
    void keep_unparsed(std::string_view bytes);
    void charge_unparsed();

    std::shared_ptr<client_budget::account> account;
    http_limits limits;
    std::string unparsed;
    std::size_t unparsed_charge = 0;
    std::size_t head_charge = 0;
    std::size_t head_bytes = 0; ///< of the complete lines of the current head
    std::size_t head_lines = 0;
    std::size_t extension_bytes = 0;
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code&)>
        on_chunk_header;
    std::optional<boost::beast::http::request_parser<boost::beast::http::buffer_body>> parser;
    bool is_head_done = false;
    http_request request;
    std::shared_ptr<body_storage> body;
    defect failed;
};

} // namespace eelgrassbend

#endif
