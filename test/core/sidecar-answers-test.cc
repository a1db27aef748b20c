#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

auto modelPool(std::uint32_t slots = 4) -> Pool
{
    auto pool = poolOf(1, slots);
    pool.kind = applehatch::settings::PoolKind::Model;
    return pool;
}

auto servicePool() -> Pool
{
    auto pool = poolOf(1, 4);
    pool.kind = applehatch::settings::PoolKind::Service;
    return pool;
}

auto joined(const std::vector<Chunk> &chunks) -> std::string
{
    std::string body;
    for (const auto &chunk : chunks)
        body += chunk.data;
    return body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_answers)

// The router's link breaks in mid-answer. The same router or another one asks on a new link for the
// rest: the caller must receive each byte once, then the live ones, then the end.
BOOST_AUTO_TEST_CASE(resume_sends_the_rest_then_goes_live)
{
    for (const std::uint64_t offset : {0U, 2U, 5U}) {
        Sidecar sidecar(modelPool());
        const auto run = sidecar.run(sidecar.request("r1"));
        sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "abcde"});
        sidecar.give(PeerLinkDown{routerLink}).give(PeerLinkUp{2});
        sidecar.pass(10s);
        BOOST_TEST(sidecar.did<CancelRun>().empty());
        sidecar.from(Resume{"r1", "tai/c1", offset}, 2);
        auto body = joined(sidecar.sent<Chunk>(2));
        BOOST_TEST(body == std::string("abcde").substr(offset));
        sidecar.give(RunChunk{run, "fg"});
        BOOST_TEST(sidecar.sent<Chunk>(2).at(0).offset == 5U);
        sidecar.give(RunEnd{run});
        BOOST_TEST(sidecar.sent<End>(2).at(0).length == 7U);
        sidecar.pass(59s);
        sidecar.from(Resume{"r1", "tai/c1", offset}, 2);
        BOOST_TEST(joined(sidecar.sent<Chunk>(2)) == std::string("abcdefg").substr(offset));
        BOOST_TEST(sidecar.sent<End>(2).size() == 1U);
        sidecar.from(Acknowledge{"r1", 7, true}, 2);
        BOOST_TEST(sidecar.node().counts().answerBytes == 0U);
    }
}

// A caller that knows a request id of another customer asks for its answer.
BOOST_AUTO_TEST_CASE(answers_are_given_to_their_customer_only)
{
    Sidecar sidecar(modelPool());
    const auto submit = sidecar.request("r1");
    const auto run = sidecar.run(submit);
    sidecar.answer(run, "secret");
    sidecar.from(Resume{"r1", "tai/c2", 0});
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "answer-lost/unknown");
    BOOST_TEST(sidecar.sent<Chunk>().empty());
    auto other = submit;
    other.terms.customer = "c2";
    sidecar.from(other);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "answer-lost/unknown");
    BOOST_TEST(sidecar.did<StartRun>().empty());
}

// The router never comes back. Its run must not occupy a slot until the deadline.
BOOST_AUTO_TEST_CASE(unread_runs_stop_after_the_grace_period)
{
    Sidecar sidecar(modelPool());
    sidecar.run(sidecar.request("r1"));
    sidecar.give(PeerLinkDown{routerLink});
    sidecar.pass(14s);
    BOOST_TEST(sidecar.did<CancelRun>().empty());
    sidecar.pass(1s);
    BOOST_TEST(sidecar.did<CancelRun>().size() == 1U);
    BOOST_TEST(sidecar.node().counts().running == 0U);
}

// A sidecar restarts during a stream, and the caller resumes while the engine is full. The resume
// waits too long and is refused. If the refusal said that the request did not run, the caller would
// send it again although the earlier incarnation ran it.
BOOST_AUTO_TEST_CASE(resume_from_an_earlier_incarnation_that_timed_out_is_never_reported_not_run)
{
    Sidecar sidecar(poolOf(1, 1));
    (void)sidecar.run(sidecar.request("busy"));
    sidecar.from(Resume{"earlier", "ledger/c1", 100});
    sidecar.passWithHeartbeats(6s);
    BOOST_REQUIRE(!sidecar.sent<Refusal>().empty());
    BOOST_TEST((sidecar.sent<Refusal>().back().failure.run == Run::Unknown));
}

