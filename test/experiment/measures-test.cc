#include "chart.h"
#include "measures-calls.h"
#include "measures-sampling.h"
#include "measures-times.h"
#include "measures-workload.h"
#include "overload.h"
#include "timeline.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <map>

namespace {

using namespace applehatch::experiment;
using namespace std::chrono_literals;

constexpr std::int64_t forGood = 1000000;

auto start(std::int64_t atMs, const std::string &chat) -> EngineEvent
{
    return {atMs, "start", chat, "body-of-" + chat};
}

auto turn(const std::string &chat, std::int64_t sentMs, bool warm) -> Turn
{
    Turn made;
    made.chat = chat;
    made.bodyHash = "body-of-" + chat;
    made.isReturn = true;
    made.answered = true;
    made.warm = warm;
    made.sentMs = sentMs;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(measures)

// A return counts as possible only while a live engine holds its context.
BOOST_AUTO_TEST_CASE(reuse_counts_what_was_possible)
{
    const EngineEvents events = {{"e1",
                                  {start(0, "a"),
                                   {10, "stored", "a", ""},
                                   start(12, "b"),
                                   {14, "stored", "b", ""},
                                   {50, "evicted", "a", ""},
                                   {80, "life", "", ""}}}};
    const LiveSpans live = {{"e1", {{0, 60}, {70, forGood}}}};
    const auto reuse =
        measureReuse(events, live,
                     {turn("a", 20, true), turn("a", 30, false), turn("a", 55, false),
                      turn("b", 65, false), turn("b", 75, true), turn("b", 90, false)});
    BOOST_TEST(reuse.returns == 6U);
    BOOST_TEST(reuse.possible == 3U);
    BOOST_TEST(reuse.found == 2U);
    BOOST_TEST(reuse.misses.size() == 1U);
    BOOST_TEST(reuse.ofReturns() == 2.0 / 6);
}

// Loads are 3 and 1, so the mean is 2: with a multiple of 1.25 the bound is 2.5, rounded up 3.
BOOST_AUTO_TEST_CASE(skew_is_the_busiest_over_the_mean)
{
    const EngineEvents events = {
        {"e1", {start(0, "a"), start(0, "b"), start(0, "c")}}, {"e2", {start(0, "d")}}, {"e3", {}}};
    const LiveSpans live = {{"e1", {{0, forGood}}}, {"e2", {{0, forGood}}}, {"e3", {{0, 0}}}};
    Deployment deployment;
    deployment.pool = {{"loadMultiple", 1.25}};
    const auto skew = measureSkew(events, live, {0, 100}, deployment);
    BOOST_TEST(skew.samples == 2U);
    BOOST_TEST(skew.worst == 1.5);
    BOOST_TEST(skew.overRaw == 2U);
    BOOST_TEST(skew.overRounded == 0U);
    const auto timeline = measureTimeline(events, live, {0, 100}, 1.25, 50ms);
    BOOST_REQUIRE(timeline.samples.size() == 2U);
    BOOST_TEST(timeline.samples[0].bound == 3.0);
    BOOST_TEST(timeline.samples[0].running[0].value() == 3);
    BOOST_TEST(!timeline.samples[0].running[2].has_value());
}

BOOST_AUTO_TEST_CASE(turns_in_time_are_counted_by_priority)
{
    Deployment deployment;
    deployment.deadline = 100ms;
    deployment.priorities = {{"damp", 9}};
    auto quick = turn("a", 0, true);
    quick.customer = "damp";
    quick.toEnd = 100ms;
    auto slow = turn("b", 0, true);
    slow.toEnd = 101ms;
    auto lost = turn("c", 0, true);
    lost.answered = false;
    const auto times = measureTimes({quick, slow, lost}, deployment);
    BOOST_TEST(times.at(9).share() == 1.0);
    BOOST_TEST(times.at(0).turns == 2U);
    BOOST_TEST(times.at(0).inTime == 0U);
}

// A refusal counts as early within half of the deadline and with a time to come back.
BOOST_AUTO_TEST_CASE(deadlines_are_counted_by_class)
{
    const std::vector<DeadlineOutcome> outcomes = {{0, 100ms, 100ms, true, false, ""},
                                                   {0, 100ms, 101ms, true, false, ""},
                                                   {1, 100ms, 50ms, false, true, "overloaded"},
                                                   {1, 100ms, 51ms, false, true, "overloaded"},
                                                   {1, 100ms, 10ms, false, false, ""}};
    const auto figures = countDeadlines(outcomes, 2);
    BOOST_REQUIRE(figures.size() == 3U);
    BOOST_TEST(figures[0].inTime == 1U);
    BOOST_TEST(figures[0].late == 1U);
    BOOST_TEST(figures[1].refused == 1U);
    BOOST_TEST(figures[1].givenUpLate == 1U);
    BOOST_TEST(figures[1].noReturn == 1U);
    BOOST_TEST(figures[2].sent == 5U);
    BOOST_TEST(figures[2].kinds.at("overloaded") == 2U);
}

BOOST_AUTO_TEST_CASE(calls_are_held_against_the_runs)
{
    const std::vector<ServiceCall> calls = {
        {"k1", true, 1}, {"k2", true, 2}, {"k3", true, 1}, {"k4", false, 6}};
    const auto run = [](const std::string &key) {
        return RunEntry{"s", "start", "r", key, "", "", 0};
    };
    const auto figures = countCalls(calls, {run("k1"), run("k2"), run("k2"), run("")});
    BOOST_TEST(figures.answered == 3U);
    BOOST_TEST(figures.ranOnce == 1U);
    BOOST_TEST(figures.ranTwice == 1U);
    BOOST_TEST(figures.answeredUnrun == 1U);
    BOOST_TEST(figures.unanswered == 1U);
    BOOST_TEST(figures.resent == 2U);
}

// A key that is left out takes its default, so that the measures speak of another pool than the
// operators run.
BOOST_AUTO_TEST_CASE(a_deployment_takes_each_policy_of_its_example)
{
    const nlohmann::json pool = {{"kind", "model"},     {"models", {"m"}},
                                 {"pathPrefix", "/p"},  {"members", {{{"name", "e"}}}},
                                 {"loadMultiple", 2.0}, {"homeWaitMs", 700}};
    BOOST_TEST(policyOf(pool) == (nlohmann::json{{"loadMultiple", 2.0}, {"homeWaitMs", 700}}));
    const std::map<std::string, std::string> pools = {{"ledgerworks", "drafting"},
                                                      {"cwm-taf", "repairs"}};
    for (const auto &[name, key] : pools) {
        std::ifstream file("examples/" + name + ".jsonc");
        const auto example = nlohmann::json::parse(file, nullptr, true, true);
        const auto taken = deploymentNamed(name).pool;
        for (const auto &[policy, value] : example.at("pools").at(key).items()) {
            const auto isOfFleet = std::find(poolKeysOfFleet.begin(), poolKeysOfFleet.end(), policy)
                != poolKeysOfFleet.end();
            BOOST_TEST(taken.contains(policy) != isOfFleet, name << ' ' << policy);
            BOOST_TEST((isOfFleet || taken.value(policy, nlohmann::json()) == value));
        }
    }
}

// A test reads the log of an upstream that is just writing a line to it. The half line ended the
// test, and callers that it had started were waited for without end.
BOOST_AUTO_TEST_CASE(a_line_that_is_being_written_is_left_for_later)
{
    const std::string whole = R"({"op": "start", "request": "r", "atMs": 7})";
    const auto entries = runEntries("e1", whole + "\n" + whole.substr(0, 20));
    BOOST_REQUIRE(entries.size() == 1U);
    BOOST_TEST(entries[0].upstream == "e1");
    BOOST_TEST(entries[0].operation == "start");
    BOOST_TEST(entries[0].atMs == 7);
    BOOST_TEST(runEntries("e1", whole + "\n" + whole + "\n").size() == 2U);
    BOOST_TEST(runEntries("e1", "").empty());
}

BOOST_AUTO_TEST_CASE(plots_escape_names_and_leave_gaps)
{
    const LineChart lines{"a < b", "s", "n", {0, 1, 2}, {{"x&y", {1, std::nullopt, 2}, false}}};
    const auto svg = drawSvg(lines);
    BOOST_TEST(svg.find("a &lt; b") != std::string::npos);
    BOOST_TEST(svg.find("x&amp;y") != std::string::npos);
    // From the axis at 60 to 700 and from the value 1 of 2 at 150 to the top at 30.
    BOOST_TEST(svg.find("d=\"M60 150 M700 30 \"") != std::string::npos);
    const BarChart bars{"t", "%", {"s"}, {{"g", {50}}}};
    BOOST_TEST(drawSvg(bars).find("g, s: 50") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
