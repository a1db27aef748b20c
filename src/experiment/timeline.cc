#include "timeline.h"

#include <algorithm>
#include <cmath>

namespace applehatch::experiment {

namespace {

constexpr double roundingError = 1e-9;
constexpr double millisecondsPerSecond = 1000;

auto boundOf(const std::vector<std::optional<int>> &running, double loadMultiple) -> double
{
    double total = 0;
    double live = 0;
    for (const auto &load : running) {
        total += load.value_or(0);
        live += load ? 1 : 0;
    }
    const auto mean = live == 0 ? 0 : total / live;
    return std::max(1.0, std::ceil(loadMultiple * mean - roundingError));
}

} // namespace

auto measureTimeline(const EngineEvents &events, const LiveSpans &live, const Window &window,
                     double loadMultiple, milliseconds period) -> Timeline
{
    Timeline timeline;
    for (const auto &[engine, list] : events) {
        timeline.engines.push_back(engine);
    }
    std::vector<LoadCursor> cursors(events.size());
    for (auto atMs = window.fromMs; atMs < window.untilMs; atMs += period.count()) {
        TimelineSample sample;
        sample.atSeconds = static_cast<double>(atMs - window.fromMs) / millisecondsPerSecond;
        std::size_t place = 0;
        for (const auto &[engine, list] : events) {
            const auto running = cursors[place++].advance(list, atMs);
            const auto serves = isLive(live.at(engine), atMs);
            sample.running.push_back(serves ? std::optional(running) : std::nullopt);
        }
        sample.bound = boundOf(sample.running, loadMultiple);
        timeline.samples.push_back(std::move(sample));
    }
    return timeline;
}

} // namespace applehatch::experiment