// The sidecar restarts during a stream that its engine still holds.
BOOST_AUTO_TEST_CASE(streams_go_on_after_a_restart)
{
    Sidecar before(modelPool());
    before.from(before.request("r1"));
    const auto name = before.did<StartRun>().at(0).request;

    Sidecar after(modelPool(), {}, 8);
    after.from(Resume{"r1", "tai/c1", 100});
    const auto start = after.did<StartRun>().at(0);
    BOOST_TEST(start.resumeFrom == 100U);
    BOOST_TEST(start.request == name);
    after.give(RunHead{start.run, 200, {}, false}).give(RunChunk{start.run, "xy"});
    BOOST_TEST(after.sent<Chunk>().at(0).offset == 100U);
    after.give(RunEnd{start.run});
    BOOST_TEST(after.sent<End>().at(0).length == 102U);
    BOOST_TEST(after.sent<End>().at(0).hash == 0U);

    after.from(Resume{"r1", "tai/c1", 20});
    BOOST_TEST(outcomeOf(after.refusal()) == "answer-lost/ran");
    after.from(Resume{"r2", "tai/c2", 0});
    BOOST_TEST(after.did<StartRun>().at(0).request != name);
    after.give(RunHead{after.started(), 404, {}, false});
    BOOST_TEST(outcomeOf(after.refusal()) == "answer-lost/unknown");

    Sidecar service(servicePool());
    service.from(Resume{"r1", "tai/c1", 0});
    BOOST_TEST(outcomeOf(service.refusal()) == "answer-lost/unknown");
    BOOST_TEST(service.did<StartRun>().empty());
}

// A caller reads more slowly than the engine writes. The buffer is bounded, and the caller receives
// an error when it overflows.
BOOST_AUTO_TEST_CASE(answers_beyond_the_buffer_limit_are_stopped)
{
    SidecarLimits limits;
    limits.unacknowledgedBytesPerAnswer = 10;
    Sidecar sidecar(modelPool(), limits);
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.give(RunChunk{run, "12345678"}).from(Acknowledge{"r1", 8, false});
    sidecar.give(RunChunk{run, "12345678"});
    BOOST_TEST(sidecar.did<CancelRun>().empty());
    sidecar.give(RunChunk{run, "123"});
    BOOST_TEST(sidecar.did<CancelRun>().size() == 1U);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "answer-lost/ran");
}

// A device between the two ends loses the state of a connection: the connection stays open and
// carries nothing. The router sees a stalled answer until the link is closed and the router resumes
// on a new one.
BOOST_AUTO_TEST_CASE(silent_links_are_closed)
{
    Sidecar sidecar(modelPool());
    sidecar.give(PeerLinkUp{2});
    BOOST_TEST(sidecar.sent<Heartbeat>(2).at(0).incarnation == 7U);
    BOOST_TEST((sidecar.sent<Heartbeat>(2).at(0).clock == sidecar.now));
    sidecar.pass(10s);
    BOOST_TEST(sidecar.sent<Heartbeat>(2).empty());
    sidecar.from(sidecar.request("r1"), 2);
    sidecar.pass(3s);
    BOOST_TEST(sidecar.sent<Heartbeat>(2).empty());
    BOOST_TEST(sidecar.did<ClosePeer>().empty());
    sidecar.from(Heartbeat{}, 2);
    BOOST_TEST(sidecar.sent<Heartbeat>(2).size() == 1U);
    sidecar.pass(3900ms);
    BOOST_TEST(sidecar.did<ClosePeer>().empty());
    sidecar.pass(200ms);
    BOOST_TEST(sidecar.did<ClosePeer>().at(0).link == 2U);
    BOOST_TEST(sidecar.did<ClosePeer>().size() == 1U);
    BOOST_TEST(sidecar.did<CancelRun>().empty());
}

