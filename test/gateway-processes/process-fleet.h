/// Gateways as real processes, a store and engines of two versions on the test's event loop.
#pragma once

#include "cuttable-links.h"
#include "gateway-versions/versioned-engine.h"
#include "store.h"

#include "applehatch/experiment/process.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::gateway::testing {

/// One gateway's process; it keeps its addresses when it is started again.
class GatewayProcess
{
public:
    /// `limits` are those of its settings, as JSON members; the usual ones if it is empty.
    GatewayProcess(const std::string &name, std::string ip, const std::string &seeds,
                   const core::Address &store, const std::string &limits = {})
        : callers{std::move(ip), callerPort}
        , settings_(settingsOf(name, callers.ip, seeds, store, limits))
    {
        start();
    }

    /// The first of its port range.
    static constexpr std::uint16_t peerPort = 7340;

    static auto control(const std::string &ip) -> std::string { return ip + ":8229"; }

    auto start() -> void
    {
        process_ = std::make_unique<experiment::Process>(std::vector<std::string>{
            experiment::programPath("applehatch-gateway"), "--settings", settings_.path()});
    }
    [[nodiscard]] auto id() const -> pid_t { return process_->id(); }
    auto kill() -> void { process_->kill(); }
    auto signal(int number) -> void { process_->signal(number); }
    /// None while it runs.
    [[nodiscard]] auto exitStatus() const -> std::optional<experiment::ExitStatus>
    {
        return process_->wait(std::chrono::milliseconds(0));
    }
    auto pause() -> void { process_->pause(); }
    auto resume() -> void { process_->resume(); }
    [[nodiscard]] auto isRunning() const -> bool { return process_->running(); }
    /// Whether it has its configuration, and so takes requests.
    [[nodiscard]] auto isServing() const -> bool { return logs("event=configuration"); }
    [[nodiscard]] auto logs(const std::string &text) const -> bool
    {
        return process_->output().find(text) != std::string::npos;
    }
    /// The end of its log, for whoever asks why it ended.
    [[nodiscard]] auto logEnd() const -> std::string
    {
        constexpr std::size_t most = 3000;
        const auto log = process_->output();
        return log.substr(log.size() - std::min(log.size(), most));
    }
    /// Whether one line has both texts, the second behind the first.
    [[nodiscard]] auto logsLine(const std::string &first, const std::string &second) const -> bool
    {
        const auto log = process_->output();
        for (auto at = log.find(first); at != std::string::npos; at = log.find(first, at + 1)) {
            const auto line = log.substr(at, log.find('\n', at) - at);
            if (line.ends_with(second))
                return true;
        }
        return false;
    }

    /// Time of day, in UTC, of the last line of this event, which must be there.
    [[nodiscard]] auto timeOf(const std::string &event) const -> std::chrono::milliseconds
    {
        const auto log = process_->output();
        const auto line = log.rfind('\n', log.rfind("event=" + event)) + 1;
        const auto time = log.substr(log.find('T', line) + 1, std::string("00:00:00.000").size());
        return std::chrono::hours(std::stoi(time.substr(0, 2)))
            + std::chrono::minutes(std::stoi(time.substr(3, 2)))
            + std::chrono::milliseconds(std::stoi(time.substr(6, 2)) * 1000
                                        + std::stoi(time.substr(9)));
    }

    core::Address callers;

private:
    static constexpr std::uint16_t callerPort = 8227;

    static auto settingsOf(const std::string &name, const std::string &ip, const std::string &seeds,
                           const core::Address &store, const std::string &limits) -> std::string
    {
        return R"({"node-name":")" + name + R"(","zone":"here","ip":")" + ip
            + R"(","listen":{"front":")" + ip + R"(:8227","ready":")" + ip + R"(:8220","control":")"
            + control(ip) + R"("},"port-range":[)" + std::to_string(peerPort)
            + R"(,7355],"seeds":[)" + seeds + R"(],"limits":{)" + limits
            + R"(},"platform":{"addr":")" + store.ip + ':' + std::to_string(store.port)
            + R"(","history-s":20}})";
    }

    experiment::TemporaryFile settings_;
    std::unique_ptr<experiment::Process> process_;
};

