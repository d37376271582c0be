#include "eelgrassbend/standin/listen_address.h"
#include "eelgrassbend/standin/platform_standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace standin = eelgrassbend::standin;

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, as ip:port; port 0: any");
ABSL_FLAG(std::string, hosts_file, "", "JSON file with hosts and spares; empty: no hosts");
ABSL_FLAG(double, appends_per_second, 300.0, "most appends to the log");
ABSL_FLAG(std::int64_t, retention_ms, 86'400'000, "age at which records expire");
ABSL_FLAG(std::uint64_t, retention_records, 200'000, "records kept of each stream");
ABSL_FLAG(std::int64_t, hosts_lag_ms, 1000, "lag of the host list");
ABSL_FLAG(std::int64_t, host_start_ms, 2000, "time from the order of a host to its start");
ABSL_FLAG(std::int64_t, weight_bytes, 16'000'000'000, "size of each model's weights");
ABSL_FLAG(double, weight_fetches_per_second, 2.0, "most fetches from the weight store");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of lost answers");

static std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    if (!file) {
        throw std::invalid_argument("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

static standin::platform_standin_settings settings_from_flags()
{
    using std::chrono::milliseconds;
    const auto listen = standin::parse_listen_address(absl::GetFlag(FLAGS_listen));
    standin::platform_standin_settings settings;
    settings.ip = listen.ip;
    settings.port = listen.port;
    settings.appends_per_second = absl::GetFlag(FLAGS_appends_per_second);
    settings.retention_time = milliseconds{absl::GetFlag(FLAGS_retention_ms)};
    settings.retention_records = absl::GetFlag(FLAGS_retention_records);
    settings.hosts_lag = milliseconds{absl::GetFlag(FLAGS_hosts_lag_ms)};
    settings.host_start = milliseconds{absl::GetFlag(FLAGS_host_start_ms)};
    settings.weight_bytes = absl::GetFlag(FLAGS_weight_bytes);
    settings.weight_fetches_per_second = absl::GetFlag(FLAGS_weight_fetches_per_second);
    settings.seed = absl::GetFlag(FLAGS_seed);
    if (const auto path = absl::GetFlag(FLAGS_hosts_file); !path.empty()) {
        settings.hosts_json = read_file(path);
    }
    return settings;
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Takes the place of the platform: log, host list, cloud API and weight store.");
    absl::ParseCommandLine(argc, argv);
    try {
        const auto settings = settings_from_flags();
        standin::event_loop loop;
        const standin::platform_standin server{settings, loop};
        std::cout << "listening on " << settings.ip << ":" << server.port() << std::endl;
        loop.stop_on_signals();
        loop.run();
    }
    catch (const std::exception& failure) {
        std::cerr << "platform-standin: " << failure.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
