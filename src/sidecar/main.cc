#include "applehatch/process/program.h"
#include "applehatch/telemetry/heap.h"

#include "sidecar-host.h"

namespace {

using namespace applehatch; // NOLINT(google-build-using-namespace)

auto run(const std::shared_ptr<const settings::ProcessFile> &file) -> process::ExitCode
{
    telemetry::returnLargeBlocks();
    process::prepareSignals();
    telemetry::startLog();
    sidecar::SidecarHost host(file);
    return process::runHost(host, *file);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::readCommandLine(argc, argv, settings::Role::Sidecar);
    return static_cast<int>(line.file ? run(line.file) : line.exit);
}