/// A fleet whose engines serve one service, and its callers.
class ProcessFleet
{
public:
    /// With `isLastCuttable`, `links` carry what goes between the last gateway and the rest.
    explicit ProcessFleet(std::size_t size, bool isLastCuttable = false, std::string limits = {})
        : store(loop)
        , limits_(std::move(limits))
    {
        store.put("op/config",
                  R"({"version":1,"routes":[{"name":"r","host":"api.example",)"
                  R"("path-prefix":"/once/","type":"streaming","resumable":true,)"
                  R"("timeout-ms":12000,"slo-ms":400,"itl-target-ms":400,)"
                  R"("service":"pool","attempts":1}],"services":[{"name":"pool"}]})");
        const auto uncut = isLastCuttable ? size - 1 : size;
        for (std::size_t host = 1; host <= uncut; ++host)
            startGateway(network(), host, size, store.address());
        if (!isLastCuttable)
            return;
        links.emplace(network(), ownNetwork(), size, GatewayProcess::peerPort, store.address());
        startGateway(ownNetwork(), size, size, links->store());
    }

    auto addEngine(const std::string &version) -> VersionedEngine &
    {
        engines.emplace_back(loop, "engine-" + std::to_string(engines.size()), version);
        store.put(keyOf(engines.back()), engines.back().entry("ready"));
        return engines.back();
    }
    /// Changes the state in the entries of a version.
    auto setState(const std::string &version, const std::string &state) -> void
    {
        for (const auto &engine : engines) {
            if (engine.version == version)
                store.put(keyOf(engine), engine.entry(state));
        }
    }
    /// Removes the entries of a version, as if its engines had left without a word before.
    auto removeVersion(const std::string &version) -> void
    {
        for (const auto &engine : engines) {
            if (engine.version == version)
                store.remove(keyOf(engine));
        }
    }

    /// Writes the entry of an engine once more, and waits until all gateways have read it.
    auto awaitFollowing() -> void
    {
        isDraining_ = !isDraining_;
        auto &engine = engines.front();
        store.put(keyOf(engine), engine.entry(isDraining_ ? "draining" : "ready"));
        awaitLog("upstream=" + engine.upstream.name,
                 "revision=" + std::to_string(store.revision()));
    }

    auto awaitServing() -> void
    {
        BOOST_REQUIRE(runUntil(loop, [this] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [](const auto &gateway) { return gateway->isServing(); });
        }));
    }
    /// Waits until all gateways log a line with both texts, in this order.
    auto awaitLog(const std::string &first, const std::string &second) -> void
    {
        BOOST_REQUIRE(runUntil(loop, [&] {
            return std::all_of(gateways.begin(), gateways.end(), [&](const auto &gateway) {
                return gateway->logsLine(first, second);
            });
        }));
    }
    /// Waits until all gateways but the last `others` log the text.
    auto awaitLog(const std::string &text, std::size_t others = 0) -> void
    {
        BOOST_REQUIRE(runUntil(loop, [&] {
            return std::all_of(gateways.begin(),
                               gateways.end() - static_cast<std::ptrdiff_t>(others),
                               [&](const auto &gateway) { return gateway->logs(text); });
        }));
    }

    /// Begins one stream at each gateway; all break off as their gateways end.
    auto beginStreams() -> void { beginStreams(gateways.size(), gateways.size()); }
    /// Begins streams at the first gateways, by turns; their callers go on waiting.
    auto beginStreams(std::size_t count, std::size_t atGateways) -> void
    {
        setEnding(Ending::Silent);
        ++batch_;
        for (std::size_t i = 0; i < count; ++i) {
            callers_.push_back(send(i % atGateways, begunId(i), {}));
            BOOST_TEST(callers_.back()->receives("piece-1"));
        }
    }
    /// The callers of all streams that were begun close their connections.
    auto breakStreams() -> void
    {
        callers_.clear();
        setEnding(Ending::Whole);
    }
    /// Ends all gateways but the first `survivors` at once, and starts them anew.
    auto restartAllBut(std::size_t survivors) -> void
    {
        for (auto i = survivors; i < gateways.size(); ++i)
            gateways[i]->kill();
        for (auto i = survivors; i < gateways.size(); ++i)
            gateways[i]->start();
        setEnding(Ending::Whole);
        awaitServing();
    }
    /// Takes each stream up at the gateway after its own. Returns how many were answered whole.
    auto takeUpStreams() -> std::size_t
    {
        std::size_t whole = 0;
        for (std::size_t i = 0; i < gateways.size(); ++i)
            whole += isWhole(*sendTakeUp(i, (i + 1) % gateways.size())) ? 1 : 0;
        return whole;
    }
    /// Sends the callers of the first streams to one gateway, all at once. `meanwhile` is done
    /// before their answers are waited for. Returns how many were answered whole.
    auto takeUpStreamsAt(
        std::size_t gateway, std::size_t count, const std::function<void()> &meanwhile = [] {})
        -> std::size_t
    {
        std::vector<std::unique_ptr<Caller>> returned;
        for (std::size_t i = 0; i < count; ++i)
            returned.push_back(sendTakeUp(i, gateway));
        meanwhile();
        return static_cast<std::size_t>(std::count_if(
            returned.begin(), returned.end(), [](const auto &caller) { return isWhole(*caller); }));
    }
    /// Ends one gateway and starts it anew; streams that are taken up from now on end whole.
    auto restart(std::size_t gateway) -> void
    {
        gateways[gateway]->kill();
        gateways[gateway]->start();
        setEnding(Ending::Whole);
        awaitServing();
    }
    /// Streams that went on at an engine of another version than the one that began them.
    [[nodiscard]] auto joinedStreams() const -> std::size_t
    {
        std::map<std::string, std::string> begunAt;
        for (const auto &engine : engines) {
            for (const auto &request : engine.upstream.requests())
                begunAt[headerOf(request, "X-Attempt-Id")] = engine.version;
        }
        std::size_t joined = 0;
        for (const auto &engine : engines) {
            for (const auto &request : engine.upstream.requests()) {
                const auto begun = begunAt.find(headerOf(request, "Resumes"));
                joined += begun != begunAt.end() && begun->second != engine.version ? 1 : 0;
            }
        }
        return joined;
    }
    [[nodiscard]] auto resumedAt(const std::string &version) const -> std::size_t
    {
        std::size_t resumed = 0;
        for (const auto &engine : engines)
            resumed += engine.version == version ? engine.resumed() : 0;
        return resumed;
    }

    asio::io_context loop{1};
    std::list<VersionedEngine> engines;
    Store store;
    std::optional<CuttableLinks> links;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;

