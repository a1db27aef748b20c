/// Engines that join, leave, flap and crash during a run, and host lists that differ.
#pragma once

#include "applehatch/experiment/fleet.h"

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace applehatch::experiment {

/// From when until when an engine could be given work, on the machine's steady clock.
struct LiveSpan
{
    std::int64_t fromMs = 0;
    std::int64_t untilMs = 0;
};

/// By the engine's name.
using LiveSpans = std::map<std::string, std::vector<LiveSpan>>;

/// What happens to one engine.
enum class ChurnKind {
    LeaveAndJoin,
    RestartSidecar,
    CrashEngine,
    DifferHostLists,
    FlapHostLists,
};

/// The kinds by the names that plans use.
[[nodiscard]] auto churnKinds() -> const std::map<std::string, ChurnKind> &;

/// Each step takes the next engine in an order shuffled by the seed.
struct ChurnStep
{
    double at = 0; ///< As a share of the run.
    ChurnKind kind = ChurnKind::LeaveAndJoin;
};

/// Engines that leave, crash and flap, in a run of ten engines or more.
[[nodiscard]] auto usualChurn() -> std::vector<ChurnStep>;

/// The faults of one run, at the same shares of its length in each variant.
class Churn
{
public:
    Churn(Fleet &fleet, std::vector<ChurnStep> steps, std::chrono::milliseconds length,
          std::uint64_t seed);

    /// Starts to act, each action at its time.
    auto start() -> void;

    /// Waits for the last action and tells when each engine was live.
    [[nodiscard]] auto finish() -> LiveSpans;

private:
    using Action = void (Churn::*)(FleetMember &);

    [[nodiscard]] static auto actionOf(ChurnKind kind) -> Action;
    auto at(double share, std::size_t place, Action action) -> void;
    auto leaveAndJoin(FleetMember &member) -> void;
    auto restartSidecar(FleetMember &member) -> void;
    auto crashEngine(FleetMember &member) -> void;
    auto differHostLists(FleetMember &member) -> void;
    auto flapHostLists(FleetMember &member) -> void;

    auto setLive(const FleetMember &member, bool live) -> void;
    auto awaitReady(FleetMember &member) -> void;

    Fleet &fleet_;
    std::vector<ChurnStep> steps_;
    std::chrono::milliseconds length_;
    std::vector<std::size_t> order_; ///< Engines, shuffled by the seed.
    Clock::time_point begin_;
    std::vector<std::jthread> actions_;
    std::mutex mutex_;
    LiveSpans spans_;
};

} // namespace applehatch::experiment
