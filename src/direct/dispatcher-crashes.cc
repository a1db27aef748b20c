// Requests that are refused because upstreams crashed under them.
#include "applehatch/direct/dispatcher.h"

#include "applehatch/core/log-line.h"

#include <algorithm>

namespace applehatch::direct {

using core::ErrorKind;
using core::Failure;

auto Dispatcher::partRefusal(const RoutingInput &input, Instant now) -> std::optional<Failure>
{
    for (const auto part : input.parts) {
        if (!parts_.refuses(part, input.parts, now))
            continue;
        const auto wait = parts_.timeToLeave(part, now);
        if (wait <= Duration(0) && givesLeave_(part))
            continue;
        const auto chain = parts_.chain(part, now);
        if (chain.empty())
            continue; // The crashes grew too old since the verdict.
        auto refused = refusal(ErrorKind::CrashSuspect,
                               "part " + core::hexText(part) + " of the prompt crashed "
                                   + std::to_string(chain.size()) + " upstreams, the last "
                                   + core::millisecondsText(now - chain.back().at) + " ago");
        refused.retryAfter = std::max(wait, *refused.retryAfter);
        return refused;
    }
    return std::nullopt;
}

auto Dispatcher::placementKey(const RoutingInput &input, Instant now) const -> std::uint64_t
{
    const auto confined = std::find_if(input.parts.begin(), input.parts.end(),
                                       [&](PartKey part) { return parts_.isConfined(part, now); });
    return confined != input.parts.end() ? *confined : sharedContext(input.prompt).hash;
}

auto Dispatcher::isSuspect(const RoutingInput &input, Instant now) -> bool
{
    return suspects_.isSuspect(input.fingerprint, now, [this, now](UpstreamId upstream) {
        return parts_.explains(upstream, now);
    });
}

auto Dispatcher::crashRefusal(const RoutingInput &input, Instant now) -> std::optional<Failure>
{
    if (auto refused = partRefusal(input, now))
        return refused;
    const auto crashes = suspects_.crashes(input.fingerprint, now);
    if (crashes == 0)
        return std::nullopt;
    const auto isRefused = isSuspect(input, now);
    const auto isHeldBack =
        running_.contains(input.fingerprint) && !suspects_.isTrusted(input.fingerprint, now);
    if (!isRefused && !isHeldBack)
        return std::nullopt;
    const auto *why = isRefused ? " upstreams before" : " upstreams before, and a copy is running";
    return refusal(ErrorKind::CrashSuspect,
                   "fingerprint " + core::hexText(input.fingerprint) + " crashed "
                       + std::to_string(crashes) + why);
}

auto Dispatcher::crashMemory(Instant now) const -> CrashMemory
{
    auto memory = suspects_.memory(now);
    memory.parts = parts_.memory(now);
    return memory;
}

auto Dispatcher::adopt(const CrashMemory &memory, Instant now) -> void
{
    suspects_.adopt(memory, now);
    for (const auto &report : memory.parts)
        (void)parts_.notePeer(report, now); // A router that has just started contradicts nobody.
}

} // namespace applehatch::direct
