#include "applehatch/gateway/gateway-host.h"

#include "gateway-log.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/last-words.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace applehatch::gateway {

using boost::system::error_code;
using core::LogLine;
using telemetry::LogLevel;
using telemetry::steadyNow;

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);
// A restarted process receives requests at once, and its configuration some 30 ms later. Requests
// wait for it rather than being refused; after this time the registry is considered unreachable and
// they are refused.
constexpr Duration maxConfigurationWait = std::chrono::milliseconds(250);
// A new connection that waited this long is closed unread; callers give up on one within a second.
constexpr Duration maxUnreadTime = std::chrono::milliseconds(250);
// A tick this late means that the event loop was stalled and every caller waited. It is logged,
// since nothing else in the log would explain the late answers.
constexpr Duration stallThreshold = std::chrono::milliseconds(200);
// The heap is trimmed when messages take this share of the process's memory less than before.
constexpr std::size_t trimShare = 16;
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int unavailable = 503;

// Of the memory that the process may use, a quarter each may hold bodies of requests and buffered
// answers. The rest is for streams, for what is known, and for buffers while they grow.
constexpr auto messageBytes(std::size_t maxMemory) -> std::size_t
{
    return maxMemory / 4;
}

auto answerText(const CallerPtr &caller, int status, std::string_view type, std::string_view body)
    -> void
{
    ResponseHead head;
    head.status = status;
    head.headers.add("Content-Type", type);
    caller->answer(std::move(head), body);
}

} // namespace

GatewayHost::GatewayHost(boost::asio::io_context &loop, GatewaySettings settings,
                         Vocabulary vocabulary, RegistryDecoder decoder)
    : loop_(loop)
    , settings_(std::move(settings))
    , vocabulary_(std::move(vocabulary))
    , decoder_(std::move(decoder))
    , dispatcher_({settings_.dataCenter,
                   core::stableHash(settings_.name, telemetry::wallMicroseconds()),
                   PeerTable::rankOf(settings_.peers)},
                  settings_.retries, steadyNow())
    , replica_(vocabulary_.isLeased)
    , readers_(PeerTable::rankOf(settings_.peers), steadyNow())
    , requests_(loop, messageBytes(settings_.maxMemory))
    , answers_(messageBytes(settings_.maxMemory))
    , pool_(loop)
    , mesh_(loop, pool_, settings_.peers,
            {[this](PeerDigest &digest) { fillDigest(digest); },
             [this](const PeerDigest &digest) { onPeerDigest(digest); },
             [this](const direct::RegistryDelta &delta) { onPeerDelta(delta); },
             [this](const std::string &event, const std::string &peer) {
                 metrics_.noteEvent(event);
                 log(LogLine(event).add("peer", peer));
             }})
    , tick_(loop.get_executor())
    , history_(loop)
    , confirmer_(loop, pool_,
                 static_cast<std::uint32_t>(
                     core::stableHash(settings_.name, telemetry::wallMicroseconds())),
                 confirmerHooks())
    , outboxTimer_(loop.get_executor())
    , closing_(loop.get_executor())
{
    dispatcher_.setLoadBound(settings_.loadBound);
    dispatcher_.setColdTolerance(settings_.coldTolerance);
    dispatcher_.setPolicies(settings_.policies);
    mesh_.setSeeds(settings_.seeds);
    exchangeEnvironment_.loop = &loop_;
    exchangeEnvironment_.dispatcher = &dispatcher_;
    exchangeEnvironment_.pool = &pool_;
    exchangeEnvironment_.vocabulary = &vocabulary_;
    exchangeEnvironment_.note = [this](const std::string &id, const std::string &event,
                                       const std::string &why) {
        metrics_.noteEvent(event);
        log(LogLine(event).add("request", id).add("why", why));
    };
    exchangeEnvironment_.ended = [this](const Exchange &exchange, const ExchangeReport &report) {
        exchangeEnded(exchange, report);
    };
    exchangeEnvironment_.tellStream = [this](const direct::StreamReport &report) {
        tellKeepers(report);
    };
    exchangeEnvironment_.sendNotes = [this] { sendNotes(); };
    exchangeEnvironment_.askKeepers = [this](direct::StreamKey stream, auto done) {
        askKeepers(stream, std::move(done));
    };
    exchangeEnvironment_.learnHistory = [this](auto done) { history_.learn(std::move(done)); };
    exchangeEnvironment_.confirmVersions = [this](auto done) {
        confirmer_.confirm(std::move(done));
    };
    exchangeEnvironment_.registryAge = [this] {
        return "registry heard " + std::to_string(sinceAnswerMs(steadyNow())) + " ms ago, revision "
            + std::to_string(replica_.revision());
    };
    exchangeEnvironment_.crashCounted = [this](const direct::CrashReport &report) {
        tellKeepers(report);
    };
    exchangeEnvironment_.partsNoted = [this](const std::vector<direct::PartReport> &reports) {
        for (const auto &report : reports)
            tellKeepers(report);
        if (!reports.empty())
            logPartChanges("this gateway");
    };
    dispatcher_.setGivesLeave([this](direct::PartKey part) { return isFirstKeeper(part); });
    exchangeEnvironment_.answers = &answers_;
    exchangeEnvironment_.patience = &patience_;
    exchangeEnvironment_.forecast = &forecast_;
    exchangeEnvironment_.stopView = [this] { return stopView(steadyNow()); };
    metrics_.setGauges(
        {[this] { return static_cast<double>(exchanges_.size()); },
         [this] { return callers_ == nullptr ? 0 : static_cast<double>(callers_->connections()); },
         [this] { return static_cast<double>(pool_.opened()); },
         [this] { return static_cast<double>(dispatcher_.upstreams().size()); },
         [this] {
             const auto &configuration = dispatcher_.configuration();
             return configuration ? static_cast<double>(configuration->version) : 0;
         },
         [this] { return static_cast<double>(replica_.revision()); },
         [this] { return static_cast<double>(mesh_.table().alive(steadyNow()).size()); },
         [this] {
             const auto now = steadyNow();
             return std::chrono::duration<double>(now - behindSince_.value_or(now)).count();
         },
         [this] { return static_cast<double>(requests_.budget().kept() + answers_.kept()); }});
}

