/// Test fixture: router and sidecar nodes, connected by failing links, with fake upstreams.
#pragma once

#include "core/router-fixture.h"

#include "applehatch/core/sidecar-node.h"

#include <deque>
#include <map>
#include <set>

namespace applehatch::core::test::fleet {

inline constexpr Duration step = 50ms;

struct FleetCounts
{
    std::uint64_t linksBroken = 0;
    std::uint64_t linksSilent = 0;
    std::uint64_t restarts = 0;
    std::uint64_t callersReconnected = 0;
    std::uint64_t wholeAnswers = 0;
    std::uint64_t wholeAfterReconnect = 0;
    std::uint64_t notRun = 0;
    std::uint64_t otherFailures = 0;
};

/// An ordered connection with the semantics of TCP: messages in transit are lost when it breaks.
struct Connection
{
    std::size_t router = 0;
    UpstreamId upstream = 0;
    bool up = false;
    bool silent = false;
    std::deque<std::pair<Instant, Message>> toRouter;
    std::deque<std::pair<Instant, Message>> toSidecar;
};

/// A run at an upstream that sends its body in parts.
struct FakeRun
{
    RequestId request;
    std::string body;
    std::size_t sent = 0;
    bool begun = false;
};

struct Upstream
{
    std::unique_ptr<SidecarNode> sidecar;
    Incarnation incarnation = 1;
    std::string pool;
    std::string name;
    std::map<RunId, FakeRun> runs;
    std::map<RequestId, std::string> keptStreams; ///< Bodies that the engine keeps for a resume.
};

struct Caller
{
    RequestId request;
    RequestId exchange; ///< Request id of the current connection.
    std::size_t router = 0;
    bool stream = false;
    std::string received;
    std::string position;
    bool done = false;
    std::uint32_t reconnects = 0;
    std::optional<Instant> reconnectAt;
};

/// Simulates two routers, their sidecars, and callers that lose their connections and reconnect.
class Fleet
{
public:
    Fleet(std::uint64_t seed, FleetCounts &counts)
        : random_(seed)
        , counts_(counts)
    {
        for (const auto &[name, pool] : settings_->teams.at("ledger")->pools) {
            for (const auto &each : pool.members) {
                auto &upstream = upstreams_[each.id];
                upstream.pool = name;
                upstream.name = each.name;
                startSidecar(each.id);
            }
        }
        for (std::size_t i = 0; i < 2; ++i) {
            routers_.push_back(std::make_unique<RouterNode>(
                RouterIdentity{"router-" + std::to_string(i), "bole", random_()}));
            toRouter(i, SettingsInForce{settings_});
        }
    }

    auto run() -> void
    {
        for (auto i = 0; i < 16; ++i) {
            sendRequest(i);
            advance(10);
        }
        faults_ = false;
        advance(45s / step);
        for (const auto &[id, caller] : callers_)
            BOOST_TEST(caller.done, id << " has no outcome");
        for (const auto &[key, count] : keyRuns_)
            BOOST_TEST(count == 1U, key << " ran more than once");
    }

private:
    auto chance(std::uint64_t percent) -> bool { return random_() % 100 < percent; }

    auto sendRequest(int number) -> void
    {
        const auto id = "r" + std::to_string(number);
        auto request = number % 2 == 0 ? chatRequest(id, random_() % 6)
                                       : serviceRequest(id, "POST", "/jobs/" + id);
        if (number % 4 == 3) {
            // The second request with each key is sent through the other router.
            const auto key = "key-" + std::to_string(number / 8);
            request.terms.runOnce = true;
            request.terms.idempotencyKey = key;
            request.terms.firstSend = number % 8 == 3;
            request.call.path = "/jobs/" + key;
            request.call.body = std::make_shared<const std::string>(key);
        }
        request.call.stream = !request.terms.model.empty();
        request.deadline = 40s;
        auto &caller = callers_[id];
        caller.request = id;
        caller.exchange = id;
        caller.router = static_cast<std::size_t>(number / 4 % 2);
        caller.stream = request.call.stream;
        byExchange_[id] = id;
        toRouter(caller.router, std::move(request));
    }