// A stream runs for more than a minute while its router sends nothing. The link stays open as long
// as the router's process reads. When the process is frozen or dead it stops reading, and the run
// must not go on without a reader.
BOOST_AUTO_TEST_CASE(a_link_stays_open_while_its_router_reads)
{
    Sidecar sidecar(modelPool());
    auto submit = sidecar.request("r1");
    submit.notAfter = sidecar.now + 600s;
    const auto run = sidecar.run(submit);
    sidecar.give(RunHead{run, 200, {}, false});
    std::vector<Instant> heartbeatTimes;
    for (auto second = 1; second <= 150; ++second) {
        sidecar.give(RunChunk{run, "x"}).pass(1s);
        for (const auto &heartbeat : sidecar.sent<Heartbeat>())
            heartbeatTimes.push_back(heartbeat.clock);
        BOOST_TEST(sidecar.did<ClosePeer>().empty());
        sidecar.give(PeerResponded{routerLink});
    }
    BOOST_TEST(heartbeatTimes.size() == 2U);
    BOOST_TEST((heartbeatTimes.at(1) - heartbeatTimes.at(0) == 60s));
    sidecar.give(RunChunk{run, "x"}).pass(3950ms);
    BOOST_TEST(sidecar.did<ClosePeer>().empty());
    sidecar.pass(50ms);
    BOOST_TEST(sidecar.did<ClosePeer>().size() == 1U);
    sidecar.give(PeerResponded{routerLink}).pass(15s);
    BOOST_TEST(sidecar.did<CancelRun>().size() == 1U);
}

// A submit arrives after its link was closed. Its router treats it as never sent and tries another
// upstream.
BOOST_AUTO_TEST_CASE(messages_of_closed_links_are_lost)
{
    Sidecar sidecar(modelPool());
    sidecar.give(PeerLinkDown{routerLink}).from(sidecar.request("r1"));
    BOOST_TEST(sidecar.last.empty());
    BOOST_TEST(sidecar.node().counts().running == 0U);
}

// The sidecar itself was suspended and could not receive, so the links were not silent.
BOOST_AUTO_TEST_CASE(own_sleep_closes_no_link)
{
    Sidecar sidecar(modelPool());
    sidecar.run(sidecar.request("r1"));
    sidecar.now += 30s;
    sidecar.give(Tick{});
    BOOST_TEST(sidecar.did<ClosePeer>().empty());
}

// Guards against a stall of the sidecar being added to the silence before it.
BOOST_AUTO_TEST_CASE(an_own_pause_after_a_quiet_while_closes_no_link)
{
    Sidecar sidecar(modelPool());
    sidecar.run(sidecar.request("r1"));
    sidecar.pass(2s);
    sidecar.now += 2500ms;
    sidecar.give(Tick{});
    BOOST_TEST(sidecar.did<ClosePeer>().empty());
    sidecar.pass(1500ms);
    BOOST_TEST(sidecar.did<ClosePeer>().empty());
    sidecar.pass(500ms);
    BOOST_TEST(sidecar.did<ClosePeer>().size() == 1U);
}

// Guards against many slightly late ticks being taken for silence of the peer.
BOOST_AUTO_TEST_CASE(ticks_that_all_come_late_close_no_link)
{
    Sidecar sidecar(modelPool());
    sidecar.run(sidecar.request("r1"));
    sidecar.pass(8s, 900ms);
    BOOST_TEST(sidecar.did<ClosePeer>().empty());
    sidecar.pass(4s);
    BOOST_TEST(sidecar.did<ClosePeer>().size() == 1U);
}

// Guards against a sidecar that stops a stream after its own stall, although the router has asked
// for the stream again in the meantime.
BOOST_AUTO_TEST_CASE(a_run_without_a_link_outlives_an_own_pause)
{
    Sidecar sidecar(modelPool());
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.give(RunHead{run, 200, {}, false}).give(PeerLinkDown{routerLink});
    sidecar.pass(1s);
    sidecar.now += 20s;
    sidecar.give(Tick{});
    BOOST_TEST(sidecar.did<CancelRun>().empty());
    sidecar.give(PeerLinkUp{2}).from(Resume{"r1", "tai/c1", 0}, 2);
    BOOST_TEST(sidecar.sent<Head>(2).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