GatewayHost::~GatewayHost()
{
    if (crashMemoryFetch_)
        crashMemoryFetch_->cancel();
    for (const auto &each : queries_) {
        if (const auto query = each.lock())
            query->cancel();
    }
}

auto GatewayHost::start() -> error_code
{
    const auto limits = [this] { return callerLimits(); };
    const auto listen = [&](const Address &address, auto request,
                            std::optional<Duration> maxWait = std::nullopt) {
        listeners_.emplace_back(
            loop_, CallerHooks{std::move(request), limits, &requests_, &answers_}, maxWait);
        const auto error = listeners_.back().open(address);
        if (error)
            log(LogLine("listen-failed")
                    .add("address", address.ip + ':' + std::to_string(address.port))
                    .add("why", error.message()),
                LogLevel::Error);
        return error;
    };
    auto error = listen(
        settings_.callers,
        [this](const CallerPtr &caller, RequestMessage request) {
            takeRequest(caller, std::move(request));
        },
        maxUnreadTime);
    if (error)
        return error;
    callers_ = &listeners_.back();
    error = listen(settings_.readiness, [this](const CallerPtr &caller, const RequestMessage &) {
        answerReadiness(caller);
    });
    if (error)
        return error;
    error = listen(settings_.peers, [this](const CallerPtr &caller, const RequestMessage &request) {
        answerPeer(caller, request);
    });
    if (error)
        return error;
    if (settings_.metrics.port != 0) {
        // Metrics are optional: requests are served without them, and the failure is logged.
        static_cast<void>(
            listen(settings_.metrics, [this](const CallerPtr &caller, const RequestMessage &) {
                answerMetrics(caller);
            }));
    }
    limitConnections();
    mesh_.start();
    tick();
    log(LogLine("started").add("name", settings_.name).add("dataCenter", settings_.dataCenter));
    return {};
}

auto GatewayHost::reload(const GatewaySettings &settings) -> void
{
    settings_.seeds = settings.seeds;
    settings_.retries = settings.retries;
    settings_.stopTimeout = settings.stopTimeout;
    settings_.maxPropagationTime = settings.maxPropagationTime;
    settings_.maxMemory = settings.maxMemory;
    settings_.maxSockets = settings.maxSockets;
    requests_.budget().setLimit(messageBytes(settings_.maxMemory));
    answers_.setLimit(messageBytes(settings_.maxMemory));
    settings_.loadBound = settings.loadBound;
    settings_.coldTolerance = settings.coldTolerance;
    dispatcher_.setColdTolerance(settings_.coldTolerance);
    mesh_.setSeeds(settings_.seeds);
    dispatcher_.setRetryLimits(settings_.retries);
    dispatcher_.setLoadBound(settings_.loadBound);
    log(LogLine("reloaded").add("name", settings_.name));
}

