#include "eelgrassbend/control/entry_commands.h"

#include "eelgrassbend/support/call_target.h"

#include <memory>
#include <set>
#include <utility>

namespace eelgrassbend {

using nlohmann::json;

static constexpr int status_ok = 200;

static result<json> parse_answer(const result<http_answer>& answer, const std::string& step,
                                 const std::string& peer)
{
    if (!answer) {
        auto failure = answer.error();
        failure.step = step;
        return failure;
    }
    if (answer.value().status != status_ok) {
        return make_error(errc::unavailable, step, peer,
                          "status " + std::to_string(answer.value().status));
    }
    auto values = json::parse(answer.value().body, nullptr, false);
    if (!values.is_object()) {
        return make_error(errc::mismatched, step, peer, "not a JSON object");
    }
    return values;
}

namespace {

/// The answers of all nodes as they come in.
struct status_collection {
    std::vector<json> nodes;
    std::size_t missing = 0; ///< calls under way
    command_handler done;
};

} // namespace

static json describe_node(const result<json>& answer, const std::string& address)
{
    json node{{"address", address}};
    if (!answer) {
        node["error"] = answer.error().to_string();
        return node;
    }
    for (const auto* key : {"node", "zone", "bundle_version", "bundle_fresh", "ready", "reason"}) {
        if (answer.value().contains(key)) {
            node[key] = answer.value()[key];
        }
    }
    if (!node.contains("bundle_version") || !node["bundle_version"].is_number_unsigned()) {
        node["error"] = "the answer has no bundle version";
    }
    return node;
}

static std::string node_text(const json& node)
{
    auto line = node["address"].get<std::string>() + "  ";
    if (node.contains("error")) {
        return line + node["error"].get<std::string>() + "\n";
    }
    line += node.value("node", json("?")).dump() + "  version " + node["bundle_version"].dump();
    if (node.value("ready", json(true)) == json(false)) {
        line += "  not ready";
    }
    if (node.value("bundle_fresh", json(true)) == json(false)) {
        line += "  its view is too old";
    }
    return line + "\n";
}

static command_result summarise(const std::vector<json>& nodes)
{
    command_result outcome;
    std::set<std::uint64_t> versions;
    bool all_answered = true;
    bool all_ready = true;
    for (const auto& node : nodes) {
        outcome.text += node_text(node);
        if (node.contains("error")) {
            all_answered = false;
            continue;
        }
        versions.insert(node["bundle_version"].get<std::uint64_t>());
        all_ready = all_ready && node.value("ready", json(true)) != json(false);
    }
    const bool same = versions.size() == 1;
    if (!all_answered || versions.empty()) {
        outcome.status = exit_status::unavailable;
    }
    else if (!same || !all_ready) {
        outcome.status = exit_status::negative;
    }
    if (same && all_answered) {
        outcome.text += "version " + std::to_string(*versions.begin()) + " on all nodes\n";
    }
    outcome.data = {{"nodes", nodes},
                    {"versions", versions},
                    {"all_answered", all_answered},
                    {"all_ready", all_ready && all_answered}};
    return outcome;
}

void report_bundle_status(http_client& client, const std::vector<network_address>& entries,
                          duration timeout, command_handler done)
{
    auto collection = std::make_shared<status_collection>();
    collection->nodes.resize(entries.size());
    collection->missing = entries.size();
    collection->done = std::move(done);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto address = entries[index].to_string();
        client.send({entries[index], "GET", "/v1/status", {}, timeout},
                    [collection, index, address](const result<http_answer>& answer) {
                        const auto values = parse_answer(answer, "ask for status", address);
                        collection->nodes[index] = describe_node(values, address);
                        if (--collection->missing == 0) {
                            collection->done(summarise(collection->nodes));
                        }
                    });
    }
}

void list_entries(http_client& client, const network_address& entry,
                  const std::string& organisation, const std::string& service, duration timeout,
                  command_handler done)
{
    call_target target{"/v1/entries"};
    target.parameter("organisation", organisation).parameter("service", service);
    client.send(
        {entry, "GET", target.to_string(), {}, timeout},
        [done = std::move(done), peer = entry.to_string()](const result<http_answer>& answer) {
            const auto values = parse_answer(answer, "ask for entries", peer);
            if (!values) {
                done(failed_command(values.error()));
                return;
            }
            command_result outcome;
            outcome.data = values.value();
            const auto listed = outcome.data.value("entries", json::array());
            for (const auto& choice : listed) {
                outcome.text += choice.value("address", "?") + "  weight " +
                                choice.value("weight", json{}).dump() + "  zone " +
                                choice.value("zone", "?") + "\n";
            }
            outcome.text +=
                "valid for " + outcome.data.value("time_to_live_ms", json{}).dump() + " ms\n";
            if (listed.empty()) {
                outcome.status = exit_status::negative;
            }
            done(outcome);
        });
}

} // namespace eelgrassbend
