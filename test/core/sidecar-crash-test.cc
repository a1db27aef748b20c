#include "core/sidecar-fixture.h"

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

// What the last step told the other members of crashes.
auto noticesTold(const Sidecar &sidecar) -> std::vector<CrashNotice>
{
    const auto digests = sidecar.did<SendDigest>();
    return digests.empty() ? std::vector<CrashNotice>() : digests.front().digest.crashes;
}

auto withCrashes(const std::vector<CrashNotice> &notices) -> DigestReceived
{
    Digest digest;
    digest.crashes = notices;
    return {digest};
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_crash)

// A request kills the upstream that runs it. Each way in which that shows must name every request
// that was running, to all members at once, and tell the routers that it ran.
BOOST_AUTO_TEST_CASE(crash_is_noticed)
{
    struct Row
    {
        std::string how;
        bool crashed;
    };
    const std::vector<Row> rows = {{"several-lost", true},         {"restarted", true},
                                   {"lost-then-restarted", true},  {"lost-then-unreachable", true},
                                   {"ended-then-restarted", true}, {"lost-while-up", false},
                                   {"ended-while-up", false}};
    for (const auto &row : rows) {
        Sidecar sidecar(poolOf(3, 4));
        sidecar.hear(1, 8).hear(2, 8);
        const auto first = sidecar.run(sidecar.request("r1"));
        const auto second = sidecar.run(sidecar.request("r2"));
        const auto from = static_cast<std::ptrdiff_t>(sidecar.all.size());
        const auto how = row.how.starts_with("ended") ? RunBreak::EndedEarly : RunBreak::Lost;
        if (row.how != "restarted")
            sidecar.give(RunBroken{first, how});
        if (row.how == "several-lost" || row.how == "lost-then-unreachable")
            sidecar.give(RunBroken{second, how});
        if (row.how.ends_with("restarted"))
            sidecar.report("epoch-2");
        if (row.how.ends_with("unreachable"))
            sidecar.report("");
        if (row.how.ends_with("while-up"))
            sidecar.pass(500ms).report("epoch-1");
        sidecar.last.assign(sidecar.all.begin() + from, sidecar.all.end());
        const auto refusals = sidecar.sent<Refusal>();
        BOOST_TEST(refusals.size() == (row.crashed ? 2U : 1U), row.how);
        for (const auto &refusal : refusals)
            BOOST_TEST(told(refusal)
                           == (row.crashed ? "upstream-crashed/ran" : "upstream-failed/ran"),
                       row.how);
        BOOST_TEST(sidecar.node().counts().crashes == (row.crashed ? 1U : 0U), row.how);
        if (row.crashed) {
            // The notices leave before the refusals, or a router could be faster than they are.
            const auto isDigest = [](const auto &action) {
                return std::holds_alternative<SendDigest>(action);
            };
            const auto isRefusal = [](const auto &action) {
                const auto *send = std::get_if<SendToPeer>(&action);
                return send != nullptr && std::holds_alternative<Refusal>(send->message);
            };
            const auto &all = sidecar.last;
            BOOST_TEST((std::find_if(all.begin(), all.end(), isDigest)
                        < std::find_if(all.begin(), all.end(), isRefusal)));
            const auto told = sidecar.did<SendDigest>().back().digest.crashes;
            BOOST_TEST(told.size() == 2U, row.how);
        }
    }
}

// The same request is sent again and again by its caller, alone, through any router. It may take
// two upstreams down, never a third, at whatever member it arrives next.
BOOST_AUTO_TEST_CASE(at_most_two_upstreams_are_lost)
{
    std::vector<CrashNotice> heard;
    std::size_t lost = 0;
    for (const Incarnation life : {11U, 12U, 13U, 14U}) {
        Sidecar sidecar(poolOf(3, 4), {}, life);
        sidecar.give(withCrashes(heard));
        auto submit = sidecar.request("again" + std::to_string(life));
        submit.terms.fingerprint = 99;
        sidecar.from(submit);
        if (sidecar.did<StartRun>().empty()) {
            BOOST_TEST(told(sidecar.refusal()) == "crash-suspect/not-run");
            BOOST_TEST(sidecar.node().counts().refusedCrash == 1U);
            continue;
        }
        ++lost;
        sidecar.give(RunBroken{sidecar.started(), RunBreak::Lost}).report("epoch-2");
        const auto expected = lost < 2 ? "upstream-crashed/ran" : "crash-suspect/ran";
        BOOST_TEST(told(sidecar.refusal()) == expected);
        heard = noticesTold(sidecar);
    }
    BOOST_TEST(lost == 2U);
    BOOST_TEST(heard.size() == 2U);
}

// The same upstream is taken down twice in one life of its sidecar: that is two crashes as well.
BOOST_AUTO_TEST_CASE(two_crashes_in_one_life)
{
    Sidecar sidecar(poolOf(1, 4));
    for (int time = 1; time <= 3; ++time) {
        auto submit = sidecar.request("r" + std::to_string(time));
        submit.terms.fingerprint = 99;
        sidecar.from(submit);
        BOOST_TEST(sidecar.did<StartRun>().size() == (time < 3 ? 1U : 0U));
        if (time < 3)
            sidecar.give(RunBroken{sidecar.started(), RunBreak::Lost})
                .report("epoch-" + std::to_string(time + 1));
    }
    BOOST_TEST(sidecar.node().counts().crashes == 2U);
}

// An innocent request shared a crash and finishes elsewhere. A second crash that it shares must
// not condemn it, and the others must hear that it is cleared.
BOOST_AUTO_TEST_CASE(finishing_clears_an_innocent)
{
    Sidecar sidecar(poolOf(3, 4));
    auto submit = sidecar.request("r1");
    submit.terms.fingerprint = 99;
    sidecar.give(withCrashes({{99, {5, 5}, 1, 60s}}));
    sidecar.answer(sidecar.run(submit), "fine");
    sidecar.give(withCrashes({{99, {5, 5}, 1, 60s}, {99, {6, 6}, 1, 60s}}));
    auto again = sidecar.request("r2");
    again.terms.fingerprint = 99;
    sidecar.run(again);
    sidecar.passAlive(5s);
    const auto digests = sidecar.did<SendDigest>();
    BOOST_REQUIRE(!digests.empty());
    const auto &notices = digests.back().digest.crashes;
    BOOST_TEST(std::count_if(notices.begin(), notices.end(),
                             [](const CrashNotice &notice) { return notice.remaining == 0us; })
               == 1);
}

// Requests wait while the upstream crashes. They did not run; told so, their routers go elsewhere.
BOOST_AUTO_TEST_CASE(waiting_requests_are_let_go_when_the_upstream_is_down)
{
    Sidecar sidecar(poolOf(1, 1));
    const auto run = sidecar.run(sidecar.request("r1"));
    sidecar.from(sidecar.request("r2"));
    sidecar.give(RunBroken{run, RunBreak::Lost});
    BOOST_TEST(sidecar.did<StartRun>().empty());
    sidecar.report("");
    std::vector<std::string> tells;
    for (const auto &refusal : sidecar.sent<Refusal>())
        tells.push_back(refusal.request + ' ' + told(refusal));
    BOOST_TEST(
        tells == (std::vector<std::string>{"r1 upstream-crashed/ran", "r2 no-upstream/not-run"}),
        boost::test_tools::per_element());
    BOOST_TEST((sidecar.node().state() == UpstreamState::Down));
}

BOOST_AUTO_TEST_SUITE_END()
