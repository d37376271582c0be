#include "eelgrassbend/serving/stream_state.h"

#include "eelgrassbend/codec/capnp_bytes.h"
#include "eelgrassbend/support/uuid.h"

#include "stream.capnp.h"

#include <algorithm>
#include <charconv>

namespace eelgrassbend {

std::size_t stream_state::size() const
{
    return sizeof(stream_state) + this->text.size() +
           this->token_ends.size() * sizeof(std::uint32_t);
}

static void write_state(const stream_state& state, stream_schema::StreamState::Builder out)
{
    out.setRequest(state.request.value());
    out.setOrganisation(state.organisation.value());
    out.setService(state.service.value());
    out.setBodyDigest(state.body_digest);
    out.setText(state.text);
    auto ends = out.initTokenEnds(static_cast<unsigned>(state.token_ends.size()));
    for (unsigned index = 0; index < ends.size(); ++index) {
        ends.set(index, state.token_ends[index]);
    }
    out.setAttempts(state.attempts);
    out.setAcceptedAtNs(state.accepted_at.time_since_epoch().count());
    out.setFinishReason(state.finish_reason);
    out.setPromptTokens(state.prompt_tokens.value());
    out.setCachedTokens(state.cached_tokens.value());
    out.setAttempt(state.attempt.value());
    out.setEndpoint(state.endpoint.value());
    out.setBundleVersion(state.version.value());
}

/// Token ends must ascend and stay within the text, since events are cut from the text at them.
static bool ends_are_valid(const stream_state& state)
{
    std::uint32_t before = 0;
    for (const auto end : state.token_ends) {
        if (end < before || end > state.text.size()) {
            return false;
        }
        before = end;
    }
    return before == state.text.size();
}

static result<stream_state> read_state(stream_schema::StreamState::Reader in)
{
    stream_state state;
    state.request = request_id{to_string(in.getRequest())};
    state.organisation = organisation_id{to_string(in.getOrganisation())};
    state.service = service_id{to_string(in.getService())};
    state.body_digest = to_string(in.getBodyDigest());
    state.text = to_string(in.getText());
    for (const auto end : in.getTokenEnds()) {
        state.token_ends.push_back(end);
    }
    state.attempts = in.getAttempts();
    state.accepted_at = wall_time{duration{in.getAcceptedAtNs()}};
    state.finish_reason = to_string(in.getFinishReason());
    state.prompt_tokens = token_count{in.getPromptTokens()};
    state.cached_tokens = token_count{in.getCachedTokens()};
    state.attempt = attempt_id{to_string(in.getAttempt())};
    state.endpoint = endpoint_id{to_string(in.getEndpoint())};
    state.version = bundle_version{in.getBundleVersion()};
    if (!ends_are_valid(state)) {
        return make_error(errc::invalid_argument, "decode stream state", {},
                          "token ends do not fit the text");
    }
    return state;
}

std::string encode_stream_state(const stream_state& state)
{
    capnp::MallocMessageBuilder message;
    write_state(state, message.initRoot<stream_schema::StreamState>());
    return to_bytes(message);
}

result<stream_state> decode_stream_state(std::string_view bytes)
{
    return from_bytes<stream_state, stream_schema::StreamState>(bytes, "decode stream state",
                                                                read_state);
}

std::string encode_stream_fetch(const request_id& request)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<stream_schema::StreamFetch>().setRequest(request.value());
    return to_bytes(message);
}

result<request_id> decode_stream_fetch(std::string_view bytes)
{
    return from_bytes<request_id, stream_schema::StreamFetch>(
        bytes, "decode stream fetch",
        [](stream_schema::StreamFetch::Reader in) -> result<request_id> {
            return request_id{to_string(in.getRequest())};
        });
}

std::string encode_stream_fetch_answer(const stream_fetch_answer& answer)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<stream_schema::StreamFetchAnswer>();
    switch (answer.outcome) {
    case stream_fetch_result::not_here:
        out.setNotHere();
        break;
    case stream_fetch_result::busy:
        out.setBusy();
        break;
    case stream_fetch_result::found:
        write_state(answer.state, out.initState());
        break;
    }
    return to_bytes(message);
}

static result<stream_fetch_answer> read_answer(stream_schema::StreamFetchAnswer::Reader in)
{
    stream_fetch_answer answer;
    if (in.isBusy()) {
        answer.outcome = stream_fetch_result::busy;
        return answer;
    }
    if (!in.isState()) {
        return answer;
    }
    auto state = read_state(in.getState());
    if (!state) {
        return state.error();
    }
    answer.outcome = stream_fetch_result::found;
    answer.state = std::move(state.value());
    return answer;
}

result<stream_fetch_answer> decode_stream_fetch_answer(std::string_view bytes)
{
    return from_bytes<stream_fetch_answer, stream_schema::StreamFetchAnswer>(
        bytes, "decode stream fetch answer", read_answer);
}

std::optional<event_position> parse_event_id(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    event_position position;
    position.request = request_id{std::string{text.substr(0, colon)}};
    const auto digits = text.substr(colon + 1);
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), position.number);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return position;
}

std::optional<node_id> find_owner(const request_id& request)
{
    constexpr std::size_t uuid_length = 36;
    const auto& text = request.value();
    if (text.size() < uuid_length + 2) {
        return std::nullopt;
    }
    const auto dash = text.size() - uuid_length - 1;
    if (text[dash] != '-' || !uuid_v7_time(std::string_view{text}.substr(dash + 1))) {
        return std::nullopt;
    }
    return node_id{text.substr(0, dash)};
}

} // namespace eelgrassbend