    auto advance(std::int64_t steps) -> void
    {
        for (std::int64_t i = 0; i < steps; ++i) {
            now_ += step;
            if (faults_)
                injectFaults();
            deliver();
            advanceRuns();
            reconnectCallers();
            for (std::size_t router = 0; router < routers_.size(); ++router)
                toRouter(router, Tick{});
            for (const auto &[id, upstream] : upstreams_)
                toSidecar(id, Tick{});
            if (i % 20 == 0)
                report();
        }
    }

    auto report() -> void
    {
        for (const auto &[id, upstream] : upstreams_)
            toSidecar(id, UpstreamReport{true, "epoch", 0, 0, {"sheet-writer"}, 0});
    }

    auto startSidecar(UpstreamId id) -> void
    {
        auto &upstream = upstreams_.at(id);
        upstream.sidecar = std::make_unique<SidecarNode>(SidecarIdentity{
            "ledger", upstream.pool, upstream.name, "bole", upstream.incarnation, random_()});
        upstream.runs.clear();
        toSidecar(id, SettingsInForce{settings_});
        toSidecar(id, UpstreamReport{true, "epoch", 0, 0, {"sheet-writer"}, 0});
    }

    auto injectFaults() -> void
    {
        if (!connections_.empty() && chance(4)) {
            const auto at =
                std::next(connections_.begin(), static_cast<long>(random_() % connections_.size()));
            if (chance(40)) {
                at->second.silent = true;
                ++counts_.linksSilent;
            } else {
                ++counts_.linksBroken;
                breakConnection(at->first);
            }
        }
        if (chance(1)) {
            const auto at =
                std::next(upstreams_.begin(), static_cast<long>(random_() % upstreams_.size()));
            ++counts_.restarts;
            ++at->second.incarnation;
            startSidecar(at->first);
            std::vector<LinkId> lost;
            for (const auto &[link, connection] : connections_) {
                if (connection.upstream == at->first)
                    lost.push_back(link);
            }
            for (const auto link : lost)
                breakConnection(link);
        }
        for (auto &[id, caller] : callers_) {
            if (caller.stream && !caller.done && !caller.reconnectAt && !caller.position.empty()
                && chance(2)) {
                toRouter(caller.router, CallerDisconnected{caller.exchange});
                caller.reconnectAt = now_ + Duration(random_() % 3000000);
            }
        }
    }

    auto breakConnection(LinkId link) -> void
    {
        const auto connection = connections_.at(link);
        connections_.erase(link);
        toSidecar(connection.upstream, PeerLinkDown{link});
        if (!connection.silent)
            toRouter(connection.router, LinkDown{connection.upstream});
    }

    auto reconnectCallers() -> void
    {
        for (auto &[id, caller] : callers_) {
            if (!caller.reconnectAt || *caller.reconnectAt > now_)
                continue;
            caller.reconnectAt.reset();
            ++caller.reconnects;
            ++counts_.callersReconnected;
            caller.exchange = id + "-" + std::to_string(caller.reconnects);
            byExchange_[caller.exchange] = id;
            caller.router = 1 - caller.router;
            toRouter(caller.router,
                     CallerResume{caller.exchange, caller.position, "ledger", "east"});
        }
    }

    auto deliver() -> void
    {
        std::vector<LinkId> links;
        for (const auto &[link, connection] : connections_)
            links.push_back(link);
        for (const auto link : links) {
            while (auto message = next(link, &Connection::toSidecar))
                toSidecar(connections_.at(link).upstream, FromPeer{link, std::move(*message)});
            while (auto message = next(link, &Connection::toRouter))
                receiveAtRouter(link, std::move(*message));
        }
    }

    auto next(LinkId link, std::deque<std::pair<Instant, Message>> Connection::*queue)
        -> std::optional<Message>
    {
        const auto at = connections_.find(link);
        if (at == connections_.end() || at->second.silent)
            return std::nullopt;
        auto &waiting = at->second.*queue;
        if (waiting.empty() || waiting.front().first > now_)
            return std::nullopt;
        auto message = std::move(waiting.front().second);
        waiting.pop_front();
        return message;
    }

    auto receiveAtRouter(LinkId link, Message message) -> void
    {
        auto &connection = connections_.at(link);
        toSidecar(connection.upstream, PeerResponded{link});
        const auto *heartbeat = std::get_if<Heartbeat>(&message);
        if (heartbeat != nullptr && !connection.up) {
            connection.up = true;
            toRouter(connection.router,
                     LinkUp{connection.upstream, heartbeat->incarnation, heartbeat->clock});
            return;
        }
        toRouter(connection.router, FromSidecar{connection.upstream, std::move(message)});
    }

