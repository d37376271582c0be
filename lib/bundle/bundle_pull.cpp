#include "bundle_pull.h"

#include "eelgrassbend/codec/capnp_bytes.h"

#include <bundle.capnp.h>

#include <algorithm>
#include <utility>

namespace eelgrassbend {

static constexpr std::int64_t no_age = -1;

static void write_record(const log_record& record, bundle_schema::Record::Builder out)
{
    out.setOffset(record.offset.value());
    out.setId(record.id.value());
    out.setAppendedAt(record.appended_at.time_since_epoch().count());
    out.setPayload(as_data(record.payload));
}

static log_record read_record(bundle_schema::Record::Reader in)
{
    return {log_offset{in.getOffset()}, record_id{to_string(in.getId())},
            wall_time{duration{in.getAppendedAt()}}, to_string(in.getPayload())};
}

std::string encode_pull(log_offset from)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<bundle_schema::Pull>().setFrom(from.value());
    return to_bytes(message);
}

result<log_offset> decode_pull(std::string_view bytes)
{
    return from_bytes<log_offset, bundle_schema::Pull>(
        bytes, "decode bundle pull",
        [](auto in) -> result<log_offset> { return log_offset{in.getFrom()}; });
}

std::string encode_pulled(const pulled_records& answer)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<bundle_schema::Pulled>();
    out.setNextOffset(answer.next_offset.value());
    out.setAge(answer.age ? answer.age->count() : no_age);
    out.setCheckpoint(as_data(answer.checkpoint));
    auto records = out.initRecords(static_cast<unsigned>(answer.records.size()));
    for (unsigned index = 0; index < records.size(); ++index) {
        write_record(answer.records[index], records[index]);
    }
    return to_bytes(message);
}

result<pulled_records> decode_pulled(std::string_view bytes)
{
    return from_bytes<pulled_records, bundle_schema::Pulled>(
        bytes, "decode bundle records", [](auto in) -> result<pulled_records> {
            pulled_records answer;
            answer.next_offset = log_offset{in.getNextOffset()};
            if (in.getAge() >= 0) {
                answer.age = duration{in.getAge()};
            }
            answer.checkpoint = to_string(in.getCheckpoint());
            for (const auto record : in.getRecords()) {
                answer.records.push_back(read_record(record));
            }
            return answer;
        });
}

std::string encode_hint(const stream_hint& hint)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<bundle_schema::Hint>();
    out.setEnd(hint.end.value());
    if (hint.record) {
        write_record(*hint.record, out.initRecord());
    }
    return to_bytes(message);
}

result<stream_hint> decode_hint(std::string_view bytes)
{
    return from_bytes<stream_hint, bundle_schema::Hint>(
        bytes, "decode bundle hint", [](auto in) -> result<stream_hint> {
            stream_hint hint;
            hint.end = log_offset{in.getEnd()};
            if (in.hasRecord()) {
                hint.record = read_record(in.getRecord());
            }
            return hint;
        });
}

} // namespace eelgrassbend
