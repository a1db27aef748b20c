/// Gateways as real processes, a store and engines of two versions on the test's event loop.
#pragma once

#include "gateway-versions/versioned-engine.h"
#include "store.h"

#include "applehatch/experiment/process.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace applehatch::gateway::testing {

/// One gateway's process; it keeps its addresses when it is started again.
class GatewayProcess
{
public:
    GatewayProcess(const std::string &name, std::string ip, const std::string &seeds,
                   const core::Address &store)
        : callers{std::move(ip), callerPort}
        , settings_(settingsOf(name, callers.ip, seeds, store))
    {
        start();
    }

    static auto control(const std::string &ip) -> std::string { return ip + ":8229"; }

    auto start() -> void
    {
        process_ = std::make_unique<experiment::Process>(std::vector<std::string>{
            experiment::programPath("applehatch-gateway"), "--settings", settings_.path()});
    }
    auto kill() -> void { process_->kill(); }
    /// Whether it has its configuration, and so takes requests.
    [[nodiscard]] auto isServing() const -> bool { return logs("event=configuration"); }
    [[nodiscard]] auto logs(const std::string &text) const -> bool
    {
        return process_->output().find(text) != std::string::npos;
    }

    core::Address callers;

private:
    static constexpr std::uint16_t callerPort = 8227;

    static auto settingsOf(const std::string &name, const std::string &ip, const std::string &seeds,
                           const core::Address &store) -> std::string
    {
        return R"({"node-name":")" + name + R"(","zone":"here","ip":")" + ip
            + R"(","listen":{"front":")" + ip + R"(:8227","ready":")" + ip + R"(:8220","control":")"
            + control(ip) + R"("},"port-range":[7340,7355],"seeds":[)" + seeds
            + R"(],"platform":{"addr":")" + store.ip + ':' + std::to_string(store.port)
            + R"(","history-s":20}})";
    }

    experiment::TemporaryFile settings_;
    std::unique_ptr<experiment::Process> process_;
};

/// A fleet whose engines serve one service, and its callers.
class ProcessFleet
{
public:
    explicit ProcessFleet(std::size_t size)
        : store(loop)
    {
        store.put("op/config",
                  R"({"version":1,"routes":[{"name":"r","host":"api.example",)"
                  R"("path-prefix":"/once/","type":"streaming","resumable":true,)"
                  R"("timeout-ms":12000,"slo-ms":400,"itl-target-ms":400,)"
                  R"("service":"pool","attempts":1}],"services":[{"name":"pool"}]})");
        std::vector<std::string> ips;
        std::string seeds;
        for (std::size_t i = 0; i < size; ++i) {
            ips.push_back(network() + std::to_string(i + 1));
            seeds += (seeds.empty() ? "\"" : ",\"") + GatewayProcess::control(ips.back()) + '"';
        }
        for (const auto &ip : ips)
            gateways.push_back(
                std::make_unique<GatewayProcess>("edge-" + ip, ip, seeds, store.address()));
    }

    auto addEngine(const std::string &version) -> VersionedEngine &
    {
        engines.emplace_back(loop, "engine-" + std::to_string(engines.size()), version);
        store.put(keyOf(engines.back()), engines.back().entry("ready"));
        return engines.back();
    }
    /// Removes the entries of a version, as if its engines had left without a word before.
    auto removeVersion(const std::string &version) -> void
    {
        for (const auto &engine : engines) {
            if (engine.version == version)
                store.remove(keyOf(engine));
        }
    }

    auto awaitServing() -> void
    {
        BOOST_REQUIRE(runUntil(loop, [this] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [](const auto &gateway) { return gateway->isServing(); });
        }));
    }
    /// Waits until all gateways log the text.
    auto awaitLog(const std::string &text) -> void
    {
        BOOST_REQUIRE(runUntil(loop, [&] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [&](const auto &gateway) { return gateway->logs(text); });
        }));
    }

    /// Begins one stream at each gateway; all break off as their gateways end.
    auto beginStreams() -> void
    {
        setEnding(Ending::Silent);
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            callers_.push_back(send(i, "begun-" + std::to_string(i), {}));
            BOOST_TEST(callers_.back()->receives("piece-1"));
        }
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
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            const auto caller =
                send((i + 1) % gateways.size(), "again-" + std::to_string(i),
                     "Last-Event-Id: 1\r\nResumes: begun-" + std::to_string(i) + "\r\n");
            BOOST_TEST(caller->seesClose());
            const auto &answer = caller->received;
            whole +=
                answer.starts_with("HTTP/1.1 200") && answer.find("piece-3") != std::string::npos
                ? 1
                : 0;
            BOOST_TEST((answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503")),
                       answer);
        }
        return whole;
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
    std::vector<std::unique_ptr<GatewayProcess>> gateways;

private:
    /// Loopback addresses that no other test program uses.
    static auto network() -> std::string
    {
        const auto process = static_cast<unsigned>(getpid());
        return "127." + std::to_string(100 + process % 100) + '.'
            + std::to_string(process / 100 % 250) + '.';
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

    std::vector<std::unique_ptr<Caller>> callers_; // Of the streams that were begun.
};

} // namespace applehatch::gateway::testing
