#include "answer_head.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <utility>

namespace eelgrassbend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Bound of the lines of a head. A field takes some 100 bytes beyond its text once it is parsed.
static constexpr std::size_t max_head_lines = 128;
static constexpr std::size_t max_read_bytes = 64 * 1024;

namespace {

/// Feeds the parser piece by piece. The parser keeps every complete line, and its own limit applies
/// to the bytes of one call only, so a head without end would be kept until the connection ends.
class head_reader : public std::enable_shared_from_this<head_reader> {
public:
    head_reader(http_connection_ptr connection, answer_parser& parser, std::size_t max_bytes,
                head_handler done)
        : connection(std::move(connection)),
          parser(parser),
          max_bytes(max_bytes),
          done(std::move(done))
    {
    }

    void start()
    {
        this->parser.header_limit(static_cast<std::uint32_t>(this->max_bytes));
        if (this->connection->buffer.size() == 0) {
            this->read();
            return;
        }
        asio::post(this->connection->stream.get_executor(),
                   [self = this->shared_from_this()] { self->parse(); });
    }

private:
    void read()
    {
        auto& buffer = this->connection->buffer;
        const auto length = beast::read_size(buffer, max_read_bytes);
        if (length == 0) {
            this->done(http::error::buffer_overflow);
            return;
        }
        this->connection->stream.async_read_some(
            buffer.prepare(length),
            [self = this->shared_from_this()](error_code failure, std::size_t received) {
                self->on_read(failure, received);
            });
    }

    void on_read(error_code failure, std::size_t received)
    {
        if (failure == asio::error::eof) {
            failure =
                this->parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        if (failure) {
            this->done(failure);
            return;
        }
        this->connection->buffer.commit(received);
        this->parse();
    }

    void parse()
    {
        auto& buffer = this->connection->buffer;
        const auto* bytes = static_cast<const char*>(buffer.data().data());
        error_code failure;
        const auto parsed = this->parser.put(buffer.data(), failure);
        this->head_bytes += parsed;
        this->head_lines += static_cast<std::size_t>(std::count(bytes, bytes + parsed, '\n'));
        buffer.consume(parsed);
        const bool is_done = this->parser.is_header_done();
        const auto incomplete_line = is_done ? 0 : buffer.size();
        if (this->head_bytes + incomplete_line > this->max_bytes ||
            this->head_lines > max_head_lines) {
            failure = http::error::header_limit;
        }
        if (is_done || (failure && failure != http::error::need_more)) {
            this->done(failure);
            return;
        }
        this->read();
    }

    http_connection_ptr connection;
    answer_parser& parser;
    std::size_t max_bytes;
    head_handler done;
    std::size_t head_bytes = 0; ///< of the complete lines
    std::size_t head_lines = 0;
};

} // namespace

void async_read_answer_head(http_connection_ptr connection, answer_parser& parser,
                            std::size_t max_bytes, head_handler done)
{
    std::make_shared<head_reader>(std::move(connection), parser, max_bytes, std::move(done))
        ->start();
}

} // namespace eelgrassbend
