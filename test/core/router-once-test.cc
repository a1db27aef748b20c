#include "core/router-fixture.h"

#include <set>

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

auto keyed(const RequestId &id, const std::string &key = "booking-1", bool firstSend = false)
    -> CallerRequest
{
    auto request = serviceRequest(id, "POST");
    request.terms.runOnce = true;
    request.terms.idempotencyKey = key;
    request.terms.firstSend = firstSend;
    return request;
}

auto ticketFor(Bench &bench, Incarnation incarnation = life) -> Ticket
{
    bench.feed(TicketRequest{"t1", "ledger", "east", "jobs"});
    for (const auto &opening : Bench::of<OpenLink>(bench.last))
        bench.up(opening.upstream, incarnation);
    const auto answers = Bench::of<AnswerTicket>(bench.last);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].lifetime == Duration(600s)));
    return parseTicket(answers[0].ticket).value();
}

auto withTicket(const RequestId &id, const Ticket &ticket) -> CallerRequest
{
    auto request = serviceRequest(id, "POST");
    request.ticket = formatTicket(ticket);
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_once)

// Two routers hold different lists of who is live when a booking and its copy arrive. Were the
// lists to decide, each would run at another upstream and two operatives would come to one door.
BOOST_AUTO_TEST_CASE(a_key_goes_to_one_upstream_whatever_the_router_knows)
{
    std::set<UpstreamId> upstreams;
    Bench plain;
    plain.feed(keyed("r1"));
    upstreams.insert(plain.openAsked());

    Bench withHosts;
    withHosts.feed(HostListRead{{1, {{"127.0.9.9", HostState::Live}}}});
    withHosts.feed(keyed("r2"));
    upstreams.insert(withHosts.openAsked());

    Bench afterFailure;
    afterFailure.feed(keyed("r3"));
    const auto upstream = Bench::of<OpenLink>(afterFailure.last)[0].upstream;
    afterFailure.feed(LinkDown{upstream});
    BOOST_TEST((afterFailure.failures().at(0).failure.kind == ErrorKind::NoUpstream));
    afterFailure.feed(keyed("r4"));
    upstreams.insert(afterFailure.openAsked());
    BOOST_TEST(upstreams.size() == 1U);

    std::set<UpstreamId> spread;
    for (auto i = 0; i < 30; ++i) {
        plain.feed(keyed("s" + std::to_string(i), "key-" + std::to_string(i)));
        for (const auto &opening : Bench::of<OpenLink>(plain.last))
            spread.insert(opening.upstream);
    }
    spread.insert(*upstreams.begin());
    BOOST_TEST(spread.size() == 3U);
}

// A booking may have run although this router never sent it: its first copy went through another
// router. "Not run" would make the caller book again.
BOOST_AUTO_TEST_CASE(only_the_sidecar_says_not_run_of_a_key_that_may_have_been_sent_before)
{
    struct Row
    {
        bool firstSend;
        bool refusedBySidecar;
        Run run;
    };
    for (const auto &row : {Row{false, false, Run::Unknown}, Row{true, false, Run::NotRun},
                            Row{false, true, Run::NotRun}}) {
        Bench bench;
        bench.feed(keyed("r1", "k", row.firstSend));
        const auto upstream = Bench::of<OpenLink>(bench.last)[0].upstream;
        if (row.refusedBySidecar) {
            bench.up(upstream);
            bench.from(upstream, refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun));
        } else {
            bench.feed(LinkDown{upstream});
        }
        BOOST_TEST((bench.failures().at(0).failure.run == row.run));
    }
}

// The link to the only upstream that may run a booking breaks while it runs. The router must find
// out what became of it there and not send it a second time.
BOOST_AUTO_TEST_CASE(a_lost_link_is_reopened_and_asked_never_resubmitted)
{
    struct Row
    {
        std::string what;
        std::function<void(Bench &, UpstreamId)> then;
        std::optional<ErrorKind> failure;
    };
    const std::vector<Row> rows = {
        {"same life answers",
         [](Bench &b, UpstreamId u) {
             b.up(u);
             BOOST_TEST(Bench::sent<Resume>(b.last).size() == 1U);
             b.from(u, Head{"r1", 1, 200, {}, true, false});
             b.from(u, Chunk{"r1", 0, "done"});
             b.from(u, End{"r1", 4, stableHash("done"), {}});
             BOOST_TEST(b.body("r1") == "done");
         },
         std::nullopt},
        {"another life", [](Bench &b, UpstreamId u) { b.up(u, life + 1); },
         ErrorKind::OutcomeUnknown},
        {"stale",
         [](Bench &b, UpstreamId u) {
             b.up(u);
             b.from(u, refusal("r1", 1, ErrorKind::StaleIncarnation, Run::NotRun));
         },
         ErrorKind::OutcomeUnknown},
        {"unreachable for good",
         [](Bench &b, UpstreamId u) {
             for (auto i = 0; i < 30 && b.failures().empty(); ++i) {
                 b.feed(LinkDown{u});
                 b.pass(500ms);
             }
         },
         ErrorKind::OutcomeUnknown},
    };
    for (const auto &row : rows) {
        Bench bench;
        bench.feed(keyed("r1", "k", true));
        const auto upstream = bench.openAsked();
        bench.feed(LinkDown{upstream});
        BOOST_TEST(Bench::of<OpenLink>(bench.last).size() == 1U);
        BOOST_TEST_CONTEXT(row.what)
        {
            row.then(bench, upstream);
            BOOST_TEST(Bench::sent<Submit>(bench.all).size() == 1U);
            BOOST_TEST(bench.failures().size() == (row.failure ? 1U : 0U));
            if (row.failure) {
                BOOST_TEST((bench.failures().at(0).failure.kind == *row.failure));
                BOOST_TEST((bench.failures().at(0).failure.run == Run::Unknown));
            }
        }
    }
}

