#include "applehatch/process/settings-feed.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/logger.h"

#include <utility>

namespace applehatch::process {

namespace {

constexpr core::Duration tickInterval = std::chrono::milliseconds(100);
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
                           AddressTable &addresses, wire::LinkLoop &loop, PeerLinks &links,
                           SettingsFeedHooks hooks)
    : file_(std::move(file))
    , addresses_(addresses)
    , loop_(loop)
    , links_(links)
    , client_(file_->settings)
    , hostListClient_(file_->hostList)
    , hostListSchedule_(core::stableHash(file_->name, telemetry::wallMicroseconds()))
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
    ticks_ = std::make_unique<Periodic>(tickInterval, [this] { tick(); });
    hostListPolls_ = std::make_unique<Periodic>([this] { return hostListSchedule_.nextWait(); },
                                                [this] { readHostList(); });
}

auto SettingsFeed::tick() -> void
{
    handle(core::SettingsTick{});
    const std::lock_guard acting(performMutex_);
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

auto SettingsFeed::onIndexAdvertised(core::SettingsIndex index) -> void
{
    handle(core::SettingsIndexAdvertised{index});
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

// Holds `performMutex_` from the replica's decision until its actions are performed. Otherwise two
// threads that each put settings in force could pass them to the node in the wrong order, and the
// older settings would stay in force.
auto SettingsFeed::handle(core::SettingsEvent event, std::optional<wire::LinkId> pullLink) -> void
{
    const std::lock_guard acting(performMutex_);
    std::vector<core::SettingsAction> actions;
    {
        const std::lock_guard lock(mutex_);
        actions = replica_.handle(std::move(event), telemetry::steadyNow());
    }
    for (auto &action : actions)
        perform(action, pullLink);
}

auto SettingsFeed::perform(core::SettingsAction &action, std::optional<wire::LinkId> pullLink)
    -> void
{
    if (auto *read = std::get_if<core::ReadService>(&action)) {
        const std::lock_guard lock(mutex_);
        reads_.push_back(*read);
        changed_.notify_all();
    } else if (auto *wanted = std::get_if<core::PullFromPeer>(&action)) {
        pull(std::move(*wanted));
    } else if (auto *answer = std::get_if<core::AnswerPull>(&action)) {
        if (pullLink)
            loop_.send(*pullLink, std::move(answer->reply));
    } else if (auto *settings = std::get_if<core::PutInForce>(&action)) {
        putInForce(std::move(settings->settings));
    } else if (auto *log = std::get_if<core::WriteLog>(&action)) {
        telemetry::writeLog(telemetry::LogLevel::Info, log->line.text());
    }
}

auto SettingsFeed::putInForce(core::SettingsPtr settings) -> void
{
    const auto vacated = addresses_.update(*settings);
    hooks_.inForce(std::move(settings));
    for (const auto &address : vacated)
        links_.drop(address);
    dropRetired();
}

// An upstream that is removed from the settings finishes its running requests. If its link were
// closed at once, their answers would stop half way and the callers would get the error 14 s later.
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
        address = bootstrap[nextBootstrapPeer_++ % bootstrap.size()];
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
    if (client_.read(wanted.waitFor, watchTimeout, read))
        handle(core::SettingsReadFailed{});
    else
        handle(std::move(read));
}

auto SettingsFeed::readHostList() -> void
{
    if (hostListSchedule_.needsFullRead())
        hostList_.version = 0;
    if (hostListClient_.read(hostListTimeout, hostList_)) {
        hostListSchedule_.failed();
        return;
    }
    hostListSchedule_.succeeded();
    handle(core::HostListRead{hostList_});
    hooks_.hostList(hostList_);
}

} // namespace applehatch::process
