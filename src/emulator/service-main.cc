/// The plain service's stand-in as a process.
#include "applehatch/emulator/program.h"
#include "applehatch/emulator/service.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address to serve on");
DEFINE_uint32(delay_ms, 20, "pause before each answer");
DEFINE_uint32(answer_pad, 0, "bytes added to each answer");
DEFINE_uint32(threads, 200, "connections served at once");
DEFINE_string(log, "", "file for a record of runs that outlives a crash");
DEFINE_string(control, "{}", "fault orders in force from the start, as for POST /control");

auto main(int argc, char **argv) -> int
{
    using namespace applehatch::emulator;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const StopSignals signals;
    PlainServiceOptions options;
    options.listen = addressFromFlag(FLAGS_listen);
    options.delay = milliseconds(FLAGS_delay_ms);
    options.answerPad = FLAGS_answer_pad;
    options.threads = static_cast<int>(FLAGS_threads);
    options.logPath = FLAGS_log;
    PlainService service(options);
    service.record().control(nlohmann::json::parse(FLAGS_control));
    announce(service.address());
    signals.wait();
    return 0;
}
