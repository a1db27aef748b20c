#include "sidecar-host.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/logger.h"

#include <utility>

namespace applehatch::sidecar {

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(50);
constexpr core::Duration statePeriod = std::chrono::milliseconds(500);
constexpr core::Duration cachePeriod = std::chrono::milliseconds(500);

// Streams pause for less than this between two bytes; the client allows four times as much before
// the first of a long prompt.
constexpr core::Duration upstreamSilence = std::chrono::seconds(5);

// For orders, handed-off contexts and stopped runs; more of them wait.
constexpr std::size_t mostWorkers = 64;

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
    , workers_(mostWorkers)
    , runs_(loop_, file_->upstream, upstreamSilence,
            [this](core::SidecarEvent event) { node_.handle(std::move(event)); })
    , digests_(digestHooks())
    , admin_(metrics_, health(), adminSource())
{
    addMetrics();
}

// Threads that call into members end before any member does.
SidecarHost::~SidecarHost()
{
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
    // On the loop's thread, so that silence is judged only after what has arrived was read.
    loop_.every(tickPeriod, [this] { node_.handle(core::Tick{}); });
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

// Called by whichever thread acts; none of these may block.
auto SidecarHost::act(core::SidecarAction &action) -> void
{
    std::visit([this](auto &held) { carry(held); }, action);
}

auto SidecarHost::carry(core::SendToPeer &send) -> void
{
    loop_.send(send.link, std::move(send.message));
}

auto SidecarHost::carry(core::ClosePeer &close) -> void
{
    loop_.close(close.link);
}

auto SidecarHost::carry(core::SendToUpstreamPeer &send) -> void
{
    if (const auto address = addresses_.sidecar(send.upstream))
        links_.send(*address, std::move(send.message));
}

auto SidecarHost::carry(core::StartRun &start) -> void
{
    runs_.start(std::move(start));
}

auto SidecarHost::carry(core::CancelRun &cancel) -> void
{
    // The engine would go on computing for nobody; an error here costs only its time.
    runs_.cancel(cancel.run, [this](core::RequestId request) {
        workers_.run([this, held = std::move(request)] { (void)upstream_.cancel(held); });
    });
}

auto SidecarHost::carry(core::GiveOrder &order) -> void
{
    workers_.run([this, held = std::move(order)] { node_.handle(upstream_.order(held)); });
}

auto SidecarHost::carry(core::HandOff &handOff) -> void
{
    const auto address = addresses_.upstream(handOff.to);
    workers_.run([this, held = handOff, address] {
        const auto done = address && !upstream_.handOff(held.chat, *address);
        node_.handle(core::HandoffDone{held.chat, held.to, done});
    });
}

auto SidecarHost::carry(core::SendDigest &digest) -> void
{
    if (const auto address = addresses_.digest(digest.upstream))
        digests_.send(*address, digest.digest);
}

auto SidecarHost::carry(core::WriteLog &log) -> void
{
    telemetry::writeLog(telemetry::LogLevel::Info, log.line.text());
}

auto SidecarHost::carry(core::Drained & /*drained*/) -> void
{
    drain_.done();
}

auto SidecarHost::linkHooks() -> wire::LinkHooks
{
    wire::LinkHooks hooks;
    // The node knows the links that others opened; those opened here only carry what it sends to
    // other sidecars, and settings.
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
        if (!links_.takeDown(link))
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

// A digest for upstream 0 answers the sender, which may be a router that no setting names.
auto SidecarHost::onDigest(core::Digest digest, const core::Address &from) -> void
{
    feed_.onIndexHeard(digest.settingsIndex);
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
        // Without settings the node refuses every request.
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
