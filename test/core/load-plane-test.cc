// Measures the load gossip between the sidecars of one pool: its traffic and the age of the
// reports.
#include "applehatch/core/gossip.h"
#include "core/sidecar-fixture.h"

#include <algorithm>

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

struct PoolOptions
{
    std::uint32_t members = 18;
    bool isBusy = false; ///< Whether every sidecar's load changes several times per second.
    double loss = 0;     ///< Share of datagrams lost in each direction.
};

/// Load entries that the sidecars have of each other, sampled once per second.
struct Evidence
{
    std::vector<Duration> ages; ///< Age of each entry found, sorted after the run.
    std::size_t missing = 0;    ///< Number of entries never received or expired.

    [[nodiscard]] auto mean() const -> Duration
    {
        Duration sum{0};
        for (const auto age : ages)
            sum += age;
        return sum / std::max<std::size_t>(1, ages.size());
    }
    [[nodiscard]] auto quantile(double share) const -> Duration
    {
        const auto last = static_cast<double>(ages.size() - 1);
        return ages.at(static_cast<std::size_t>(share * last));
    }
};

/// Simulates the sidecars of a pool without a router, so that loads spread by digests alone.
class DigestPool
{
public:
    explicit DigestPool(PoolOptions options)
        : options_(options)
        , pool_(poolOf(options.members, 8))
    {
        for (std::uint32_t number = 0; number < options.members; ++number) {
            const SidecarIdentity identity{"tai", "jobs", pool_.members[number].name,
                                           "dc",  7,      number + 1};
            nodes_.push_back(std::make_unique<SidecarNode>(identity));
            feed(number, SettingsInForce{settingsOf(pool_)});
            feed(number, UpstreamReport{true, "epoch", 0, 0, {}, 0});
            feed(number, PeerLinkUp{routerLink});
        }
    }

    /// Runs the pool for a warm-up of 20 s and then measures for `seconds`.
    auto run(std::uint32_t seconds) -> void
    {
        constexpr std::uint32_t warmUpSeconds = 20;
        const auto begin = now_;
        for (std::uint32_t second = 0; second < warmUpSeconds + seconds; ++second) {
            while (now_ < begin + Duration(1s) * (second + 1))
                step(now_ - begin);
            if (second >= warmUpSeconds)
                sampleEntries();
            else
                bytes_ = 0;
        }
        bytesPerSecond_ = bytes_ / seconds / options_.members;
        std::sort(evidence_.ages.begin(), evidence_.ages.end());
    }

    /// Returns an upper bound on the bytes that one sidecar sends and receives per second.
    [[nodiscard]] auto bytesPerSecond() const -> std::size_t { return bytesPerSecond_; }
    [[nodiscard]] auto evidence() const -> const Evidence & { return evidence_; }

private:
    // The starts of the sidecars are spread over one second.
    auto step(Duration sinceBegin) -> void
    {
        now_ += 50ms;
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            if (sinceBegin < Duration(1s) * number / nodes_.size())
                continue;
            if (options_.isBusy)
                submitRequest(number);
            feed(number, Tick{});
        }
    }

    auto submitRequest(std::size_t number) -> void
    {
        if (random_() % 4 != 0)
            return;
        Submit submit;
        submit.request = "r" + std::to_string(++lastRequest_);
        submit.attempt = 1;
        submit.target = 7;
        submit.notAfter = now_ + 60s;
        submit.terms.team = "tai";
        submit.terms.customer = "c1";
        submit.terms.pool = "jobs";
        submit.terms.fingerprint = lastRequest_;
        feed(number, FromPeer{routerLink, submit});
    }

    auto sampleEntries() -> void
    {
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                if (other == number)
                    continue;
                if (const auto entry = nodes_[number]->loads().find(pool_.members[other].id, now_))
                    evidence_.ages.push_back(entry->age);
                else
                    ++evidence_.missing;
            }
        }
    }

    auto feed(std::size_t number, SidecarEvent event, std::optional<std::size_t> requester = {})
        -> void
    {
        for (auto &action : nodes_[number]->handle(std::move(event), now_)) {
            if (const auto *digest = std::get_if<SendDigest>(&action))
                deliver(number, *digest, requester);
            else if (const auto *starting = std::get_if<StartRun>(&action))
                feed(number, RunBroken{starting->run, RunBreak::NeverSent});
        }
    }

    auto deliver(std::size_t from, const SendDigest &sent, std::optional<std::size_t> requester)
        -> void
    {
        bytes_ += digestSize(sent.digest);
        if (static_cast<double>(random_() % 1000) < options_.loss * 1000)
            return;
        bytes_ += digestSize(sent.digest);
        const auto isTarget = [&sent](const auto &member) { return member.id == sent.upstream; };
        const auto target = std::find_if(pool_.members.begin(), pool_.members.end(), isTarget)
            - pool_.members.begin();
        if (sent.upstream != 0)
            feed(static_cast<std::size_t>(target), DigestReceived{sent.digest}, from);
        else if (requester)
            feed(*requester, DigestReceived{sent.digest});
    }

    PoolOptions options_;
    Pool pool_;
    std::vector<std::unique_ptr<SidecarNode>> nodes_;
    Instant now_{1000s};
    Random random_{20261203};
    std::uint64_t lastRequest_ = 0;
    std::size_t bytes_ = 0;
    std::size_t bytesPerSecond_ = 0;
    Evidence evidence_;
};

auto toMilliseconds(Duration from) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(from).count();
}

