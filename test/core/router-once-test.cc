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

auto ticketFor(Bench &bench, Incarnation incarnation = firstIncarnation) -> Ticket
{
    bench.feed(TicketRequest{"t1", "ledger", "east", "jobs"});
    for (const auto &opening : Bench::of<OpenLink>(bench.last))
        bench.openLink(opening.upstream, incarnation);
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

// Two routers have different lists of live hosts when a booking and its copy arrive. If the lists
// decided the upstream, both would run, at different upstreams, and two operatives would come to
// one door.
BOOST_AUTO_TEST_CASE(a_key_goes_to_one_upstream_whatever_hosts_the_router_knows)
{
    std::set<UpstreamId> upstreams;
    Bench plain;
    plain.feed(keyed("r1"));
    upstreams.insert(plain.openRequestedLink());

    Bench withHosts;
    withHosts.feed(HostListRead{{1, {{"127.0.9.9", HostState::Live}}}});
    withHosts.feed(keyed("r2"));
    upstreams.insert(withHosts.openRequestedLink());

    Bench afterFailure;
    afterFailure.feed(keyed("r3"));
    const auto upstream = Bench::of<OpenLink>(afterFailure.last)[0].upstream;
    afterFailure.feed(LinkDown{upstream});
    BOOST_TEST((afterFailure.failures().at(0).failure.kind == ErrorKind::NoUpstream));
    afterFailure.feed(keyed("r4"));
    upstreams.insert(afterFailure.openRequestedLink());
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

// A booking may have run although this router never sent it, because an earlier copy went through
// another router. A "not run" would make the caller book again.
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
            bench.openLink(upstream);
            bench.from(upstream, refusal("r1", 1, ErrorKind::Overloaded, Run::NotRun));
        } else {
            bench.feed(LinkDown{upstream});
        }
        BOOST_TEST((bench.failures().at(0).failure.run == row.run));
    }
}

// The link to the only upstream that may run a booking breaks while the booking runs. The router
// must ask that upstream for the outcome and must not submit the booking again.
BOOST_AUTO_TEST_CASE(a_lost_link_is_reopened_for_a_resume_and_never_a_second_submit)
{
    struct Row
    {
        std::string what;
        std::function<void(Bench &, UpstreamId)> then;
        std::optional<ErrorKind> failure;
    };
    const std::vector<Row> rows = {
        {"same incarnation answers",
         [](Bench &b, UpstreamId u) {
             b.openLink(u);
             BOOST_TEST(Bench::sent<Resume>(b.last).size() == 1U);
             b.from(u, Head{"r1", 1, 200, {}, true, false});
             b.from(u, Chunk{"r1", 0, "done"});
             b.from(u, End{"r1", 4, stableHash("done"), {}});
             BOOST_TEST(b.body("r1") == "done");
         },
         std::nullopt},
        {"another incarnation", [](Bench &b, UpstreamId u) { b.openLink(u, firstIncarnation + 1); },
         ErrorKind::OutcomeUnknown},
        {"stale",
         [](Bench &b, UpstreamId u) {
             b.openLink(u);
             b.from(u, refusal("r1", 1, ErrorKind::StaleIncarnation, Run::NotRun));
         },
         ErrorKind::OutcomeUnknown},
        {"permanently unreachable",
         [](Bench &b, UpstreamId u) {
             for (auto i = 0; i < 30 && b.failures().empty(); ++i) {
                 b.feed(LinkDown{u});
                 b.advance(500ms);
             }
         },
         ErrorKind::OutcomeUnknown},
    };
    for (const auto &row : rows) {
        Bench bench;
        bench.feed(keyed("r1", "k", true));
        const auto upstream = bench.openRequestedLink();
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

// A booking is lost on a silent link, so its sidecar never received it. If it failed as unknown, a
// call handler would have to check by hand for a job that does not exist. Another attempt may
// follow only once the sidecar has barred the first for good.
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
        const auto upstream = bench.openRequestedLink();
        bench.feed(LinkDown{upstream});
        bench.openLink(upstream);
        for (auto copy = 0; copy < 2; ++copy)
            bench.from(upstream, refusal("r1", 0, ErrorKind::AnswerLost, Run::Unknown));
        const auto revokes = Bench::sent<Revoke>(bench.all);
        BOOST_REQUIRE(revokes.size() == 1U);
        BOOST_TEST(revokes[0].attempt == 1U);
        BOOST_TEST(revokes[0].target == firstIncarnation);
        bench.from(upstream, Revoked{"r1", 1, row.run});
        const auto submits = Bench::sent<Submit>(bench.last);
        BOOST_REQUIRE(submits.size() == (row.again ? 1U : 0U));
        BOOST_TEST(bench.failures().size() == (row.again ? 0U : 1U));
        if (!row.again) {
            BOOST_TEST((bench.failures()[0].failure.run == row.run));
            continue;
        }
        BOOST_TEST(submits[0].attempt == 2U);
        BOOST_TEST(submits[0].target == firstIncarnation);
        // Late messages of the barred attempt are not used as the answer of the second.
        bench.from(upstream, Revoked{"r1", 1, Run::Ran});
        bench.from(upstream, Head{"r1", 1, 200, {}, false, false});
        BOOST_TEST(bench.failures().empty());
        BOOST_TEST(Bench::of<AnswerHead>(bench.all).empty());
        bench.from(upstream, refusal("r1", 0, ErrorKind::AnswerLost, Run::NotRun));
        BOOST_TEST(bench.failures().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_ticket_binds_every_send_to_one_incarnation)
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
        BOOST_TEST(submits[0].target == ticket.target.incarnation);
        BOOST_TEST(submits[0].terms.runOnce);
        keys.insert(submits[0].terms.idempotencyKey);
    }
    BOOST_TEST(keys.size() == 1U);
    bench.now += 599s;
    bench.feed(withTicket("r3", ticket));
    // If the router is suspended past the expiry and sends then, the sidecar refuses by its clock.
    BOOST_TEST((Bench::sent<Submit>(bench.last).at(0).notAfter == ticket.expires));
}

// The sidecar restarted between two sends of one ticket and lost its record. Whether the first send
// ran is unknown, so there must be no second run.
BOOST_AUTO_TEST_CASE(a_ticket_of_an_ended_incarnation_is_never_run)
{
    struct Row
    {
        std::function<void(Bench &, Ticket &)> change;
        ErrorKind kind;
    };
    const std::vector<Row> rows = {
        {[](Bench &b, Ticket &t) {
             b.feed(LinkDown{t.target.upstream});
             b.feed(LinkUp{t.target.upstream, firstIncarnation + 1, Instant{}});
         },
         ErrorKind::OutcomeUnknown},
        {[](Bench &b, Ticket & /*t*/) { b.now += 600s; }, ErrorKind::TicketExpired},
        {[](Bench & /*b*/, Ticket &t) { t.target.upstream = 99; }, ErrorKind::OutcomeUnknown},
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
