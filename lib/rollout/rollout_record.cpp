#include "rollout_record.h"

#include <nlohmann/json.hpp>

#include <array>

namespace eelgrassbend {

static constexpr std::array all_phases{rollout_phase::waiting, rollout_phase::canary,
                                       rollout_phase::moving, rollout_phase::complete,
                                       rollout_phase::rolled_back};

std::string encode_rollout_record(const rollout_grant& state)
{
    auto unproven = nlohmann::json::array();
    for (const auto& version : state.unproven) {
        unproven.push_back(version.value());
    }
    return nlohmann::json{{"target", state.target.value()},
                          {"order", state.order.value()},
                          {"step", state.step},
                          {"phase", phase_name(state.phase)},
                          {"share", state.share},
                          {"max_endpoints", state.max_endpoints},
                          {"elapsed_ms", whole_milliseconds(state.elapsed)},
                          {"unproven", unproven}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

static std::optional<rollout_phase> phase_of(const nlohmann::json& name)
{
    for (const auto phase : all_phases) {
        if (name == phase_name(phase)) {
            return phase;
        }
    }
    return std::nullopt;
}

std::optional<rollout_grant> decode_rollout_record(const std::string& key, const std::string& bytes)
{
    const auto parsed = nlohmann::json::parse(bytes, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    for (const char* name : {"order", "step", "max_endpoints", "elapsed_ms"}) {
        if (!parsed.contains(name) || !parsed[name].is_number_unsigned()) {
            return std::nullopt;
        }
    }
    const bool has_others = parsed.contains("target") && parsed["target"].is_string() &&
                            parsed.contains("share") && parsed["share"].is_number() &&
                            parsed.contains("phase") && parsed.contains("unproven") &&
                            parsed["unproven"].is_array();
    const auto phase = has_others ? phase_of(parsed["phase"]) : std::nullopt;
    if (!phase) {
        return std::nullopt;
    }
    rollout_grant state;
    state.service = service_id{key};
    state.target = software_version{parsed["target"].get<std::string>()};
    state.order = rollout_order_id{parsed["order"].get<std::uint64_t>()};
    state.step = parsed["step"].get<std::uint64_t>();
    state.phase = *phase;
    state.share = parsed["share"].get<double>();
    state.max_endpoints = parsed["max_endpoints"].get<std::size_t>();
    state.elapsed = std::chrono::milliseconds{parsed["elapsed_ms"].get<std::uint64_t>()};
    for (const auto& version : parsed["unproven"]) {
        if (!version.is_string()) {
            return std::nullopt;
        }
        state.unproven.emplace_back(version.get<std::string>());
    }
    return state;
}

} // namespace eelgrassbend
