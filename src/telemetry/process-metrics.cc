#include "applehatch/telemetry/metrics.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace applehatch::telemetry {

namespace {

constexpr double secondsPerMicrosecond = 1e-6;

auto seconds(const timeval &time) -> double
{
    return static_cast<double>(time.tv_sec)
        + static_cast<double>(time.tv_usec) * secondsPerMicrosecond;
}

auto processorSeconds() -> double
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

auto residentBytes() -> double
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

auto addProcessMetrics(Metrics &metrics) -> void
{
    auto &processor = metrics.counter(
        {"process_cpu_seconds_total", "Processor time spent, user and system, in seconds"});
    auto &resident =
        metrics.gauge({"process_resident_memory_bytes", "Memory resident now, in bytes"});
    metrics.onScrape([&processor, &resident] {
        advanceTo(processor, processorSeconds());
        resident.Set(residentBytes());
    });
}

} // namespace applehatch::telemetry
