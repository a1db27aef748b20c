#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

BOOST_AUTO_TEST_SUITE(sidecar_life)

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

// Each of these must be refused before the upstream sees it, and the caller told that it did not
// run: the router slept and sends late, names an earlier life, or the sidecar is not ready.
BOOST_AUTO_TEST_CASE(refused_on_arrival)
{
    struct Row
    {
        std::function<void(Sidecar &, Submit &)> spoil;
        std::string told;
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
        row.spoil(sidecar, submit);
        sidecar.from(submit);
        BOOST_TEST(told(sidecar.refusal()) == row.told);
        BOOST_TEST(sidecar.refusal().failure.retryAfter.has_value());
        BOOST_TEST(sidecar.did<StartRun>().empty());
        // The same attempt arrives twice, once the fault is over: it was called "not run".
        sidecar.report("epoch-1");
        auto duplicate = sidecar.request("r1");
        sidecar.from(duplicate);
        BOOST_TEST(sidecar.did<StartRun>().empty());
    }
}

// The router gives up on an attempt and revokes it; the revoke overtakes the submit on a new
// link. Ran it afterwards, the caller would have been told "not run" of a request that ran.
BOOST_AUTO_TEST_CASE(revoke_wins_wherever_it_meets_the_attempt)
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

// A sidecar restarts while a request runs. Its next life knows nothing of it and must not call it
// "not run" when the router, not knowing which life it asked, revokes it.
BOOST_AUTO_TEST_CASE(young_sidecar_does_not_vouch_for_its_earlier_life)
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

// The same submit arrives twice, on two links. Run twice, the caller gets two answers.
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
    // Even long after its answer is gone.
    sidecar.pass(70s);
    auto late = submit;
    late.notAfter = sidecar.now + 1s;
    sidecar.from(late);
    BOOST_TEST(told(sidecar.refusal()) == "answer-lost/ran");
}

// The deadline passes while the upstream still answers: it is stopped, and nobody is told that
// it did not run.
BOOST_AUTO_TEST_CASE(passing_deadline_stops_the_run)
{
    Sidecar sidecar(poolOf(1, 8));
    auto submit = sidecar.request("r1");
    submit.notAfter = sidecar.now + 2s;
    sidecar.run(submit);
    sidecar.pass(2s);
    BOOST_TEST(sidecar.did<CancelRun>().size() == 1U);
    BOOST_TEST(told(sidecar.refusal()) == "deadline-exceeded/ran");
    BOOST_TEST(sidecar.node().counts().running == 0U);
}

// The upstream breaks off. The caller must be told so, never be given a short answer as whole.
BOOST_AUTO_TEST_CASE(broken_runs_never_end_an_answer)
{
    struct Row
    {
        RunBreak how;
        std::string told;
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
        BOOST_TEST(told(sidecar.refusal()) == row.told);
        BOOST_TEST(sidecar.sent<End>().empty());
        BOOST_TEST(sidecar.node().counts().running == 0U);
    }
}

// A late copy of an earlier attempt meets a request that was refused while waiting, and is told
// that failure too. Another copy of it, arriving once all is forgotten, must not run after that.
BOOST_AUTO_TEST_CASE(joining_a_refused_request_is_final)
{
    Sidecar sidecar(poolOf(1, 1));
    sidecar.run(sidecar.request("other"));
    sidecar.from(sidecar.request("r1", 2)).passAlive(6s);
    const auto earlier = sidecar.request("r1", 1);
    sidecar.from(earlier);
    BOOST_TEST(told(sidecar.refusal()) == "overloaded/not-run");
    sidecar.from(Acknowledge{"r1", 0, true}).passAlive(54s);
    BOOST_TEST(sidecar.node().counts().running == 0U);
    sidecar.from(earlier);
    BOOST_TEST(told(sidecar.refusal()) == "revoked/not-run");
}

// A copy of a submit is so late that its deadline has passed. It ran, long before; for being late
// it must not be called "not run".
BOOST_AUTO_TEST_CASE(late_copy_of_what_ran_is_not_called_not_run)
{
    Sidecar sidecar(poolOf(1, 1));
    const auto submit = sidecar.request("r1");
    sidecar.answer(sidecar.run(submit), "abc");
    sidecar.from(Acknowledge{"r1", 3, true}).pass(61s);
    BOOST_TEST((submit.notAfter <= sidecar.now));
    sidecar.from(submit);
    BOOST_TEST(told(sidecar.refusal()) == "answer-lost/ran");
}

// New settings shorten the longest deadline while an old request is on its way in two copies. The
// second comes long after the first, still before its own deadline, and must not run.
BOOST_AUTO_TEST_CASE(what_ran_is_remembered_until_its_deadline)
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
    BOOST_TEST(told(sidecar.refusal()) == "answer-lost/ran");
}

// Two requests share a key and its run never began. Each hears of its own attempt only: named
// after the other's, the refusal would call an attempt "not run" that may still come and run.
BOOST_AUTO_TEST_CASE(resume_hears_of_its_own_attempt)
{
    Sidecar sidecar(poolOf(1, 1));
    const auto run = sidecar.run(sidecar.keyed("r1", "k"));
    auto second = sidecar.keyed("r2", "k");
    second.attempt = 5;
    sidecar.from(second).give(RunBroken{run, RunBreak::NeverSent});
    sidecar.from(Resume{"r1", "tai/c1", 0});
    BOOST_TEST(sidecar.refusal().attempt == 1U);
    BOOST_TEST(told(sidecar.refusal()) == "upstream-failed/not-run");
}

BOOST_AUTO_TEST_SUITE_END()
