#ifndef EELGRASSBEND_UNITTESTS_SERVING_ENGINE_SCRIPT_H
#define EELGRASSBEND_UNITTESTS_SERVING_ENGINE_SCRIPT_H

#include "serving_fakes.h"

#include <nlohmann/json.hpp>

#include <string>

namespace eelgrassbend {

/// Emulates an engine's answer to an attempt.
class engine_script {
public:
    explicit engine_script(fake_endpoint_client::sent_attempt& attempt) : attempt(attempt) {}

    engine_script& head()
    {
        this->attempt.observer->on_head(200, {});
        return *this;
    }

    engine_script& token(const std::string& text)
    {
        return this->token_of(this->attempt.request.attempt.value(), text);
    }

    engine_script& token_of(const std::string& id, const std::string& text)
    {
        return this->raw("data: {\"id\":\"" + id +
                         "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text +
                         "\"},\"finish_reason\":null}]}\n\n");
    }

    engine_script& last(int tokens)
    {
        return this->raw("data: {\"id\":\"" + this->attempt.request.attempt.value() +
                         "\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
                         "\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":" +
                         std::to_string(tokens) + ",\"cached_tokens\":0}}\n\ndata: [DONE]\n\n");
    }

    engine_script& raw(const std::string& bytes)
    {
        if (this->attempt.observer != nullptr) {
            this->attempt.observer->on_body(bytes);
        }
        return *this;
    }

    void complete()
    {
        if (this->attempt.observer != nullptr) {
            this->attempt.observer->on_completed();
        }
    }

    void fail(dispatch_state dispatched)
    {
        this->attempt.observer->on_failed(make_error(errc::unavailable, "call endpoint", "e1"),
                                          dispatched);
    }

private:
    fake_endpoint_client::sent_attempt& attempt;
};

/// Parses a stream: its text, and whether its event ids count up from 1.
struct read_stream {
    explicit read_stream(const std::string& body)
    {
        std::size_t position = 0;
        std::int64_t expected = 1;
        while (position < body.size()) {
            const auto end = body.find("\n\n", position);
            const auto event = body.substr(position, end - position);
            position = end + 2;
            const auto data = event.find("data: ");
            const auto content = event.substr(data + 6);
            if (content == "[DONE]") {
                this->done = true;
                continue;
            }
            const auto id = event.substr(4, event.find('\n') - 4);
            this->ids_in_order =
                this->ids_in_order && id.ends_with(":" + std::to_string(expected++));
            const auto json = nlohmann::json::parse(content);
            this->text += json["choices"][0]["delta"].value("content", "");
        }
    }

    std::string text;
    bool ids_in_order = true;
    bool done = false;
};

} // namespace eelgrassbend

#endif
