#include "sidecar-host.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/logger.h"

#include <utility>

namespace applehatch::sidecar {

namespace {

constexpr core::Duration tickInterval = std::chrono::milliseconds(50);
constexpr core::Duration statePeriod = std::chrono::milliseconds(500);
constexpr core::Duration cachePeriod = std::chrono::milliseconds(500);

// Streams pause for less than this between two bytes. The client allows four times as much before
// the first byte, for long prompts.
constexpr core::Duration upstreamIdleTimeout = std::chrono::seconds(5);

// Maximum number of concurrent blocking calls for orders, context handoffs and cancelled runs;
// further calls are queued.
constexpr std::size_t maxWorkers = 64;

auto identityOf(const settings::ProcessFile &file) -> core::SidecarIdentity
{
    core::SidecarIdentity identity;
    identity.team = file.team;
    identity.pool = file.pool;
    identity.member = file.member;
    identity.dataCenter = file.dataCenter;
    identity.incarnation = telemetry::wallMicroseconds();
    identity.seed = core::stableHash(file.name, identity.incarnation);
    return identity;
}

} // namespace

SidecarHost::SidecarHost(std::shared_ptr<const settings::ProcessFile> file)
    : file_(std::move(file))
    , traffic_(metrics_)
    , upstream_(file_->upstream)
    , node_([this](core::SidecarAction &action) { act(action); }, identityOf(*file_))
    , loop_(linkHooks(), traffic_.linkHooks())
    , links_(loop_)
    , feed_(file_, addresses_, loop_, links_, feedHooks())
    , workers_(maxWorkers)
    , runs_(loop_, file_->upstream, upstreamIdleTimeout,
            [this](core::SidecarEvent event) { node_.handle(std::move(event)); })
    , digests_(digestHooks())
    , admin_(metrics_, health(), adminSource())
{
    addMetrics();
}

// Stops the threads that call into members before any member is destroyed.
SidecarHost::~SidecarHost()
{
    // The node refuses what is read now. Unread, it would leave routers unable to tell whether it
    // ran.
    loop_.awaitQuiet(process::unreadQuiet, process::unreadLimit);
    feed_.stop();
    cachePolls_.reset();
    statePolls_.reset();
    workers_.stop();
    runs_.stop();
    loop_.stop();
}

auto SidecarHost::start() -> std::error_code
{
    core::Address bound;
    if (const auto error = loop_.listen(file_->links, bound))
        return error;
    if (const auto error = digests_.bind(file_->digest, bound))
        return error;
    if (const auto error = admin_.start(file_->admin, bound))
        return error;
    feed_.start();
    // Runs on the loop's thread, so that timeouts are checked only after received data was read.
    loop_.every(tickInterval, [this] { node_.handle(core::Tick{}); });
    using process::Periodic;
    statePolls_ = std::make_unique<Periodic>(statePeriod, [this] { pollState(); });
    cachePolls_ = std::make_unique<Periodic>(cachePeriod, [this] { pollCacheEvents(); });
    return {};
}

auto SidecarHost::requestDrain() -> void
{
    node_.handle(core::DrainRequested{});
}

auto SidecarHost::inFlight() const -> std::uint64_t
{
    return node_.read([](const core::SidecarNode &node) {
        const auto counts = node.counts();
        return counts.running + counts.waiting;
    });
}

// Called from any thread that performs the node's actions; no overload of `perform` may block.
auto SidecarHost::act(core::SidecarAction &action) -> void
{
    std::visit([this](auto &typedAction) { perform(typedAction); }, action);
}

auto SidecarHost::perform(core::SendToPeer &send) -> void
{
    loop_.send(send.link, std::move(send.message));
}

auto SidecarHost::perform(core::ClosePeer &close) -> void
{
    loop_.close(close.link);
}

auto SidecarHost::perform(core::SendToUpstreamPeer &send) -> void
{
    if (const auto address = addresses_.sidecar(send.upstream))
        links_.send(*address, std::move(send.message));
}

auto SidecarHost::perform(core::StartRun &start) -> void
{
    runs_.start(std::move(start));
}

auto SidecarHost::perform(core::CancelRun &cancel) -> void
{
    // Without this call the engine would continue to compute an answer that nobody reads. An error
    // only wastes engine time, so it is ignored.
    runs_.cancel(cancel.run, [this](core::RequestId request) {
        workers_.run([this, captured = std::move(request)] { (void)upstream_.cancel(captured); });
    });
}

auto SidecarHost::perform(core::GiveOrder &order) -> void
{
    workers_.run([this, captured = std::move(order)] { node_.handle(upstream_.order(captured)); });
}

auto SidecarHost::perform(core::HandOff &handOff) -> void
{
    const auto address = addresses_.upstream(handOff.to);
    workers_.run([this, captured = handOff, address] {
        const auto done = address && !upstream_.handOff(captured.chat, *address);
        node_.handle(core::HandoffDone{captured.chat, captured.to, done});
    });
}

auto SidecarHost::perform(core::SendDigest &digest) -> void
{
    if (const auto address = addresses_.digest(digest.upstream))
        digests_.send(*address, digest.digest);
}

auto SidecarHost::perform(core::WriteLog &log) -> void
{
    telemetry::writeLog(telemetry::LogLevel::Info, log.line.text());
}

auto SidecarHost::perform(core::Drained & /*drained*/) -> void
{
    drain_.done();
}

auto SidecarHost::linkHooks() -> wire::LinkHooks
{
    wire::LinkHooks hooks;
    // The node tracks incoming links only. Outgoing links carry just its messages to other
    // sidecars, and settings.
    hooks.onUp = [this](wire::LinkId link) {
        if (!links_.peerOf(link))
            node_.handle(core::PeerLinkUp{link});
    };
    hooks.onMessage = [this](wire::LinkId link, core::Message message) {
        onMessage(link, std::move(message));
    };
    hooks.onResponded = [this](wire::LinkId link) {
        if (!links_.peerOf(link))
            node_.handle(core::PeerResponded{link});
    };
    hooks.onClosed = process::logClosedLink;
    hooks.onDown = [this](wire::LinkId link) {
        if (!links_.removeLink(link))
            node_.handle(core::PeerLinkDown{link});
    };
    return hooks;
}

auto SidecarHost::onMessage(wire::LinkId link, core::Message message) -> void
{
    if (!feed_.onMessage(link, message) && !links_.peerOf(link))
        node_.handle(core::FromPeer{link, std::move(message)});
}

auto SidecarHost::digestHooks() -> wire::DigestHooks
{
    wire::DigestHooks hooks;
    traffic_.addTo(hooks);
    hooks.onDigest = [this](core::Digest digest, const core::Address &from) {
        onDigest(std::move(digest), from);
    };
    return hooks;
}

// A digest addressed to upstream 0 is a reply to the sender, which may be a router that is not in
// the settings.
auto SidecarHost::onDigest(core::Digest digest, const core::Address &from) -> void
{
    feed_.onIndexAdvertised(digest.settingsIndex);
    std::optional<core::Digest> answer;
    node_.handle(core::DigestReceived{std::move(digest)}, [&answer](core::SidecarAction &action) {
        auto *send = std::get_if<core::SendDigest>(&action);
        if (send == nullptr || send->upstream != 0)
            return false;
        answer = std::move(send->digest);
        return true;
    });
    if (answer)
        digests_.send(from, *answer);
}

auto SidecarHost::feedHooks() -> process::SettingsFeedHooks
{
    return {
        [this](core::SettingsPtr settings) { onSettings(std::move(settings)); },
        [this](const core::HostList &list) { node_.handle(core::HostListRead{list}); },
    };
}

auto SidecarHost::onSettings(core::SettingsPtr settings) -> void
{
    const auto team = settings->teams.find(file_->team);
    if (team != settings->teams.end()) {
        const auto pool = team->second->pools.find(file_->pool);
        isEngine_ =
            pool != team->second->pools.end() && pool->second.kind == settings::PoolKind::Model;
    }
    node_.handle(core::SettingsInForce{std::move(settings)});
}

auto SidecarHost::pollState() -> void
{
    node_.handle(upstream_.state(statePeriod));
}

auto SidecarHost::pollCacheEvents() -> void
{
    if (!isEngine_)
        return;
    auto events = upstream_.cacheEvents(cacheSequence_);
    if (events.gap || !events.stored.empty() || !events.evicted.empty())
        node_.handle(std::move(events));
}

auto SidecarHost::health() -> process::Health
{
    using core::UpstreamState;
    return {
        // Not ready without settings, as the node refuses every request until it has them.
        [this] {
            return node_.read([](const core::SidecarNode &node) {
                return node.state() == UpstreamState::Serving && node.settings() != nullptr;
            });
        },
        [this] {
            return node_.read([](const core::SidecarNode &node) {
                return node.state() == UpstreamState::Leaving;
            });
        },
    };
}

} // namespace applehatch::sidecar
