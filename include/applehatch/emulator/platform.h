/// What the platform publishes, served in-process: configuration service, host list, weight store.
#pragma once

#include "applehatch/core/membership.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct mg_connection;

namespace applehatch::emulator {

enum class Service {
    Settings,
    HostList,
    Weights,
};

/// Calls answered since the start; a waiting watch counts as one.
struct PlatformCalls
{
    std::uint64_t settings = 0;
    std::uint64_t settingsUnchanged = 0; ///< Of those, answered without the tree.
    std::uint64_t hostList = 0;
    std::uint64_t hostListUnchanged = 0; ///< Of those, answered without the list.
    std::uint64_t weights = 0;
    std::uint64_t weightsRefused = 0;
    std::uint64_t waiting = 0; ///< Watches that wait at this moment.
};

/// A server for all three services on one address. Thread-safe.
class Platform
{
public:
    /// Listens at `at`; port 0 takes a free one. Throws `std::runtime_error` when it cannot.
    explicit Platform(const core::Address &at = {"127.0.0.1", 0});
    ~Platform();
    Platform(const Platform &) = delete;
    auto operator=(const Platform &) -> Platform & = delete;

    [[nodiscard]] auto address() const -> core::Address;
    [[nodiscard]] auto calls() const -> PlatformCalls;

    /// Publishes a subtree and gives its index, which is also the tree's.
    auto putTeam(const std::string &team, const std::string &text) -> core::SettingsIndex;
    auto removeTeam(const std::string &team) -> core::SettingsIndex;

    /// Sets the tree back to what it was at `index`, as a restore from a backup does; later puts
    /// count on from there.
    auto revertTo(core::SettingsIndex index) -> void;

    /// Answers as of `index` while the tree goes on; none ends it.
    auto setStale(std::optional<core::SettingsIndex> index) -> void;

    /// Connections to a service that is down are closed without an answer.
    auto setDown(Service service, bool down) -> void;

    /// Each answer of any service waits this long first.
    auto setDelay(core::Duration delay) -> void;

    /// Sends these bytes in place of each answer of `service`; none ends it. With `thenSilent` the
    /// connection stays open without another byte, as after a firewall forgot it.
    auto setRawAnswer(Service service, std::optional<std::string> bytes, bool thenSilent = false)
        -> void;

    auto setHost(const std::string &ip, core::HostState state) -> void;
    auto removeHost(const std::string &ip) -> void;

    /// Reads of weights allowed a second; beyond it the store answers 429.
    auto setWeightRate(std::uint32_t perSecond) -> void;

    /// Publishes each `<team>.jsonc` of a directory that differs from what is published. Gives how
    /// many did. The directory is read again on `POST /control` with `{"reload": true}`.
    auto loadDirectory(const std::string &directory) -> std::size_t;

private:
    struct State;

    /// Obeys one `POST /control`, or with an empty body only tells the calls counted.
    static auto control(mg_connection *connection, void *platform) -> int;

    template <typename Change>
    auto change(Change apply) -> void;

    std::unique_ptr<State> state_;
};

} // namespace applehatch::emulator