auto GatewayHost::isReady() const -> bool
{
    return dispatcher_.ready() && !stopRequestedAt_;
}

auto GatewayHost::callerLimits() const -> direct::CallerLimits
{
    const auto &configuration = dispatcher_.configuration();
    return configuration ? configuration->limits : direct::CallerLimits{};
}

auto GatewayHost::takeRequest(const CallerPtr &caller, RequestMessage request) -> void
{
    if (dispatcher_.ready())
        return startExchange(caller, std::move(request));
    early_.push_back({caller, std::move(request), steadyNow() + maxConfigurationWait});
}

auto GatewayHost::startExchange(const CallerPtr &caller, RequestMessage request) -> void
{
    if (!mayBegin()) {
        ++unbegun_;
        return answerText(caller, unavailable, "text/plain", "");
    }
    const auto exchange =
        std::make_shared<Exchange>(exchangeEnvironment_, caller, std::move(request));
    exchanges_.emplace(exchange.get(), exchange);
    telemetry::noteRequestsInFlight(exchanges_.size());
    exchange->run();
}

auto GatewayHost::releaseEarly(Instant now) -> void
{
    while (!early_.empty() && (dispatcher_.ready() || early_.front().until <= now)) {
        auto first = std::move(early_.front());
        early_.pop_front();
        if (first.caller->isAwaitingAnswer())
            startExchange(first.caller, std::move(first.request));
    }
}

auto GatewayHost::exchangeEnded(const Exchange &exchange, const ExchangeReport &report) -> void
{
    exchanges_.erase(&exchange);
    telemetry::noteRequestsInFlight(exchanges_.size());
    metrics_.note(report);
    LogLine line("request");
    line.add("request", report.requestId)
        .add("outcome", report.outcome)
        .add("status", report.status)
        .add("why", report.reason)
        .add("route", report.route)
        .add("service", report.service)
        .add("customer", report.customer)
        .add("upstream", report.upstream)
        .add("sent", report.sent)
        .add("load", report.upstreamLoad)
        .add("usable", report.usable)
        .add("context", core::hexText(report.context))
        .add("contextTokens", report.contextTokens)
        .add("unreadTokens", report.unreadTokens)
        .add("heldContext", report.heldContext ? 1 : 0)
        .add("fetchedFrom", report.fetchedFrom)
        .add("resumed", report.resumed ? 1 : 0)
        .add("version", report.version)
        .add("takesUp", report.takesUp)
        .add("config", static_cast<std::int64_t>(report.configurationVersion))
        .add("sinceFirstSentMs", core::millisecondsOf(report.sinceFirstSent))
        .add("tookMs", core::millisecondsOf(report.duration));
    if (report.firstByte)
        line.add("firstByteMs", core::millisecondsOf(*report.firstByte));
    log(line);
}

auto GatewayHost::answerReadiness(const CallerPtr &caller) const -> void
{
    answerText(caller, isReady() ? ok : unavailable, "text/plain",
               isReady() ? "ready\n" : "not ready\n");
}

auto GatewayHost::answerMetrics(const CallerPtr &caller) -> void
{
    answerText(caller, ok, "text/plain; version=0.0.4", metrics_.scrape());
}

auto GatewayHost::answerPeer(const CallerPtr &caller, const RequestMessage &request) -> void
{
    const std::string_view target = request.target;
    if (target == crashMemoryPath)
        return answerText(caller, ok, "application/octet-stream",
                          encodeCrashMemory(dispatcher_.crashMemory(steadyNow())));
    if (target.starts_with(streamPath))
        return answerText(caller, ok, "application/octet-stream",
                          streamAnswer(target.substr(streamPath.size())));
    std::uint64_t peerRevision = 0;
    const auto *end = target.data() + target.size();
    const auto isDeltaRequest = target.starts_with(deltaPath)
        && std::from_chars(target.data() + deltaPath.size(), end, peerRevision).ptr == end;
    if (!isDeltaRequest)
        return answerText(caller, notFound, "text/plain", "");
    answerText(caller, ok, "application/octet-stream", deltaSince(peerRevision));
}

