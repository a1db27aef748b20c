/// Keeps this process's settings and host list current: the replica, its reads of the platform and
/// its peers.
#pragma once

#include "applehatch/clients/settings-client.h"
#include "applehatch/core/host-list-pace.h"
#include "applehatch/core/settings-replica.h"
#include "applehatch/process/address-book.h"
#include "applehatch/process/peer-links.h"
#include "applehatch/process/periodic.h"
#include "applehatch/settings/process-file.h"
#include "applehatch/wire/link-loop.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace applehatch::process {

/// What the feed tells its host; called from any thread, without the lock that `status` takes.
struct SettingsFeedHooks
{
    /// The address book has these settings.
    std::function<void(core::SettingsPtr)> inForce;
    /// The host list was read, changed or not.
    std::function<void(const core::HostList &)> hostList;
    /// Whether work under way hangs on the link to a member that the settings no longer name; the
    /// link closes, and its address is forgotten, once none does. Not set, none ever does.
    std::function<bool(core::UpstreamId)> isInUse = {};
};

class SettingsFeed
{
public:
    /// All references must outlive the feed.
    SettingsFeed(std::shared_ptr<const settings::ProcessFile> file, AddressBook &addresses,
                 wire::LinkLoop &loop, PeerLinks &links, SettingsFeedHooks hooks);

    /// As `stop`.
    ~SettingsFeed();
    SettingsFeed(const SettingsFeed &) = delete;
    auto operator=(const SettingsFeed &) -> SettingsFeed & = delete;

    /// Starts reading.
    auto start() -> void;

    /// Ends a read of the service under way and joins the feed's threads; from then on only what
    /// the host itself hands in can call a hook.
    auto stop() -> void;

    /// Takes a message about settings, and answers a pull over `link`; false for any other message,
    /// which is left as it is.
    [[nodiscard]] auto onMessage(wire::LinkId link, core::Message &message) -> bool;
    auto onIndexHeard(core::SettingsIndex index) -> void;

    [[nodiscard]] auto status() -> std::vector<core::SubtreeStatus>;
    [[nodiscard]] auto current() -> core::SettingsPtr;

    /// Longest blocking query. A watch whose connection went silent is noticed 4 s after it, so
    /// that a change is in force within 18 s even if the connections of all readers did.
    static constexpr core::Duration watchWait = std::chrono::seconds(8);

private:
    /// `asker` is the link of the pull that is handled.
    auto handle(core::SettingsEvent event, std::optional<wire::LinkId> asker = {}) -> void;
    auto act(core::SettingsAction &action, std::optional<wire::LinkId> asker) -> void;
    auto putInForce(core::SettingsPtr settings) -> void;
    auto dropRetired() -> void;
    auto pull(core::PullFromPeer wanted) -> void;
    auto tick() -> void;
    auto readLoop() -> void;
    auto readOnce(const core::ReadService &wanted) -> void;
    auto readHostList() -> void;

    std::shared_ptr<const settings::ProcessFile> file_;
    AddressBook &addresses_;
    wire::LinkLoop &loop_;
    PeerLinks &links_;
    clients::SettingsClient client_;
    clients::HostListClient hostListClient_;
    core::HostList hostList_;         ///< As read last; touched by the polling thread only.
    core::HostListPace hostListPace_; ///< The polling thread's.
    SettingsFeedHooks hooks_;

    std::mutex actMutex_;           ///< Held while actions are carried out; taken before `mutex_`.
    std::size_t bootstrapTurn_ = 0; ///< Guarded by `actMutex_`.
    std::mutex mutex_;              ///< Guards the members below.
    core::SettingsReplica replica_;
    std::deque<core::ReadService> reads_;
    std::condition_variable changed_;
    bool stopping_ = false;

    std::thread reader_;
    std::unique_ptr<Periodic> ticks_;
    std::unique_ptr<Periodic> hostListPolls_;
};

} // namespace applehatch::process
