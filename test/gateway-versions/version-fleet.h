/// Two gateways, callers, and engines of two versions of one service, as entries of the platform's
/// store describe them. Each gateway has an event loop of its own, so that it can end at any
/// moment.
#pragma once

#include "directory-decoder.h"
#include "platform-vocabulary.h"
#include "versioned-engine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace applehatch::gateway::testing {

/// What the store still holds of the past when a gateway asks; none if it does not answer.
using History = std::optional<direct::RegistryHistory>;

/// A calm store: nothing has changed for longer than a stream lasts.
inline const History calmHistory = direct::RegistryHistory{{}, 20s, 1};

/// A gateway that reads its list of engines and its configuration from the entries given to it.
class VersionedGateway
{
public:
    explicit VersionedGateway(const History &history, std::vector<core::Address> seeds = {})
        : settings(testSettings(std::move(seeds)))
        , host(loop, settings, platform::platformVocabulary(), platform::DirectoryDecoder())
    {
        host.onHistoryWanted([this, &history] {
            if (history)
                return host.registryHistoryRead(*history);
            host.registryHistoryFailed("status 410");
        });
        const auto error = host.start();
        if (error)
            throw boost::system::system_error(error);
    }

    auto read(const std::map<std::string, std::string> &entries, std::uint64_t revision) -> void
    {
        direct::RegistrySnapshot snapshot;
        snapshot.revision = revision;
        for (const auto &[key, value] : entries)
            snapshot.items.push_back({key, value, revision});
        host.registryAnswered();
        host.registryRead(snapshot);
    }

    asio::io_context loop{1};
    bool isRunning = true;

    GatewaySettings settings;
    GatewayHost host;
};

/// The fleet and what its callers send.
class VersionFleet
{
public:
    VersionFleet()
        : first(std::make_unique<VersionedGateway>(history))
        , second(std::make_unique<VersionedGateway>(history, std::vector{first->settings.peers}))
    { }

    auto addEngine(const std::string &version) -> VersionedEngine &
    {
        const auto name = "engine-" + std::to_string(engines.size());
        engines.emplace_back(loop, name, version);
        states_[&engines.back()] = "ready";
        return engines.back();
    }
    /// Changes the state of an engine's entry; an empty one removes it.
    auto setState(const VersionedEngine &engine, const std::string &state) -> void
    {
        states_[&engine] = state;
    }

    /// Lets both gateways read the entries as they are.
    auto publish() -> void
    {
        ++revision_;
        for (auto *gateway : {first.get(), second.get()}) {
            if (gateway->isRunning)
                gateway->read(entries(), revision_);
        }
    }

    /// Starts another process in the place of the second gateway.
    auto restartSecond() -> void
    {
        second = std::make_unique<VersionedGateway>(history, std::vector{first->settings.peers});
        second->read(entries(), revision_);
    }
    /// Ends both gateways and starts others, which know nothing but what the store tells.
    auto restartAll() -> void
    {
        first = std::make_unique<VersionedGateway>(history);
        first->read(entries(), revision_);
        restartSecond();
    }
    /// The entry as it was written in the store's history.
    [[nodiscard]] static auto written(const VersionedEngine &engine, const std::string &state)
        -> direct::RegistryChange
    {
        return {{"servers/" + engine.upstream.name, engine.entry(state), 1}, false};
    }
    [[nodiscard]] static auto removed(const VersionedEngine &engine) -> direct::RegistryChange
    {
        return {{"servers/" + engine.upstream.name, {}, 1}, true};
    }

