#include "daemon.h"

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
        "runs an entry node: eelgrassbend-entry --settings=FILE [--check]");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const auto file = absl::GetFlag(FLAGS_settings);
    if (file.empty() || arguments.size() > 1) {
        std::cerr << "usage: eelgrassbend-entry --settings=FILE [--check]\n";
        return 2;
    }
    const auto settings = eelgrassbend::read_entry_settings(file);
    if (!settings) {
        std::cerr << "eelgrassbend-entry: " << settings.error().to_string() << "\n";
        return 2;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << file << ": ok\n";
        return 0;
    }
    return eelgrassbend::run_daemon(settings.value());
}
