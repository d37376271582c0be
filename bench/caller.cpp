#include "caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace eelgrassbend::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using response_parser = http::response_parser<http::buffer_body>;

static constexpr unsigned http_1_1 = 11;
static constexpr std::size_t piece_bytes = 64 * 1024;

static http::request<http::string_body> make_message(call_request& request)
{
    http::request<http::string_body> message{http::verb::unknown, request.target, http_1_1};
    message.method_string(request.method);
    message.set(http::field::host, request.address.to_string());
    message.keep_alive(false);
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

static void take_head(const response_parser& parser, call_answer& answer)
{
    const auto& head = parser.get();
    const auto text = [&head](const char* name) { return std::string{head[name]}; };
    answer.status = static_cast<int>(head.result_int());
    answer.request = text("Eelgrassbend-Request");
    answer.outcome = text("Eelgrassbend-Outcome");
    answer.replayed = text("Eelgrassbend-Replayed");
    answer.retry_after = text("Retry-After");
}

static asio::awaitable<error_code> read_answer(beast::tcp_stream& stream, call_answer& answer,
                                               std::chrono::steady_clock::time_point began)
{
    error_code failure;
    auto token = asio::redirect_error(asio::use_awaitable, failure);
    beast::flat_buffer buffer;
    response_parser parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(stream, buffer, parser, token);
    if (failure) {
        co_return failure;
    }
    take_head(parser, answer);
    std::vector<char> piece(piece_bytes);
    while (!parser.is_done()) {
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        co_await http::async_read_some(stream, buffer, parser, token);
        if (failure && failure != http::error::need_buffer) {
            co_return failure;
        }
        const auto received = piece.size() - parser.get().body().size;
        if (received > 0) {
            answer.body.append(piece.data(), received);
            answer.arrivals.push_back(std::chrono::steady_clock::now() - began);
        }
    }
    answer.whole = !parser.need_eof();
    co_return error_code{};
}

asio::awaitable<call_answer> call(call_request request)
{
    call_answer answer;
    error_code failure;
    const auto began = std::chrono::steady_clock::now();
    auto token = asio::redirect_error(asio::use_awaitable, failure);
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(request.timeout);
    const asio::ip::tcp::endpoint peer{asio::ip::make_address(request.address.ip),
                                       request.address.port};
    co_await stream.async_connect(peer, token);
    if (!failure) {
        const auto message = make_message(request);
        co_await http::async_write(stream, message, token);
    }
    if (!failure) {
        failure = co_await read_answer(stream, answer, began);
    }
    if (failure) {
        answer.failure = failure.message();
    }
    co_return answer;
}

call_answer call_blocking(call_request request)
{
    asio::io_context context{1};
    call_answer answer;
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { answer = co_await call(std::move(request)); },
        asio::detached);
    context.run();
    return answer;
}

} // namespace eelgrassbend::bench
