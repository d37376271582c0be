#include "eelgrassbend/serving/held_exchange.h"

#include <utility>

namespace eelgrassbend {

void held_exchange::release(std::uint64_t number)
{
    if (!this->is_held || number != this->newest_hold) {
        return;
    }
    this->is_held = false;
    if (this->head) {
        auto started = *std::exchange(this->head, std::nullopt);
        this->start(started.status, std::move(started.headers));
    }
    auto bytes = std::exchange(this->body, {});
    if (std::exchange(this->is_finished, false)) {
        this->answer->finish(std::move(bytes), std::exchange(this->delivered, {}));
        return;
    }
    if (!bytes.empty()) {
        this->answer->send(std::move(bytes));
    }
}

void held_exchange::respond(int status, header_list headers, std::string bytes,
                            delivered_handler handler)
{
    this->is_held = false;
    this->answer->respond(status, std::move(headers), std::move(bytes), std::move(handler));
}

void held_exchange::start(int status, header_list headers)
{
    if (this->is_held) {
        this->head = answer_head{status, std::move(headers)};
        return;
    }
    this->is_begun = true;
    this->answer->start(status, std::move(headers));
}

void held_exchange::send(std::string bytes)
{
    if (this->is_held) {
        this->body += bytes;
        return;
    }
    this->answer->send(std::move(bytes));
}

void held_exchange::finish(std::string bytes, delivered_handler handler)
{
    if (this->is_held) {
        this->body += bytes;
        this->delivered = std::move(handler);
        this->is_finished = true;
        return;
    }
    this->answer->finish(std::move(bytes), std::move(handler));
}

void held_exchange::abort()
{
    this->is_held = false;
    this->answer->abort();
}

void held_exchange::on_caller_disconnected(std::function<void()> handler)
{
    this->answer->on_caller_disconnected(std::move(handler));
}

} // namespace eelgrassbend
