#ifndef EELGRASSBEND_UNITTESTS_ENGINE_MODEL_ENGINE_FIXTURE_H
#define EELGRASSBEND_UNITTESTS_ENGINE_MODEL_ENGINE_FIXTURE_H

#include "eelgrassbend/engine_model/engine_model.h"
#include "eelgrassbend/support/virtual_scheduler.h"
#include "fakes/recording_engine_observer.h"

#include <string>
#include <utility>

namespace eelgrassbend {

inline engine_settings test_settings()
{
    engine_settings settings;
    settings.slots = 4;
    settings.initial_model = model_id{"badge-draft"};
    return settings;
}

inline engine_request test_request(const std::string& attempt, const std::string& prompt,
                                   std::int64_t tokens)
{
    engine_request request;
    request.attempt = attempt_id{attempt};
    request.prompt = make_prompt(prompt);
    request.max_tokens = token_count{tokens};
    request.answer_length = token_count{tokens};
    return request;
}

/// A prompt of `count` tokens; prompts with other names differ from it.
inline std::string long_prompt(const std::string& name, int count)
{
    std::string text;
    for (int index = 0; index < count; ++index) {
        text += name + std::to_string(index) + " ";
    }
    return text;
}

/// An engine in virtual time.
struct engine_fixture {
    explicit engine_fixture(engine_settings settings = test_settings())
        : engine(std::move(settings), time, random)
    {
    }

    void submit(engine_request request)
    {
        all_accepted = all_accepted && engine.submit(std::move(request), observer).has_value();
    }

    duration last_token_time(const std::string& attempt)
    {
        return observer.records[attempt].times.back().time_since_epoch();
    }

    virtual_scheduler time;
    seeded_random random{11};
    recording_engine_observer observer{time};
    engine_model engine;
    bool all_accepted = true;
};

} // namespace eelgrassbend

#endif
