#include "applehatch/experiment/fleet.h"

#include "applehatch/emulator/upstream-server.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace applehatch::experiment {

namespace {

using nlohmann::json;

constexpr auto operatorToken = "operator-token";
constexpr auto operatorTokenHash =
    "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

/// Loopback networks are dealt out by process and fleet, so that tests may run side by side.
auto nextNetwork() -> std::string
{
    constexpr auto first = 64;
    constexpr auto count = 180;
    static std::atomic<int> fleets{0};
    return "127." + std::to_string(first + (::getpid() * 3 + fleets++) % count);
}

auto text(const core::Address &address) -> std::string
{
    return address.ip + ":" + std::to_string(address.port);
}

auto listening(const std::string &ip) -> core::Address
{
    return {ip, freePort(ip)};
}

auto front(const std::unique_ptr<Relay> &relay, const core::Address &behind) -> core::Address
{
    return relay ? relay->address() : behind;
}

/// Where a process of `half` finds the links of `member`.
auto linksFor(const FleetMember &member, std::size_t half) -> core::Address
{
    const auto isFar = member.farLinks && member.half != half;
    return isFar ? member.farLinks->address() : front(member.linkRelay, member.links);
}

auto digestFor(const FleetMember &member, std::size_t half) -> core::Address
{
    const auto isFar = member.farDigest && member.half != half;
    return isFar ? member.farDigest->address() : member.digest;
}

auto isReady(const core::Address &address, const Process &process) -> bool
{
    // Before its settings are in force a process may serve what it is no member of.
    return process.output().find("event=settings-in-force") != std::string::npos
        && get(address, "/health/ready", milliseconds(1000)).status == 200;
}

auto waitUntilReady(const core::Address &health, Process &process) -> bool
{
    return eventually([&] { return isReady(health, process) || !process.running(); })
        && process.running();
}

} // namespace

auto runEntries(const std::string &upstream, const std::string &log) -> std::vector<RunEntry>
{
    std::vector<RunEntry> entries;
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line) && !lines.eof()) {
        const auto entry = json::parse(line);
        const auto value = [&](const char *key) { return entry.value(key, std::string()); };
        if (value("op") != "start" && value("op") != "end") {
            continue;
        }
        entries.push_back({upstream, value("op"), value("request"), value("key"), value("bodyHash"),
                           value("outcome"), entry.value("atMs", std::int64_t{0})});
    }
    return entries;
}

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options))
    , network_(nextNetwork())
    , platform_(std::make_unique<emulator::Platform>(core::Address{network_ + ".4.1", 0}))
{
    if (options_.halves) {
        otherPlatform_ =
            std::make_unique<emulator::Platform>(core::Address{network_ + ".4.200", 0});
    }
    for (std::size_t number = 0; number < options_.engines; ++number) {
        addMember(enginePool, number);
    }
    for (std::size_t number = 0; number < options_.services; ++number) {
        addMember(servicePool, number);
    }
    publish();
    for (auto &member : members_) {
        startUpstream(member);
        startSidecar(member);
    }
    for (std::size_t number = 0; number < options_.routers; ++number) {
        addRouter(number);
        startRouter(routers_.back());
    }
    waitReady();
}

Fleet::~Fleet() = default;

auto Fleet::router(std::size_t number) -> FleetRouter &
{
    return routers_.at(number);
}

auto Fleet::engine(std::size_t number) -> FleetMember &
{
    return members_.at(number);
}

auto Fleet::service(std::size_t number) -> FleetMember &
{
    return members_.at(options_.engines + number);
}

auto Fleet::addMember(const std::string &pool, std::size_t number) -> void
{
    FleetMember member;
    member.pool = pool;
    member.name = pool + "-" + std::to_string(number + 1);
    member.dataCenter = options_.dataCenters[number % options_.dataCenters.size()];
    member.ip = network_ + (pool == enginePool ? ".1." : ".2.") + std::to_string(number + 1);
    member.links = listening(member.ip);
    member.digest = listening(member.ip);
    member.admin = listening(member.ip);
    member.upstreamAt = listening(member.ip);
    if (options_.relays) {
        member.linkRelay = std::make_unique<Relay>(member.ip, member.links, freePort(member.ip));
        member.upstreamRelay =
            std::make_unique<Relay>(member.ip, member.upstreamAt, freePort(member.ip));
    }
    if (options_.halves) {
        member.half = number % 2;
        member.farLinks = std::make_unique<Relay>(member.ip, member.links, freePort(member.ip));
        member.farDigest = std::make_unique<DatagramRelay>(member.ip, member.digest);
    }
    member.runLog = std::make_unique<TemporaryFile>();
    setHost(member.ip, core::HostState::Live);
    members_.push_back(std::move(member));
}

