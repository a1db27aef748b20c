#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

BOOST_AUTO_TEST_SUITE(sidecar_lifecycle)

BOOST_AUTO_TEST_CASE(request_runs_and_its_whole_answer_reaches_the_link)
{
    Sidecar sidecar(poolOf(1, 8));
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.give(RunHead{run, 200, {{"x", "y"}}, true});
    BOOST_TEST(sidecar.sent<Head>().at(0).warm);
    sidecar.give(RunChunk{run, "ab"});
    BOOST_TEST(sidecar.sent<Chunk>().at(0).offset == 0U);
    sidecar.give(RunChunk{run, "c"});
    BOOST_TEST(sidecar.sent<Chunk>().at(0).offset == 2U);
    sidecar.give(RunEnd{run});
    const auto end = sidecar.sent<End>().at(0);
    BOOST_TEST(end.length == 3U);
    BOOST_TEST(end.hash == stableHash("abc"));
    BOOST_TEST(end.loads.at(0).upstream == sidecar.id(0));
    BOOST_TEST(sidecar.node().counts().running == 0U);
}

// Each of these must be refused before the upstream sees it, with the caller informed that it did
// not run: the router was stalled and sends late, names an earlier incarnation, or the sidecar is
// not ready.
BOOST_AUTO_TEST_CASE(refused_on_arrival)
{
    struct Row
    {
        std::function<void(Sidecar &, Submit &)> modify;
        std::string expected;
    };
    const std::vector<Row> rows = {
        {[](Sidecar &sidecar, Submit &submit) { submit.notAfter = sidecar.now; },
         "deadline-exceeded/not-run"},
        {[](Sidecar &, Submit &submit) { submit.target = 6; }, "stale-incarnation/not-run"},
        {[](Sidecar &, Submit &submit) { submit.terms.pool = "other"; }, "no-upstream/not-run"},
        {[](Sidecar &sidecar, Submit &) { sidecar.report(""); }, "no-upstream/not-run"},
        {[](Sidecar &sidecar, Submit &) { sidecar.give(DrainRequested{}); },
         "upstream-leaving/not-run"},
        {[](Sidecar &sidecar, Submit &submit) {
             sidecar.report("epoch-1", {"big"});
             submit.terms.model = "small";
         },
         "no-upstream/not-run"},
    };
    for (const auto &row : rows) {
        Sidecar sidecar(poolOf(1, 8));
        auto submit = sidecar.request("r1");
        row.modify(sidecar, submit);
        sidecar.from(submit);
        BOOST_TEST(outcomeOf(sidecar.refusal()) == row.expected);
        BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
        BOOST_TEST(sidecar.did<StartRun>().empty());
        // The attempt arrives twice, the second time after the fault is over. It was reported as
        // not run and must not run.
        sidecar.report("epoch-1");
        auto duplicate = sidecar.request("r1");
        sidecar.from(duplicate);
        BOOST_TEST(sidecar.did<StartRun>().empty());
    }
}

// The router gives up on an attempt and revokes it, and the revoke overtakes the submit on a new
// link. If the submit ran afterwards, the caller would have been informed that a request did not
// run that then ran.
BOOST_AUTO_TEST_CASE(revoke_wins_at_every_stage_of_the_attempt)
{
    struct Row
    {
        std::string when;
        Run run;
        std::size_t cancels;
    };
    const std::vector<Row> rows = {{"before", Run::NotRun, 0},
                                   {"waiting", Run::NotRun, 0},
                                   {"running", Run::Unknown, 1},
                                   {"finished", Run::Ran, 0},
                                   {"forgotten", Run::Ran, 0}};
    for (const auto &row : rows) {
        Sidecar sidecar(poolOf(1, 1));
        const auto submit = sidecar.request("r1");
        if (row.when == "waiting")
            sidecar.run(sidecar.request("other"));
        if (row.when != "before")
            sidecar.from(submit);
        if (row.when == "finished" || row.when == "forgotten")
            sidecar.answer(sidecar.started(), "abc");
        if (row.when == "forgotten")
            sidecar.pass(61s);
        sidecar.from(Revoke{"r1", 1, 7});
        BOOST_TEST((sidecar.sent<Revoked>().at(0).run == row.run), row.when);
        BOOST_TEST(sidecar.did<CancelRun>().size() == row.cancels, row.when);
        auto late = submit;
        late.notAfter = sidecar.now + 60s;
        sidecar.from(late);
        BOOST_TEST(sidecar.did<StartRun>().empty(), row.when);
    }
}

// A sidecar restarts while a request runs. The new incarnation has no record of it and must not
// report it as not run when the router, which does not know the incarnation it asked, revokes it.
BOOST_AUTO_TEST_CASE(restarted_sidecar_does_not_answer_for_its_earlier_incarnation)
{
    for (const auto target : {Incarnation{0}, Incarnation{6}}) {
        Sidecar sidecar(poolOf(1, 1));
        sidecar.from(Revoke{"r1", 1, target});
        BOOST_TEST((sidecar.sent<Revoked>().at(0).run == Run::Unknown));
    }
    Sidecar old(poolOf(1, 1));
    old.pass(1300s, 1s);
    old.from(Revoke{"r1", 1, 0});
    BOOST_TEST((old.sent<Revoked>().at(0).run == Run::NotRun));
}