    auto linkOf(std::size_t router, UpstreamId upstream) -> std::optional<LinkId>
    {
        for (const auto &[link, connection] : connections_) {
            if (connection.router == router && connection.upstream == upstream)
                return link;
        }
        return std::nullopt;
    }

    auto toRouter(std::size_t router, RouterEvent event) -> void
    {
        for (auto &action : routers_.at(router)->handle(std::move(event), now_))
            execute(router, action);
    }

    auto toSidecar(UpstreamId id, SidecarEvent event) -> void
    {
        auto &sidecar = *upstreams_.at(id).sidecar;
        for (auto &action : sidecar.handle(std::move(event), now_ + clockOffset))
            execute(id, action);
    }

    auto execute(std::size_t router, RouterAction &action) -> void
    {
        if (const auto *opening = std::get_if<OpenLink>(&action)) {
            const auto link = ++lastLink_;
            connections_[link] = {router, opening->upstream, false, false, {}, {}};
            toSidecar(opening->upstream, PeerLinkUp{link});
        } else if (const auto *dropped = std::get_if<DropLink>(&action)) {
            if (const auto link = linkOf(router, dropped->upstream)) {
                connections_.at(*link).silent = true; // No LinkDown is reported for it.
                breakConnection(*link);
            }
        } else if (auto *sending = std::get_if<SendToSidecar>(&action)) {
            if (const auto link = linkOf(router, sending->upstream))
                connections_.at(*link).toSidecar.emplace_back(now_ + step,
                                                              std::move(sending->message));
        } else if (const auto *digest = std::get_if<SendDigest>(&action)) {
            toSidecar(digest->upstream, DigestReceived{digest->digest});
        } else if (const auto *chunk = std::get_if<AnswerChunk>(&action)) {
            receiveChunk(router, *chunk);
        } else if (const auto *end = std::get_if<AnswerEnd>(&action)) {
            finish(end->request);
        } else if (const auto *failed = std::get_if<AnswerFailure>(&action)) {
            finish(*failed);
        }
    }

    auto execute(UpstreamId from, SidecarAction &action) -> void
    {
        if (auto *sending = std::get_if<SendToPeer>(&action)) {
            const auto link = connections_.find(sending->link);
            if (link != connections_.end())
                link->second.toRouter.emplace_back(now_ + step, std::move(sending->message));
        } else if (const auto *closing = std::get_if<ClosePeer>(&action)) {
            const auto link = connections_.find(closing->link);
            if (link != connections_.end())
                breakConnection(closing->link);
        } else if (const auto *digest = std::get_if<SendDigest>(&action)) {
            if (digest->upstream == 0)
                toRouter(random_() % routers_.size(), DigestReceived{digest->digest});
            else
                toSidecar(digest->upstream, DigestReceived{digest->digest});
        } else if (const auto *starting = std::get_if<StartRun>(&action)) {
            start(from, *starting);
        } else if (const auto *cancelled = std::get_if<CancelRun>(&action)) {
            upstreams_.at(from).runs.erase(cancelled->run);
        }
    }

    // A call without a method only resumes a stream that the engine kept.
    auto start(UpstreamId id, const StartRun &starting) -> void
    {
        auto &upstream = upstreams_.at(id);
        FakeRun run{starting.request, {}, starting.resumeFrom, false};
        const auto kept = upstream.keptStreams.find(starting.request);
        if (starting.call.method.empty()) {
            if (kept == upstream.keptStreams.end()) {
                brokenRuns_.emplace_back(id, starting.run, RunBreak::NeverSent);
                return;
            }
            run.body = kept->second;
        } else {
            ran_.insert(callerRequestOf(starting.request));
            if (starting.call.path.starts_with("/jobs/key-"))
                ++keyRuns_[starting.call.path];
            const auto parts = 1 + random_() % 30;
            for (std::uint64_t i = 0; i < parts; ++i)
                run.body += "data: " + std::to_string(random_()) + "\n\n";
            bodies_.insert(run.body);
            if (upstream.pool == "drafting")
                upstream.keptStreams[starting.request] = run.body;
        }
        upstream.runs[starting.run] = std::move(run);
    }

