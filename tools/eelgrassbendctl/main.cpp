#include "arguments.h"

#include "eelgrassbend/control/bundle_commands.h"
#include "eelgrassbend/control/entry_commands.h"
#include "eelgrassbend/control/ledger_export.h"
#include "eelgrassbend/control/operator_files.h"
#include "eelgrassbend/control/request_trace.h"
#include "eelgrassbend/net/asio_http_client.h"
#include "eelgrassbend/net/asio_scheduler.h"
#include "eelgrassbend/platform/http_platform.h"

#include <absl/flags/flag.h>

#include <utility>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace eb = eelgrassbend;

ABSL_FLAG(bool, json, false, "print one JSON object in place of text");
ABSL_FLAG(bool, help, false, "print the help");
ABSL_FLAG(std::string, key, "", "key file of an operator");
ABSL_FLAG(std::string, out, "", "file to write");
ABSL_FLAG(std::string, platform, "", "address of the platform, as ip:port");
ABSL_FLAG(std::string, trusted_keys, "",
          "public keys that sign the first bundle, as in the nodes' settings");
ABSL_FLAG(std::uint32_t, trusted_signatures, 1, "how many of them must sign the first bundle");
ABSL_FLAG(std::string, entries, "", "addresses of entry nodes, as ip:port,ip:port");
ABSL_FLAG(std::string, organisation, "", "id of an organisation");
ABSL_FLAG(std::string, service, "", "id of a service");
ABSL_FLAG(std::string, log, "-", "file of JSON log lines; - is the standard input");
ABSL_FLAG(std::uint32_t, timeout_ms, 5'000, "longest wait for one answer");
ABSL_FLAG(std::uint32_t, patience_ms, 30'000, "longest wait for a publication to be decided");

static constexpr const char* help_text = R"(eelgrassbendctl: the operators' tool of eelgrassbend

Usage: eelgrassbendctl COMMAND [ARGUMENTS] [--FLAG=VALUE]...

Keys and bundles
  keys generate --out=KEY                    make an Ed25519 key pair; KEY is the file to keep secret
  bundle check FILE                          read a bundle file (TOML) or signed bundle and check it in full
  bundle diff OLD NEW                        what changes from one to the other
  bundle sign FILE --key=KEY --out=SIGNED    sign a bundle file, or add a signature to a signed bundle
  bundle publish SIGNED --platform=IP:PORT --trusted_keys=KEY,...
                                             append it to the log and wait for the verdict; "accepted" is
                                             said only once it is in force. After an unknown outcome run
                                             the same command again: it counts once
  bundle status --entries=IP:PORT,...        which version each entry node has in force
  bundle restore SIGNED --platform=IP:PORT --trusted_keys=KEY,...
                                             only when the log has lost the version in force and no node
                                             knows it any more

Entry nodes and requests
  entries --entries=IP:PORT --organisation=ID --service=ID
                                             which entry hosts a caller should use
  request trace REQUEST [--log=FILE]         explain one request from JSON log lines (standard input)
  ledger export --platform=IP:PORT [--organisation=ID]
                                             invoice lines, one JSON object a line

Flags for all: --json (one JSON object), --timeout_ms, --patience_ms (publish), --help.

Exit status: 0 done; 1 the answer is no (rejected, invalid, versions differ); 2 wrong usage;
3 no answer or not known, try again.
)";

static eb::command_result usage(const std::string& problem)
{
    eb::command_result outcome;
    outcome.status = eb::exit_status::usage;
    outcome.data = {{"error", problem}};
    outcome.warning = problem + "\ntry eelgrassbendctl --help\n";
    return outcome;
}

static eb::command_result usage(const std::string& flag, const eb::error& problem)
{
    return usage(flag + ": " + problem.detail);
}

static eb::duration timeout()
{
    return std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)};
}

namespace {

/// The network side of one command.
struct connection_set {
    boost::asio::io_context context;
    eb::asio_scheduler timers{this->context};
    eb::asio_http_client client{this->context};

    /// Runs until `start` has called its handler.
    eb::command_result run(const std::function<void(eb::command_handler)>& start)
    {
        std::optional<eb::command_result> outcome;
        start([&](const eb::command_result& result) { outcome = result; });
        while (!outcome && this->context.run_one() > 0) {
        }
        if (!outcome) {
            return eb::failed_command(eb::make_error(eb::errc::internal, "run command"));
        }
        return *outcome;
    }
};

} // namespace

static eb::command_result publish(const std::string& file)
{
    const auto platform = eb::parse_address(absl::GetFlag(FLAGS_platform));
    const auto trusted = eb::parse_trusted_keys(absl::GetFlag(FLAGS_trusted_keys),
                                                absl::GetFlag(FLAGS_trusted_signatures));
    if (!platform || !trusted) {
        return platform ? usage("--trusted_keys", trusted.error())
                        : usage("--platform", platform.error());
    }
    const auto sealed = eb::load_signed_bundle(file);
    if (!sealed) {
        return eb::failed_command(sealed.error());
    }
    connection_set network;
    eb::http_log_client log{network.client, platform.value(), timeout()};
    eb::publisher_options options;
    options.patience = std::chrono::milliseconds{absl::GetFlag(FLAGS_patience_ms)};
    eb::publisher publisher{options, trusted.value(), network.timers, log};
    return network.run([&](const eb::command_handler& done) {
        publisher.publish(sealed.value(), [done](const eb::publication_result& outcome) {
            done(eb::describe_publication(outcome));
        });
    });
}

