#include "ledger_codec.h"

#include <utility>

namespace eelgrassbend {

using line_list = capnp::List<ledger_schema::Line>;

static void write_lines(const std::vector<ledger_line>& lines, line_list::Builder out)
{
    for (unsigned index = 0; index < out.size(); ++index) {
        write_line(lines[index], out[index]);
    }
}

static result<std::vector<ledger_line>> read_lines(line_list::Reader in)
{
    std::vector<ledger_line> lines;
    for (const auto entry : in) {
        auto line = read_line(entry);
        if (!line) {
            return line.error();
        }
        lines.push_back(std::move(line).value());
    }
    return lines;
}

std::string encode_ledger_store(const ledger_store& store)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<ledger_schema::Store>();
    out.setOrigin(store.origin.node.value());
    out.setSession(store.origin.session);
    write_lines(store.intended, out.initIntended(static_cast<unsigned>(store.intended.size())));
    write_lines(store.confirmed, out.initConfirmed(static_cast<unsigned>(store.confirmed.size())));
    return to_bytes(message);
}

static result<ledger_store> read_store(ledger_schema::Store::Reader in)
{
    auto intended = read_lines(in.getIntended());
    if (!intended) {
        return intended.error();
    }
    auto confirmed = read_lines(in.getConfirmed());
    if (!confirmed) {
        return confirmed.error();
    }
    return ledger_store{{node_id{to_string(in.getOrigin())}, in.getSession()},
                        std::move(intended).value(),
                        std::move(confirmed).value()};
}

result<ledger_store> decode_ledger_store(std::string_view bytes)
{
    return from_bytes<ledger_store, ledger_schema::Store>(bytes, "decode ledger store", read_store);
}

std::string encode_ledger_drop(const ledger_drop& drop)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<ledger_schema::Drop>();
    out.setOrigin(drop.origin.node.value());
    out.setSession(drop.origin.session);
    auto list = out.initRequests(static_cast<unsigned>(drop.requests.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        list.set(index, drop.requests[index].value());
    }
    return to_bytes(message);
}

result<ledger_drop> decode_ledger_drop(std::string_view bytes)
{
    return from_bytes<ledger_drop, ledger_schema::Drop>(
        bytes, "decode ledger drop", [](ledger_schema::Drop::Reader in) -> result<ledger_drop> {
            ledger_drop drop;
            drop.origin = {node_id{to_string(in.getOrigin())}, in.getSession()};
            for (const auto request : in.getRequests()) {
                drop.requests.emplace_back(to_string(request));
            }
            return drop;
        });
}

std::size_t size_of(const ledger_line& line)
{
    return sizeof(ledger_line) + line.request.value().size() + line.attempt.value().size() +
           line.organisation.value().size() + line.service.value().size() +
           line.endpoint.value().size() + line.answer_digest.size();
}

} // namespace eelgrassbend