// A booking is lost with a link that had gone silent: its sidecar knows nothing of it. Failing it
// as unknown would send a call-handler checking by hand for a job that nobody has; only an attempt
// that is barred for good may be followed by another.
BOOST_AUTO_TEST_CASE(a_submit_that_never_arrived_is_barred_and_sent_again)
{
    struct Row
    {
        Run run;
        bool again;
    };
    for (const auto &row :
         {Row{Run::NotRun, true}, Row{Run::Unknown, false}, Row{Run::Ran, false}}) {
        Bench bench;
        bench.feed(keyed("r1"));
        const auto upstream = bench.openAsked();
        bench.feed(LinkDown{upstream});
        bench.up(upstream);
        for (auto copy = 0; copy < 2; ++copy)
            bench.from(upstream, refusal("r1", 0, ErrorKind::AnswerLost, Run::Unknown));
        const auto revokes = Bench::sent<Revoke>(bench.all);
        BOOST_REQUIRE(revokes.size() == 1U);
        BOOST_TEST(revokes[0].attempt == 1U);
        BOOST_TEST(revokes[0].target == life);
        bench.from(upstream, Revoked{"r1", 1, row.run});
        const auto submits = Bench::sent<Submit>(bench.last);
        BOOST_REQUIRE(submits.size() == (row.again ? 1U : 0U));
        BOOST_TEST(bench.failures().size() == (row.again ? 0U : 1U));
        if (!row.again) {
            BOOST_TEST((bench.failures()[0].failure.run == row.run));
            continue;
        }
        BOOST_TEST(submits[0].attempt == 2U);
        BOOST_TEST(submits[0].target == life);
        // What comes late of the barred attempt is not the answer of the second.
        bench.from(upstream, Revoked{"r1", 1, Run::Ran});
        bench.from(upstream, Head{"r1", 1, 200, {}, false, false});
        BOOST_TEST(bench.failures().empty());
        BOOST_TEST(Bench::of<AnswerHead>(bench.all).empty());
        bench.from(upstream, refusal("r1", 0, ErrorKind::AnswerLost, Run::NotRun));
        BOOST_TEST(bench.failures().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_ticket_binds_every_send_to_one_life)
{
    Bench bench;
    const auto ticket = ticketFor(bench);
    BOOST_TEST(ticket.pool == "ledger/jobs");
    BOOST_TEST((ticket.expires == start + clockOffset + 600s));
    std::set<std::string> keys;
    for (const RequestId id : {"r1", "r2"}) {
        bench.feed(withTicket(id, ticket));
        const auto submits = Bench::sent<Submit>(bench.last);
        BOOST_REQUIRE(submits.size() == 1U);
        BOOST_TEST(submits[0].target == ticket.life.incarnation);
        BOOST_TEST(submits[0].terms.runOnce);
        keys.insert(submits[0].terms.idempotencyKey);
    }
    BOOST_TEST(keys.size() == 1U);
    bench.now += 599s;
    bench.feed(withTicket("r3", ticket));
    // A router that sleeps past the expiry and then sends is refused by the sidecar's clock.
    BOOST_TEST((Bench::sent<Submit>(bench.last).at(0).notAfter == ticket.expires));
}

// The sidecar restarted between two sends of one ticket. Its record is gone, so nobody can say
// whether the first one ran, and a second run must not follow.
BOOST_AUTO_TEST_CASE(a_ticket_whose_life_is_over_is_never_run)
{
    struct Row
    {
        std::function<void(Bench &, Ticket &)> change;
        ErrorKind kind;
    };
    const std::vector<Row> rows = {
        {[](Bench &b, Ticket &t) {
             b.feed(LinkDown{t.life.upstream});
             b.feed(LinkUp{t.life.upstream, life + 1, Instant{}});
         },
         ErrorKind::OutcomeUnknown},
        {[](Bench &b, Ticket & /*t*/) { b.now += 600s; }, ErrorKind::TicketExpired},
        {[](Bench & /*b*/, Ticket &t) { t.life.upstream = 99; }, ErrorKind::OutcomeUnknown},
        {[](Bench & /*b*/, Ticket &t) { t.pool = "ledger/drafting"; }, ErrorKind::BadRequest},
    };
    for (const auto &row : rows) {
        Bench bench;
        auto ticket = ticketFor(bench);
        row.change(bench, ticket);
        bench.feed(withTicket("r1", ticket));
        BOOST_REQUIRE(bench.failures().size() == 1U);
        BOOST_TEST((bench.failures()[0].failure.kind == row.kind));
        BOOST_TEST((bench.failures()[0].failure.run == Run::Unknown));
        BOOST_TEST(Bench::sent<Submit>(bench.all).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
