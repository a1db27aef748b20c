// Selection of the upstream for a request.
#include "applehatch/direct/dispatcher.h"

#include "applehatch/core/log-line.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace applehatch::direct {

namespace {

using core::ErrorKind;
using core::Failure;
using core::Run;

// An engine with a higher failure share is not asked for a context; two failures in a row exceed
// it.
constexpr double trustedFailureShare = 0.25;
// Shortest retry delay while every data centre of a service is evacuated, which lasts seconds.
constexpr Duration evacuatedRetryDelay = std::chrono::seconds(1);

// Describes the inputs of the decision, for the log.
auto overloadText(const Choice &choice, const AdmissionDecision &decision) -> std::string
{
    return "least load " + std::to_string(choice.load) + " of "
        + std::to_string(choice.upstream.slots) + " slots, wait "
        + core::millisecondsText(decision.expectedWait) + ", allowed "
        + core::millisecondsText(decision.maxWait);
}

} // namespace

auto Dispatcher::waitForAvailable(const std::string &service, const RoutingInput &input,
                                  Instant now) const -> Duration
{
    const auto indexes = indexesByService_.find(service);
    if (indexes == indexesByService_.end())
        return Duration(0);
    std::optional<Instant> first;
    for (const auto index : indexes->second) {
        const auto &upstream = upstreams_[index];
        if (isLeaving(upstream, now) || isEvacuated(upstream) || !fits(upstream, input))
            continue;
        const auto at = availableAt(upstream, now);
        first = std::min(at, first.value_or(at));
    }
    return first ? *first - now : Duration(0);
}

auto Dispatcher::usableUpstreams(const Permit &permit, const RoutingInput &input, Instant now) const
    -> std::vector<UpstreamView>
{
    std::vector<UpstreamView> usable;
    const auto indexes = indexesByService_.find(permit.serviceName);
    if (indexes == indexesByService_.end())
        return usable;
    const auto memory = permit.service == nullptr ? 0 : permit.service->memoryTokens;
    const auto weighs = weighsPrompts(permit);
    for (const auto index : indexes->second) {
        const auto &upstream = upstreams_[index];
        const auto wasTried =
            std::find(input.tried.begin(), input.tried.end(), upstream.id) != input.tried.end();
        if (wasTried || !fits(upstream, input) || !acceptsNewRequests(upstream, now))
            continue;
        UpstreamView view;
        view.upstream = &upstream;
        view.load = loads_.fleetLoad(upstream.id, now);
        view.failureShare = health_.failureShare(upstream.id, now);
        view.slowness = health_.slowness(upstream.id);
        view.slowdown = slowdownOf(upstream.id, now);
        if (weighs)
            view.unreadTokens = backlog_.tokensAt(upstream.id);
        view.paused = health_.isPaused(upstream.id, now);
        if (memory > 0)
            view.memoryShare = static_cast<double>(contexts_.tokensAt(upstream.id)) / memory;
        usable.push_back(view);
    }
    return usable;
}

auto Dispatcher::choose(const Permit &permit, const RoutingInput &input, Instant now)
    -> std::variant<Choice, Failure>
{
    if (auto refused = crashRefusal(input, now))
        return std::move(*refused);
    const auto usable = usableUpstreams(permit, input, now);
    const auto selection = select(permit, input, usable, now);
    if (!selection)
        return noUpstream(permit, input, now);
    Choice choice;
    choice.upstream = *selection->upstream;
    choice.load = selection->load;
    choice.expectedWait = selection->admission.expectedWait;
    if (!selection->admission.admitted && input.tried.empty())
        return Failure{ErrorKind::Overloaded, Run::NotRun,
                       overloadText(choice, selection->admission),
                       overloadRetryAfter(permit, input, now)};
    choice.usable = static_cast<std::uint32_t>(usable.size());
    if (input.prompt.empty())
        return choice;
    const auto context = sharedContext(input.prompt).hash;
    const auto holders = contexts_.upstreamsOf(context, now);
    choice.holdsContext =
        std::find(holders.begin(), holders.end(), choice.upstream.id) != holders.end();
    const auto mayFetch = permit.service != nullptr && permit.service->sharesContexts;
    if (weighsPrompts(permit))
        choice.unreadTokens = promptTokens(input.prompt);
    if (choice.unreadTokens > 0 && choice.holdsContext)
        choice.unreadTokens -= sharedContext(input.prompt).tokens;
    if (mayFetch && !choice.holdsContext)
        choice.fetchFrom = fetchSource(context, choice.upstream, usable, now);
    return choice;
}

auto Dispatcher::select(const Permit &permit, const RoutingInput &input,
                        const std::vector<UpstreamView> &usable, Instant now)
    -> std::optional<Selection>
{
    const Upstream *upstream = nullptr;
    if (input.prompt.empty()) {
        upstream = policies_.followsPace ? chooseSoonest(usable, options_.dataCenter, draw())
                                         : chooseService(usable, options_.dataCenter, draw());
    } else {
        upstream = selectEngine(permit, input, usable, now);
    }
    if (upstream == nullptr)
        return std::nullopt;
    Selection selection{upstream, loads_.fleetLoad(upstream->id, now), {}};
    selection.admission =
        admission_.decide(admissionRequestOf(permit, input.sinceFirstSent),
                          {selection.load, upstream->slots, slowdownOf(upstream->id, now)});
    return selection;
}