    template <typename Condition>
    auto runUntil(Condition condition, std::chrono::milliseconds limit = testTimeout) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            step();
        return condition();
    }
    auto runFor(std::chrono::milliseconds time) -> void
    {
        static_cast<void>(runUntil([] { return false; }, time));
    }
    /// Waits until the gateways have heard each other.
    auto meet() -> bool
    {
        for (int tries = 0; tries < 200; ++tries) {
            if (hears(*first) && hears(*second))
                return true;
        }
        return false;
    }

    /// Sends a request and returns all that its caller got until the connection closed, or until
    /// `enough` came.
    auto ask(VersionedGateway &gateway, const std::string &id, const std::string &headers = {},
             const std::string &path = "/once/", const std::string &enough = {}) -> std::string
    {
        Caller caller(loop, gateway.settings.callers);
        caller.send("POST " + path + "x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: " + id
                    + "\r\nAuthorization: Bearer " + key + "\r\nConnection: close\r\n" + headers
                    + "Content-Length: 4\r\n\r\nbody");
        static_cast<void>(runUntil([&] {
            return caller.ended
                || (!enough.empty() && caller.received.find(enough) != std::string::npos);
        }));
        return caller.received;
    }
    /// The same for a caller that takes the stream that `id` began up after its first event.
    auto resume(VersionedGateway &gateway, const std::string &newId, const std::string &id,
                const std::string &enough = {}) -> std::string
    {
        return ask(gateway, newId, "Last-Event-Id: 1\r\nResumes: " + id + "\r\n", "/once/", enough);
    }

    /// Begins a stream at the engine, the only one that takes requests, and lets it break off after
    /// its first event. The entries of the others are in `stateOfOthers` meanwhile.
    auto beginAndBreak(VersionedGateway &gateway, const std::string &id, VersionedEngine &engine,
                       const std::string &stateOfOthers = "draining") -> void
    {
        for (auto &each : engines)
            setState(each, &each == &engine ? "ready" : stateOfOthers);
        publish();
        engine.ending = Ending::Reset;
        const auto received = ask(gateway, id, {}, "/once/", "piece-1");
        BOOST_TEST(received.find("piece-1") != std::string::npos);
        engine.ending = Ending::Whole;
    }
    /// Makes all engines take requests.
    auto openAll() -> void
    {
        for (auto &each : engines)
            setState(each, "ready");
        publish();
    }
    /// Requests that went on behind an event, at engines of the version.
    [[nodiscard]] auto resumedAt(const std::string &version) const -> std::size_t
    {
        std::size_t resumed = 0;
        for (const auto &engine : engines)
            resumed += engine.version == version ? engine.resumed() : 0;
        return resumed;
    }

    asio::io_context loop{1};
    std::list<VersionedEngine> engines;
    History history = calmHistory;
    std::unique_ptr<VersionedGateway> first;
    std::unique_ptr<VersionedGateway> second;
    std::string key = "key-1";

private:
    auto hears(VersionedGateway &gateway) -> bool
    {
        Caller scraper(loop, gateway.settings.metrics);
        scraper.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        static_cast<void>(runUntil([&] { return scraper.ended; }));
        return scraper.received.find("applehatch_peers 1") != std::string::npos;
    }

    [[nodiscard]] auto entries() const -> std::map<std::string, std::string>
    {
        const auto route = [](const std::string &prefix, int attempts) {
            return R"({"name":")" + prefix + R"(","host":"api.example","path-prefix":")" + prefix
                + R"(","type":"streaming","resumable":true,"timeout-ms":3000,"slo-ms":400,)"
                + R"("itl-target-ms":400,"service":"pool","attempts":)" + std::to_string(attempts)
                + '}';
        };
        std::map<std::string, std::string> entries;
        entries["op/config"] = R"({"version":1,"routes":[)" + route("/once/", 1) + ','
            + route("/thrice/", 3) + R"(],"services":[{"name":"pool"}],"tenants":[)"
            + R"({"name":"acme","api-keys":["key-1"]},{"name":"other","api-keys":["key-2"]}]})";
        for (const auto &[engine, state] : states_) {
            if (!state.empty())
                entries["servers/" + engine->upstream.name] = engine->entry(state);
        }
        return entries;
    }

    auto step() -> void
    {
        loop.restart();
        loop.run_for(2ms);
        for (auto *gateway : {first.get(), second.get()}) {
            if (!gateway->isRunning)
                continue;
            gateway->loop.restart();
            gateway->loop.run_for(2ms);
        }
    }

    std::map<const VersionedEngine *, std::string> states_;
    std::uint64_t revision_ = 0;
};

} // namespace applehatch::gateway::testing