private:
    /// Loopback addresses that no other test program uses.
    static auto network() -> std::string { return networkOf(100); }
    /// The network of a gateway behind `links`.
    static auto ownNetwork() -> std::string { return networkOf(0); }
    static auto networkOf(unsigned first) -> std::string
    {
        const auto process = static_cast<unsigned>(getpid());
        return "127." + std::to_string(first + process % 100) + '.'
            + std::to_string(1 + process / 100 % 250) + '.';
    }

    /// Starts the gateway with this number in the network, in which all others seem to be.
    auto startGateway(const std::string &network, std::size_t host, std::size_t size,
                      const core::Address &storeAddress) -> void
    {
        std::string seeds;
        for (std::size_t other = 1; other <= size; ++other)
            seeds += (seeds.empty() ? "\"" : ",\"")
                + GatewayProcess::control(network + std::to_string(other)) + '"';
        const auto ip = network + std::to_string(host);
        gateways.push_back(
            std::make_unique<GatewayProcess>("edge-" + ip, ip, seeds, storeAddress, limits_));
    }
    static auto keyOf(const VersionedEngine &engine) -> std::string
    {
        return "servers/" + engine.upstream.name;
    }

    auto setEnding(Ending ending) -> void
    {
        for (auto &engine : engines)
            engine.ending = ending;
    }

    auto send(std::size_t gateway, const std::string &id, const std::string &headers)
        -> std::unique_ptr<Caller>
    {
        auto caller = std::make_unique<Caller>(loop, gateways[gateway]->callers);
        caller->send("POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: " + id
                     + "\r\nConnection: close\r\n" + headers + "Content-Length: 4\r\n\r\nbody");
        return caller;
    }

    /// The request that began a stream of the latest batch.
    [[nodiscard]] auto begunId(std::size_t stream) const -> std::string
    {
        return "begun-" + std::to_string(batch_) + '-' + std::to_string(stream);
    }
    auto sendTakeUp(std::size_t stream, std::size_t gateway) -> std::unique_ptr<Caller>
    {
        const auto id = "again-" + std::to_string(++takeUps_);
        return send(gateway, id, "Last-Event-Id: 1\r\nResumes: " + begunId(stream) + "\r\n");
    }
    /// Waits for the answer, which must be a stream or a refusal. Returns whether it is whole.
    static auto isWhole(Caller &caller) -> bool
    {
        BOOST_TEST(caller.seesClose());
        const auto &answer = caller.received;
        const auto isStream = answer.starts_with("HTTP/1.1 200");
        BOOST_TEST((isStream || answer.starts_with("HTTP/1.1 503")), answer);
        return isStream && answer.find("piece-3") != std::string::npos;
    }

    std::string limits_;      // Of each gateway's settings.
    bool isDraining_ = false; // The entry of the first engine.
    std::size_t batch_ = 0;
    std::size_t takeUps_ = 0;
    std::vector<std::unique_ptr<Caller>> callers_; // Of the streams that were begun.
};

} // namespace applehatch::gateway::testing