auto Dispatcher::selectEngine(const Permit &permit, const RoutingInput &input,
                              const std::vector<UpstreamView> &usable, Instant now) const
    -> const Upstream *
{
    const auto context = placementKey(input, now);
    const auto holders = contexts_.upstreamsOf(context, now);
    const auto mean = meanLoad(permit.serviceName, now);
    if (!weighsPrompts(permit)) {
        const auto usedLast = holders.empty() ? std::nullopt : std::optional(holders.front());
        return chooseEngine(context, usedLast, usable, bound_, mean);
    }
    PromptDemand demand;
    demand.context = context;
    demand.contextTokens = sharedContext(input.prompt).tokens;
    demand.ownTokens = promptTokens(input.prompt) - demand.contextTokens;
    demand.holders = holders;
    demand.canFetch = permit.service != nullptr && permit.service->sharesContexts;
    return chooseSoonestRead(demand, usable, bound_, mean);
}

auto Dispatcher::slowdownOf(UpstreamId upstream, Instant now) const -> double
{
    return policies_.followsPace ? paces_.slowdown(upstream, now) : 1;
}

auto Dispatcher::reportsPace(const std::string &service) const -> bool
{
    const auto indexes = indexesByService_.find(service);
    return indexes != indexesByService_.end()
        && std::any_of(indexes->second.begin(), indexes->second.end(),
                       [this](std::size_t index) { return paces_.reports(upstreams_[index].id); });
}

auto Dispatcher::admitsByTimeLeft(const Permit &permit) const -> bool
{
    return policies_.admitsByTimeLeft && reportsPace(permit.serviceName);
}

auto Dispatcher::weighsPrompts(const Permit &permit) const -> bool
{
    return policies_.weighsPrompts && reportsPace(permit.serviceName);
}

auto Dispatcher::mayRepeat(const Permit &permit, Duration sinceFirstSent, Instant now) -> bool
{
    return !admitsByTimeLeft(permit)
        || admission_.mayRepeat(admissionRequestOf(permit, sinceFirstSent), now);
}

auto Dispatcher::meanLoad(const std::string &service, Instant now) const -> double
{
    const auto indexes = indexesByService_.find(service);
    if (indexes == indexesByService_.end())
        return 0;
    auto total = 0.0;
    std::size_t counted = 0;
    for (const auto index : indexes->second) {
        const auto &upstream = upstreams_[index];
        if (isLeaving(upstream, now))
            continue;
        total += loads_.fleetLoad(upstream.id, now);
        ++counted;
    }
    return counted == 0 ? 0 : total / static_cast<double>(counted);
}

auto Dispatcher::noUpstream(const Permit &permit, const RoutingInput &input, Instant now) -> Failure
{
    if (waitForAvailable(permit.serviceName, input, now) > Duration(0))
        return {ErrorKind::Overloaded, Run::NotRun, "all upstreams asked for rest or are cold",
                overloadRetryAfter(permit, input, now)};
    if (input.version)
        return refusal(ErrorKind::NoUpstream, "no upstream of version " + *input.version);
    const auto indexes = indexesByService_.find(permit.serviceName);
    const auto isAllEvacuated = indexes != indexesByService_.end()
        && std::all_of(indexes->second.begin(), indexes->second.end(),
                       [this](std::size_t index) { return isEvacuated(upstreams_[index]); });
    if (isAllEvacuated)
        return {ErrorKind::NoUpstream, Run::NotRun, "all data centres are evacuated",
                evacuatedRetryDelay + retryAfter()};
    return refusal(ErrorKind::NoUpstream, "no upstream of the service is known");
}

auto Dispatcher::fetchSource(std::uint64_t context, const Upstream &chosen,
                             const std::vector<UpstreamView> &usable, Instant now) const
    -> std::optional<Address>
{
    auto sources = contexts_.upstreamsOf(context, now);
    // After all routers restarted, none knows where the context is held; most likely it is at its
    // other candidate.
    if (sources.empty())
        sources = contextCandidates(context, usable);
    std::erase(sources, chosen.id);
    return reachableHolder(sources, chosen, now);
}

auto Dispatcher::reachableHolder(const std::vector<UpstreamId> &holders, const Upstream &receiver,
                                 Instant now) const -> std::optional<Address>
{
    for (const auto id : holders) {
        // A draining engine still serves the contexts that it holds.
        const auto *holder = findUpstream(id);
        const auto trusted = holder != nullptr && holder->version == receiver.version
            && holder->state != UpstreamState::Doubtful && !isEvacuated(*holder)
            && !health_.isPaused(id, now) && health_.failureShare(id, now) < trustedFailureShare;
        if (trusted)
            return holder->address;
    }
    return std::nullopt;
}

auto Dispatcher::overloadRetryAfter(const Permit &permit, const RoutingInput &input, Instant now)
    -> Duration
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return waitForAvailable(permit.serviceName, input, now)
        + admission_.retryAfter(admissionRequestOf(permit), static_cast<double>(draw()) / range,
                                now);
}

} // namespace applehatch::direct
