#include "applehatch/process/program.h"
#include "applehatch/telemetry/heap.h"

#include "router-host.h"

#include <gflags/gflags.h>

#include <iostream>
#include <map>

DEFINE_string(placement, "default", "order of candidates, for experiments");
DEFINE_int32(caller_threads, 512, "most callers served at once");
DEFINE_int32(body_memory_mb, 256, "memory for bodies of requests, each counted twice, in MiB");
DEFINE_int32(answer_memory_mb, 256, "memory for answers not sent yet, counted twice, in MiB");

// A single body, and a single answer, of the largest size must find room.
constexpr int minBodyMemoryMb = 16;
constexpr int minAnswerMemoryMb = 48;

namespace {

using namespace applehatch; // NOLINT(google-build-using-namespace)

auto placements() -> const std::map<std::string, core::Placement> &
{
    static const std::map<std::string, core::Placement> named{
        {"default", core::placeByContext},
        {"random", core::placeRandom},
        {"least-of-two", core::placeLeastOfTwo},
        {"rendezvous-live", core::placeRendezvousLive},
        {"consistent-bounded", core::placeConsistentBounded},
    };
    return named;
}

auto run(const std::shared_ptr<const settings::ProcessFile> &file) -> process::ExitCode
{
    const auto placement = placements().find(FLAGS_placement);
    if (placement == placements().end() || FLAGS_caller_threads < 1
        || FLAGS_body_memory_mb < minBodyMemoryMb || FLAGS_answer_memory_mb < minAnswerMemoryMb) {
        std::cerr << "applehatch-router: bad --placement, --caller_threads, --body_memory_mb or "
                     "--answer_memory_mb; see --help\n";
        return process::ExitCode::Usage;
    }
    telemetry::returnLargeBlocks();
    process::prepareSignals();
    telemetry::startLog();
    constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
    router::RouterHost host({file, placement->second, FLAGS_caller_threads,
                             static_cast<std::size_t>(FLAGS_body_memory_mb) * mebibyte,
                             static_cast<std::size_t>(FLAGS_answer_memory_mb) * mebibyte});
    return process::runHost(host, *file);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::readCommandLine(argc, argv, settings::Role::Router);
    return static_cast<int>(line.file ? run(line.file) : line.exit);
}
