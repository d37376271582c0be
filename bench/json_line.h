#ifndef EELGRASSBEND_BENCH_JSON_LINE_H
#define EELGRASSBEND_BENCH_JSON_LINE_H

#include <nlohmann/json.hpp>

#include <ostream>

namespace eelgrassbend::bench {

/// Writes `fields` as one line, keys in order.
inline void write_json_line(std::ostream& out, const nlohmann::json& fields)
{
    out << fields.dump() << std::endl;
}

} // namespace eelgrassbend::bench

#endif
