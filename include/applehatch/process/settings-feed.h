/// Keeps this process's settings and host list current by reading the platform's services and
/// pulling from peers.
#pragma once

#include "applehatch/clients/settings-client.h"
#include "applehatch/core/host-list-schedule.h"
#include "applehatch/core/settings-replica.h"
#include "applehatch/process/address-table.h"
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

/// Callbacks of the feed. Called from any thread, without the lock that `status` takes.
struct SettingsFeedHooks
{
    /// New settings are in force; the address table already contains them.
    std::function<void(core::SettingsPtr)> inForce;
    /// The host list was read, changed or not.
    std::function<void(const core::HostList &)> hostList;
    /// Returns whether work in progress depends on the link to a member that the settings no longer
    /// name. Once none does, the link is closed and the member's address is forgotten. When not
    /// set, no work depends on such a link.
    std::function<bool(core::UpstreamId)> isInUse = {};
};

/// Runs the settings replica: reads the settings service and the host list, exchanges settings with
/// peers, and reports changes through `SettingsFeedHooks`.
class SettingsFeed
{
public:
    /// All references must outlive the feed.
    SettingsFeed(std::shared_ptr<const settings::ProcessFile> file, AddressTable &addresses,
                 wire::LinkLoop &loop, PeerLinks &links, SettingsFeedHooks hooks);

    /// Calls `stop`.
    ~SettingsFeed();
    SettingsFeed(const SettingsFeed &) = delete;
    auto operator=(const SettingsFeed &) -> SettingsFeed & = delete;

    /// Starts the threads that read the settings and the host list.
    auto start() -> void;

    /// Aborts a read of the service in progress and joins the feed's threads. Afterwards hooks are
    /// called only from calls that the host itself makes to this object.
    auto stop() -> void;

    /// Handles a message about settings, answering a pull over `link`. Returns false for any other
    /// message, which is left unchanged.
    [[nodiscard]] auto onMessage(wire::LinkId link, core::Message &message) -> bool;

    /// Handles a settings index that a peer advertised.
    auto onIndexAdvertised(core::SettingsIndex index) -> void;

    [[nodiscard]] auto status() -> std::vector<core::SubtreeStatus>;
    [[nodiscard]] auto current() -> core::SettingsPtr;

    /// Maximum time that the service may hold a blocking query. A silent connection is detected 4 s
    /// after this time, so a change is in force within 18 s even if the connections of all readers
    /// went silent.
    static constexpr core::Duration watchTimeout = std::chrono::seconds(8);

private:
    /// `pullLink` is the link over which `event` arrived, if it is a pull.
    auto handle(core::SettingsEvent event, std::optional<wire::LinkId> pullLink = {}) -> void;
    auto perform(core::SettingsAction &action, std::optional<wire::LinkId> pullLink) -> void;
    auto putInForce(core::SettingsPtr settings) -> void;
    auto dropRetired() -> void;
    auto pull(core::PullFromPeer wanted) -> void;
    auto tick() -> void;
    auto readLoop() -> void;
    auto readOnce(const core::ReadService &wanted) -> void;
    auto readHostList() -> void;

    std::shared_ptr<const settings::ProcessFile> file_;
    AddressTable &addresses_;
    wire::LinkLoop &loop_;
    PeerLinks &links_;
    clients::SettingsClient client_;
    clients::HostListClient hostListClient_;
    core::HostList hostList_; ///< Last read result; used only by the polling thread.
    core::HostListSchedule hostListSchedule_; ///< Used only by the polling thread.
    SettingsFeedHooks hooks_;

    std::mutex performMutex_;           ///< Held while performing actions; locked before `mutex_`.
    std::size_t nextBootstrapPeer_ = 0; ///< Guarded by `performMutex_`.
    std::mutex mutex_;                  ///< Guards the members below.
    core::SettingsReplica replica_;
    std::deque<core::ReadService> reads_;
    std::condition_variable changed_;
    bool stopping_ = false;

    std::thread reader_;
    std::unique_ptr<Periodic> ticks_;
    std::unique_ptr<Periodic> hostListPolls_;
};

} // namespace applehatch::process
