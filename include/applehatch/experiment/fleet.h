/// Routers, sidecars and stand-ins as real processes on loopback.
#pragma once

#include "applehatch/emulator/platform.h"
#include "applehatch/experiment/caller.h"
#include "applehatch/experiment/datagram-relay.h"
#include "applehatch/experiment/process.h"
#include "applehatch/experiment/relay.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// What to start.
struct FleetOptions
{
    std::size_t engines = 2;
    std::size_t services = 0;
    std::size_t routers = 1;
    std::vector<std::string> dataCenters = {"bole"}; ///< Dealt out in turn.
    std::uint32_t slots = 8;                         ///< Of each engine and service.
    double tokensPerSecond = 100.0;
    milliseconds coldPrefill{30};
    bool relays = false; ///< A relay before each sidecar, upstream and router.
    nlohmann::json pool = nlohmann::json::object();      ///< Merged into each pool's settings.
    std::vector<std::string> engineFlags;                ///< Further ones for each engine.
    std::vector<std::string> serviceFlags;               ///< Further ones for each service.
    std::string control = "{}";                          ///< Fault orders for each engine.
    std::vector<std::string> routerFlags;                ///< Further ones for each router.
    nlohmann::json customers = nlohmann::json::object(); ///< Added to the two of every fleet.
    bool halves = false; ///< Even and odd members and routers meet through relays only, each half
                         ///< with a platform of its own.
    bool ownHostLists = false; ///< Each router reads a host list of its own, so that they differ.
};

/// One upstream with its sidecar.
struct FleetMember
{
    std::string pool;
    std::string name;
    std::string dataCenter;
    std::string ip;
    core::Address links; ///< Where the sidecar listens.
    core::Address digest;
    core::Address admin;
    core::Address upstreamAt;             ///< Where the upstream listens.
    std::unique_ptr<Relay> linkRelay;     ///< Between routers and the sidecar.
    std::unique_ptr<Relay> upstreamRelay; ///< Between the sidecar and the upstream.
    std::size_t half = 0;
    std::unique_ptr<Relay> farLinks; ///< For the other half, with `halves`.
    std::unique_ptr<DatagramRelay> farDigest;
    std::unique_ptr<TemporaryFile> runLog;
    std::unique_ptr<TemporaryFile> config;
    std::unique_ptr<Process> upstream;
    std::unique_ptr<Process> sidecar;
};

/// One entry host.
struct FleetRouter
{
    std::string name;
    core::Address callers; ///< Where callers go: the relay where there is one.
    core::Address listens;
    core::Address admin;
    std::size_t half = 0;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<emulator::Platform> hostList; ///< Only with `ownHostLists`.
    std::unique_ptr<TemporaryFile> config;
    std::unique_ptr<Process> process;
};

/// One start or end of a run, as the upstream wrote it down.
struct RunEntry
{
    std::string upstream;
    std::string operation; ///< `start` or `end`.
    std::string request;
    std::string key;
    std::string bodyHash;
    std::string outcome;
    std::int64_t atMs = 0;
};

/// The starts and ends in the log that `upstream` writes; a last line that is still being written
/// is left for the next read.
[[nodiscard]] auto runEntries(const std::string &upstream, const std::string &log)
    -> std::vector<RunEntry>;

/// A fleet that is stopped when it goes out of scope.
class Fleet
{
public:
    /// Starts everything and waits until each process is ready. Throws `std::runtime_error` with
    /// the output of a process that is not ready in time.
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    static constexpr auto team = "ledgerworks";
    static constexpr auto enginePool = "drafting";
    static constexpr auto servicePool = "jobs";
    static constexpr auto model = "sheet-writer";

    [[nodiscard]] auto router(std::size_t number = 0) -> FleetRouter &;
    [[nodiscard]] auto engine(std::size_t number) -> FleetMember &;
    [[nodiscard]] auto service(std::size_t number) -> FleetMember &;
    [[nodiscard]] auto members() -> std::vector<FleetMember> & { return members_; }
    [[nodiscard]] auto platform() -> emulator::Platform & { return *platform_; }

    /// A chat request of `tokens` tokens as a caller sends it; `mark` makes its body its own.
    [[nodiscard]] auto chat(const std::string &mark, std::size_t tokens, bool stream = true) const
        -> CallerRequest;

    /// A call to the plain services.
    [[nodiscard]] auto job(const std::string &mark) const -> CallerRequest;

    auto startUpstream(FleetMember &member) -> void;
    auto startSidecar(FleetMember &member) -> void;
    auto startRouter(FleetRouter &router) -> void;

    /// Waits until every process is ready and every router has heard that every upstream serves.
    auto waitReady() -> void;

    /// With `halves`: whether anything at all is carried between them.
    auto setApart(bool apart) -> void;

    /// State of each upstream in the eyes of `router`, by name.
    [[nodiscard]] auto states(const FleetRouter &router) const
        -> std::map<std::string, std::string>;

    /// Changes every host list that there is.
    auto setHost(const std::string &ip, core::HostState state) -> void;

    [[nodiscard]] auto routers() -> std::vector<FleetRouter> & { return routers_; }

    /// Publishes settings without the members named.
    auto publish(const std::vector<std::string> &without = {}) -> void;

    /// Changes what the next `publish` says of each pool.
    auto setPool(const nlohmann::json &change) -> void { options_.pool.merge_patch(change); }

    /// Gives fault orders to an upstream.
    auto control(FleetMember &member, const nlohmann::json &orders) -> void;

    /// Asks an upstream for its record.
    [[nodiscard]] auto record(const FleetMember &member) const -> nlohmann::json;

    /// All that upstreams wrote down, also those that crashed.
    [[nodiscard]] auto runs() const -> std::vector<RunEntry>;

    /// Runs begun of the body that `request` sends.
    [[nodiscard]] auto runsOf(const CallerRequest &request) const -> std::vector<RunEntry>;

    /// Output of every process, for a test that failed.
    [[nodiscard]] auto outputs() const -> std::string;

private:
    auto addMember(const std::string &pool, std::size_t number) -> void;
    auto addRouter(std::size_t number) -> void;
    [[nodiscard]] auto poolSettings(const std::string &pool,
                                    const std::vector<std::string> &without, std::size_t half) const
        -> nlohmann::json;
    auto publishTo(emulator::Platform &platform, std::size_t half,
                   const std::vector<std::string> &without) -> void;
    [[nodiscard]] auto platformOf(std::size_t half) const -> emulator::Platform &;
    [[nodiscard]] auto seesAllServing(const FleetRouter &router) const -> bool;
    [[nodiscard]] auto peers(std::size_t half) const -> nlohmann::json;

    FleetOptions options_;
    std::string network_; ///< The first two numbers of every address.
    std::unique_ptr<emulator::Platform> platform_;
    std::unique_ptr<emulator::Platform> otherPlatform_; ///< Of the second half, with `halves`.
    std::vector<FleetMember> members_;
    std::vector<FleetRouter> routers_;
};

} // namespace applehatch::experiment
