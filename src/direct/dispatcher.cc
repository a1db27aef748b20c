#include "applehatch/direct/dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace applehatch::direct {

namespace {

using core::ErrorKind;
using core::Failure;
using core::Run;

// Range of the retry delay for refused callers. The minimum is about the time in which one upstream
// completes a request; the maximum leaves time for a retry within short deadlines.
constexpr Duration minRetryDelay = std::chrono::milliseconds(150);
constexpr Duration retrySpread = std::chrono::milliseconds(350);
// An engine with a higher failure share is not asked for a context; two failures in a row exceed
// it.
constexpr double trustedFailureShare = 0.25;

auto millisecondsText(Duration duration) -> std::string
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(count) + " ms";
}

// Describes the inputs of the decision, for the log.
auto overloadText(const Choice &choice, const AdmissionDecision &decision) -> std::string
{
    return "least load " + std::to_string(choice.load) + " of "
        + std::to_string(choice.upstream.slots) + " slots, wait "
        + millisecondsText(decision.expectedWait) + ", allowed "
        + millisecondsText(decision.maxWait);
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options, RetryLimits retryLimits, Instant startedAt)
    : options_(std::move(options))
    , randomState_(options_.seed)
    , budget_(retryLimits, startedAt)
{ }

auto Dispatcher::setConfiguration(ConfigurationPtr configuration) -> bool
{
    if (configuration_ != nullptr && configuration->version <= configuration_->version)
        return false;
    configuration_ = std::move(configuration);
    admission_.noteConfiguration();
    return true;
}

auto Dispatcher::setUpstreams(UpstreamList upstreams) -> void
{
    const auto before = std::exchange(upstreams_, std::move(upstreams));
    indexesByService_.clear();
    indexById_.clear();
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        indexesByService_[upstreams_[i].service].push_back(i);
        indexById_[upstreams_[i].id] = i;
    }
    for (const auto &upstream : before) {
        if (indexById_.contains(upstream.id))
            continue;
        health_.forget(upstream.id);
        loads_.forget(upstream.id);
    }
}

auto Dispatcher::findUpstream(UpstreamId id) const -> const Upstream *
{
    const auto found = indexById_.find(id);
    return found == indexById_.end() ? nullptr : &upstreams_[found->second];
}

auto Dispatcher::acceptsNewRequests(UpstreamId id, Instant now) const -> bool
{
    const auto *upstream = findUpstream(id);
    return upstream != nullptr && acceptsNewRequests(*upstream, now);
}

auto Dispatcher::acceptsNewRequests(const Upstream &upstream, Instant now) const -> bool
{
    return !isLeaving(upstream, now) && !announcements_.restEnd(upstream.id, now);
}

auto Dispatcher::isLeaving(const Upstream &upstream, Instant now) const -> bool
{
    return upstream.state == UpstreamState::Leaving || announcements_.isLeaving(upstream.id, now);
}

auto Dispatcher::restLeft(const std::string &service, Instant now) const -> Duration
{
    const auto indexes = indexesByService_.find(service);
    if (indexes == indexesByService_.end())
        return Duration(0);
    std::optional<Instant> first;
    for (const auto index : indexes->second) {
        const auto &upstream = upstreams_[index];
        if (isLeaving(upstream, now))
            continue;
        const auto end = announcements_.restEnd(upstream.id, now);
        if (!end)
            return Duration(0);
        first = std::min(*end, first.value_or(*end));
    }
    return first ? *first - now : Duration(0);
}

auto Dispatcher::refusal(ErrorKind kind, std::string detail) -> Failure
{
    return Failure{kind, Run::NotRun, std::move(detail), retryAfter()};
}

auto Dispatcher::admit(std::string_view host, std::string_view path,
                       const std::optional<std::string> &key) -> std::variant<Permit, Failure>
{
    if (configuration_ == nullptr)
        return refusal(ErrorKind::NotReady, "no configuration is known yet");
    const auto *route = configuration_->findRoute(host, path);
    if (route == nullptr)
        return Failure{ErrorKind::UnknownPath, Run::NotRun, "no route", std::nullopt};
    Permit permit;
    permit.configuration = configuration_;
    permit.route = route;
    permit.priority = route->priority;
    if (configuration_->hasCustomers()) {
        const auto *customer = key ? configuration_->findCustomer(*key) : nullptr;
        if (customer == nullptr && !route->isPublic)
            return Failure{ErrorKind::Unauthorized, Run::NotRun, "unknown key", std::nullopt};
        if (customer != nullptr) {
            permit.customer = customer->name;
            permit.priority = customer->priority.value_or(route->priority);
        }
    }
    permit.serviceName = drawTarget(*route);
    const auto service = configuration_->services.find(permit.serviceName);
    if (service != configuration_->services.end())
        permit.service = &service->second;
    return permit;
}

auto Dispatcher::drawTarget(const Route &route) -> const std::string &
{
    static const std::string none;
    if (route.targets.empty())
        return none;
    auto total = std::uint64_t{0};
    for (const auto &target : route.targets)
        total += target.weight;
    if (total == 0)
        return route.targets.front().service;
    auto at = draw() % total;
    for (const auto &target : route.targets) {
        if (at < target.weight)
            return target.service;
        at -= target.weight;
    }
    return route.targets.back().service;
}

auto Dispatcher::draw() -> std::uint64_t
{
    constexpr std::uint64_t step = 0x9e3779b97f4a7c15U; // 2^64 / golden ratio.
    randomState_ += step;
    return core::stableHash({}, randomState_);
}

auto Dispatcher::noteRequest(const Permit &permit, Instant now) -> void
{
    budget_.noteRequest(permit.serviceName, now);
}

