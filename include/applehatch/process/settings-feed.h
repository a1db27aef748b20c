/// Keeps this process's settings current: the replica, its reads of the service and its peers.
#pragma once

#include "applehatch/core/settings-replica.h"
#include "applehatch/platform/settings-client.h"
#include "applehatch/process/periodic.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace applehatch::process {

/// What the feed asks of its host; called without the feed's lock, from any thread.
struct SettingsFeedHooks
{
    std::function<void(core::SettingsPtr)> inForce;
    /// Peer 0 leaves the choice among the bootstrap peers to the host.
    std::function<void(core::UpstreamId peer, core::SettingsPull)> pull;
    std::function<void(const core::LogLine &)> log;
};

class SettingsFeed
{
public:
    using Reply = std::function<void(core::SettingsReply)>;

    SettingsFeed(core::ReplicaIdentity identity, const core::Address &service,
                 SettingsFeedHooks hooks);

    /// Ends a read of the service under way.
    ~SettingsFeed();
    SettingsFeed(const SettingsFeed &) = delete;
    auto operator=(const SettingsFeed &) -> SettingsFeed & = delete;

    /// Starts reading.
    auto start() -> void;

    auto onPull(const core::SettingsPull &pull, const Reply &answer) -> void;
    auto onReply(core::SettingsReply reply) -> void;
    auto onIndexHeard(core::SettingsIndex index) -> void;
    auto onHostList(const core::HostList &list) -> void;

    [[nodiscard]] auto status() -> std::vector<core::SubtreeStatus>;
    [[nodiscard]] auto current() -> core::SettingsPtr;

    /// Longest blocking query. A watch whose connection went silent is noticed 4 s after it, so
    /// that a change is in force within 18 s even if the connections of all readers did.
    static constexpr core::Duration watchWait = std::chrono::seconds(8);

private:
    auto handle(core::SettingsEvent event, const Reply &answer) -> void;
    auto act(std::vector<core::SettingsAction> &actions, const Reply &answer) -> void;
    auto readLoop() -> void;
    auto readOnce(const core::ReadService &wanted) -> void;

    platform::SettingsClient client_;
    SettingsFeedHooks hooks_;

    std::mutex actMutex_; ///< Held while actions are carried out; taken before `mutex_`.
    std::mutex mutex_;    ///< Guards the members below.
    core::SettingsReplica replica_;
    std::deque<core::ReadService> reads_;
    std::condition_variable changed_;
    bool stopping_ = false;

    std::thread reader_;
    std::unique_ptr<Periodic> ticks_;
};

} // namespace applehatch::process