auto logResult(const PoolOptions &options, const DigestPool &pool) -> void
{
    const auto &evidence = pool.evidence();
    BOOST_TEST_MESSAGE(options.members
                       << (options.isBusy ? " busy, loss " : " idle, loss ") << options.loss << ": "
                       << pool.bytesPerSecond() << " B/s; mean " << toMilliseconds(evidence.mean())
                       << " ms, 95 of 100 within " << toMilliseconds(evidence.quantile(0.95))
                       << " ms, oldest " << toMilliseconds(evidence.quantile(1)) << " ms; missing "
                       << evidence.missing << " of " << evidence.missing + evidence.ages.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_plane)

// Most pools are idle most of the time, and each of their sidecars still sends digests. This idle
// traffic is the first thing that an operator who measures control traffic sees.
BOOST_AUTO_TEST_CASE(an_idle_pool_sends_few_bytes_and_loses_no_entry)
{
    struct Row
    {
        std::uint32_t members;
        std::size_t bytesPerSecond;
    };
    for (const auto row : {Row{6, 1050}, Row{12, 1700}, Row{18, 2200}}) {
        const PoolOptions options{row.members, false, 0};
        DigestPool pool(options);
        pool.run(100);
        logResult(options, pool);
        BOOST_TEST(pool.bytesPerSecond() <= row.bytesPerSecond);
        BOOST_TEST(pool.evidence().missing == 0U);
    }
}

// In a surge, each sidecar bounds its load by the last loads received from the others. The older
// these are, the further an engine exceeds the configured multiple of the mean load.
BOOST_AUTO_TEST_CASE(evidence_of_a_busy_pool_is_young)
{
    struct Row
    {
        std::uint32_t members;
        double loss;
        Duration mean;
        Duration percentile95;
    };
    for (const auto row :
         {Row{6, 0, 1250ms, 2500ms}, Row{12, 0, 1600ms, 3s}, Row{18, 0, 1950ms, 3500ms},
          Row{36, 0, 2900ms, 5600ms}, Row{18, 0.3, 3200ms, 6300ms}}) {
        const PoolOptions options{row.members, true, row.loss};
        DigestPool pool(options);
        pool.run(100);
        logResult(options, pool);
        BOOST_TEST(toMilliseconds(pool.evidence().mean()) <= toMilliseconds(row.mean));
        BOOST_TEST(toMilliseconds(pool.evidence().quantile(0.95))
                   <= toMilliseconds(row.percentile95));
        BOOST_TEST(pool.evidence().missing * 100 <= pool.evidence().ages.size());
    }
}

// A digest that requests a reply lists the entries that its sender has. Sending these back wastes
// bytes, but entries that changed since or that belong to a later incarnation must be sent.
BOOST_AUTO_TEST_CASE(replies_hold_only_what_the_sender_lacks)
{
    struct Row
    {
        std::string what;
        Incarnation incarnation;
        std::uint32_t version;
        bool isSent;
    };
    const std::vector<Row> rows = {{"the same", 2, 5, false},
                                   {"older", 2, 4, true},
                                   {"newer", 2, 6, false},
                                   {"an earlier incarnation", 1, 9, true},
                                   {"a later incarnation", 3, 1, false}};
    for (const auto &row : rows) {
        Sidecar sidecar(poolOf(3, 4));
        const auto digestOf = [&sidecar](Incarnation incarnation, std::uint32_t version) {
            Digest digest;
            digest.entries = {
                {sidecar.id(1), incarnation, version, 1, 0, 4, UpstreamState::Serving, 0us}};
            return digest;
        };
        sidecar.give(DigestReceived{digestOf(2, 5)});
        auto request = digestOf(row.incarnation, row.version);
        request.wantsReply = true;
        sidecar.give(DigestReceived{request});
        const auto reply = sidecar.did<SendDigest>().at(0).digest;
        BOOST_TEST(reply.entries.at(0).upstream == sidecar.id(0), row.what);
        BOOST_TEST((reply.entries.size() == 2U) == row.isSent, row.what);
    }
}

// Routers send entries of all pools to each sidecar. If sidecars passed these on, the digests of a
// small pool would fill up with entries that no receiver uses and leave out those that it needs.
BOOST_AUTO_TEST_CASE(digests_hold_only_the_own_pool)
{
    Sidecar sidecar(poolOf(3, 4));
    auto submit = sidecar.request("carrier");
    submit.loads = {{sidecar.id(1), 1, 1, 8, 0, 4, UpstreamState::Serving, 0us},
                    {stableHash("elsewhere"), 1, 1, 8, 0, 4, UpstreamState::Serving, 0us}};
    sidecar.from(submit);
    Digest request;
    request.wantsReply = true;
    sidecar.give(DigestReceived{request});
    const auto reply = sidecar.did<SendDigest>().at(0).digest;
    BOOST_TEST(reply.entries.size() == 2U);
    BOOST_TEST(reply.entries.at(1).upstream == sidecar.id(1));
}

// A sidecar that picked itself as the gossip target would send nothing in that second: one second
// in three, in a pool of three.
BOOST_AUTO_TEST_CASE(a_digest_goes_to_another_member_every_second)
{
    Sidecar sidecar(poolOf(3, 4));
    sidecar.passWithHeartbeats(30s);
    const auto sent = sidecar.did<SendDigest>();
    BOOST_TEST(sent.size() == 30U);
    for (const auto &digest : sent)
        BOOST_TEST(digest.upstream != sidecar.id(0));
}

BOOST_AUTO_TEST_SUITE_END()
