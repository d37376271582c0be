#ifndef EELGRASSBEND_SERVING_HELD_EXCHANGE_H
#define EELGRASSBEND_SERVING_HELD_EXCHANGE_H

#include "eelgrassbend/serving/exchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassbend {

/// Holds the begin of an answer that is sent in parts until it is released. An answer that has
/// been finished meanwhile ends with the release.
class held_exchange : public exchange {
public:
    explicit held_exchange(std::shared_ptr<exchange> answer) : answer(std::move(answer)) {}

    /// Holds what is sent from now on. Returns a number for `release`.
    std::uint64_t hold()
    {
        this->is_held = true;
        return ++this->newest_hold;
    }

    /// Sends what is held, unless there is a newer call of `hold` than the one with this number.
    void release(std::uint64_t number);

    /// Whether the caller has been sent a part of the answer.
    [[nodiscard]] bool has_begun() const { return this->is_begun; }

    /// Discards what is held.
    void respond(int status, header_list headers, std::string body,
                 delivered_handler delivered) override;
    void start(int status, header_list headers) override;
    void send(std::string bytes) override;
    void finish(std::string bytes, delivered_handler delivered) override;
    /// Discards what is held.
    void abort() override;
    void on_caller_disconnected(std::function<void()> handler) override;

private:
    struct answer_head {
        int status = 0;
        header_list headers;
    };

    std::shared_ptr<exchange> answer;
    bool is_held = false;
    std::uint64_t newest_hold = 0;
    bool is_begun = false;
    bool is_finished = false; ///< while held
    std::optional<answer_head> head;
    std::string body;
    delivered_handler delivered;
};

} // namespace eelgrassbend

#endif