auto GatewayHost::fillDigest(PeerDigest &digest) -> void
{
    const auto now = steadyNow();
    digest.revision = replica_.revision();
    digest.leaving = stopRequestedAt_.has_value();
    const auto &tracker = mesh_.readerTracker();
    const auto own = isActiveReader() ? tracker.ownStatus(digest.revision, now) : std::nullopt;
    digest.readers = tracker.reportedStatuses(own, now);
    if (digest.brief)
        return;
    digest.loads = dispatcher_.loads().ownLoads();
    if (dispatcher_.policies().weighsPrompts) {
        for (auto &load : digest.loads)
            load.unreadTokens = dispatcher_.backlog().ownTokens(load.upstream);
    }
    digest.crashes = dispatcher_.suspects().nextReports(now);
    digest.parts = dispatcher_.parts().nextReports(now);
    digest.mixedServices = dispatcher_.streams().mixedReports(now);
    digest.versionsAge = dispatcher_.streams().ownKnowledge(now);
    digest.crashMemoryAge = dispatcher_.suspects().memoryAge(now);
    // A peer receives a digest only once per round, so the uses of a whole round are included.
    digest.contexts = dispatcher_.contexts().recentUses(
        now, mesh_.table().roundDuration(now) + PeerMesh::digestInterval);
}

auto GatewayHost::tick() -> void
{
    const auto now = steadyNow();
    const auto wasStalled = noteStall(now);
    if (replica_.expire(now))
        applyRegistry();
    dispatcher_.loads().setPeerLifetime(mesh_.table().currentAliveTimeout(now));
    dispatcher_.loads().expire(now);
    dispatcher_.backlog().expire(mesh_.table().currentAliveTimeout(now), now);
    dispatcher_.contexts().expire(now);
    dispatcher_.streams().expire(now);
    forecast_.expire(now);
    dispatcher_.setRouters(mesh_.table().routers(now));
    dispatcher_.setFleet(fleetView(now));
    logPartChanges("time");
    pool_.expire(now);
    // After a stall the peers' digests are still unread, so becoming a reader is decided at the
    // next tick. Ceasing to be a reader is decided at once, as reading may be the cause of the
    // stall.
    if (!wasStalled || readers_.reads())
        updateReaderRole(now);
    catchUp(now);
    releaseEarly(now);
    for (auto &listener : listeners_)
        listener.sweep();
    closeNotReading(now);
    noteClosedUnread();
    noteGivenWay();
    noteMemory(requestsState_, requests_.budget(), requests_.takeGivenWay());
    noteMemory(answersState_, answers_, 0);
    heap_.note(requests_.budget().kept() + answers_.kept(), settings_.maxMemory / trimShare);
    if (stopRequestedAt_)
        continueStop(now);
    tickDueAt_ = steadyNow() + tickInterval;
    tick_.start(tickInterval, [this] { tick(); });
}

auto GatewayHost::fleetView(Instant now) const -> direct::FleetView
{
    const auto &table = mesh_.table();
    direct::FleetView fleet{table.others(now), table.isComplete(now), 1};
    // Deployments run at most about as many routers as upstreams.
    fleet.assumedRouters = std::max(table.routers(now), dispatcher_.upstreams().size());
    return fleet;
}

auto GatewayHost::noteStall(Instant now) -> bool
{
    const auto late = now - tickDueAt_.value_or(now);
    metrics_.noteLoopDelay(late);
    if (late < stallThreshold)
        return false;
    metrics_.noteEvent("held-up");
    log(LogLine("held-up").add("lateMs", core::millisecondsOf(late)), LogLevel::Warning);
    return true;
}

auto GatewayHost::noteClosedUnread() -> void
{
    const auto closed = callers_->takeClosedUnread();
    if (closed == 0)
        return;
    metrics_.noteEvent("closed-unread", closed);
    log(LogLine("closed-unread").add("connections", static_cast<std::int64_t>(closed)),
        LogLevel::Warning);
}

auto GatewayHost::noteMemory(MemoryState &state, ByteBudget &budget, std::size_t gaveWay) -> void
{
    const auto refused = budget.takeRefused();
    if (refused > 0)
        metrics_.noteEvent("body-refused", refused);
    if (gaveWay > 0)
        metrics_.noteEvent("request-gave-way", gaveWay);
    const auto isShort = !budget.hasRoom();
    if (refused == 0 && gaveWay == 0 && state.isShort == isShort)
        return;
    state.isShort = isShort;
    log(LogLine(isShort ? "memory-short" : "memory-regained")
            .add("messages", state.messages)
            .add("bytes", static_cast<std::int64_t>(budget.kept()))
            .add("limit", static_cast<std::int64_t>(budget.limit()))
            .add("refused", static_cast<std::int64_t>(refused))
            .add("gaveWay", static_cast<std::int64_t>(gaveWay)),
        LogLevel::Warning);
}

} // namespace applehatch::gateway