    // The id that an engine gets is the request's id followed by a hash.
    [[nodiscard]] auto callerRequestOf(const RequestId &engineRequest) const -> RequestId
    {
        for (const auto &[id, caller] : callers_) {
            if (engineRequest == id || engineRequest.starts_with(id + ".")
                || engineRequest.starts_with(id + "-"))
                return id;
        }
        return engineRequest;
    }

    auto advanceRuns() -> void
    {
        for (const auto &[id, run, reason] : std::exchange(brokenRuns_, {}))
            toSidecar(id, RunBroken{run, reason});
        for (auto &[id, upstream] : upstreams_) {
            std::vector<RunId> runs;
            for (const auto &[run, fake] : upstream.runs)
                runs.push_back(run);
            for (const auto run : runs)
                advanceRun(id, run);
        }
    }

    auto advanceRun(UpstreamId id, RunId run) -> void
    {
        auto &runs = upstreams_.at(id).runs;
        const auto at = runs.find(run);
        if (at == runs.end())
            return;
        auto &fake = at->second;
        if (!fake.begun) {
            fake.begun = true;
            toSidecar(id, RunHead{run, 200, {{"Content-Type", "text/event-stream"}}, false});
            return;
        }
        if (fake.sent >= fake.body.size()) {
            runs.erase(at);
            toSidecar(id, RunEnd{run});
            return;
        }
        if (faults_ && chance(1)) {
            runs.erase(at);
            toSidecar(id, RunBroken{run, RunBreak::Lost});
            return;
        }
        const auto part = fake.body.substr(fake.sent, 1 + random_() % 40);
        fake.sent += part.size();
        toSidecar(id, RunChunk{run, part});
    }

    auto callerOf(const RequestId &exchange) -> Caller *
    {
        auto &caller = callers_.at(byExchange_.at(exchange));
        return caller.exchange == exchange && !caller.reconnectAt && !caller.done ? &caller
                                                                                  : nullptr;
    }

    auto receiveChunk(std::size_t router, const AnswerChunk &chunk) -> void
    {
        auto *caller = callerOf(chunk.request);
        if (caller == nullptr)
            return;
        BOOST_TEST(chunk.offset == caller->received.size());
        caller->received += chunk.data;
        caller->position = chunk.position;
        consumed_.emplace_back(router, CallerConsumed{chunk.request, caller->received.size()});
        if (consumed_.size() > 1)
            return;
        while (!consumed_.empty()) {
            toRouter(consumed_.front().first, consumed_.front().second);
            consumed_.pop_front();
        }
    }

    auto finish(const RequestId &exchange) -> void
    {
        auto *caller = callerOf(exchange);
        if (caller == nullptr)
            return;
        caller->done = true;
        ++counts_.wholeAnswers;
        counts_.wholeAfterReconnect += caller->reconnects > 0 ? 1U : 0U;
        BOOST_TEST(bodies_.contains(caller->received));
    }

    auto finish(const AnswerFailure &failed) -> void
    {
        auto *caller = callerOf(failed.request);
        if (caller == nullptr)
            return;
        caller->done = true;
        const auto isNotRun = failed.failure.run == Run::NotRun;
        ++(isNotRun ? counts_.notRun : counts_.otherFailures);
        if (isNotRun)
            BOOST_TEST(!ran_.contains(caller->request), failed.failure.detail);
    }

    std::mt19937_64 random_;
    FleetCounts &counts_;
    Instant now_ = test::start;
    SettingsPtr settings_ = makeSettings(4);
    std::map<UpstreamId, Upstream> upstreams_;
    std::vector<std::unique_ptr<RouterNode>> routers_;
    std::map<LinkId, Connection> connections_;
    LinkId lastLink_ = 0;
    std::map<RequestId, Caller> callers_;
    std::map<RequestId, RequestId> byExchange_;
    std::deque<std::pair<std::size_t, CallerConsumed>> consumed_;
    std::vector<std::tuple<UpstreamId, RunId, RunBreak>> brokenRuns_;
    std::set<RequestId> ran_;
    std::set<std::string> bodies_;
    std::map<std::string, std::uint32_t> keyRuns_;
    bool faults_ = true;
};

} // namespace applehatch::core::test::fleet
