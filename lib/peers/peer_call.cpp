#include "eelgrassbend/peers/peer_message.h"

#include "wire_codec.h"

#include <algorithm>

namespace eelgrassbend {

// Truncates error texts to the bound of the decoder, so that a failure can always be decoded.
static capnp::Text::Reader truncate_text(const std::string& text, std::string& storage)
{
    storage = text.substr(0, wire_codec::max_text_bytes);
    return {storage.c_str(), storage.size()};
}

std::string encode_call(const peer_call& call)
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Call>();
    out.setMethod(call.method);
    out.setBody(wire_codec::as_data(call.body));
    return wire_codec::pack(builder);
}

result<peer_call> decode_call(std::string_view bytes)
{
    return wire_codec::unpack<wire::Call, peer_call>(
        bytes, wire_codec::call_traversal_words, [](wire::Call::Reader in) -> result<peer_call> {
            return peer_call{in.getMethod(), wire_codec::read_data(in.getBody())};
        });
}

std::string encode_answer(const result<std::string>& answer)
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Answer>();
    if (answer) {
        out.setBody(wire_codec::as_data(answer.value()));
        return wire_codec::pack(builder);
    }
    std::string storage;
    auto failure = out.initFailure();
    const auto& reason = answer.error();
    failure.setCode(static_cast<std::uint16_t>(reason.code.category() == eelgrassbend_category()
                                                   ? reason.code.value()
                                                   : static_cast<int>(errc::internal)));
    failure.setStep(truncate_text(reason.step, storage));
    failure.setPeer(truncate_text(reason.peer, storage));
    failure.setDetail(truncate_text(reason.detail, storage));
    return wire_codec::pack(builder);
}

static result<peer_answer> read_answer(wire::Answer::Reader in)
{
    peer_answer answer;
    if (in.isBody()) {
        answer.body = wire_codec::read_data(in.getBody());
        return answer;
    }
    if (!in.isFailure()) {
        return make_error(errc::invalid_argument, "decode answer", {}, "unknown kind");
    }
    const auto failure = in.getFailure();
    const auto code = failure.getCode();
    if (code == 0 || code > static_cast<std::uint16_t>(errc::internal)) {
        return make_error(errc::invalid_argument, "decode answer", {}, "unknown error code");
    }
    answer.failure.code = make_error_code(static_cast<errc>(code));
    answer.failure.step = wire_codec::read_text(failure.getStep());
    answer.failure.peer = wire_codec::read_text(failure.getPeer());
    answer.failure.detail = wire_codec::read_text(failure.getDetail());
    return answer;
}

result<peer_answer> decode_answer(std::string_view bytes)
{
    return wire_codec::unpack<wire::Answer, peer_answer>(bytes, wire_codec::call_traversal_words,
                                                         read_answer);
}

} // namespace eelgrassbend