static eb::command_result restore(const std::string& file)
{
    const auto platform = eb::parse_address(absl::GetFlag(FLAGS_platform));
    const auto trusted = eb::parse_trusted_keys(absl::GetFlag(FLAGS_trusted_keys),
                                                absl::GetFlag(FLAGS_trusted_signatures));
    if (!platform || !trusted) {
        return platform ? usage("--trusted_keys", trusted.error())
                        : usage("--platform", platform.error());
    }
    const auto sealed = eb::load_signed_bundle(file);
    if (!sealed) {
        return eb::failed_command(sealed.error());
    }
    connection_set network;
    eb::http_log_client log{network.client, platform.value(), timeout()};
    eb::bundle_restorer restorer{trusted.value(), network.timers, log};
    return network.run(
        [&](const eb::command_handler& done) { restorer.restore(sealed.value(), done); });
}

static eb::command_result status()
{
    const auto entries = eb::parse_addresses(absl::GetFlag(FLAGS_entries));
    if (!entries) {
        return usage("--entries", entries.error());
    }
    connection_set network;
    return network.run([&](const eb::command_handler& done) {
        eb::report_bundle_status(network.client, entries.value(), timeout(), done);
    });
}

static eb::command_result entries()
{
    const auto addresses = eb::parse_addresses(absl::GetFlag(FLAGS_entries));
    if (!addresses) {
        return usage("--entries", addresses.error());
    }
    connection_set network;
    return network.run([&](const eb::command_handler& done) {
        eb::list_entries(network.client, addresses.value().front(),
                         absl::GetFlag(FLAGS_organisation), absl::GetFlag(FLAGS_service), timeout(),
                         done);
    });
}

static eb::command_result trace(const std::string& request)
{
    const auto path = absl::GetFlag(FLAGS_log);
    if (path == "-") {
        return eb::trace_request(std::cin, request);
    }
    std::ifstream file{path};
    if (!file) {
        return usage("cannot open " + path);
    }
    return eb::trace_request(file, request);
}

static eb::command_result export_ledger()
{
    const auto platform = eb::parse_address(absl::GetFlag(FLAGS_platform));
    if (!platform) {
        return usage("--platform", platform.error());
    }
    connection_set network;
    eb::http_log_client log{network.client, platform.value(), timeout()};
    eb::ledger_exporter exporter{log, absl::GetFlag(FLAGS_organisation)};
    return network.run([&](const eb::command_handler& done) { exporter.run(done); });
}

static eb::command_result sign(const std::string& file)
{
    const auto key = absl::GetFlag(FLAGS_key);
    const auto out = absl::GetFlag(FLAGS_out);
    if (key.empty() || out.empty()) {
        return usage("bundle sign needs --key and --out");
    }
    return eb::sign_bundle(file, key, out);
}

static eb::command_result generate()
{
    const auto out = absl::GetFlag(FLAGS_out);
    return out.empty() ? usage("keys generate needs --out") : eb::generate_key(out);
}

namespace {

using argument_list = std::vector<std::string>;

struct command_entry {
    argument_list words;
    std::size_t arguments; ///< after the words
    std::function<eb::command_result(const argument_list&)> run;
};

} // namespace

static std::vector<command_entry> all_commands()
{
    return {
        {{"keys", "generate"}, 0, [](const auto&) { return generate(); }},
        {{"bundle", "check"}, 1, [](const auto& rest) { return eb::check_bundle(rest[0]); }},
        {{"bundle", "sign"}, 1, [](const auto& rest) { return sign(rest[0]); }},
        {{"bundle", "diff"},
         2,
         [](const auto& rest) { return eb::diff_bundles(rest[0], rest[1]); }},
        {{"bundle", "publish"}, 1, [](const auto& rest) { return publish(rest[0]); }},
        {{"bundle", "restore"}, 1, [](const auto& rest) { return restore(rest[0]); }},
        {{"bundle", "status"}, 0, [](const auto&) { return status(); }},
        {{"entries"}, 0, [](const auto&) { return entries(); }},
        {{"request", "trace"}, 1, [](const auto& rest) { return trace(rest[0]); }},
        {{"ledger", "export"}, 0, [](const auto&) { return export_ledger(); }},
    };
}

static eb::command_result run_command(const argument_list& words)
{
    for (const auto& command : all_commands()) {
        const auto count = command.words.size();
        const bool named = words.size() >= count &&
                           std::equal(command.words.begin(), command.words.end(), words.begin());
        if (!named) {
            continue;
        }
        const argument_list rest{words.begin() + static_cast<std::ptrdiff_t>(count), words.end()};
        if (rest.size() != command.arguments) {
            return usage("this command takes " + std::to_string(command.arguments) +
                         " arguments, not " + std::to_string(rest.size()));
        }
        return command.run(rest);
    }
    return usage(words.empty() ? "no command" : "unknown command " + words.front());
}

int main(int argc, char** argv)
{
    try {
        const auto words = eb::parse_flags(argc, argv);
        if (words && absl::GetFlag(FLAGS_help)) {
            std::cout << help_text;
            return EXIT_SUCCESS;
        }
        const auto outcome = words ? run_command(words.value()) : usage(words.error().detail);
        std::cout << (absl::GetFlag(FLAGS_json) ? outcome.data.dump() + "\n" : outcome.text);
        std::cerr << outcome.warning;
        return static_cast<int>(outcome.status);
    }
    catch (const std::exception& failure) {
        std::cerr << "eelgrassbendctl: " << failure.what() << "\n";
        return static_cast<int>(eb::exit_status::unavailable);
    }
}
