#include "applehatch/direct/dispatcher.h"

#include <algorithm>
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

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options, RetryLimits retryLimits, Instant startedAt)
    : options_(std::move(options))
    , randomState_(options_.seed)
    , suspects_(startedAt)
    , budget_(retryLimits, startedAt)
    , cold_(options_.router, startedAt)
{ }

auto Dispatcher::setConfiguration(ConfigurationPtr configuration) -> bool
{
    if (configuration_ != nullptr && configuration->version <= configuration_->version)
        return false;
    configuration_ = std::move(configuration);
    admission_.noteConfiguration();
    return true;
}

auto Dispatcher::setUpstreams(UpstreamList upstreams, Instant now) -> std::vector<TurnedCold>
{
    const auto before = std::exchange(upstreams_, std::move(upstreams));
    const auto indexBefore = std::exchange(indexById_, {});
    indexesByService_.clear();
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        indexesByService_[upstreams_[i].service].push_back(i);
        indexById_[upstreams_[i].id] = i;
    }
    for (const auto &upstream : before) {
        if (indexById_.contains(upstream.id))
            continue;
        health_.forget(upstream.id);
        loads_.forget(upstream.id);
        paces_.forget(upstream.id);
        backlog_.forget(upstream.id);
        cold_.forget(upstream.id);
    }
    std::vector<TurnedCold> turnedCold;
    for (const auto &upstream : upstreams_) {
        const auto known = indexBefore.find(upstream.id);
        const auto justRegistered = known == indexBefore.end() && !before.empty();
        const auto isNews = known == indexBefore.end()
            || before[known->second].entryRevision < upstream.entryRevision;
        if (!isNews)
            continue;
        if (auto turned =
                cold_.noteEntry(upstream, findService(upstream.service), justRegistered, now))
            turnedCold.push_back(std::move(*turned));
    }
    return turnedCold;
}

auto Dispatcher::setEvacuated(DataCenters evacuated, Instant now) -> std::vector<TurnedCold>
{
    const auto before = std::exchange(evacuated_, std::move(evacuated));
    std::vector<TurnedCold> turnedCold;
    for (const auto &upstream : upstreams_) {
        const auto isTakenBack = before.contains(upstream.dataCenter) && !isEvacuated(upstream);
        if (!isTakenBack)
            continue;
        if (auto turned = cold_.noteTakenBack(upstream, findService(upstream.service), now))
            turnedCold.push_back(std::move(*turned));
    }
    return turnedCold;
}

auto Dispatcher::findService(const std::string &name) const -> const Service *
{
    if (configuration_ == nullptr)
        return nullptr;
    const auto found = configuration_->services.find(name);
    return found == configuration_->services.end() ? nullptr : &found->second;
}

auto Dispatcher::isEvacuated(const Upstream &upstream) const -> bool
{
    return evacuated_.contains(upstream.dataCenter);
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
    return !isLeaving(upstream, now) && !isEvacuated(upstream) && availableAt(upstream, now) <= now;
}

auto Dispatcher::isLeaving(const Upstream &upstream, Instant now) const -> bool
{
    return upstream.state == UpstreamState::Leaving || announcements_.isLeaving(upstream.id, now);
}

auto Dispatcher::availableAt(const Upstream &upstream, Instant now) const -> Instant
{
    const auto restEnd = announcements_.restEnd(upstream.id, now).value_or(now);
    return std::max(restEnd, cold_.nextAt(upstream.id, findService(upstream.service), now));
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

auto Dispatcher::keepService(Permit &permit, const std::string &service) const -> bool
{
    if (permit.serviceName == service)
        return true;
    const auto &targets = permit.route->targets;
    const auto isTarget =
        std::any_of(targets.begin(), targets.end(),
                    [&](const RouteTarget &target) { return target.service == service; });
    if (!isTarget)
        return false;
    const auto known = permit.configuration->services.find(service);
    permit.serviceName = service;
    permit.service = known == permit.configuration->services.end() ? nullptr : &known->second;
    return true;
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

auto Dispatcher::hasUntriedUpstream(const Permit &permit, const RoutingInput &input, Instant now)
    -> bool
{
    return !partRefusal(input, now) && !isSuspect(input, now)
        && !usableUpstreams(permit, input, now).empty();
}

auto Dispatcher::noteSent(UpstreamId upstream, const RoutingInput &input, Instant now) -> void
{
    loads_.noteSent(upstream);
    ++running_[input.fingerprint];
    cold_.noteSent(upstream, now);
    for (const auto part : input.parts) {
        if (parts_.refuses(part, input.parts, now))
            parts_.noteLeave(part, now);
    }
    if (input.prompt.empty())
        return;
    const auto context = sharedContext(input.prompt);
    contexts_.noteSent({context.hash, upstream, context.tokens}, now);
}

auto Dispatcher::noteDone(UpstreamId upstream, const RoutingInput &input) -> void
{
    loads_.noteDone(upstream);
    const auto running = running_.find(input.fingerprint);
    if (running != running_.end() && --running->second == 0)
        running_.erase(running);
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

auto Dispatcher::admissionRequestOf(const Permit &permit, Duration sinceFirstSent) const
    -> AdmissionRequest
{
    auto request = admissionRequestOf(permit);
    request.byTimeLeft = admitsByTimeLeft(permit);
    request.sinceFirstSent = sinceFirstSent;
    return request;
}

auto Dispatcher::retryAfter() -> Duration
{
    return minRetryDelay + Duration(static_cast<Duration::rep>(draw() % retrySpread.count()));
}

} // namespace applehatch::direct
