#include "applehatch/process/settings-feed.h"

#include "applehatch/process/clock.h"

#include <utility>

namespace applehatch::process {

namespace {

constexpr core::Duration tickPeriod = std::chrono::milliseconds(100);

} // namespace

SettingsFeed::SettingsFeed(core::ReplicaIdentity identity, const core::Address &service,
                           SettingsFeedHooks hooks)
    : client_(service)
    , hooks_(std::move(hooks))
    , replica_(std::move(identity))
{ }

SettingsFeed::~SettingsFeed()
{
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

auto SettingsFeed::start() -> void
{
    reader_ = std::thread([this] { readLoop(); });
    ticks_ = std::make_unique<Periodic>(tickPeriod, [this] { handle(core::SettingsTick{}, {}); });
}

auto SettingsFeed::onPull(const core::SettingsPull &pull, const Reply &answer) -> void
{
    handle(pull, answer);
}

auto SettingsFeed::onReply(core::SettingsReply reply) -> void
{
    handle(std::move(reply), {});
}

auto SettingsFeed::onIndexHeard(core::SettingsIndex index) -> void
{
    handle(core::SettingsIndexHeard{index}, {});
}

auto SettingsFeed::onHostList(const core::HostList &list) -> void
{
    handle(core::HostListRead{list}, {});
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
auto SettingsFeed::handle(core::SettingsEvent event, const Reply &answer) -> void
{
    const std::lock_guard acting(actMutex_);
    std::vector<core::SettingsAction> actions;
    {
        const std::lock_guard lock(mutex_);
        actions = replica_.handle(std::move(event), steadyNow());
    }
    act(actions, answer);
}

auto SettingsFeed::act(std::vector<core::SettingsAction> &actions, const Reply &answer) -> void
{
    for (auto &action : actions) {
        if (auto *read = std::get_if<core::ReadService>(&action)) {
            const std::lock_guard lock(mutex_);
            reads_.push_back(*read);
            changed_.notify_all();
        } else if (auto *pull = std::get_if<core::PullFromPeer>(&action)) {
            hooks_.pull(pull->peer, std::move(pull->pull));
        } else if (auto *reply = std::get_if<core::AnswerPull>(&action)) {
            if (answer)
                answer(std::move(reply->reply));
        } else if (auto *settings = std::get_if<core::PutInForce>(&action)) {
            hooks_.inForce(std::move(settings->settings));
        } else if (auto *log = std::get_if<core::WriteLog>(&action)) {
            hooks_.log(log->line);
        }
    }
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
        handle(core::SettingsReadFailed{}, {});
    else
        handle(std::move(read), {});
}

} // namespace applehatch::process
