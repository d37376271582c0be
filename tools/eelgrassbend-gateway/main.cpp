#include "gateway_daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>

ABSL_FLAG(std::string, settings, "", "the settings file (TOML)");
ABSL_FLAG(bool, check, false, "only check the settings file");

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "runs an entry node on a platform with its own store: eelgrassbend-gateway "
        "--settings=FILE [--check]");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const auto file = absl::GetFlag(FLAGS_settings);
    if (file.empty() || arguments.size() > 1) {
        std::cerr << "usage: eelgrassbend-gateway --settings=FILE [--check]\n";
        return 2;
    }
    const auto settings = eelgrassbend::read_gateway_settings(file);
    if (!settings) {
        std::cerr << "eelgrassbend-gateway: " << settings.error().to_string() << "\n";
        return 2;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << file << ": ok\n";
        return 0;
    }
    return eelgrassbend::run_gateway(settings.value(), file);
}
