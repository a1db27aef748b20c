#include "applehatch/core/router-node.h"
#include "core/sidecar-fixture.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

constexpr std::size_t routers = 2;

/// Two router nodes and the sidecars of one service pool, with messages delivered at once.
class Fleet
{
public:
    Fleet()
        : pool_(makePool())
    {
        for (std::size_t at = 0; at < pool_.members.size(); ++at) {
            const auto &member = pool_.members[at];
            sidecars_[member.id] = std::make_unique<SidecarNode>(
                SidecarIdentity{"tai", "jobs", member.name, "dc", 7, at});
            toSidecar(member.id, SettingsInForce{settings()});
            toSidecar(member.id, UpstreamReport{true, "epoch-1", 0, 0, {}, 0});
        }
        for (std::size_t at = 0; at < routers; ++at) {
            routers_.push_back(std::make_unique<RouterNode>(RouterIdentity{"router", "dc", at}));
            toRouter(at, SettingsInForce{settings()});
        }
        settle();
    }

    auto give(std::size_t router, RouterEvent event) -> void
    {
        toRouter(router, std::move(event));
        settle();
    }

    auto gossip() -> void
    {
        Digest digest;
        for (const auto &[id, sidecar] : sidecars_) {
            if (const auto entry = sidecar->loads().find(id, now_))
                digest.entries.push_back(*entry);
        }
        for (const auto &[id, sidecar] : sidecars_)
            toSidecar(id, DigestReceived{digest});
        for (std::size_t at = 0; at < routers; ++at)
            toRouter(at, DigestReceived{digest});
        settle();
    }

    std::vector<UpstreamId> runsAt;
    std::map<RequestId, std::string> bodies;
    std::set<RequestId> ended;
    std::vector<AnswerFailure> failures;
    std::vector<AnswerTicket> tickets;

private:
    static auto makePool() -> Pool
    {
        auto pool = poolOf(3, 8);
        pool.kind = applehatch::settings::PoolKind::Service;
        pool.pathPrefix = "/jobs";
        pool.loadMultiple = 10;
        return pool;
    }

    [[nodiscard]] auto settings() const -> SettingsPtr
    {
        return settingsOf(pool_, 1, {{"c1", {"c1", 1.0, 0}}});
    }

    auto toSidecar(UpstreamId id, SidecarEvent event) -> void
    {
        for (auto &action : sidecars_.at(id)->handle(std::move(event), now_))
            pending_.push_back([this, id, action] { carry(id, action); });
    }

    auto toRouter(std::size_t router, RouterEvent event) -> void
    {
        for (auto &action : routers_.at(router)->handle(std::move(event), now_))
            pending_.push_back([this, router, action] { carry(router, action); });
    }

    auto settle() -> void
    {
        while (!pending_.empty()) {
            const auto next = std::move(pending_.front());
            pending_.pop_front();
            next();
        }
    }

    auto carry(UpstreamId from, const SidecarAction &action) -> void
    {
        if (const auto *send = std::get_if<SendToPeer>(&action)) {
            const auto *heartbeat = std::get_if<Heartbeat>(&send->message);
            if (heartbeat != nullptr && up_.insert({send->link, from}).second)
                toRouter(send->link, LinkUp{from, heartbeat->incarnation, heartbeat->clock});
            else
                toRouter(send->link, FromSidecar{from, send->message});
        } else if (const auto *start = std::get_if<StartRun>(&action)) {
            runsAt.push_back(from);
            const auto body = "ran " + std::to_string(runsAt.size());
            toSidecar(from, RunHead{start->run, 200, {}, false});
            toSidecar(from, RunChunk{start->run, body});
            toSidecar(from, RunEnd{start->run});
        }
    }

    auto carry(std::size_t router, const RouterAction &action) -> void
    {
        if (const auto *open = std::get_if<OpenLink>(&action)) {
            toSidecar(open->upstream, PeerLinkUp{router});
        } else if (const auto *send = std::get_if<SendToSidecar>(&action)) {
            toSidecar(send->upstream, FromPeer{router, send->message});
        } else if (const auto *chunk = std::get_if<AnswerChunk>(&action)) {
            bodies[chunk->request] += chunk->data;
            toRouter(router, CallerConsumed{chunk->request, bodies[chunk->request].size()});
        } else if (const auto *end = std::get_if<AnswerEnd>(&action)) {
            ended.insert(end->request);
        } else if (const auto *failure = std::get_if<AnswerFailure>(&action)) {
            failures.push_back(*failure);
        } else if (const auto *ticket = std::get_if<AnswerTicket>(&action)) {
            tickets.push_back(*ticket);
        }
    }

    Instant now_{1000s};
    Pool pool_;
    std::map<UpstreamId, std::unique_ptr<SidecarNode>> sidecars_;
    std::vector<std::unique_ptr<RouterNode>> routers_;
    std::set<std::pair<LinkId, UpstreamId>> up_;
    std::deque<std::function<void()>> pending_;
};

auto booking(const RequestId &id, const std::string &key, bool firstSend) -> CallerRequest
{
    CallerRequest request;
    request.request = id;
    request.terms.team = "tai";
    request.terms.customer = "c1";
    request.terms.idempotencyKey = key;
    request.terms.runOnce = true;
    request.terms.firstSend = firstSend;
    request.terms.fingerprint = 5;
    request.call.method = "POST";
    request.call.path = "/jobs/new";
    request.call.body = std::make_shared<const std::string>("boiler");
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_and_router)

// A caller books a repair, receives no answer and sends the key again to another router. If the two
// routers, or a router and a sidecar, did not agree on the owner of the key, it would be refused or
// run twice.
BOOST_AUTO_TEST_CASE(keys_run_once_through_any_router)
{
    Fleet fleet;
    fleet.gossip();
    constexpr std::size_t keys = 24;
    for (std::size_t number = 0; number < keys; ++number) {
        const auto key = "k" + std::to_string(number);
        fleet.give(0, booking("a" + key, key, true));
        fleet.give(1, booking("b" + key, key, false));
        BOOST_TEST(fleet.bodies["a" + key] == "ran " + std::to_string(number + 1));
        BOOST_TEST(fleet.bodies["b" + key] == fleet.bodies["a" + key]);
    }
    BOOST_TEST(fleet.failures.empty());
    BOOST_TEST(fleet.ended.size() == 2 * keys);
    BOOST_TEST(fleet.runsAt.size() == keys);
    const std::set<UpstreamId> owners(fleet.runsAt.begin(), fleet.runsAt.end());
    BOOST_TEST(owners.size() == 3U);
}

// The same with a ticket: all sends name one incarnation of one upstream, whichever member owns the
// key.
BOOST_AUTO_TEST_CASE(tickets_run_once_through_any_router)
{
    Fleet fleet;
    fleet.gossip();
    for (std::size_t number = 0; number < 6; ++number) {
        const auto name = std::to_string(number);
        fleet.give(0, TicketRequest{"t" + name, "tai", "c1", "jobs"});
        BOOST_REQUIRE(fleet.tickets.size() == number + 1);
        for (const std::size_t router : {0U, 1U}) {
            auto request = booking("r" + name + std::to_string(router), "", false);
            request.ticket = fleet.tickets.back().ticket;
            fleet.give(router, request);
        }
        BOOST_TEST(fleet.runsAt.size() == number + 1);
        BOOST_TEST(fleet.bodies["r" + name + "1"] == fleet.bodies["r" + name + "0"]);
    }
    BOOST_TEST(fleet.failures.empty());
    BOOST_TEST(fleet.ended.size() == 12U);
}

BOOST_AUTO_TEST_SUITE_END()
