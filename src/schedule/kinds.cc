#include "applehatch/schedule/kinds.h"

#include <algorithm>

namespace applehatch::schedule {

namespace {

using namespace std::chrono_literals;

auto makeKinds() -> std::vector<Kind>
{
    Faults messages;
    messages.dropMessage = 0.02;
    messages.doubleMessage = 0.05;
    messages.crossMessages = true;
    messages.longestDelay = 200ms;

    Faults cuts;
    cuts.perSecondCuts = 3;

    Faults pauses;
    pauses.perSecondPauses = 1;

    Faults restarts;
    restarts.perSecondSidecarRestarts = 0.7;
    restarts.perSecondRouterRestarts = 0.7;

    Faults poison;
    poison.poisonShare = 0.05;
    poison.perSecondEngineCrashes = 0.1;

    Faults latePoison = poison;
    latePoison.longestCrashDelay = 3s;

    Faults drains;
    drains.perSecondDrains = 0.5;

    Faults partitions;
    partitions.perSecondPartitions = 0.5;

    Faults together;
    together.dropMessage = 0.005;
    together.doubleMessage = 0.01;
    together.longestDelay = 60ms;
    together.crossMessages = true;
    together.perSecondCuts = 0.8;
    together.perSecondPauses = 0.3;
    together.perSecondSidecarRestarts = 0.2;
    together.perSecondRouterRestarts = 0.2;
    together.perSecondEngineCrashes = 0.1;
    together.perSecondDrains = 0.1;
    together.perSecondPartitions = 0.1;

    return {{"calm", {}},
            {"messages", messages},
            {"cuts", cuts},
            {"pauses", pauses},
            {"restarts", restarts},
            {"poison", poison},
            {"late-poison", latePoison},
            {"drains", drains},
            {"partitions", partitions},
            {"together", together}};
}

} // namespace

auto kinds() -> const std::vector<Kind> &
{
    static const auto all = makeKinds();
    return all;
}

auto findKind(std::string_view name) -> std::optional<Kind>
{
    const auto found = std::find_if(kinds().begin(), kinds().end(),
                                    [name](const Kind &kind) { return kind.name == name; });
    return found == kinds().end() ? std::nullopt : std::optional(*found);
}

} // namespace applehatch::schedule