auto Dispatcher::usableUpstreams(const Permit &permit, const std::vector<UpstreamId> &tried,
                                 Instant now) const -> std::vector<UpstreamView>
{
    std::vector<UpstreamView> usable;
    const auto indexes = indexesByService_.find(permit.serviceName);
    if (indexes == indexesByService_.end())
        return usable;
    const auto memory = permit.service == nullptr ? 0 : permit.service->memoryTokens;
    for (const auto index : indexes->second) {
        const auto &upstream = upstreams_[index];
        if (!acceptsNewRequests(upstream, now)
            || std::find(tried.begin(), tried.end(), upstream.id) != tried.end())
            continue;
        UpstreamView view;
        view.upstream = &upstream;
        view.load = loads_.fleetLoad(upstream.id, now);
        view.failureShare = health_.failureShare(upstream.id, now);
        view.slowness = health_.slowness(upstream.id);
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
    if (suspects_.isSuspect(input.fingerprint, now))
        return refusal(ErrorKind::CrashSuspect, "crashed upstreams before");
    const auto usable = usableUpstreams(permit, input.tried, now);
    const auto isModel = !input.prompt.empty();
    const auto context = sharedContext(input.prompt).hash;
    const auto holders = isModel ? contexts_.upstreamsOf(context, now) : std::vector<UpstreamId>();
    const auto usedLast = holders.empty() ? std::nullopt : std::optional(holders.front());
    const auto *upstream = isModel ? chooseEngine(context, usedLast, usable, bound_)
                                   : chooseService(usable, options_.dataCenter, draw());
    if (upstream == nullptr && restLeft(permit.serviceName, now) > Duration(0))
        return Failure{ErrorKind::Overloaded, Run::NotRun, "all upstreams asked for rest",
                       overloadRetryAfter(permit, now)};
    if (upstream == nullptr)
        return refusal(ErrorKind::NoUpstream, "no upstream of the service is known");
    Choice choice;
    choice.upstream = *upstream;
    choice.load = loads_.fleetLoad(upstream->id, now);
    const auto decision =
        admission_.decide(admissionRequestOf(permit), {choice.load, upstream->slots});
    choice.expectedWait = decision.expectedWait;
    if (!decision.admitted && input.tried.empty())
        return Failure{ErrorKind::Overloaded, Run::NotRun, overloadText(choice, decision),
                       overloadRetryAfter(permit, now)};
    choice.usable = static_cast<std::uint32_t>(usable.size());
    choice.holdsContext = std::find(holders.begin(), holders.end(), upstream->id) != holders.end();
    const auto mayFetch = permit.service != nullptr && permit.service->sharesContexts;
    if (mayFetch && isModel && !choice.holdsContext)
        choice.fetchFrom = fetchSource(context, upstream->id, usable, now);
    return choice;
}

auto Dispatcher::fetchSource(std::uint64_t context, UpstreamId chosen,
                             const std::vector<UpstreamView> &usable, Instant now) const
    -> std::optional<Address>
{
    auto sources = contexts_.upstreamsOf(context, now);
    // After all routers restarted, none knows where the context is held; most likely it is at its
    // other candidate.
    if (sources.empty())
        sources = contextCandidates(context, usable);
    std::erase(sources, chosen);
    return reachableHolder(sources, now);
}

auto Dispatcher::reachableHolder(const std::vector<UpstreamId> &holders, Instant now) const
    -> std::optional<Address>
{
    for (const auto id : holders) {
        // A draining engine still serves the contexts that it holds.
        const auto *holder = findUpstream(id);
        const auto trusted = holder != nullptr && holder->state != UpstreamState::Doubtful
            && !health_.isPaused(id, now) && health_.failureShare(id, now) < trustedFailureShare;
        if (trusted)
            return holder->address;
    }
    return std::nullopt;
}

auto Dispatcher::hasUntriedUpstream(const Permit &permit, const RoutingInput &input,
                                    Instant now) const -> bool
{
    return !suspects_.isSuspect(input.fingerprint, now)
        && !usableUpstreams(permit, input.tried, now).empty();
}

auto Dispatcher::noteSent(UpstreamId upstream, const RoutingInput &input, Instant now) -> void
{
    loads_.noteSent(upstream);
    if (input.prompt.empty())
        return;
    const auto context = sharedContext(input.prompt);
    contexts_.noteSent({context.hash, upstream, context.tokens}, now);
}

auto Dispatcher::noteOutcome(UpstreamId upstream, Outcome outcome, Instant now) -> void
{
    health_.note(upstream, outcome, now);
}

auto Dispatcher::noteFirstEvent(UpstreamId upstream, Duration wait, Instant /*now*/) -> void
{
    health_.noteFirstEvent(upstream, wait);
}

auto Dispatcher::takeRetry(const Permit &permit, Instant now) -> bool
{
    return budget_.take(permit.serviceName, routers_, now);
}

auto Dispatcher::admissionRequestOf(const Permit &permit) -> AdmissionRequest
{
    const auto &route = *permit.route;
    return {permit.serviceName, permit.customer, permit.priority, route.priority, route.objective};
}

auto Dispatcher::overloadRetryAfter(const Permit &permit, Instant now) -> Duration
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return restLeft(permit.serviceName, now)
        + admission_.retryAfter(admissionRequestOf(permit), static_cast<double>(draw()) / range,
                                now);
}

auto Dispatcher::retryAfter() -> Duration
{
    return minRetryDelay + Duration(static_cast<Duration::rep>(draw() % retrySpread.count()));
}

} // namespace applehatch::direct
