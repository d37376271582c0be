#include "eelgrassbend/standin/engine_standin.h"
#include "eelgrassbend/standin/listen_address.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace eb = eelgrassbend;
namespace standin = eelgrassbend::standin;

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, as ip:port; port 0: any");
ABSL_FLAG(std::string, name, "endpoint", "name of the endpoint");
ABSL_FLAG(std::string, service, "service", "service that it runs");
ABSL_FLAG(std::string, zone, "zone", "availability zone that it is in");
ABSL_FLAG(std::string, mode, "model", "model or plain");
ABSL_FLAG(std::string, model, "", "model that is loaded from the start; empty: none");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of lost cache events");
ABSL_FLAG(std::uint32_t, slots, 16, "attempts that run at once");
ABSL_FLAG(std::uint32_t, queue_limit, 256, "attempts that wait");
ABSL_FLAG(std::int64_t, step_base_us, 18'000, "time of a step without any attempt");
ABSL_FLAG(std::int64_t, step_per_stream_us, 600, "time added for each attempt that decodes");
ABSL_FLAG(double, prefill_tokens_per_second, 8000.0, "rate of prefill");
ABSL_FLAG(std::int64_t, prefill_chunk_tokens, 160, "most prompt tokens in one step");
ABSL_FLAG(std::uint64_t, cache_blocks, 8192,
          "capacity of the prefix cache, in blocks of 16 tokens");
ABSL_FLAG(std::int64_t, lag_ms, 500, "lag of load reports and cache events");
ABSL_FLAG(double, cache_event_loss, 0.0, "share of cache events that get lost");
ABSL_FLAG(std::int64_t, kv_bytes_per_token, 131'072, "size of the cached state of one token");
ABSL_FLAG(double, kv_bytes_per_second, 5.0e9, "rate of exports and imports");
ABSL_FLAG(std::int64_t, weight_bytes, 16'000'000'000, "size of a model's weights");
ABSL_FLAG(double, weight_bytes_per_second, 2.0e9, "rate at which weights are loaded");
ABSL_FLAG(bool, checks_fencing, true, "refuse orders with an old fencing token");
ABSL_FLAG(std::string, executions_file, "", "file that gets each execution when it ends");
ABSL_FLAG(std::int64_t, service_ms, 5, "plain: time of a call that does not say its own");

static eb::engine_settings engine_from_flags()
{
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    eb::engine_settings settings;
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.queue_limit = absl::GetFlag(FLAGS_queue_limit);
    settings.step_base = microseconds{absl::GetFlag(FLAGS_step_base_us)};
    settings.step_per_stream = microseconds{absl::GetFlag(FLAGS_step_per_stream_us)};
    settings.prefill_tokens_per_second = absl::GetFlag(FLAGS_prefill_tokens_per_second);
    settings.prefill_chunk_tokens = absl::GetFlag(FLAGS_prefill_chunk_tokens);
    settings.cache_blocks = absl::GetFlag(FLAGS_cache_blocks);
    settings.cache_event_delay = milliseconds{absl::GetFlag(FLAGS_lag_ms)};
    settings.load_report_lag = settings.cache_event_delay;
    settings.cache_event_loss = absl::GetFlag(FLAGS_cache_event_loss);
    settings.kv_bytes_per_token = absl::GetFlag(FLAGS_kv_bytes_per_token);
    settings.kv_bytes_per_second = absl::GetFlag(FLAGS_kv_bytes_per_second);
    settings.weight_bytes = absl::GetFlag(FLAGS_weight_bytes);
    settings.weight_bytes_per_second = absl::GetFlag(FLAGS_weight_bytes_per_second);
    settings.checks_fencing = absl::GetFlag(FLAGS_checks_fencing);
    settings.initial_model = eb::model_id{absl::GetFlag(FLAGS_model)};
    return settings;
}

static standin::engine_standin_settings settings_from_flags()
{
    const auto mode = absl::GetFlag(FLAGS_mode);
    if (mode != "model" && mode != "plain") {
        throw std::invalid_argument("--mode is neither model nor plain");
    }
    const auto listen = standin::parse_listen_address(absl::GetFlag(FLAGS_listen));
    standin::engine_standin_settings settings;
    settings.ip = listen.ip;
    settings.port = listen.port;
    settings.name = absl::GetFlag(FLAGS_name);
    settings.service = absl::GetFlag(FLAGS_service);
    settings.zone = absl::GetFlag(FLAGS_zone);
    settings.mode = mode == "plain" ? standin::endpoint_mode::plain : standin::endpoint_mode::model;
    settings.engine = engine_from_flags();
    settings.service_time = std::chrono::milliseconds{absl::GetFlag(FLAGS_service_ms)};
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.executions_file = absl::GetFlag(FLAGS_executions_file);
    return settings;
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Takes the place of a model engine or a plain service.");
    absl::ParseCommandLine(argc, argv);
    try {
        const auto settings = settings_from_flags();
        standin::event_loop loop;
        const standin::engine_standin server{settings, loop};
        std::cout << "listening on " << settings.ip << ":" << server.port() << std::endl;
        loop.stop_on_signals();
        loop.run();
    }
    catch (const std::exception& failure) {
        std::cerr << "engine-standin: " << failure.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
