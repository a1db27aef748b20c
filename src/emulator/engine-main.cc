/// The engine's stand-in as a process.
#include "applehatch/emulator/engine.h"
#include "applehatch/emulator/program.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address to serve on");
DEFINE_uint32(slots, 8, "requests run at once");
DEFINE_double(tokens_per_second, 50, "for each stream");
DEFINE_uint32(cold_prefill_ms, 100, "pause before the first token, context not held");
DEFINE_uint32(warm_prefill_ms, 10, "pause before the first token, context held");
DEFINE_uint32(cache_chats, 100, "chats whose context fits");
DEFINE_uint32(event_delay_ms, 300, "by which cache events come late");
DEFINE_uint32(gap_every, 0, "every n-th cache event is lost; 0 loses none");
DEFINE_uint32(state_lag_ms, 500, "by which the state comes late");
DEFINE_uint32(hold_ms, 5000, "how long a stream goes on without its caller");
DEFINE_bool(honours_fence, true, "refuses an order with an old fencing number");
DEFINE_string(model, "", "a model held from the start");
DEFINE_uint32(threads, 400, "connections served at once");
DEFINE_string(log, "", "file for a record of runs that outlives a crash");
DEFINE_string(control, "{}", "fault orders in force from the start, as for POST /control");

namespace {

using namespace applehatch::emulator;

auto optionsFromFlags() -> EngineOptions
{
    EngineOptions options;
    options.listen = addressFromFlag(FLAGS_listen);
    options.slots = FLAGS_slots;
    options.tokensPerSecond = FLAGS_tokens_per_second;
    options.coldPrefill = milliseconds(FLAGS_cold_prefill_ms);
    options.warmPrefill = milliseconds(FLAGS_warm_prefill_ms);
    options.cacheChats = FLAGS_cache_chats;
    options.eventDelay = milliseconds(FLAGS_event_delay_ms);
    options.gapEvery = FLAGS_gap_every;
    options.stateLag = milliseconds(FLAGS_state_lag_ms);
    options.holdFor = milliseconds(FLAGS_hold_ms);
    options.honoursFence = FLAGS_honours_fence;
    if (!FLAGS_model.empty()) {
        options.models = {FLAGS_model};
    }
    options.threads = static_cast<int>(FLAGS_threads);
    options.logPath = FLAGS_log;
    return options;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const StopSignals signals;
    Engine engine(optionsFromFlags());
    engine.record().control(nlohmann::json::parse(FLAGS_control));
    announce(engine.address());
    signals.wait();
    return 0;
}
