#include "router-host.h"

#include "applehatch/core/token.h"
#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/logger.h"

#include <utility>

namespace applehatch::router {

namespace {

constexpr core::Duration tickInterval = std::chrono::milliseconds(50);
// What gave way is told this often, however many clients there are.
constexpr core::Duration crowdInterval = std::chrono::seconds(1);

auto identityOf(const settings::ProcessFile &file) -> core::RouterIdentity
{
    const auto seed = core::stableHash(file.name, telemetry::wallMicroseconds());
    return {file.name, file.dataCenter, seed};
}

// Returns a prefix unique to this incarnation of the router, so that request ids are unique in the
// fleet.
auto requestPrefix(const settings::ProcessFile &file) -> std::string
{
    return core::formatContext({core::stableHash(file.name), telemetry::wallMicroseconds()}) + '.';
}

} // namespace

RouterHost::RouterHost(RouterOptions options)
    : options_(std::move(options))
    , traffic_(metrics_)
    , requestPrefix_(requestPrefix(*options_.file))
    , node_([this](core::RouterAction &action) { act(action); }, identityOf(*options_.file),
            options_.placement)
    , loop_(linkHooks(), traffic_.linkHooks())
    , links_(loop_)
    , feed_(options_.file, addresses_, loop_, links_, feedHooks())
    , digests_(digestHooks())
    , admin_(metrics_, health(), adminSource())
{
    addMetrics();
}

// Stops the threads that call into members before any member is destroyed.
RouterHost::~RouterHost()
{
    server_.awaitQuiet(process::unreadQuiet, process::unreadLimit);
    waitForCallers();
    feed_.stop();
    loop_.stop();
}

auto RouterHost::start() -> std::error_code
{
    core::Address bound;
    if (const auto error = digests_.bind(options_.file->digest, bound))
        return error;
    if (const auto error = admin_.start(options_.file->admin, bound))
        return error;
    process::HttpServerOptions callers;
    callers.address = options_.file->callers;
    callers.threads = options_.callerThreads;
    callers.bodyMemory = options_.bodyMemory;
    callers.answerMemory = options_.answerMemory;
    const auto serve = [this](process::HttpExchange &exchange) { serveCaller(exchange); };
    if (const auto error = server_.start(callers, serve, bound))
        return error;
    feed_.start();
    // Runs on the loop's thread, so that timeouts are checked only after received data was read.
    loop_.every(tickInterval, [this] { node_.handle(core::Tick{}); });
    loop_.every(crowdInterval, [this] { noteGivenWay(); });
    return {};
}

auto RouterHost::noteGivenWay() -> void
{
    const auto gaveWay = server_.takeGivenWay();
    if (gaveWay.heads + gaveWay.bodies + gaveWay.refused + gaveWay.answers == 0)
        return;
    const auto count = [this](const char *kind, std::uint64_t number) {
        metrics_
            .counter({"applehatch_callers_gave_way_total", "Callers that gave way to others."},
                     {{"kind", kind}})
            .Increment(static_cast<double>(number));
    };
    count("head", gaveWay.heads);
    count("body", gaveWay.bodies);
    count("refused", gaveWay.refused);
    count("answer", gaveWay.answers);
    telemetry::writeLog(telemetry::LogLevel::Warning,
                        core::LogLine("callers-gave-way")
                            .add("heads", static_cast<std::int64_t>(gaveWay.heads))
                            .add("bodies", static_cast<std::int64_t>(gaveWay.bodies))
                            .add("refused", static_cast<std::int64_t>(gaveWay.refused))
                            .add("answers", static_cast<std::int64_t>(gaveWay.answers))
                            .text());
}

auto RouterHost::requestDrain() -> void
{
    node_.handle(core::DrainRequested{});
}

auto RouterHost::inFlight() const -> std::uint64_t
{
    return node_.read([](const core::RouterNode &node) { return node.counts().inFlight; });
}

// Called from any thread that performs the node's actions; no overload of `perform` may block.
auto RouterHost::act(core::RouterAction &action) -> void
{
    std::visit([this](auto &typedAction) { perform(typedAction); }, action);
}

auto RouterHost::perform(core::SendToSidecar &send) -> void
{
    if (const auto address = addresses_.sidecar(send.upstream))
        links_.send(*address, std::move(send.message));
}

auto RouterHost::perform(core::OpenLink &open) -> void
{
    const auto address = addresses_.sidecar(open.upstream);
    if (!address) {
        node_.handle(core::LinkDown{open.upstream});
        return;
    }
    // A link to this address may already exist from a pull of settings, opened before its upstream
    // was known. Its first heartbeat has already been handled, so the node would wait for `LinkUp`
    // until it gave up on the upstream.
    links_.drop(*address);
    links_.open(*address);
}

auto RouterHost::perform(core::DropLink &drop) -> void
{
    if (const auto address = addresses_.sidecar(drop.upstream))
        links_.drop(*address);
}

auto RouterHost::perform(core::SendDigest &digest) -> void
{
    if (const auto address = addresses_.digest(digest.upstream))
        digests_.send(*address, digest.digest);
}

auto RouterHost::perform(core::WriteLog &log) -> void
{
    telemetry::writeLog(telemetry::LogLevel::Info, log.line.text());
}

auto RouterHost::perform(core::Drained & /*drained*/) -> void
{
    drain_.done();
}

// Only queues the answer for its caller: this may run on the link loop's thread.
template <typename Answer>
auto RouterHost::perform(Answer &answer) -> void
{
    std::shared_ptr<CallerQueue> queue;
    {
        const std::lock_guard lock(callersMutex_);
        const auto found = callers_.find(answer.request);
        if (found != callers_.end())
            queue = found->second;
    }
    if (queue)
        queue->push(std::move(answer));
}

auto RouterHost::linkHooks() -> wire::LinkHooks
{
    wire::LinkHooks hooks;
    // A link is reported as up on its first heartbeat, which carries the sidecar's clock.
    hooks.onUp = [](wire::LinkId) {};
    hooks.onMessage = [this](wire::LinkId link, core::Message message) {
        onMessage(link, std::move(message));
    };
    hooks.onClosed = process::logClosedLink;
    hooks.onDown = [this](wire::LinkId link) {
        const auto peer = links_.removeLink(link);
        const auto upstream = peer ? addresses_.upstreamAt(*peer) : 0;
        if (upstream != 0)
            node_.handle(core::LinkDown{upstream});
    };
    return hooks;
}

auto RouterHost::onMessage(wire::LinkId link, core::Message message) -> void
{
    if (feed_.onMessage(link, message))
        return;
    const auto peer = links_.peerOf(link);
    const auto upstream = peer ? addresses_.upstreamAt(*peer) : 0;
    if (upstream == 0)
        return;
    const auto *heartbeat = std::get_if<core::Heartbeat>(&message);
    if (heartbeat != nullptr && onHeartbeat(link, upstream, *heartbeat))
        return;
    node_.handle(core::FromSidecar{upstream, std::move(message)});
}

auto RouterHost::onHeartbeat(wire::LinkId link, core::UpstreamId upstream,
                             const core::Heartbeat &heartbeat) -> bool
{
    if (!links_.firstHeartbeat(link))
        return false;
    node_.handle(core::LinkUp{upstream, heartbeat.incarnation, heartbeat.clock});
    return true;
}

auto RouterHost::digestHooks() -> wire::DigestHooks
{
    wire::DigestHooks hooks;
    traffic_.addTo(hooks);
    hooks.onDigest = [this](core::Digest digest, const core::Address & /*from*/) {
        feed_.onIndexAdvertised(digest.settingsIndex);
        node_.handle(core::DigestReceived{std::move(digest)});
    };
    return hooks;
}

auto RouterHost::feedHooks() -> process::SettingsFeedHooks
{
    return {
        [this](core::SettingsPtr settings) {
            node_.handle(core::SettingsInForce{std::move(settings)});
        },
        [this](const core::HostList &list) { node_.handle(core::HostListRead{list}); },
        [this](core::UpstreamId upstream) {
            return node_.read(
                [upstream](const core::RouterNode &node) { return node.dependsOn(upstream); });
        },
    };
}

auto RouterHost::health() -> process::Health
{
    return {
        [this] { return node_.read([](const core::RouterNode &node) { return node.ready(); }); },
        [this] { return node_.read([](const core::RouterNode &node) { return node.draining(); }); },
    };
}

} // namespace applehatch::router