auto Fleet::addRouter(std::size_t number) -> void
{
    FleetRouter router;
    router.name = "router-" + std::to_string(number + 1);
    router.half = options_.halves ? number % 2 : 0;
    const auto ip = network_ + ".3." + std::to_string(number + 1);
    router.listens = listening(ip);
    router.admin = listening(ip);
    if (options_.relays) {
        router.relay = std::make_unique<Relay>(ip, router.listens, freePort(ip));
    }
    router.callers = front(router.relay, router.listens);
    if (options_.ownHostLists) {
        router.hostList = std::make_unique<emulator::Platform>(
            core::Address{network_ + ".4." + std::to_string(number + 2), 0});
        for (const auto &member : members_) {
            router.hostList->setHost(member.ip, core::HostState::Live);
        }
    }
    const auto &platform = platformOf(router.half);
    const auto &hostList = router.hostList ? *router.hostList : platform;
    const json config = {{"name", router.name},
                         {"dataCenter", options_.dataCenters[number % options_.dataCenters.size()]},
                         {"callers", text(router.listens)},
                         {"admin", text(router.admin)},
                         {"digest", text(listening(ip))},
                         {"settings", text(platform.address())},
                         {"hostList", text(hostList.address())},
                         {"bootstrapPeers", peers(router.half)},
                         {"drainDeadlineMs", 20000}};
    router.config = std::make_unique<TemporaryFile>(config.dump(1));
    setHost(ip, core::HostState::Live);
    routers_.push_back(std::move(router));
}

auto Fleet::platformOf(std::size_t half) const -> emulator::Platform &
{
    return half == 0 ? *platform_ : *otherPlatform_;
}

auto Fleet::setApart(bool apart) -> void
{
    for (auto &member : members_) {
        member.farLinks->setPartitioned(apart);
        member.farDigest->setPartitioned(apart);
    }
}

auto Fleet::peers(std::size_t half) const -> json
{
    auto list = json::array();
    for (const auto &member : members_) {
        list.push_back(text(linksFor(member, half)));
    }
    return list;
}

auto Fleet::startUpstream(FleetMember &member) -> void
{
    const auto isEngine = member.pool == enginePool;
    std::vector<std::string> command = {
        programPath(isEngine ? "emulated-engine" : "emulated-service"),
        "--listen",
        text(member.upstreamAt),
        "--log",
        member.runLog->path(),
        "--control",
        options_.control};
    if (isEngine) {
        const std::vector<std::string> flags = {"--slots",
                                                std::to_string(options_.slots),
                                                "--tokens_per_second",
                                                std::to_string(options_.tokensPerSecond),
                                                "--cold_prefill_ms",
                                                std::to_string(options_.coldPrefill.count())};
        command.insert(command.end(), flags.begin(), flags.end());
        command.insert(command.end(), options_.engineFlags.begin(), options_.engineFlags.end());
    } else {
        command.insert(command.end(), options_.serviceFlags.begin(), options_.serviceFlags.end());
    }
    member.upstream = std::make_unique<Process>(command);
    if (!member.upstream->waitForLine("ready")) {
        throw std::runtime_error(member.name + " did not start: " + member.upstream->output());
    }
}

auto Fleet::startSidecar(FleetMember &member) -> void
{
    const auto platform = text(platformOf(member.half).address());
    const json config = {{"name", "sidecar-" + member.name},
                         {"dataCenter", member.dataCenter},
                         {"links", text(member.links)},
                         {"admin", text(member.admin)},
                         {"digest", text(member.digest)},
                         {"upstream", text(front(member.upstreamRelay, member.upstreamAt))},
                         {"team", team},
                         {"pool", member.pool},
                         {"member", member.name},
                         {"settings", platform},
                         {"hostList", platform},
                         {"weights", platform},
                         {"bootstrapPeers", peers(member.half)},
                         {"drainDeadlineMs", 20000}};
    member.config = std::make_unique<TemporaryFile>(config.dump(1));
    member.sidecar = std::make_unique<Process>(std::vector<std::string>{
        programPath("applehatch-sidecar"), "--config", member.config->path()});
}

auto Fleet::startRouter(FleetRouter &router) -> void
{
    std::vector<std::string> command = {programPath("applehatch-router"), "--config",
                                        router.config->path()};
    command.insert(command.end(), options_.routerFlags.begin(), options_.routerFlags.end());
    router.process = std::make_unique<Process>(command);
}

auto Fleet::setHost(const std::string &ip, core::HostState state) -> void
{
    platform_->setHost(ip, state);
    if (otherPlatform_) {
        otherPlatform_->setHost(ip, state);
    }
    for (auto &router : routers_) {
        if (router.hostList) {
            router.hostList->setHost(ip, state);
        }
    }
}

auto Fleet::waitReady() -> void
{
    auto ready = true;
    for (auto &member : members_) {
        ready = ready && waitUntilReady(member.admin, *member.sidecar);
    }
    for (auto &router : routers_) {
        ready = ready && waitUntilReady(router.listens, *router.process);
    }
    for (auto &router : routers_) {
        ready = ready && eventually([&] { return seesAllServing(router); });
    }
    if (!ready) {
        throw std::runtime_error("not ready: " + outputs());
    }
}

