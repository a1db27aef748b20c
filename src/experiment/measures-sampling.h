/// What the engines' own records and the processes' metrics say of a run.
#pragma once

#include "measures-churn.h"
#include "measures-workload.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// One line of an engine's record.
struct EngineEvent
{
    std::int64_t atMs = 0;
    std::string operation; ///< `life`, `start`, `end`, `stored` or `evicted`.
    std::string chat;      ///< In hexadecimal.
    std::string bodyHash;
};

/// By the engine's name, oldest first.
using EngineEvents = std::map<std::string, std::vector<EngineEvent>>;

[[nodiscard]] auto readEvents(Fleet &fleet) -> EngineEvents;

/// Counts what runs on one engine while time goes on.
class LoadCursor
{
public:
    /// Requests that run at `atMs`, which never goes back; `events` are always the same.
    auto advance(const std::vector<EngineEvent> &events, std::int64_t atMs) -> int;

private:
    std::size_t next_ = 0;
    int running_ = 0;
};

[[nodiscard]] auto isLive(const std::vector<LiveSpan> &spans, std::int64_t atMs) -> bool;

/// How often returning chats found their context.
struct Reuse
{
    std::size_t returns = 0;  ///< Answered ones.
    std::size_t possible = 0; ///< Of these, the context was on a live engine when it was sent.
    std::size_t found = 0;    ///< Of these, answered warm.
    std::size_t refusals = 0;
    std::size_t unanswered = 0;
    std::vector<double> firstByteMs; ///< Of answered returns, in order.
    std::vector<std::string> misses; ///< Requests, and the engines that held their context.

    [[nodiscard]] auto ofPossible() const -> double;
    [[nodiscard]] auto ofReturns() const -> double;
};

[[nodiscard]] auto measureReuse(const EngineEvents &events, const LiveSpans &live,
                                const std::vector<Turn> &turns) -> Reuse;

/// How far the busiest engine stands above the capacity-weighted mean.
struct Skew
{
    std::size_t samples = 0;
    double worst = 0;
    double p99 = 0;
    std::size_t overRaw = 0;     ///< Samples with an engine above multiple x mean.
    std::size_t overRounded = 0; ///< The same with the bound rounded up to whole requests.
    double meanRunning = 0;      ///< Of the whole pool.
};

/// Times are on the machine's steady clock.
struct Window
{
    std::int64_t fromMs = 0;
    std::int64_t untilMs = 0;
};

[[nodiscard]] auto measureSkew(const EngineEvents &events, const LiveSpans &live,
                               const Window &window, const Deployment &deployment) -> Skew;

/// Bytes of control messages by process and kind since that process started.
using ControlBytes = std::map<std::string, std::map<std::string, double>>;

/// Counters of all processes that answer; datagrams with their UDP and IP headers, reads of host
/// list and settings as calls times the size of one.
[[nodiscard]] auto readControl(Fleet &fleet) -> ControlBytes;

/// Bytes a second.
struct Rate
{
    double median = 0;
    double worst = 0;
};

/// By role (`router`, `sidecar`), then kind; the kind `total` is the sum of each process. Processes
/// that were restarted meanwhile are left out.
using ControlRates = std::map<std::string, std::map<std::string, Rate>>;

[[nodiscard]] auto controlRates(const ControlBytes &before, const ControlBytes &after,
                                milliseconds between) -> ControlRates;

/// The value below which `share` of them lie; 0 without any.
[[nodiscard]] auto quantile(std::vector<double> values, double share) -> double;

} // namespace applehatch::experiment