// The same submit arrives twice, on two links. If it ran twice, the caller would receive two
// answers.
BOOST_AUTO_TEST_CASE(duplicate_submit_joins_the_first)
{
    Sidecar sidecar(poolOf(1, 8));
    sidecar.give(PeerLinkUp{2});
    const auto submit = sidecar.request("r1");
    const auto run = sidecar.run(submit);
    sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "ab"});
    sidecar.from(submit, 2);
    BOOST_TEST(sidecar.did<StartRun>().empty());
    BOOST_TEST(sidecar.sent<Chunk>(2).at(0).data == "ab");
    sidecar.give(RunEnd{run});
    BOOST_TEST(sidecar.sent<End>(1).size() == 1U);
    BOOST_TEST(sidecar.sent<End>(2).size() == 1U);
    // The same holds long after its answer expired.
    sidecar.pass(70s);
    auto late = submit;
    late.notAfter = sidecar.now + 1s;
    sidecar.from(late);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "answer-lost/ran");
}

// The deadline passes while the upstream is still answering: the run is stopped and never reported
// as not run.
BOOST_AUTO_TEST_CASE(passing_deadline_stops_the_run)
{
    Sidecar sidecar(poolOf(1, 8));
    auto submit = sidecar.request("r1");
    submit.notAfter = sidecar.now + 2s;
    sidecar.run(submit);
    sidecar.pass(2s);
    BOOST_TEST(sidecar.did<CancelRun>().size() == 1U);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "deadline-exceeded/ran");
    BOOST_TEST(sidecar.node().counts().running == 0U);
}

// The upstream fails in mid-answer. The caller must receive an error, never a truncated answer
// marked as complete.
BOOST_AUTO_TEST_CASE(broken_runs_never_end_an_answer)
{
    struct Row
    {
        RunBreak how;
        std::string expected;
    };
    const std::vector<Row> rows = {{RunBreak::NeverSent, "upstream-failed/not-run"},
                                   {RunBreak::Lost, "upstream-failed/ran"},
                                   {RunBreak::EndedEarly, "upstream-failed/ran"},
                                   {RunBreak::Silent, "upstream-failed/ran"}};
    for (const auto &row : rows) {
        Sidecar sidecar(poolOf(1, 8));
        const auto run = sidecar.run(sidecar.request("r1"));
        sidecar.give(RunHead{run, 200, {}, false}).give(RunChunk{run, "ab"});
        const auto before = sidecar.all.size();
        sidecar.give(RunBroken{run, row.how});
        sidecar.pass(400ms).report("epoch-1");
        sidecar.last.assign(sidecar.all.begin() + static_cast<std::ptrdiff_t>(before),
                            sidecar.all.end());
        BOOST_TEST(outcomeOf(sidecar.refusal()) == row.expected);
        BOOST_TEST(sidecar.sent<End>().empty());
        BOOST_TEST(sidecar.node().counts().running == 0U);
    }
}

// A late copy of an earlier attempt joins a request that was refused while waiting and receives the
// same refusal. Another copy of it, which arrives after the request was forgotten, must not run.
BOOST_AUTO_TEST_CASE(joining_a_refused_request_is_final)
{
    Sidecar sidecar(poolOf(1, 1));
    sidecar.run(sidecar.request("other"));
    sidecar.from(sidecar.request("r1", 2)).passWithHeartbeats(6s);
    const auto earlier = sidecar.request("r1", 1);
    sidecar.from(earlier);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "overloaded/not-run");
    sidecar.from(Acknowledge{"r1", 0, true}).passWithHeartbeats(54s);
    BOOST_TEST(sidecar.node().counts().running == 0U);
    sidecar.from(earlier);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "revoked/not-run");
}

// A copy of a submit arrives after its deadline. The request ran long before, so the late copy must
// not be reported as not run.
BOOST_AUTO_TEST_CASE(late_copy_of_a_request_that_ran_is_not_reported_not_run)
{
    Sidecar sidecar(poolOf(1, 1));
    const auto submit = sidecar.request("r1");
    sidecar.answer(sidecar.run(submit), "abc");
    sidecar.from(Acknowledge{"r1", 3, true}).pass(61s);
    BOOST_TEST((submit.notAfter <= sidecar.now));
    sidecar.from(submit);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "answer-lost/ran");
}

// New settings shorten the maximum deadline while two copies of an old request are in flight. The
// second copy arrives long after the first, still before its own deadline, and must not run.
BOOST_AUTO_TEST_CASE(a_request_that_ran_is_remembered_until_its_deadline)
{
    Sidecar sidecar(poolOf(1, 1));
    auto shorter = sidecar.pool();
    shorter.maxDeadline = 1s;
    sidecar.give(SettingsInForce{settingsOf(shorter, 2)});
    auto submit = sidecar.request("r1");
    submit.notAfter = sidecar.now + 300s;
    sidecar.answer(sidecar.run(submit), "abc");
    sidecar.from(Acknowledge{"r1", 3, true}).pass(250s);
    sidecar.from(submit);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "answer-lost/ran");
}

// Two requests share a key whose run never began. Each refusal must name its own attempt: with the
// other's attempt number it would report an attempt as not run that may still arrive and run.
BOOST_AUTO_TEST_CASE(resume_is_refused_with_its_own_attempt)
{
    Sidecar sidecar(poolOf(1, 1));
    const auto run = sidecar.run(sidecar.keyed("r1", "k"));
    auto second = sidecar.keyed("r2", "k");
    second.attempt = 5;
    sidecar.from(second).give(RunBroken{run, RunBreak::NeverSent});
    sidecar.from(Resume{"r1", "tai/c1", 0});
    BOOST_TEST(sidecar.refusal().attempt == 1U);
    BOOST_TEST(outcomeOf(sidecar.refusal()) == "upstream-failed/not-run");
}

BOOST_AUTO_TEST_SUITE_END()
