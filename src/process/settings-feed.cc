#include "applehatch/process/settings-feed.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/logger.h"

#include <utility>

namespace applehatch::process {

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(100);
constexpr core::Duration hostListTimeout = std::chrono::seconds(1);

auto identityOf(const settings::ProcessFile &file) -> core::ReplicaIdentity
{
    core::ReplicaIdentity identity;
    if (!file.member.empty())
        identity.self = settings::upstreamId(file.team, file.pool, file.member);
    identity.dataCenter = file.dataCenter;
    identity.seed = core::stableHash(file.name, telemetry::wallMicroseconds());
    return identity;
}

} // namespace

SettingsFeed::SettingsFeed(std::shared_ptr<const settings::ProcessFile> file,
                           AddressBook &addresses, wire::LinkLoop &loop, PeerLinks &links,
                           SettingsFeedHooks hooks)
    : file_(std::move(file))
    , addresses_(addresses)
    , loop_(loop)
    , links_(links)
    , client_(file_->settings)
    , hostListClient_(file_->hostList)
    , hostListPace_(core::stableHash(file_->name, telemetry::wallMicroseconds()))
    , hooks_(std::move(hooks))
    , replica_(identityOf(*file_))
{ }

SettingsFeed::~SettingsFeed()
{
    stop();
}

auto SettingsFeed::start() -> void
{
    reader_ = std::thread([this] { readLoop(); });
    ticks_ = std::make_unique<Periodic>(tickPeriod, [this] { tick(); });
    hostListPolls_ = std::make_unique<Periodic>([this] { return hostListPace_.wait(); },
                                                [this] { readHostList(); });
}

auto SettingsFeed::tick() -> void
{
    handle(core::SettingsTick{});
    const std::lock_guard acting(actMutex_);
    dropRetired();
}

auto SettingsFeed::stop() -> void
{
    hostListPolls_.reset();
    ticks_.reset();
    client_.stop();
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (reader_.joinable())
        reader_.join();
}

auto SettingsFeed::onMessage(wire::LinkId link, core::Message &message) -> bool
{
    if (auto *reply = std::get_if<core::SettingsReply>(&message))
        handle(std::move(*reply));
    else if (auto *pull = std::get_if<core::SettingsPull>(&message))
        handle(std::move(*pull), link);
    else
        return false;
    return true;
}

auto SettingsFeed::onIndexHeard(core::SettingsIndex index) -> void
{
    handle(core::SettingsIndexHeard{index});
}

auto SettingsFeed::status() -> std::vector<core::SubtreeStatus>
{
    const std::lock_guard lock(mutex_);
    return replica_.status();
}

auto SettingsFeed::current() -> core::SettingsPtr
{
    const std::lock_guard lock(mutex_);
    return replica_.current();
}

// `actMutex_` spans the decision and its actions: two threads that each put settings in force could
// otherwise hand them to the node in the wrong order, and the older would stay.
auto SettingsFeed::handle(core::SettingsEvent event, std::optional<wire::LinkId> asker) -> void
{
    const std::lock_guard acting(actMutex_);
    std::vector<core::SettingsAction> actions;
    {
        const std::lock_guard lock(mutex_);
        actions = replica_.handle(std::move(event), telemetry::steadyNow());
    }
    for (auto &action : actions)
        act(action, asker);
}

auto SettingsFeed::act(core::SettingsAction &action, std::optional<wire::LinkId> asker) -> void
{
    if (auto *read = std::get_if<core::ReadService>(&action)) {
        const std::lock_guard lock(mutex_);
        reads_.push_back(*read);
        changed_.notify_all();
    } else if (auto *wanted = std::get_if<core::PullFromPeer>(&action)) {
        pull(std::move(*wanted));
    } else if (auto *answer = std::get_if<core::AnswerPull>(&action)) {
        if (asker)
            loop_.send(*asker, std::move(answer->reply));
    } else if (auto *settings = std::get_if<core::PutInForce>(&action)) {
        putInForce(std::move(settings->settings));
    } else if (auto *log = std::get_if<core::WriteLog>(&action)) {
        telemetry::writeLog(telemetry::LogLevel::Info, log->line.text());
    }
}

auto SettingsFeed::putInForce(core::SettingsPtr settings) -> void
{
    const auto left = addresses_.update(*settings);
    hooks_.inForce(std::move(settings));
    for (const auto &address : left)
        links_.drop(address);
    dropRetired();
}

// An upstream that is taken out of the settings finishes what it runs. Were its link closed at
// once, the callers of those answers would see them stop half way and hear the reason 14 s later.
auto SettingsFeed::dropRetired() -> void
{
    for (const auto upstream : addresses_.retired()) {
        if (hooks_.isInUse && hooks_.isInUse(upstream))
            continue;
        if (const auto address = addresses_.sidecar(upstream))
            links_.drop(*address);
        addresses_.forget(upstream);
    }
}

auto SettingsFeed::pull(core::PullFromPeer wanted) -> void
{
    auto address = addresses_.sidecar(wanted.peer);
    const auto &bootstrap = file_->bootstrapPeers;
    if (!address && !bootstrap.empty())
        address = bootstrap[bootstrapTurn_++ % bootstrap.size()];
    if (address && *address != file_->links)
        links_.send(*address, std::move(wanted.pull));
}

auto SettingsFeed::readLoop() -> void
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        changed_.wait(lock, [this] { return stopping_ || !reads_.empty(); });
        if (stopping_)
            return;
        const auto wanted = reads_.front();
        reads_.pop_front();
        lock.unlock();
        readOnce(wanted);
        lock.lock();
    }
}

auto SettingsFeed::readOnce(const core::ReadService &wanted) -> void
{
    core::SettingsRead read;
    if (client_.read(wanted.waitFor, watchWait, read))
        handle(core::SettingsReadFailed{});
    else
        handle(std::move(read));
}

auto SettingsFeed::readHostList() -> void
{
    if (hostListPace_.wantsWhole())
        hostList_.version = 0;
    if (hostListClient_.read(hostListTimeout, hostList_)) {
        hostListPace_.failed();
        return;
    }
    hostListPace_.succeeded();
    handle(core::HostListRead{hostList_});
    hooks_.hostList(hostList_);
}

} // namespace applehatch::process