auto Fleet::seesAllServing(const FleetRouter &router) const -> bool
{
    const auto seen = states(router);
    return std::all_of(members_.begin(), members_.end(), [&](const FleetMember &member) {
        const auto found = seen.find(member.name);
        return found != seen.end() && found->second == "serving";
    });
}

auto Fleet::states(const FleetRouter &router) const -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> seen;
    for (const auto *pool : {enginePool, servicePool}) {
        const auto path = std::string("/admin/v1/teams/") + team + "/pools/" + pool + "/upstreams";
        const auto answer =
            call(router.admin,
                 {"GET", path, {{"Authorization", std::string("Bearer ") + operatorToken}}, {}});
        const auto list = json::parse(answer.body, nullptr, false);
        for (const auto &entry : list.is_array() ? list : json::array()) {
            seen[entry.value("upstream", "")] = entry.value("state", "");
        }
    }
    return seen;
}

auto Fleet::poolSettings(const std::string &pool, const std::vector<std::string> &without,
                         std::size_t half) const -> json
{
    json settings = pool == enginePool ? json{{"kind", "model"}, {"models", {model}}}
                                       : json{{"kind", "service"}, {"pathPrefix", "/jobs"}};
    auto list = json::array();
    for (const auto &member : members_) {
        const auto left = std::find(without.begin(), without.end(), member.name) != without.end();
        if (member.pool == pool && !left) {
            list.push_back({{"name", member.name},
                            {"dataCenter", member.dataCenter},
                            {"slots", options_.slots},
                            {"sidecar", text(linksFor(member, half))},
                            {"digest", text(digestFor(member, half))},
                            {"upstream", text(member.upstreamAt)}});
        }
    }
    settings["members"] = list;
    settings.merge_patch(options_.pool);
    return settings;
}

auto Fleet::publish(const std::vector<std::string> &without) -> void
{
    publishTo(*platform_, 0, without);
    if (otherPlatform_) {
        publishTo(*otherPlatform_, 1, without);
    }
}

auto Fleet::publishTo(emulator::Platform &platform, std::size_t half,
                      const std::vector<std::string> &without) -> void
{
    json settings = {
        {"adminTokenHash", operatorTokenHash},
        {"pools", json::object()},
        {"customers", {{"branch-east", {{"weight", 1.0}}}, {"branch-west", {{"weight", 1.0}}}}}};
    settings["customers"].update(options_.customers);
    if (options_.engines > 0) {
        settings["pools"][enginePool] = poolSettings(enginePool, without, half);
    }
    if (options_.services > 0) {
        settings["pools"][servicePool] = poolSettings(servicePool, without, half);
    }
    platform.putTeam(team, settings.dump(1));
}

auto Fleet::chat(const std::string &mark, std::size_t tokens, bool stream) const -> CallerRequest
{
    CallerRequest request;
    request.headers = {{"Applehatch-Customer", std::string(team) + "/branch-east"},
                       {"Content-Type", "application/json"}};
    request.body = json{{"model", model},
                        {"stream", stream},
                        {"max_tokens", tokens},
                        {"messages", {{{"role", "user"}, {"content", mark}}}}}
                       .dump();
    return request;
}

auto Fleet::job(const std::string &mark) const -> CallerRequest
{
    CallerRequest request;
    request.path = "/jobs/new";
    request.headers = {{"Applehatch-Customer", std::string(team) + "/branch-east"},
                       {"Content-Type", "application/json"}};
    request.body = json{{"repair", mark}}.dump();
    return request;
}

auto Fleet::control(FleetMember &member, const json &orders) -> void
{
    const auto answer = call(member.upstreamAt, {"POST", "/control", {}, orders.dump()});
    if (answer.status != 200) {
        throw std::runtime_error(member.name + " did not take its orders");
    }
}

auto Fleet::record(const FleetMember &member) const -> json
{
    return json::parse(get(member.upstreamAt, "/control/runs").body);
}

auto Fleet::runs() const -> std::vector<RunEntry>
{
    std::vector<RunEntry> entries;
    for (const auto &member : members_) {
        auto ofMember = runEntries(member.name, member.runLog->read());
        std::move(ofMember.begin(), ofMember.end(), std::back_inserter(entries));
    }
    return entries;
}

auto Fleet::runsOf(const CallerRequest &request) const -> std::vector<RunEntry>
{
    auto entries = runs();
    const auto hash = emulator::hex(core::stableHash(request.body));
    std::erase_if(entries, [&](const RunEntry &entry) {
        return entry.operation != "start" || entry.bodyHash != hash;
    });
    return entries;
}

auto Fleet::outputs() const -> std::string
{
    std::string all;
    for (const auto &member : members_) {
        all += "== " + member.name + "\n" + (member.sidecar ? member.sidecar->output() : "");
    }
    for (const auto &router : routers_) {
        all += "== " + router.name + "\n" + (router.process ? router.process->output() : "");
    }
    return all;
}

} // namespace applehatch::experiment
